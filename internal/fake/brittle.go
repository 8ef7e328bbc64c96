package fake

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/ports"
)

// brittleDownTime is how long an endpoint of Brittle is down after a crash.
const brittleDownTime = 300 * time.Millisecond

// brittleEventTime lets the events that an endpoint of Brittle sends arrive before it crashes.
const brittleEventTime = 30 * time.Millisecond

// Brittle is a set of fake endpoints that answer with a short event stream and
// crash when they begin to answer a request with a deadly header value. Each is
// back after a while, as another incarnation at its address.
type Brittle struct {
	settings BrittleSettings
	running  conc.WaitGroup
	cancel   context.CancelFunc
	ctx      context.Context

	// mu guards the fields below.
	mu        sync.Mutex
	addresses []string
	servers   []*http.Server
	listeners []net.Listener
	// cut is set from the begin of a partition until Heal.
	cut     bool
	crashes int
	answers int
	// failure is the error of servers that ended by themselves, which Close returns.
	failure error
}

// BrittleSettings of a Brittle.
type BrittleSettings struct {
	// Header is the header of a request that may contain the value Deadly.
	Header, Deadly string
	// Events is the number of events of an answer that an endpoint sends before it crashes.
	Events int
	// AnswerHeader is the header of an answer to a sound request, beside the request's
	// id in IDHeader.
	AnswerHeader map[string]string
	IDHeader     string
	// Partition makes all endpoints refuse connections in place of a crash of one, until
	// Heal, and come back as the same incarnations.
	Partition bool
	// Started is called when an endpoint starts, with its number, address and
	// incarnation.
	Started func(number int, address string, incarnation int)
}

// NewBrittle starts the endpoints.
func NewBrittle(settings BrittleSettings, count int) (*Brittle, error) {
	ctx, cancel := context.WithCancel(context.Background())
	brittle := &Brittle{settings: settings, ctx: ctx, cancel: cancel, addresses: make([]string, count), servers: make([]*http.Server, count), listeners: make([]net.Listener, count)}
	for number := range count {
		listener, err := ports.Listen()
		if err != nil {
			return nil, errors.CombineErrors(err, brittle.Close())
		}
		brittle.addresses[number] = listener.Addr().String()
		brittle.start(number, 1, listener)
	}
	return brittle, nil
}

func (brittle *Brittle) start(number, incarnation int, listener net.Listener) {
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		for name, value := range brittle.settings.AnswerHeader {
			w.Header().Set(name, value)
		}
		w.Header().Set(brittle.settings.IDHeader, request.Header.Get(brittle.settings.IDHeader))
		if strings.Contains(request.Header.Get(brittle.settings.Header), brittle.settings.Deadly) {
			for event := range brittle.settings.Events {
				// The gateway may be gone.
				_, _ = fmt.Fprintf(w, "id: %d\ndata: a\n\n", event+1)
				_ = http.NewResponseController(w).Flush()
			}
			if brittle.settings.Events > 0 {
				time.Sleep(brittleEventTime)
			}
			brittle.crash(number, incarnation)
			panic(http.ErrAbortHandler)
		}
		brittle.mu.Lock()
		brittle.answers++
		brittle.mu.Unlock()
		// A caller that has gone gets no answer.
		_, _ = fmt.Fprint(w, "id: 1\ndata: a\n\n")
	})}
	brittle.mu.Lock()
	brittle.servers[number], brittle.listeners[number] = server, listener
	brittle.mu.Unlock()
	brittle.running.Go(func() {
		// A crash closes the server, and a partition the listener.
		if err := server.Serve(listener); !errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
			brittle.mu.Lock()
			defer brittle.mu.Unlock()
			brittle.failure = errors.CombineErrors(brittle.failure, errors.Wrapf(err, "endpoint %d", number))
		}
	})
	brittle.settings.Started(number, listener.Addr().String(), incarnation)
}

// crash ends an endpoint and starts it again after a while, or begins a partition.
func (brittle *Brittle) crash(number, incarnation int) {
	brittle.mu.Lock()
	brittle.crashes++
	server := brittle.servers[number]
	brittle.mu.Unlock()
	if brittle.settings.Partition {
		brittle.partition()
		return
	}
	// The connections are not used any more.
	_ = server.Close()
	brittle.running.Go(func() { brittle.restart(number, incarnation+1) })
}

// partition closes all listeners before it closes connections: a gateway that sees a
// broken connection finds no endpoint that still accepts one.
func (brittle *Brittle) partition() {
	brittle.mu.Lock()
	defer brittle.mu.Unlock()
	if brittle.cut {
		return
	}
	brittle.cut = true
	for _, listener := range brittle.listeners {
		_ = listener.Close()
	}
	for _, server := range brittle.servers {
		_ = server.Close()
	}
}

// Heal ends a partition. Endpoints accept connections again one after the other, so no
// gateway should be asking whether their zone can be reached.
func (brittle *Brittle) Heal() error {
	brittle.mu.Lock()
	wasCut := brittle.cut
	brittle.cut = false
	brittle.mu.Unlock()
	for number := 0; wasCut && number < len(brittle.addresses); number++ {
		if err := brittle.listen(number, 1); err != nil {
			return err
		}
	}
	return nil
}

func (brittle *Brittle) restart(number, incarnation int) {
	select {
	case <-brittle.ctx.Done():
		return
	case <-time.After(brittleDownTime):
	}
	// The error says that the endpoints are being closed.
	_ = brittle.listen(number, incarnation)
}

// listen starts an endpoint at its earlier address.
func (brittle *Brittle) listen(number, incarnation int) error {
	var config net.ListenConfig
	listener, err := config.Listen(brittle.ctx, "tcp", brittle.addresses[number])
	if err != nil {
		return err
	}
	brittle.start(number, incarnation, listener)
	return nil
}

// Crashes returns the number of crashes so far.
func (brittle *Brittle) Crashes() int {
	brittle.mu.Lock()
	defer brittle.mu.Unlock()
	return brittle.crashes
}

// Answers returns the number of sound requests answered so far.
func (brittle *Brittle) Answers() int {
	brittle.mu.Lock()
	defer brittle.mu.Unlock()
	return brittle.answers
}

// Close stops all endpoints and waits for their goroutines.
func (brittle *Brittle) Close() error {
	brittle.cancel()
	brittle.mu.Lock()
	servers := brittle.servers
	brittle.mu.Unlock()
	var failure error
	for _, server := range servers {
		if server != nil {
			failure = errors.CombineErrors(failure, server.Close())
		}
	}
	brittle.running.Wait()
	return errors.CombineErrors(failure, brittle.failure)
}
