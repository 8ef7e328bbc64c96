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

// readBufferSize is the maximum size of one read, in bytes; it fits several events.
const readBufferSize = 8 << 10

// relayState is the part of a stream that was sent to the caller.
type relayState struct {
	events  stream.Splitter
	control *http.ResponseController
	// began is the time of the first event sent to the caller.
	began clock.Millis
	// lastEvent is the time of the latest events sent to the caller, longestPause the
	// longest pause between events so far.
	lastEvent, longestPause clock.Millis
}

// relay forwards a stream's complete events as they arrive. A truncated event is
// dropped, so that another endpoint can resume after the last complete one.
func (forwarder *forwarder) relay(ctx context.Context, endpoint roster.Record, response *http.Response) (result, bool, error) {
	events := stream.Splitter{}
	if forwarder.stream != nil {
		events = forwarder.stream.events.Next()
	}
	buffer := make([]byte, readBufferSize)
	isCounted := false
	for {
		size, err := response.Body.Read(buffer)
		if complete := events.Events(buffer[:size]); len(complete) > 0 {
			if !isCounted {
				isCounted = true
				forwarder.recordBegun()
				forwarder.started(endpoint.ID)
				forwarder.gateway.beginStream(endpoint.Group.Name)
				defer forwarder.gateway.endStream(endpoint.Group.Name)
			}
			forwarder.recordSurvival()
			forwarder.gateway.clearStall(endpoint.Group)
			forwarder.open(response)
			forwarder.stream.events = events
			if failure := forwarder.write(complete); failure != nil {
				return callerGone, false, failure
			}
		}
		switch {
		case events.TooLong():
			return unknown, false, errors.Newf("an event of the stream is longer than %d bytes", stream.MaxEventBytes)
		case errors.Is(err, io.EOF) && !events.Partial():
			return forwarder.complete(response), true, nil
		case err != nil:
			return unknown, false, errors.Wrap(err, "read event stream")
		case ctx.Err() != nil:
			return callerGone, false, ctx.Err()
		}
	}
}

// complete records the end of a stream that was sent to the caller.
func (forwarder *forwarder) complete(response *http.Response) result {
	forwarder.open(response)
	forwarder.recordCompleted()
	forwarder.gateway.recordDuration(forwarder.service.Name, forwarder.gateway.clock.Now()-forwarder.stream.began)
	forwarder.logAnswered(response.StatusCode)
	return delivered
}

// open sends the response header of the first endpoint to the caller, once.
func (forwarder *forwarder) open(response *http.Response) {
	if forwarder.stream != nil {
		return
	}
	now := forwarder.gateway.clock.Now()
	forwarder.stream = &relayState{control: http.NewResponseController(forwarder.w), began: now, lastEvent: now}
	forwarder.gateway.firstByte.Record(kindNames[forwarder.route.Kind], int64(now-forwarder.arrived))
	copyHeader(forwarder.w.Header(), response.Header)
	forwarder.w.WriteHeader(response.StatusCode)
}

func (forwarder *forwarder) write(events []byte) error {
	now := forwarder.gateway.clock.Now()
	pause := now - forwarder.stream.lastEvent
	forwarder.stream.longestPause, forwarder.stream.lastEvent = max(forwarder.stream.longestPause, pause), now
	if _, err := forwarder.w.Write(events); err != nil {
		return err
	}
	return forwarder.stream.control.Flush()
}
