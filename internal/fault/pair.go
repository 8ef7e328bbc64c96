package fault

import (
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	pieceSize = 32 << 10
	// maxPieces bounds the delayed traffic of one direction.
	maxPieces = 1024
)

// pair is a client's connection and the one to the target that belongs to it.
type pair struct {
	proxy  *Proxy
	client net.Conn
	// server is nil for a connection that was opened during a cut.
	server net.Conn
	gates  map[Direction]*gate
	ended  chan struct{}
	once   sync.Once
}

func newPair(proxy *Proxy, client, server net.Conn) *pair {
	return &pair{
		proxy: proxy, client: client, server: server, ended: make(chan struct{}),
		gates: map[Direction]*gate{Upstream: newGate(), Downstream: newGate()},
	}
}

func (pair *pair) hold(directions Direction) {
	for direction, gate := range pair.gates {
		if directions&direction != 0 {
			gate.close()
		}
	}
}

func (pair *pair) release() {
	for _, gate := range pair.gates {
		gate.open()
	}
}

func (pair *pair) close() {
	pair.once.Do(func() {
		close(pair.ended)
		// Both ends learn of it by a closed connection; there is no one to tell.
		_ = pair.client.Close()
		if pair.server != nil {
			_ = pair.server.Close()
		}
	})
}

// run passes traffic on until both directions have ended.
func (pair *pair) run() {
	if pair.server == nil {
		<-pair.ended
		return
	}
	var running conc.WaitGroup
	running.Go(func() { pair.pump(Upstream, pair.client, pair.server) })
	running.Go(func() { pair.pump(Downstream, pair.server, pair.client) })
	running.Wait()
	pair.close()
}

// piece is traffic that leaves the proxy at an instant. An empty one ends the direction.
type piece struct {
	due  time.Time
	data []byte
}

// pump passes one direction on. Its end is subject to the same faults as its
// data, so that a silent connection does not show that its other end is gone.
func (pair *pair) pump(direction Direction, from, to net.Conn) {
	pieces := make(chan piece, maxPieces)
	var reading conc.WaitGroup
	reading.Go(func() {
		defer close(pieces)
		pair.read(direction, from, pieces)
	})
	pair.write(direction, to, pieces)
	reading.Wait()
}

func (pair *pair) read(direction Direction, from net.Conn, pieces chan<- piece) {
	for {
		buffer := make([]byte, pieceSize)
		count, err := from.Read(buffer)
		select {
		case pieces <- piece{due: time.Now().Add(pair.proxy.delay(direction)), data: buffer[:count]}:
		case <-pair.ended:
			return
		}
		if err != nil {
			return
		}
	}
}

func (pair *pair) write(direction Direction, to net.Conn, pieces <-chan piece) {
	gate := pair.gates[direction]
	for next := range pieces {
		if !pair.wait(time.Until(next.due)) || !gate.pass(pair.ended) {
			return
		}
		if len(next.data) == 0 {
			break
		}
		if _, err := to.Write(next.data); err != nil {
			break
		}
	}
	// Processes of this project never half-close a connection.
	pair.close()
}

func (pair *pair) wait(span time.Duration) bool {
	if span <= 0 {
		return true
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-pair.ended:
		return false
	}
}

// gate holds one direction's traffic back while it is closed.
type gate struct {
	// mu guards opened, which is closed while traffic may pass.
	mu     sync.Mutex
	opened chan struct{}
	held   bool
}

func newGate() *gate {
	gate := &gate{opened: make(chan struct{})}
	close(gate.opened)
	return gate
}

func (gate *gate) close() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if !gate.held {
		gate.held, gate.opened = true, make(chan struct{})
	}
}

func (gate *gate) open() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.held {
		gate.held = false
		close(gate.opened)
	}
}

// pass waits until traffic may pass, and tells whether it may.
func (gate *gate) pass(ended <-chan struct{}) bool {
	for {
		gate.mu.Lock()
		opened, held := gate.opened, gate.held
		gate.mu.Unlock()
		if !held {
			return true
		}
		select {
		case <-opened:
		case <-ended:
			return false
		}
	}
}
