// Package fault is a TCP proxy that injects faults between two processes. It
// serves tests and benchmarks only and is controlled in process.
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

const dialLimit = 500 * time.Millisecond

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

// Proxy passes connections on to one target. Silent and lost traffic is held
// back and delivered by Heal, as TCP would deliver it after retransmission.
// Once the target refuses a connection, so does the proxy until Retarget.
type Proxy struct {
	address string
	running conc.WaitGroup

	// mu guards the fields below. Lock order: proxy before gate.
	mu       sync.Mutex
	listener net.Listener
	target   string
	// turn counts the calls of Retarget: a refusal from before the last one says
	// nothing about the target as it is now.
	turn   uint64
	delays map[Direction]time.Duration
	lost   Direction
	cut    bool
	pairs  map[*pair]struct{}
	closed bool
}

// New starts a proxy on a free loopback port. An empty target refuses
// connections until Retarget.
func New(target string) (*Proxy, error) {
	listener, err := ports.Listen()
	if err != nil {
		return nil, errors.Wrap(err, "listen for the fault proxy")
	}
	return start(listener, target), nil
}

// NewAt starts a proxy on an address.
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

// Address returns the address to connect to instead of the target's.
func (proxy *Proxy) Address() string { return proxy.address }

// Retarget sends new connections to another address.
func (proxy *Proxy) Retarget(target string) error {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.target = target
	proxy.turn++
	if proxy.listener != nil {
		return nil
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", proxy.address)
	if err != nil {
		return errors.Wrap(err, "listen for the fault proxy again")
	}
	proxy.listener = listener
	proxy.running.Go(func() { proxy.accept(listener) })
	return nil
}

// refuse closes the listener after the target refused a connection.
func (proxy *Proxy) refuse(turn uint64) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	if proxy.listener != nil && proxy.turn == turn && proxy.target != "" {
		// The connecting process sees the refusal.
		_ = proxy.listener.Close()
		proxy.listener = nil
	}
}

// Delay adds a latency to the traffic of open and new connections.
func (proxy *Proxy) Delay(directions Direction, span time.Duration) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for _, direction := range []Direction{Upstream, Downstream} {
		if directions&direction != 0 {
			proxy.delays[direction] = span
		}
	}
}

// Silence stops the traffic of the connections that are open now, without
// closing them. New connections work. It returns how many were silenced.
func (proxy *Proxy) Silence(directions Direction) int {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for pair := range proxy.pairs {
		pair.hold(directions)
	}
	return len(proxy.pairs)
}

// Lose stops the traffic of open and new connections in the directions.
func (proxy *Proxy) Lose(directions Direction) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.lost |= directions
	for pair := range proxy.pairs {
		pair.hold(directions)
	}
}

// Cut stops all traffic: open connections become silent and new ones get no
// answer. A half-open partition is a cut of the proxy for one way of connecting.
func (proxy *Proxy) Cut() {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	proxy.cut = true
	for pair := range proxy.pairs {
		pair.hold(Both)
	}
}

// Heal ends all faults and delivers what was held back. Connections that were
// opened during a cut are closed, since their target never saw them.
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
		pair.release()
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

// Close stops the proxy and waits for its connections to end.
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
	target, turn, cut := proxy.target, proxy.turn, proxy.cut
	proxy.mu.Unlock()
	var server net.Conn
	if !cut {
		dialer := net.Dialer{Timeout: dialLimit}
		dialed, err := dialer.DialContext(context.Background(), "tcp", target)
		if err != nil {
			// The connecting process sees its connection closed.
			_ = client.Close()
			if errors.Is(err, syscall.ECONNREFUSED) {
				proxy.refuse(turn)
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
	pair.hold(proxy.lost)
	if proxy.cut {
		pair.hold(Both)
	}
	proxy.pairs[pair] = struct{}{}
	return true
}

func (proxy *Proxy) delay(direction Direction) time.Duration {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	return proxy.delays[direction]
}
