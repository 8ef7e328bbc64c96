package fault

import (
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	chunkSize = 32 << 10
	// maxChunks limits the buffered chunks of one direction.
	maxChunks = 1024
)

// pair is a client connection and the matching connection to the target.
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

func (pair *pair) closeGates(directions Direction) {
	for direction, gate := range pair.gates {
		if directions&direction != 0 {
			gate.close()
		}
	}
}

func (pair *pair) openGates() {
	for _, gate := range pair.gates {
		gate.open()
	}
}

func (pair *pair) close() {
	pair.once.Do(func() {
		close(pair.ended)
		// Errors do not matter: both connections are discarded.
		_ = pair.client.Close()
		if pair.server != nil {
			_ = pair.server.Close()
		}
	})
}

// run forwards traffic until both directions have ended.
func (pair *pair) run() {
	if pair.server == nil {
		<-pair.ended
		return
	}
	var running conc.WaitGroup
	running.Go(func() { pair.forward(Upstream, pair.client, pair.server) })
	running.Go(func() { pair.forward(Downstream, pair.server, pair.client) })
	running.Wait()
	pair.close()
}

// chunk is data that the proxy sends when it is due. Empty data marks the end
// of the direction.
type chunk struct {
	due  time.Time
	data []byte
}

// forward copies one direction. The end of the stream is subject to the same
// faults as the data, so that a silent connection does not reveal that its peer
// has closed.
func (pair *pair) forward(direction Direction, from, to net.Conn) {
	chunks := make(chan chunk, maxChunks)
	var reading conc.WaitGroup
	reading.Go(func() {
		defer close(chunks)
		pair.read(direction, from, chunks)
	})
	pair.write(direction, to, chunks)
	reading.Wait()
}

func (pair *pair) read(direction Direction, from net.Conn, chunks chan<- chunk) {
	for {
		buffer := make([]byte, chunkSize)
		count, err := from.Read(buffer)
		select {
		case chunks <- chunk{due: time.Now().Add(pair.proxy.delay(direction)), data: buffer[:count]}:
		case <-pair.ended:
			return
		}
		if err != nil {
			return
		}
	}
}

func (pair *pair) write(direction Direction, to net.Conn, chunks <-chan chunk) {
	gate := pair.gates[direction]
	for next := range chunks {
		if !pair.sleep(time.Until(next.due)) || !gate.wait(pair.ended) {
			return
		}
		if len(next.data) == 0 {
			break
		}
		if _, err := to.Write(next.data); err != nil {
			break
		}
	}
	// Both connections are closed, since the processes of this project never
	// half-close one.
	pair.close()
}

func (pair *pair) sleep(delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-pair.ended:
		return false
	}
}

// gate blocks the traffic of one direction while it is closed.
type gate struct {
	// mu guards the fields below.
	mu sync.Mutex
	// opened is a closed channel while traffic may pass.
	opened chan struct{}
	closed bool
}

func newGate() *gate {
	gate := &gate{opened: make(chan struct{})}
	close(gate.opened)
	return gate
}

func (gate *gate) close() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if !gate.closed {
		gate.closed, gate.opened = true, make(chan struct{})
	}
}

func (gate *gate) open() {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.closed {
		gate.closed = false
		close(gate.opened)
	}
}

// wait blocks until the gate is open. It reports false if the pair ends first.
func (gate *gate) wait(ended <-chan struct{}) bool {
	for {
		gate.mu.Lock()
		opened, closed := gate.opened, gate.closed
		gate.mu.Unlock()
		if !closed {
			return true
		}
		select {
		case <-opened:
		case <-ended:
			return false
		}
	}
}
