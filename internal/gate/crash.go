package gate

import (
	"context"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// suspicionWait is how long a request waits until it is known whether it may crash
	// endpoints. It covers two exchanges of evidence, or a probe.
	suspicionWait = 1500 * clock.Millis(1)
	// probeAskInterval is the minimum time between requests to the control leader for a
	// probe, and probeAskTimeout bounds each.
	probeAskInterval = 150 * clock.Millis(1)
	probeAskTimeout  = 300 * clock.Millis(1)
	// maxZoneChecks is the maximum number of endpoints that are asked whether a zone can
	// be reached.
	maxZoneChecks = 2
	// restartTime is the time within which an endpoint that crashed is back. A restart
	// later than that does not show that a connection broke because of a crash.
	restartTime = 15 * clock.Second
	// aliveAfter is the time after a crash from which on a heartbeat cannot have been
	// sent before it. Heartbeats may be delayed by seconds.
	aliveAfter = 5 * clock.Second
)

// identity returns what identifies the request as the cause of a crash. The last part
// of a prompt belongs to the request or its session alone.
func (forwarder *forwarder) identity() crash.Request {
	if forwarder.crashRequest != nil {
		return *forwarder.crashRequest
	}
	task := forwarder.task
	made := crash.Request{Fingerprint: crash.Fingerprint(forwarder.customer, task.Method, task.Target, task.Body)}
	for _, part := range task.Prompt[:max(len(task.Prompt)-1, 0)] {
		made.Parts = append(made.Parts, xxhash.Sum64String(part.ID))
	}
	forwarder.crashRequest = &made
	return made
}

// recordBegun records that the current attempt returned the first part of its answer.
func (forwarder *forwarder) recordBegun() {
	forwarder.begun, forwarder.begunAt = true, forwarder.gateway.clock.Now()
	if forwarder.hasEvidence() {
		forwarder.gateway.board.Begun(forwarder.identity())
	}
}

// recordSurvival records once that the answer of the current attempt has gone on for long
// enough to exonerate the parts of the prompt.
func (forwarder *forwarder) recordSurvival() {
	if forwarder.survived || forwarder.gateway.clock.Now()-forwarder.begunAt < crash.SurvivalTime {
		return
	}
	forwarder.survived = true
	if forwarder.hasEvidence() {
		forwarder.gateway.board.Survived(forwarder.identity())
	}
}

// recordCompleted records that the request was answered completely.
func (forwarder *forwarder) recordCompleted() {
	if forwarder.hasEvidence() {
		forwarder.gateway.board.Completed(forwarder.identity())
	}
}

// hasEvidence reports whether the request's answer may speak for it or its prompt parts.
func (forwarder *forwarder) hasEvidence() bool {
	return len(forwarder.task.Prompt) > 1 || !forwarder.gateway.board.Idle()
}

// isSuspect reports whether the request may have crashed the endpoint of an attempt that has
// just ended.
func (forwarder *forwarder) isSuspect(ended result) bool {
	if ended == notSent {
		return forwarder.brokeStale
	}
	return ended == unknown && (!forwarder.begun || forwarder.gateway.clock.Now()-forwarder.begunAt < crash.SuspectTime)
}

// hasCrashed reports whether nothing listens at an endpoint's address.
func (gateway *Gateway) hasCrashed(ctx context.Context, service string, endpoint roster.Record) bool {
	var others []roster.Record
	if endpoint.Zone != gateway.settings.Node.Zone {
		others = slices.DeleteFunc(gateway.poller.Endpoints(service), func(other roster.Record) bool {
			return other.Zone != endpoint.Zone || other.ID == endpoint.ID
		})
	}
	return refusesAlone(endpoint, others, endpoint.Zone == gateway.settings.Node.Zone, func(record roster.Record) error {
		return gateway.conns.Reach(ctx, record.Address)
	})
}

// refusesAlone reports whether an endpoint refuses connections for a reason of its own.
// A partition may refuse connections to all endpoints of another zone, so one of the
// others there must accept a connection. The partition may end between the two
// attempts, so the endpoint must refuse one again after that.
func refusesAlone(endpoint roster.Record, others []roster.Record, isOwnZone bool, reach func(roster.Record) error) bool {
	refuses := func() bool { return errors.Is(reach(endpoint), unix.ECONNREFUSED) }
	if !refuses() {
		return false
	}
	if isOwnZone {
		return true
	}
	for _, other := range others[:min(len(others), maxZoneChecks)] {
		if reach(other) == nil {
			return refuses()
		}
	}
	return false
}

