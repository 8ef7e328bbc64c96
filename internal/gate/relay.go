package gate

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/stream"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// pieceSize holds several events; it is what one read takes at most, in bytes.
const pieceSize = 8 << 10

// relayed is what the caller has of a stream.
type relayed struct {
	events  stream.Splitter
	control *http.ResponseController
	// began is when the caller got the first event.
	began clock.Millis
	// last is when the caller got the last events, gap the longest pause so far.
	last, gap clock.Millis
}

// relay passes a stream's whole events on as they come. An event that broke off
// is dropped, so that another endpoint can go on after the last whole one.
func (on *journey) relay(ctx context.Context, endpoint roster.Record, response *http.Response) (result, bool, error) {
	events := stream.Splitter{}
	if on.stream != nil {
		events = on.stream.events.Next()
	}
	buffer := make([]byte, pieceSize)
	begun := false
	for {
		size, err := response.Body.Read(buffer)
		if whole := events.Events(buffer[:size]); len(whole) > 0 {
			if !begun {
				begun = true
				on.gateway.beginStream(endpoint.Group.Name)
				defer on.gateway.endStream(endpoint.Group.Name)
			}
			on.gateway.resume(endpoint.Group)
			on.open(response)
			on.stream.events = events
			if failure := on.write(whole); failure != nil {
				return callerGone, false, failure
			}
		}
		switch {
		case errors.Is(err, io.EOF) && !events.Partial():
			return on.complete(response), true, nil
		case err != nil:
			return unknown, false, errors.Wrap(err, "stream broke off")
		case ctx.Err() != nil:
			return callerGone, false, ctx.Err()
		}
	}
}

// complete ends the stream that the caller gets.
func (on *journey) complete(response *http.Response) result {
	on.open(response)
	on.gateway.lasted(on.service.Name, on.gateway.clock.Now()-on.stream.began)
	on.logAnswered(response.StatusCode)
	return delivered
}

// open sends the head of the first endpoint's answer, once.
func (on *journey) open(response *http.Response) {
	if on.stream != nil {
		return
	}
	now := on.gateway.clock.Now()
	on.stream = &relayed{control: http.NewResponseController(on.w), began: now, last: now}
	on.gateway.first.Record(kindNames[on.route.Kind], int64(now-on.arrived))
	copyHeader(on.w.Header(), response.Header)
	on.w.WriteHeader(response.StatusCode)
}

func (on *journey) write(events []byte) error {
	now := on.gateway.clock.Now()
	pause := now - on.stream.last
	on.stream.gap, on.stream.last = max(on.stream.gap, pause), now
	on.paused(pause)
	if _, err := on.w.Write(events); err != nil {
		return err
	}
	return on.stream.control.Flush()
}
