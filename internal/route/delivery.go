package route

import (
	"bytes"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// maxHeld bounds what is held of an answer that is not a stream of events. A
// larger one is passed on and cannot be replaced by another attempt's answer.
const maxHeld = 4 << 20

var (
	errStopped = errors.New("caller has gone")
	errLost    = errors.New("another attempt answered first")
	doneEvent  = []byte("data: [DONE]")
)

// delivery counts what the caller has, over all attempts. Of attempts that
// race, the first one with an answer owns the delivery and the other is lost.
type delivery struct {
	sink Sink

	// mu guards the fields below; it is not held while the sink takes data.
	mu     sync.Mutex
	owner  *exchange
	owned  chan struct{}
	headed bool
	events uint64
	// stream tells that the caller gets events, which another attempt can continue.
	stream bool
	// done tells that the caller has the closing event.
	done bool
}

func newDelivery(sink Sink) *delivery {
	return &delivery{sink: sink, owned: make(chan struct{})}
}

// claim makes an exchange the owner if there is none.
func (delivery *delivery) claim(by *exchange) bool {
	delivery.mu.Lock()
	defer delivery.mu.Unlock()
	if delivery.owner == nil {
		delivery.owner = by
		close(delivery.owned)
	}
	return delivery.owner == by
}

// release lets the next attempt own the delivery.
func (delivery *delivery) release(by *exchange) {
	delivery.mu.Lock()
	defer delivery.mu.Unlock()
	if delivery.owner == by {
		delivery.owner, delivery.owned = nil, make(chan struct{})
	}
}

// claimed returns a channel that is closed when an exchange owns the delivery.
func (delivery *delivery) claimed() <-chan struct{} {
	delivery.mu.Lock()
	defer delivery.mu.Unlock()
	return delivery.owned
}

func (delivery *delivery) isOwner(by *exchange) bool {
	delivery.mu.Lock()
	defer delivery.mu.Unlock()
	return delivery.owner == by
}

// progress returns the number of events that the caller has, and whether it
// has anything that another attempt could not continue.
func (delivery *delivery) progress(kind wire.Kind) (events uint64, resumable bool) {
	delivery.mu.Lock()
	defer delivery.mu.Unlock()
	return delivery.events, delivery.events == 0 || (delivery.stream && kind == wire.Kind_KIND_MODEL)
}

func (delivery *delivery) started() bool {
	delivery.mu.Lock()
	defer delivery.mu.Unlock()
	return delivery.headed
}

func (delivery *delivery) complete() bool {
	delivery.mu.Lock()
	defer delivery.mu.Unlock()
	return delivery.done
}

func (delivery *delivery) head(head *held) {
	delivery.mu.Lock()
	first := !delivery.headed
	delivery.headed, delivery.stream = true, isStream(head.contentType)
	delivery.mu.Unlock()
	if !first {
		return
	}
	if sink, ok := delivery.sink.(HeaderSink); ok {
		sink.Headers(head.headers)
	}
	delivery.sink.Head(head.status, head.contentType)
}

func (delivery *delivery) data(events [][]byte) error {
	delivery.mu.Lock()
	delivery.events += uint64(len(events))
	if delivery.stream && len(events) > 0 && bytes.HasPrefix(events[len(events)-1], doneEvent) {
		delivery.done = true
	}
	delivery.mu.Unlock()
	if err := delivery.sink.Data(events); err != nil {
		return errors.Mark(err, errStopped)
	}
	return nil
}

func isStream(contentType string) bool {
	return strings.HasPrefix(contentType, "text/event-stream")
}

// held is an answer that is kept back until its attempt ends, so that another
// attempt can replace it: a body that is not a stream, or an error.
type held struct {
	status      int
	contentType string
	headers     []*wire.Header
	pieces      [][]byte
	size        int
}

func (held *held) add(pieces [][]byte) {
	held.pieces = append(held.pieces, pieces...)
	for _, piece := range pieces {
		held.size += len(piece)
	}
}

// pass gives the answer to the caller.
func (held *held) pass(to *delivery) error {
	to.head(held)
	if len(held.pieces) == 0 {
		return nil
	}
	return to.data(held.pieces)
}