// reportBreak reports the request as a suspect after its connection to an endpoint
// broke. An endpoint may be silent without having crashed. A stream that has begun goes on
// elsewhere meanwhile: finding out may take the time of several connections.
func (forwarder *forwarder) reportBreak(ctx context.Context, endpoint roster.Record) {
	gateway := forwarder.gateway
	record := crash.Crash{Endpoint: endpoint.ID, Incarnation: uint64(endpoint.Born), At: gateway.clock.Now(), Suspects: []crash.Suspect{{
		Request: forwarder.identity(), RequestID: forwarder.task.ID, Customer: forwarder.customer, Begun: forwarder.begun,
	}}}
	report := func(ctx context.Context) {
		if gateway.hasCrashed(ctx, forwarder.service.Name, endpoint) {
			gateway.board.Step(crash.Crashed{Crash: record})
			return
		}
		gateway.board.Step(crash.Silent{Crash: record})
	}
	if forwarder.begun {
		gateway.loops.Go(func() { report(gateway.running) })
		return
	}
	report(ctx)
}

// decide returns how the request may run as far as crashes of endpoints are concerned.
func (forwarder *forwarder) decide() crash.Decision {
	if forwarder.gateway.board.Idle() {
		return crash.Decision{}
	}
	return forwarder.gateway.board.Decide(forwarder.identity())
}

// mayRun reports whether the request may be sent as far as crashes of endpoints are
// concerned. It waits for the reports of other gateways and for the result of probes.
func (forwarder *forwarder) mayRun(ctx context.Context) (crash.Decision, bool) {
	gateway := forwarder.gateway
	decision, granted := forwarder.decide(), false
	if treatment := decision.Treatment; treatment != crash.Wait && treatment != crash.Probe {
		return decision, treatment != crash.Block
	}
	gateway.waitUntil(ctx, forwarder.call, "the request may crash endpoints", min(suspicionWait, forwarder.remaining()), func() bool {
		decision = forwarder.decide()
		granted = decision.Treatment == crash.Probe && gateway.askProbe(ctx, forwarder.identity())
		return granted || decision.Treatment != crash.Probe && decision.Treatment != crash.Wait
	})
	return decision, granted || decision.Treatment == crash.Normal || decision.Treatment == crash.Quarantine
}

// isBlocked reports whether the request is blocked for crashing endpoints.
func (forwarder *forwarder) isBlocked() (crash.Decision, bool) {
	decision := forwarder.decide()
	return decision, decision.Treatment == crash.Block
}

// endSuspected ends a request that may crash endpoints.
func (forwarder *forwarder) endSuspected(ctx context.Context, decision crash.Decision) {
	gateway := forwarder.gateway
	now := gateway.clock.Now()
	part := ""
	for _, candidate := range forwarder.task.Prompt {
		if decision.Part != 0 && xxhash.Sum64String(candidate.ID) == decision.Part {
			part = candidate.ID
		}
	}
	fields := []any{"part", part, "crashes", decision.Crashes, "crashAge", now - decision.Latest, "heldFor", decision.Until - now}
	gateway.log.Write(event.RequestSuspected, append([]any{"id", forwarder.task.ID, "runs", forwarder.runs}, fields...)...)
	if forwarder.runs+forwarder.notRunAttempts > 0 || forwarder.mayHaveRun || forwarder.stream != nil {
		forwarder.end(ctx, "the request may crash endpoints")
		return
	}
	gateway.refuse(forwarder.w, forwarder.call, refusal{
		status: http.StatusServiceUnavailable, reason: "the request may crash endpoints", retryAfter: max(decision.Until-now, gateway.jitter(busyRetryAfter)), logFields: fields,
	})
}

// askProbe asks the control leader whether the request may be sent as a probe.
func (gateway *Gateway) askProbe(ctx context.Context, request crash.Request) bool {
	leader := gateway.poller.Leader()
	gateway.mu.Lock()
	now := gateway.clock.Now()
	tooSoon := now-gateway.probeAskedAt < probeAskInterval
	if !tooSoon {
		gateway.probeAskedAt = now
	}
	gateway.mu.Unlock()
	if tooSoon || leader == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeAskTimeout.Duration())
	defer cancel()
	reply, err := wire.NewDRPCFleetClient(gateway.links.Conn(ctx, leader)).Probe(ctx, &wire.ProbeRequest{Fingerprint: request.Fingerprint, Parts: request.Parts})
	if err != nil {
		gateway.log.Write(event.ProbeFailed, "leader", leader, "error", err)
		return false
	}
	return reply.GetGranted()
}

// confirmCrashes compares broken connections with what endpoints say of themselves
// since: a restart shows a crash, a heartbeat of the same start shows none.
func (gateway *Gateway) confirmCrashes() {
	now := gateway.clock.Now()
	for _, silent := range gateway.board.Silent() {
		if holder, ok := gateway.poller.Holder(silent.Endpoint); ok && now-silent.At < restartTime && holder.Born > clock.Millis(silent.Incarnation) {
			gateway.board.Step(crash.Announced{Endpoint: silent.Endpoint, Incarnation: uint64(holder.Born)})
		}
	}
	for _, record := range gateway.board.Crashes() {
		holder, ok := gateway.poller.Holder(record.Endpoint)
		if ok && !record.Retracted && uint64(holder.Born) == record.Incarnation && !holder.Gone && holder.ReceivedAt-record.At >= aliveAfter {
			gateway.board.Step(crash.Announced{Endpoint: record.Endpoint, Incarnation: record.Incarnation})
		}
	}
}
