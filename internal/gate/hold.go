package gate

import (
	"context"
	"net/http"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/outage"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// holdPollInterval is the time between checks of the condition a request waits for.
	holdPollInterval = 50 * clock.Millis(1)
	// maxWaiting is the maximum number of requests that wait in a gateway. Each takes
	// about 20 KB with its body and connection.
	maxWaiting = 512
)

// isStarting reports whether the process has not been ready yet.
func (gateway *Gateway) isStarting() bool {
	if gateway.started.Load() {
		return false
	}
	if gateway.plan.Load() == nil || gateway.plan.Load().HasCustomers() && !gateway.confirmed(gateway.plan.Load()) {
		return true
	}
	gateway.started.Store(true)
	return false
}

// awaitStart holds a request until the configuration is confirmed or the wait
// limit has passed.
func (gateway *Gateway) awaitStart(ctx context.Context, call *call) {
	limit := outage.StartWait(gateway.settings.Gateway.StartWait, call.callerWait())
	gateway.waitUntil(ctx, call, "no configuration yet", limit, func() bool { return !gateway.isStarting() })
}

// waitUntil holds a request until isDone returns true, and reports whether it did
// within the limit. It does not call isDone again after that, because a true result
// may be the permit for a single request.
func (gateway *Gateway) waitUntil(ctx context.Context, call *call, reason string, limit clock.Millis, isDone func() bool) bool {
	if gateway.waiting.Add(1) > maxWaiting {
		limit = 0
	}
	defer gateway.waiting.Add(-1)
	began := gateway.clock.Now()
	done := isDone()
	for !done && ctx.Err() == nil && gateway.clock.Now()-began < limit {
		// The loop condition handles the end of the context.
		_ = gateway.clock.Sleep(ctx, holdPollInterval)
		done = isDone()
	}
	gateway.log.Write(event.RequestHeld, "id", call.task.ID, "reason", reason, "limit", limit, "took", gateway.clock.Now()-began, "over", done)
	if isGone(ctx) {
		gateway.log.Write(event.RequestEnded, "id", call.task.ID, "outcome", "callerGone", "took", gateway.clock.Now()-call.arrived)
		panic(http.ErrAbortHandler)
	}
	return done
}

// isCallerRetry reports whether the caller has probably been refused before, judged
// by the time that it has left.
func (forwarder *forwarder) isCallerRetry() bool {
	return outage.HasReturned(forwarder.callerWait(), forwarder.callerWait()+forwarder.used)
}

// awaitGroup holds the request until the group may work again, and reports whether it
// may be sent. Otherwise the caller must be refused and retry later.
func (forwarder *forwarder) awaitGroup(ctx context.Context, group roster.Group) bool {
	gateway := forwarder.gateway
	limit := outage.StallWait(gateway.stallAge(group.Name), forwarder.callerWait(), forwarder.callerWait()+forwarder.used, forwarder.route.Objective)
	left := limit - (gateway.clock.Now() - forwarder.arrived)
	if left <= 0 || forwarder.stream != nil {
		return false
	}
	return gateway.waitUntil(ctx, forwarder.call, "the group of ranks is stalled", left, func() bool {
		return !gateway.mustNotSend(gateway.poller.Group(forwarder.service.Name, group), true)
	})
}
