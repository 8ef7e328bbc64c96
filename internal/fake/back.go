package fake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// Back is a fake endpoint whose answers are written byte by byte from a script,
// so that it can break off, answer for another request or say too much.
type Back struct {
	listeners []net.Listener
	running   conc.WaitGroup
	cancel    context.CancelFunc

	// mu guards the fields below.
	mu      sync.Mutex
	steps   []Step
	seen    []Seen
	open    map[net.Conn]bool
	current int
}

// Step is what a Back does with one request. In Text, {id} stands for the
// request's id.
type Step struct {
	// Text is written as it stands.
	Text string `json:"text"`
	// Then is close, reset or hang; otherwise the connection is kept.
	Then string `json:"then"`
}

// Seen is a request that a Back has read.
type Seen struct {
	Method, Target string
	Header         http.Header
	Body           string
	// Left is closed when the caller closes the connection while a step hangs.
	Left chan struct{}
}

// NewBack starts an endpoint that takes the steps one after the other, the last
// one again and again. It has several addresses, as if it were as many
// endpoints. IDHeader names the header with the request's id.
func NewBack(idHeader string, steps []Step, addresses int) (*Back, error) {
	ctx, cancel := context.WithCancel(context.Background())
	back := &Back{cancel: cancel, steps: steps, open: map[net.Conn]bool{}}
	for range addresses {
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.CombineErrors(err, back.Close())
		}
		back.listeners = append(back.listeners, listener)
		back.running.Go(func() { back.accept(ctx, listener, idHeader) })
	}
	return back, nil
}

// Addresses returns the listening addresses.
func (back *Back) Addresses() []string {
	list := make([]string, len(back.listeners))
	for at, listener := range back.listeners {
		list[at] = listener.Addr().String()
	}
	return list
}

// Seen returns the requests read so far.
func (back *Back) Seen() []Seen {
	back.mu.Lock()
	defer back.mu.Unlock()
	return append([]Seen(nil), back.seen...)
}

// Close ends the endpoint and waits.
func (back *Back) Close() error {
	back.cancel()
	var failure error
	for _, listener := range back.listeners {
		failure = errors.CombineErrors(failure, listener.Close())
	}
	back.mu.Lock()
	for conn := range back.open {
		// The connection is given up in any case.
		_ = conn.Close()
	}
	back.mu.Unlock()
	back.running.Wait()
	return failure
}

func (back *Back) accept(ctx context.Context, listener net.Listener, idHeader string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		back.mu.Lock()
		back.open[conn] = true
		back.mu.Unlock()
		back.running.Go(func() { back.serve(ctx, conn, idHeader) })
	}
}

func (back *Back) serve(ctx context.Context, conn net.Conn, idHeader string) {
	defer func() {
		back.mu.Lock()
		delete(back.open, conn)
		back.mu.Unlock()
		// The caller may have closed it.
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		step, left := back.note(request, body)
		text := strings.ReplaceAll(step.Text, "{id}", request.Header.Get(idHeader))
		if _, err := fmt.Fprint(conn, text); err != nil {
			return
		}
		switch step.Then {
		case "close":
			return
		case "reset":
			if tcp, ok := conn.(*net.TCPConn); ok {
				// Without the option the test fails by itself.
				_ = tcp.SetLinger(0)
			}
			return
		case "hang":
			back.watch(ctx, reader, left)
			return
		}
	}
}

func (back *Back) note(request *http.Request, body []byte) (Step, chan struct{}) {
	back.mu.Lock()
	defer back.mu.Unlock()
	left := make(chan struct{})
	back.seen = append(back.seen, Seen{
		Method: request.Method, Target: request.RequestURI, Header: request.Header, Body: string(body), Left: left,
	})
	step := back.steps[min(back.current, len(back.steps)-1)]
	back.current++
	return step, left
}

// watch waits until the caller leaves.
func (back *Back) watch(ctx context.Context, reader *bufio.Reader, left chan struct{}) {
	var waiting conc.WaitGroup
	defer waiting.Wait()
	gone := make(chan struct{})
	waiting.Go(func() {
		defer close(gone)
		// Any end of the connection tells the same.
		_, _ = reader.ReadByte()
	})
	select {
	case <-gone:
		close(left)
	case <-ctx.Done():
	}
}
