package route

import (
	"bytes"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// maxBuffered bounds the buffered part, in bytes, of an answer that is not a
// stream of events. A larger answer is sent to the caller before its attempt
// ends, so another attempt's answer can no longer replace it.
const maxBuffered = 4 << 20

var (
	errCallerGone = errors.New("caller has gone")
	errLostRace   = errors.New("another attempt answered first")
	doneEvent     = []byte("data: [DONE]")
)

// delivery tracks what the caller has received, over all attempts. Of two
// concurrent attempts the first one with an answer owns the delivery, and the
// other one ends with errLostRace.
type delivery struct {
	sink Sink

	// mu guards the fields below; it is not held during calls to the sink.
	mu    sync.Mutex
	owner *exchange
	// owned is closed when the delivery has an owner.
	owned    chan struct{}
	headSent bool
	events   uint64
	// stream is set when the answer is a stream of events, which another
	// attempt can continue.
	stream bool
	// done is set when the stream's closing event was sent to the caller.
	done bool
}

func newDelivery(sink Sink) *delivery {
	return &delivery{sink: sink, owned: make(chan struct{})}
}

// claim makes an exchange the owner if there is none, and reports whether the
// exchange is the owner.
func (delivery *delivery) claim(claimant *exchange) bool {
	delivery.mu.Lock()
	defer delivery.mu.Unlock()
	if delivery.owner == nil {
		delivery.owner = claimant
		close(delivery.owned)
	}
	return delivery.owner == claimant
}

// release ends an exchange's ownership, so that the next attempt can claim
// the delivery.
func (delivery *delivery) release(owner *exchange) {
	delivery.mu.Lock()
	defer delivery.mu.Unlock()
	if delivery.owner == owner {
		delivery.owner, delivery.owned = nil, make(chan struct{})
	}
}

// claimed returns a channel that is closed when an exchange owns the delivery.
func (delivery *delivery) claimed() <-chan struct{} {
	delivery.mu.Lock()
	defer delivery.mu.Unlock()
	return delivery.owned
}

func (delivery *delivery) isOwner(exchange *exchange) bool {
	delivery.mu.Lock()
	defer delivery.mu.Unlock()
	return delivery.owner == exchange
}

// progress returns the number of events that the caller has, and whether
// another attempt can continue the answer from there.
func (delivery *delivery) progress(kind wire.Kind) (events uint64, resumable bool) {
	delivery.mu.Lock()
	defer delivery.mu.Unlock()
	return delivery.events, delivery.events == 0 || (delivery.stream && kind == wire.Kind_KIND_MODEL)
}

// started reports whether the head of the answer was sent to the caller.
func (delivery *delivery) started() bool {
	delivery.mu.Lock()
	defer delivery.mu.Unlock()
	return delivery.headSent
}

// complete reports whether the stream's closing event was sent to the caller.
func (delivery *delivery) complete() bool {
	delivery.mu.Lock()
	defer delivery.mu.Unlock()
	return delivery.done
}

// head sends the status and headers to the caller. Later calls are ignored, so
// that an attempt can continue the stream of an earlier one.
func (delivery *delivery) head(head *bufferedAnswer) {
	delivery.mu.Lock()
	first := !delivery.headSent
	delivery.headSent, delivery.stream = true, isStream(head.contentType)
	delivery.mu.Unlock()
	if !first {
		return
	}
	if sink, ok := delivery.sink.(HeaderSink); ok {
		sink.Headers(head.headers)
	}
	delivery.sink.Head(head.status, head.contentType)
}

// data sends events to the caller and counts them.
func (delivery *delivery) data(events [][]byte) error {
	delivery.mu.Lock()
	delivery.events += uint64(len(events))
	if delivery.stream && len(events) > 0 && bytes.HasPrefix(events[len(events)-1], doneEvent) {
		delivery.done = true
	}
	delivery.mu.Unlock()
	if err := delivery.sink.Data(events); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	return nil
}

func isStream(contentType string) bool {
	return strings.HasPrefix(contentType, "text/event-stream")
}

// bufferedAnswer is an answer that is buffered until its attempt ends, so that
// another attempt's answer can replace it: a body that is not a stream, or an
// error.
type bufferedAnswer struct {
	status      int
	contentType string
	headers     []*wire.Header
	chunks      [][]byte
	size        int
}

func (answer *bufferedAnswer) add(chunks [][]byte) {
	answer.chunks = append(answer.chunks, chunks...)
	for _, chunk := range chunks {
		answer.size += len(chunk)
	}
}

// deliver sends the answer to the caller.
func (answer *bufferedAnswer) deliver(to *delivery) error {
	to.head(answer)
	if len(answer.chunks) == 0 {
		return nil
	}
	return to.data(answer.chunks)
}
