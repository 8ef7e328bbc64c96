package gate

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/hold"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// holdPoll is the time between looks for what a held request waits for.
	holdPoll = 50 * clock.Millis(1)
	// mostHeld bounds the requests that wait at a gateway. With bodies and
	// connections they take about 20 KB each.
	mostHeld = 512
)

// isStarting tells whether the process has not been ready yet.
func (gateway *Gateway) isStarting() bool {
	if gateway.started.Load() {
		return false
	}
	if gateway.plan.Load() == nil || gateway.plan.Load().HasCustomers() && !gateway.confirmed() {
		return true
	}
	gateway.started.Store(true)
	return false
}

// awaitStart holds a request until the configuration is confirmed or the
// caller is better told to return.
func (gateway *Gateway) awaitStart(ctx context.Context, asked *call) {
	limit := hold.StartWait(gateway.settings.Gateway.StartWait, asked.patience())
	gateway.hold(ctx, asked, "no configuration yet", limit, func() bool { return !gateway.isStarting() })
}

// hold waits until something is over, and tells whether it is. It does not ask
// again once it was told so, because the answer may be a permit for one.
func (gateway *Gateway) hold(ctx context.Context, asked *call, reason string, limit clock.Millis, isOver func() bool) bool {
	if gateway.held.Add(1) > mostHeld {
		limit = 0
	}
	defer gateway.held.Add(-1)
	began := gateway.clock.Now()
	over := isOver()
	for !over && ctx.Err() == nil && gateway.clock.Now()-began < limit {
		// An end of the context ends the loop.
		_ = gateway.clock.Sleep(ctx, holdPoll)
		over = isOver()
	}
	gateway.log.Write(event.RequestHeld, "id", asked.task.ID, "reason", reason, "limit", limit, "took", gateway.clock.Now()-began, "over", over)
	if errors.Is(ctx.Err(), context.Canceled) {
		gateway.log.Write(event.RequestEnded, "id", asked.task.ID, "outcome", "callerGone", "took", gateway.clock.Now()-asked.arrived)
		panic(http.ErrAbortHandler)
	}
	return over
}

// returned tells whether the caller has been refused before.
func (on *journey) returned() bool { return hold.HasReturned(on.patience(), on.route.Timeout) }

// awaitGroup holds the request until the group may be back. It returns false
// when the caller is to be told to return.
func (on *journey) awaitGroup(ctx context.Context, group roster.Group) bool {
	gateway := on.gateway
	limit := hold.StallWait(gateway.stallAge(group.Name), on.patience(), on.route.Timeout, on.route.Objective)
	left := limit - (gateway.clock.Now() - on.arrived)
	if left <= 0 || on.stream != nil {
		return false
	}
	return gateway.hold(ctx, on.call, "the group of ranks is stalled", left, func() bool {
		return !gateway.isStalled(gateway.poller.Group(on.service.Name, group), true)
	})
}
