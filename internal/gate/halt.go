package gate

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// answerMargin is the time before the connections of callers are closed in which requests
// that still run are answered.
const answerMargin = 200 * clock.Millis(1)

// errStopping is the cause of the end of requests that run when the gateway stops.
var errStopping = errors.New("the gateway stops")

// durationKey is what requests have in common that take about the same time.
type durationKey struct {
	service string
	kind    plan.Kind
}

func durationKeyOf(call *call) durationKey {
	return durationKey{service: call.service.Name, kind: call.route.Kind}
}

// isGone reports whether a request ended because its caller disconnected.
func isGone(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), errStopping)
}

// baseContext is the parent of the contexts of all requests.
func (gateway *Gateway) baseContext(net.Listener) context.Context { return gateway.running }

// endRequests ends the requests that still run after a time. They are answered, where
// closing their connections would leave their callers without an answer. It returns the
// function that stops the timer.
func (gateway *Gateway) endRequests(after clock.Millis) func() bool {
	gateway.endsAt.Store(int64(gateway.clock.Now() + after))
	return time.AfterFunc(after.Duration(), func() { gateway.endRunning(errStopping) }).Stop
}

// checkStopping refuses a request whose answer is not expected before the gateway ends.
func (gateway *Gateway) checkStopping(call *call) *refusal {
	endsAt := clock.Millis(gateway.endsAt.Load())
	if endsAt == 0 {
		return nil
	}
	now := gateway.clock.Now()
	gateway.mu.Lock()
	durations := gateway.durations[durationKeyOf(call)]
	gateway.mu.Unlock()
	if durations.Fits(now, endsAt-now) {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: errStopping.Error(), retryAfter: gateway.jitter(busyRetryAfter),
		logFields: []any{"left", endsAt - now, "longest", durations.Longest(now)},
	}
}

// recordAnswer records how long the answer to a complete request took.
func (gateway *Gateway) recordAnswer(call *call) {
	now := gateway.clock.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	key := durationKeyOf(call)
	gateway.durations[key] = gateway.durations[key].With(now, now-call.complete)
}
