package gate

import (
	"context"
	"net/http"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/wait"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// permitTimeout bounds the wait for the control leader's answer.
	permitTimeout = 200 * clock.Millis(1)
	// permitLifetime is how long a permit may be used after it was asked for. It ends for
	// a process that was suspended meanwhile.
	permitLifetime = 500 * clock.Millis(1)
	// leaderRetryTime is the time for which a gateway uses its own share after the leader
	// did not answer.
	leaderRetryTime = clock.Second
)

// endpointKey identifies one start of an endpoint.
func endpointKey(record roster.Record) quota.Endpoint {
	return quota.Endpoint{ID: record.ID, Incarnation: uint64(record.Born)}
}

// permit is the answer to a request for a permit.
type permit struct {
	// endpoint may get the request; empty for none.
	endpoint string
	// wait is the time until an endpoint may get one.
	wait clock.Millis
	// share is what decided: leader or own.
	share string
}

// permit obtains a permit if the chosen endpoint names a limit or is cold. Without one,
// it lets the request choose another endpoint, or ends it when all others need permits
// too.
func (forwarder *forwarder) permit(ctx context.Context, chosen roster.Record) (roster.Record, admission) {
	gateway := forwarder.gateway
	limits := gateway.limitsOf(forwarder.service, chosen)
	if len(limits) == 0 {
		return chosen, admitted
	}
	all, hasUnlimited := limits, false
	for _, record := range forwarder.usable {
		others := gateway.limitsOf(forwarder.service, record)
		switch {
		case len(others) == 0:
			hasUnlimited = true
		case record.ID != chosen.ID:
			all = append(all, others...)
		}
	}
	if !hasUnlimited {
		limits = all
	}
	asked := gateway.clock.Now()
	got := gateway.askPermit(ctx, limits, forwarder.urgency <= wait.MostUrgent)
	at := slices.IndexFunc(forwarder.usable, func(record roster.Record) bool { return record.ID == got.endpoint })
	if at >= 0 {
		forwarder.usePermit(got.endpoint, limits, asked)
		return forwarder.usable[at], admitted
	}
	for _, denied := range limits {
		forwarder.overLimit[denied.Endpoint.ID] = true
	}
	gateway.countDenied(limits, hasUnlimited)
	if hasUnlimited {
		return chosen, chooseAgain
	}
	forwarder.endOverLimit(ctx, limits[0], got)
	return chosen, ended
}

// usePermit records a permit that was asked for at the given time.
func (forwarder *forwarder) usePermit(endpoint string, limits []quota.Limit, asked clock.Millis) {
	forwarder.permittedAt, forwarder.coldUntil = asked, 0
	if slices.ContainsFunc(limits, func(limit quota.Limit) bool { return limit.Cold && limit.Endpoint.ID == endpoint }) {
		forwarder.coldUntil = asked + quota.ColdPermitLifetime
	}
}

// permitAgain obtains a permit for sending the request to an endpoint once more, if it
// needs one. The first permit was used: the endpoint may have got the request.
func (forwarder *forwarder) permitAgain(ctx context.Context, endpoint roster.Record) bool {
	gateway := forwarder.gateway
	limits := gateway.limitsOf(forwarder.service, endpoint)
	if len(limits) == 0 {
		return true
	}
	asked := gateway.clock.Now()
	got := gateway.askPermit(ctx, limits, forwarder.urgency <= wait.MostUrgent)
	if got.endpoint != endpoint.ID {
		gateway.countDenied(limits, true)
		return false
	}
	forwarder.usePermit(got.endpoint, limits, asked)
	return true
}

// endOverLimit ends a request when all endpoints are at the limits that they name.
func (forwarder *forwarder) endOverLimit(ctx context.Context, limit quota.Limit, denied permit) {
	gateway := forwarder.gateway
	reason := "endpoints are at the limits that they name"
	if limit.Cold {
		reason = "endpoints are cold and at their limits"
	}
	fields := []any{
		"endpoint", limit.Endpoint.ID, "limit", limit.Rate, "limitAge", gateway.clock.Now() - limit.At, "share", denied.share,
		"gateways", gateway.poller.Gateways(), "wait", denied.wait,
	}
	if forwarder.runs+forwarder.notRunAttempts > 0 || forwarder.mayHaveRun || forwarder.stream != nil {
		gateway.log.Write(event.RequestOverLimit, append([]any{"id", forwarder.task.ID, "runs", forwarder.runs}, fields...)...)
		forwarder.end(ctx, reason)
		return
	}
	gateway.refuse(forwarder.w, forwarder.call, refusal{
		status: http.StatusServiceUnavailable, reason: reason, retryAfter: gateway.jitter(max(denied.wait, busyRetryAfter)), logFields: fields,
	})
}

// askPermit asks the control leader for a permit for one of several endpoints. While it
// does not answer, the gateway's own share decides.
func (gateway *Gateway) askPermit(ctx context.Context, limits []quota.Limit, isUrgent bool) permit {
	now, leader := gateway.clock.Now(), gateway.poller.Leader()
	gateway.mu.Lock()
	isLeaderLost := gateway.leaderLostAt > 0 && now-gateway.leaderLostAt < leaderRetryTime
	gateway.mu.Unlock()
	if leader != "" && !isLeaderLost {
		request := &wire.PermitRequest{Urgent: isUrgent}
		for _, limit := range limits {
			request.Limits = append(request.Limits, limit.Message(now))
		}
		ctx, cancel := context.WithTimeout(ctx, permitTimeout.Duration())
		reply, err := wire.NewDRPCFleetClient(gateway.links.Conn(ctx, leader)).Permit(ctx, request)
		cancel()
		if err == nil && reply.GetDecided() {
			return permit{endpoint: reply.GetEndpoint(), wait: clock.Millis(reply.GetWait()), share: "leader"}
		}
		gateway.log.Write(event.PermitFailed, "leader", leader, "error", err)
		gateway.mu.Lock()
		gateway.leaderLostAt = now
		gateway.mu.Unlock()
	}
	gateways := gateway.poller.Gateways()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	endpoint, wait := quota.First(limits, func(group []quota.Limit) (bool, clock.Millis) {
		return gateway.share.TakeAll(group, gateways, now), gateway.share.Wait(group, gateways, now)
	})
	return permit{endpoint: endpoint, wait: wait, share: "own"}
}
