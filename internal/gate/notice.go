package gate

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/notice"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/task"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// errClosed is the error of attempts at an endpoint that leaves or has asked for a pause
// since it was chosen. It is no failure of the endpoint.
var errClosed = errors.New("the endpoint leaves or asks for a pause")

// observe records what an endpoint stated of its readiness in an answer.
func (gateway *Gateway) observe(endpoint roster.Record, status int, facts task.Answer) {
	if status == http.StatusMisdirectedRequest {
		// Another endpoint at the address has answered.
		return
	}
	pause := facts.Pause
	if status != http.StatusServiceUnavailable || !facts.NotRun {
		pause = 0
	}
	gateway.board.Noticed(endpointKey(endpoint), facts.Leaving, pause)
}

// mayGet returns an error if an endpoint must get no request from this gateway.
func (gateway *Gateway) mayGet(endpoint roster.Record) error {
	if gateway.isEvacuated(endpoint) {
		return errEvacuated
	}
	if gateway.board.Notice(endpointKey(endpoint)).Closed() {
		return errClosed
	}
	return nil
}

// withoutClosed returns the endpoints that may get requests from this gateway. If there
// are none, it returns the earliest end of the pauses that they ask for; 0 for none.
func withoutClosed(records []roster.Record, notices notice.Table, now clock.Millis) (open []roster.Record, pauseEnd clock.Millis) {
	for _, record := range records {
		state := notices.State(endpointKey(record), now)
		switch {
		case !state.Closed():
			open = append(open, record)
		case !state.Leaving && (pauseEnd == 0 || state.OwnPause < pauseEnd):
			pauseEnd = state.OwnPause
		}
	}
	if len(open) > 0 {
		pauseEnd = 0
	}
	return open, pauseEnd
}

// pauseWait returns the time until the first pause ends if all endpoints of the service
// ask for one, or 0.
func (forwarder *forwarder) pauseWait() clock.Millis {
	gateway := forwarder.gateway
	now := gateway.clock.Now()
	_, end := withoutClosed(gateway.poller.Endpoints(forwarder.service.Name), gateway.board.Notices(), now)
	return max(end-now, 0)
}

// endUnchosen ends a request for which there is no endpoint.
func (forwarder *forwarder) endUnchosen(ctx context.Context) {
	gateway, reason := forwarder.gateway, forwarder.unusableReason()
	if wait := forwarder.pauseWait(); wait > 0 {
		reason = "all endpoints ask for a pause"
		gateway.pauseEnded.Add(1)
		gateway.log.Write(event.RequestPaused, "id", forwarder.task.ID, "runs", forwarder.runs, "wait", wait)
	}
	forwarder.end(ctx, reason)
}

// noticed counts the starts of endpoints by what was noticed of them.
func (gateway *Gateway) noticed() map[string]int {
	counts := map[string]int{"leaving": 0, "pausing": 0, "pausingElsewhere": 0, "slow": 0}
	for _, state := range gateway.board.Notices().States(gateway.clock.Now()) {
		if state.Leaving {
			counts["leaving"]++
		}
		if state.OwnPause > 0 {
			counts["pausing"]++
		}
		if state.ToldPause > 0 {
			counts["pausingElsewhere"]++
		}
		if state.Pace > 0 {
			counts["slow"]++
		}
	}
	return counts
}
