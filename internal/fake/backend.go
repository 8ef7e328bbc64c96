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
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// Backend is a fake endpoint that writes its responses byte for byte from a
// script. A response can be truncated, belong to another request or contain
// surplus bytes.
type Backend struct {
	listeners []net.Listener
	running   conc.WaitGroup
	cancel    context.CancelFunc

	// mu guards the fields below.
	mu       sync.Mutex
	steps    []Step
	requests []ReceivedRequest
	conns    map[net.Conn]bool
	next     int
}

// Step is the response of a Backend to one request. In Text, {id} is replaced
// by the request's id.
type Step struct {
	Text string `json:"text"`
	// Kept is written before Text on a connection that has served a request before.
	Kept string `json:"kept"`
	// Then is close, reset or hang; any other value keeps the connection open.
	Then string `json:"then"`
	// Delay is the time before Text is written, in milliseconds.
	Delay int `json:"delay"`
	// Early is the number of bytes of the body that are read, in parts, after Text was
	// written; each part is followed by one more byte of the response. The rest of the
	// body is not read. 0 reads the whole body before Text.
	Early int64 `json:"early"`
}

// earlyPart is the size of the parts of a body that a step reads early, in bytes.
const earlyPart = 64 << 10

// ReceivedRequest is a request that a Backend has read.
type ReceivedRequest struct {
	Method, Target string
	Header         http.Header
	Body           string
	ReceivedAt     time.Time
	// Disconnected is closed when the caller closes the connection during a
	// hang step.
	Disconnected chan struct{}
}

// NewBackend starts a fake endpoint that uses one step per request, in order,
// and repeats the last one. It listens on several addresses, to appear as that
// many endpoints. idHeader names the header that holds the request's id.
func NewBackend(idHeader string, steps []Step, addresses int) (*Backend, error) {
	ctx, cancel := context.WithCancel(context.Background())
	backend := &Backend{cancel: cancel, steps: steps, conns: map[net.Conn]bool{}}
	for range addresses {
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.CombineErrors(err, backend.Close())
		}
		backend.listeners = append(backend.listeners, listener)
		backend.running.Go(func() { backend.accept(ctx, listener, idHeader) })
	}
	return backend, nil
}

// Addresses returns the listening addresses.
func (backend *Backend) Addresses() []string {
	list := make([]string, len(backend.listeners))
	for index, listener := range backend.listeners {
		list[index] = listener.Addr().String()
	}
	return list
}

// Requests returns the requests read so far.
func (backend *Backend) Requests() []ReceivedRequest {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return append([]ReceivedRequest(nil), backend.requests...)
}

// Close closes all listeners and connections and waits for their goroutines.
func (backend *Backend) Close() error {
	backend.cancel()
	var failure error
	for _, listener := range backend.listeners {
		failure = errors.CombineErrors(failure, listener.Close())
	}
	backend.mu.Lock()
	for conn := range backend.conns {
		// An error does not matter: the connection is no longer used.
		_ = conn.Close()
	}
	backend.mu.Unlock()
	backend.running.Wait()
	return failure
}

func (backend *Backend) accept(ctx context.Context, listener net.Listener, idHeader string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		backend.mu.Lock()
		backend.conns[conn] = true
		backend.mu.Unlock()
		backend.running.Go(func() { backend.serve(ctx, conn, idHeader) })
	}
}

func (backend *Backend) serve(ctx context.Context, conn net.Conn, idHeader string) {
	defer func() {
		backend.mu.Lock()
		delete(backend.conns, conn)
		backend.mu.Unlock()
		// Close may have closed the connection already.
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for served := 0; ; served++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		step := backend.step()
		disconnected, err := backend.respond(ctx, conn, request, step, served > 0, idHeader)
		if err != nil {
			return
		}
		switch step.Then {
		case "close":
			return
		case "reset":
			if tcp, ok := conn.(*net.TCPConn); ok {
				// With linger 0 the deferred close sends a reset. If this fails,
				// the test that expects the reset fails.
				_ = tcp.SetLinger(0)
			}
			return
		case "hang":
			backend.awaitDisconnect(ctx, reader, disconnected)
			return
		}
	}
}

// respond reads a request's body and writes the response of a step.
func (backend *Backend) respond(ctx context.Context, conn net.Conn, request *http.Request, step Step, isKept bool, idHeader string) (chan struct{}, error) {
	var body []byte
	var err error
	if step.Early == 0 {
		if body, err = io.ReadAll(request.Body); err != nil {
			return nil, err
		}
	}
	disconnected := backend.record(request, body)
	text := step.Text
	if isKept {
		text = step.Kept + text
	}
	select {
	case <-time.After(time.Duration(step.Delay) * time.Millisecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if _, err := fmt.Fprint(conn, strings.ReplaceAll(text, "{id}", request.Header.Get(idHeader))); err != nil {
		return nil, err
	}
	for read := int64(0); read < step.Early; read += earlyPart {
		if _, err := io.CopyN(io.Discard, request.Body, earlyPart); err != nil {
			return nil, err
		}
		if _, err := fmt.Fprint(conn, "."); err != nil {
			return nil, err
		}
	}
	return disconnected, nil
}

// step returns the step of the next request.
func (backend *Backend) step() Step {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	step := backend.steps[min(backend.next, len(backend.steps)-1)]
	backend.next++
	return step
}

func (backend *Backend) record(request *http.Request, body []byte) chan struct{} {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	disconnected := make(chan struct{})
	backend.requests = append(backend.requests, ReceivedRequest{
		Method: request.Method, Target: request.RequestURI, Header: request.Header, Body: string(body), ReceivedAt: time.Now(), Disconnected: disconnected,
	})
	return disconnected
}

// awaitDisconnect waits until the caller closes the connection or the backend
// is closed.
func (backend *Backend) awaitDisconnect(ctx context.Context, reader *bufio.Reader, disconnected chan struct{}) {
	var waiting conc.WaitGroup
	defer waiting.Wait()
	closed := make(chan struct{})
	waiting.Go(func() {
		defer close(closed)
		// EOF and an error both mean that the caller has disconnected.
		_, _ = reader.ReadByte()
	})
	select {
	case <-closed:
		close(disconnected)
	case <-ctx.Done():
	}
}
