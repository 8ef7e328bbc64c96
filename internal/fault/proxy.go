// Package fault provides a TCP proxy that injects network faults between two
// processes. Tests and benchmarks run it in process.
package fault

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/ports"
)

const (
	dialLimit = 500 * time.Millisecond
	// listenLimit bounds the wait for the own port, and listenPause is the time between
	// attempts to listen on it.
	listenLimit = 10 * time.Second
	listenPause = 2 * time.Millisecond
)

// Direction is a set of directions of traffic through a proxy.
type Direction int

// Directions as seen from the process that opens connections.
const (
	// Upstream is from the connecting process to the target.
	Upstream Direction = 1 << iota
	// Downstream is from the target to the connecting process.
	Downstream
	// Both is both directions.
	Both = Upstream | Downstream
)

// Proxy forwards connections to one target. Traffic stopped by Silence, Lose or
// Cut is buffered and delivered after Heal, as TCP would deliver it after a
// retransmission. After the target refuses a connection, the proxy refuses all
// new connections until Retarget.
type Proxy struct {
	address string
	running conc.WaitGroup

	// mu guards the fields below. Lock order: proxy before gate.
	mu       sync.Mutex
	listener net.Listener
	target   string
	// generation counts the calls of Retarget. A refusal observed before the last
	// call is ignored, since it does not apply to the present target.
	generation uint64
	delays     map[Direction]time.Duration
	lost       Direction
	cut        bool
	pairs      map[*pair]struct{}
	closed     bool
}

// New starts a proxy on a free loopback port. With an empty target, connections
// are closed until Retarget.
func New(target string) (*Proxy, error) {
	listener, err := ports.Listen()
	if err != nil {
		return nil, errors.Wrap(err, "listen for the fault proxy")
	}
	return start(listener, target), nil
}

// NewAt starts a proxy that listens on an address.
func NewAt(address, target string) (*Proxy, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the fault proxy")
	}
	return start(listener, target), nil
}

func start(listener net.Listener, target string) *Proxy {
	proxy := &Proxy{
		address: listener.Addr().String(), listener: listener, target: target,
		delays: map[Direction]time.Duration{}, pairs: map[*pair]struct{}{},
	}
	proxy.running.Go(func() { proxy.accept(listener) })
	return proxy
}

// Address returns the proxy's listening address.
func (proxy *Proxy) Address() string { return proxy.address }

// Retarget forwards new connections to another address and listens again if the
// previous target refused a connection.
func (proxy *Proxy) Retarget(target string) error {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.target = target
	proxy.generation++
	if proxy.listener != nil {
		return nil
	}
	listener, err := listenAgain(proxy.address)
	if err != nil {
		return errors.Wrap(err, "listen for the fault proxy again")
	}
	proxy.listener = listener
	proxy.running.Go(func() { proxy.accept(listener) })
	return nil
}

// listenAgain listens on an address whose listener was closed. A process that is being
// started holds copies of all listeners until it runs its program, and the port is in use
// until then.
func listenAgain(address string) (net.Listener, error) {
	var config net.ListenConfig
	for began := time.Now(); ; time.Sleep(listenPause) {
		listener, err := config.Listen(context.Background(), "tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > listenLimit {
			return listener, err
		}
	}
}

// refuse closes the listener after the target of a generation has refused a
// connection.
func (proxy *Proxy) refuse(generation uint64) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.listener != nil && proxy.generation == generation && proxy.target != "" {
		// After this, connecting processes are refused.
		_ = proxy.listener.Close()
		proxy.listener = nil
	}
}

// Delay adds latency to the traffic of open and new connections in the directions.
func (proxy *Proxy) Delay(directions Direction, latency time.Duration) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for _, direction := range []Direction{Upstream, Downstream} {
		if directions&direction != 0 {
			proxy.delays[direction] = latency
		}
	}
}

// Silence stops the traffic of the open connections in the directions without
// closing them. New connections work. It returns the number of open connections.
func (proxy *Proxy) Silence(directions Direction) int {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for pair := range proxy.pairs {
		pair.closeGates(directions)
	}
	return len(proxy.pairs)
}

// Lose stops the traffic of open and new connections in the directions until Heal.
func (proxy *Proxy) Lose(directions Direction) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.lost |= directions
	for pair := range proxy.pairs {
		pair.closeGates(directions)
	}
}

// Cut stops all traffic: open connections become silent, and new ones are
// accepted but not forwarded. To simulate an asymmetric partition, cut only the
// proxy that one of two processes uses to connect to the other.
func (proxy *Proxy) Cut() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.cut = true
	for pair := range proxy.pairs {
		pair.closeGates(Both)
	}
}

// Heal ends all faults and delivers the buffered traffic. Connections opened
// during a cut are closed, since they have no connection to the target.
func (proxy *Proxy) Heal() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.lost, proxy.cut = 0, false
	clear(proxy.delays)
	for pair := range proxy.pairs {
		if pair.server == nil {
			pair.close()
			continue
		}
		pair.openGates()
	}
}

// CloseConnections closes all open connections.
func (proxy *Proxy) CloseConnections() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for pair := range proxy.pairs {
		pair.close()
	}
}

// Open returns the number of open connections.
func (proxy *Proxy) Open() int {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return len(proxy.pairs)
}

// Close closes the listener and all connections and waits for their goroutines.
func (proxy *Proxy) Close() error {
	proxy.mu.Lock()
	var err error
	if proxy.listener != nil {
		err = proxy.listener.Close()
	}
	proxy.closed = true
	proxy.mu.Unlock()
	proxy.CloseConnections()
	proxy.running.Wait()
	return err
}

func (proxy *Proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		proxy.running.Go(func() { proxy.serve(client) })
	}
}

func (proxy *Proxy) serve(client net.Conn) {
	proxy.mu.Lock()
	target, generation, cut := proxy.target, proxy.generation, proxy.cut
	proxy.mu.Unlock()
	var server net.Conn
	if !cut {
		dialer := net.Dialer{Timeout: dialLimit}
		dialed, err := dialer.DialContext(context.Background(), "tcp", target)
		if err != nil {
			// Closing the connection signals the failure to the connecting process.
			_ = client.Close()
			if errors.Is(err, syscall.ECONNREFUSED) {
				proxy.refuse(generation)
			}
			return
		}
		server = dialed
	}
	pair := newPair(proxy, client, server)
	if !proxy.add(pair) {
		pair.close()
		return
	}
	pair.run()
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	delete(proxy.pairs, pair)
}

func (proxy *Proxy) add(pair *pair) bool {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.closed {
		return false
	}
	pair.closeGates(proxy.lost)
	if proxy.cut {
		pair.closeGates(Both)
	}
	proxy.pairs[pair] = struct{}{}
	return true
}

func (proxy *Proxy) delay(direction Direction) time.Duration {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.delays[direction]
}
