package gate

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/guard"
)

const (
	// minHeldBuffer is the size, in bytes, of the first buffer of a body. It fits most
	// bodies.
	minHeldBuffer = 4 << 10
	// growthFactor is the factor by which the buffer of a body grows.
	growthFactor = 2
)

// errHeld is the error of a body that does not fit into the bytes that the gateway may
// hold.
var errHeld = errors.New("the gateway holds too many bytes")

// readHeld reads a body of at most limit bytes to its end, or returns the first limit
// bytes of a longer one. Its buffers count as bytes held, from before they are allocated
// until the request ends or giveBack is called. If one would exceed the bound, readHeld
// returns what was read so far and errHeld. After any other error nothing is held.
func (call *call) readHeld(gateway *Gateway, source io.Reader, limit int) ([]byte, error) {
	var body []byte
	for len(body) < limit {
		if len(body) == cap(body) {
			size := min(max(cap(body)*growthFactor, minHeldBuffer), limit)
			if !call.take(gateway, size) {
				return body, errHeld
			}
			// Both buffers are in memory until the old one has been copied.
			grown := make([]byte, len(body), size)
			copy(grown, body)
			call.giveBack(gateway, body)
			body = grown
		}
		size, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+size]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			call.giveBack(gateway, body)
			return nil, err
		}
	}
	return body, nil
}

// holder returns the account that counts what the request holds.
func (call *call) holder(gateway *Gateway) *guard.Account {
	if call.account == nil {
		return gateway.unguarded
	}
	return call.account
}

func (call *call) take(gateway *Gateway, size int) bool {
	if !call.holder(gateway).Take(int64(size)) {
		return false
	}
	call.held += int64(size)
	return true
}

// giveBack ends the count of a buffer of readHeld that is no longer used.
func (call *call) giveBack(gateway *Gateway, body []byte) {
	call.holder(gateway).Give(int64(cap(body)))
	call.held -= int64(cap(body))
}

// release ends the count of all buffers of a request.
func (call *call) release(gateway *Gateway) {
	call.holder(gateway).Give(call.held)
	call.held = 0
}
