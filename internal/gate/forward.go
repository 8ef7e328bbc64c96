package gate

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/hibiscuslug/hibiscuslug/internal/choose"
	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/retry"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/shed"
	"github.com/hibiscuslug/hibiscuslug/internal/task"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// maxNotRunAttempts is the maximum number of attempts of one request that endpoints
	// refused or that could not connect; they do not count as runs.
	maxNotRunAttempts = 3
	// fullRetryAfter is the minimum Retry-After when all endpoints are full: a demand
	// peak lasts seconds, and callers back off for at most a third of their time.
	fullRetryAfter = 2000 * clock.Millis(1)
	// maxHeartbeatAge is the age of the last heartbeat above which an endpoint is
	// avoided; heartbeats arrive about every 1.2 s and may be delayed.
	maxHeartbeatAge = 4 * clock.Second
	// minAttemptTime is the minimum time before the deadline to start another attempt.
	minAttemptTime = 5 * clock.Millis(1)
)

// result is the outcome of an attempt.
type result int

const (
	// delivered attempts ended with the final response. A buffered response counts as
	// delivered even if the write to the caller failed; a streamed one does not.
	delivered result = iota
	// notSent attempts could not connect to the endpoint.
	notSent
	// notRun attempts were refused by the endpoint before execution.
	notRun
	// unknown attempts may have run and returned no complete response.
	unknown
	// failed attempts ran and returned an error response, which is kept unless its status
	// promises that they did not run.
	failed
	// callerGone attempts ended because the caller disconnected or its time ran out.
	callerGone
)

var resultNames = map[result]string{
	delivered: "delivered", notSent: "notSent", notRun: "notRun", unknown: "unknown", failed: "failed", callerGone: "callerGone",
}

// forwarder forwards one request to endpoints, attempt by attempt.
type forwarder struct {
	*call
	gateway *Gateway
	w       http.ResponseWriter
	// tried holds the IDs of the endpoints already tried.
	tried map[string]bool
	// refusedBy holds the IDs of the endpoints that refused the request.
	refusedBy map[string]bool
	// overLimit holds the IDs of the endpoints that take no more within their limits.
	overLimit map[string]bool
	// usable holds the endpoints that the last choice was made from.
	usable []roster.Record
	// permittedAt is when the permit for the current attempt was asked for; zero if it
	// needs none.
	permittedAt clock.Millis
	// coldUntil is when the permit for a cold endpoint expires; zero if the current attempt
	// needs none.
	coldUntil clock.Millis
	// work is the estimated number of requests ahead at the endpoint chosen last.
	work int
	// meanWork is the mean estimated number of requests at the candidate endpoints, and
	// meanOnTime that of the requests that a request which can be on time waits for.
	meanWork, meanOnTime float64
	// late is set when the response will be late in any case, so that the request waits
	// behind those that can be on time. waitsLate is set while it does at an endpoint.
	late, waitsLate bool
	// runs counts attempts that may have run, notRunAttempts those that certainly did
	// not.
	runs, notRunAttempts int
	// mayHaveRun is set when the request may have run although no attempt counts as a
	// run, so that the caller is not told that it has not.
	mayHaveRun bool
	// endpointError is an endpoint's error response, delivered when no attempt succeeds.
	endpointError *bufferedResponse
	// isProbe is set when the next attempt probes whether a stalled group works again.
	isProbe bool
	// begun is set once the current attempt has returned a part of its response, at begunAt,
	// survived once the response has gone on for a while, and brokeStale when its reused
	// connection broke without one.
	begun, survived, brokeStale bool
	begunAt                     clock.Millis
	// readAt is when the current attempt had read a complete successful response, before
	// the caller took it; zero if it has not.
	readAt clock.Millis
	// limit is the limit that the endpoint of the current attempt named; nil for none.
	limit *float64
	// crashRequest identifies the request as the cause of a crash; see identity.
	crashRequest *crash.Request
	// stream is set once the response header of a stream was sent to the caller.
	stream *relayState
}

func newForwarder(gateway *Gateway, w http.ResponseWriter, call *call) *forwarder {
	return &forwarder{
		call: call, gateway: gateway, w: w, tried: map[string]bool{}, refusedBy: map[string]bool{}, overLimit: map[string]bool{},
		late: call.route.Kind == plan.Streaming && call.used > call.route.Objective,
	}
}

// forward tries endpoints until one answers the request or no attempt is allowed.
func (gateway *Gateway) forward(ctx context.Context, w http.ResponseWriter, call *call) {
	forwarder := newForwarder(gateway, w, call)
	gateway.recordRequest(call.service.Name, call.arrived)
	for {
		endpoint, ok := forwarder.choose()
		if !ok {
			forwarder.endUnchosen(ctx)
			return
		}
		endpoint, admission := forwarder.admit(ctx, endpoint)
		switch admission {
		case admitted:
		case ended:
			return
		case chooseAgain:
			continue
		}
		forwarder.tried[endpoint.ID] = true
		began := gateway.clock.Now()
		outcome, err := forwarder.attempt(ctx, endpoint)
		gateway.log.Write(event.SendEnded, "id", call.task.ID, "endpoint", endpoint.ID, "address", endpoint.Address,
			"result", resultNames[outcome], "begun", forwarder.begun, "parts", partIDs(forwarder.task.Prompt), "limit", limitText(forwarder.limit), "work", forwarder.work, "heartbeatAge", began-endpoint.ReceivedAt, "took", gateway.clock.Now()-began, "runs", forwarder.runs, "error", err)
		gateway.sends.Add(resultNames[outcome])
		if outcome == delivered {
			return
		}
		forwarder.countAttempt(outcome)
		if ctx.Err() == nil && forwarder.isSuspect(outcome) {
			forwarder.reportBreak(ctx, endpoint)
		}
		if ctx.Err() != nil || outcome == callerGone {
			forwarder.end(ctx, "time is over")
			return
		}
		if outcome == notRun && gateway.mustNotSend(endpoint.Group, forwarder.isCallerRetry()) {
			if !forwarder.awaitGroup(ctx, endpoint.Group) || !gateway.takeRetry(forwarder.service.Name) {
				forwarder.end(ctx, "the group of ranks is stalled")
				return
			}
			clear(forwarder.tried)
			forwarder.isProbe = true
			continue
		}
		if reason := forwarder.stopReason(outcome); reason != "" {
			forwarder.end(ctx, reason)
			return
		}
	}
}

// admission states whether a request may be sent to the endpoint that was chosen.
type admission int

const (
	admitted admission = iota
	// chooseAgain requests have waited, so that another endpoint may be the best one.
	chooseAgain
	// ended requests have been answered.
	ended
)

// admit decides whether the request may be sent to the chosen endpoint, and waits or
// ends the request if it must not be sent now. It returns the endpoint that takes the
// request.
func (forwarder *forwarder) admit(ctx context.Context, endpoint roster.Record) (roster.Record, admission) {
	gateway := forwarder.gateway
	if decision, blocked := forwarder.isBlocked(); blocked {
		forwarder.endSuspected(ctx, decision)
		return endpoint, ended
	}
	if fields := forwarder.overload(endpoint); fields != nil {
		gateway.refuse(forwarder.w, forwarder.call, refusal{
			status: http.StatusServiceUnavailable, reason: "all endpoints are full", retryAfter: gateway.jitter(fullRetryAfter), logFields: fields,
		})
		return endpoint, ended
	}
	if !forwarder.isProbe && gateway.mustNotSend(endpoint.Group, forwarder.isCallerRetry()) {
		if !forwarder.awaitGroup(ctx, endpoint.Group) {
			forwarder.end(ctx, "the group of ranks is stalled")
			return endpoint, ended
		}
		forwarder.isProbe = true
		return endpoint, chooseAgain
	}
	forwarder.isProbe = false
	if decision, ok := forwarder.mayRun(ctx); !ok {
		forwarder.endSuspected(ctx, decision)
		return endpoint, ended
	}
	return forwarder.permit(ctx, endpoint)
}

// partIDs lists the ids of a prompt's parts for the log.
func partIDs(parts []task.Part) string {
	ids := make([]string, len(parts))
	for at, part := range parts {
		ids[at] = part.ID
	}
	return strings.Join(ids, ",")
}

// limitText formats the limit that an endpoint named for the log.
func limitText(limit *float64) string {
	if limit == nil {
		return "none"
	}
	return strconv.FormatFloat(*limit, 'g', -1, 64)
}

// countAttempt counts an attempt by whether it may have run. The caller gets a
// status that says the request was not executed only if no attempt may have run.
func (forwarder *forwarder) countAttempt(ended result) {
	if ended == notSent || ended == notRun {
		forwarder.notRunAttempts++
		return
	}
	forwarder.runs++
}

// stopReason returns why no further attempt is allowed, or an empty string.
func (forwarder *forwarder) stopReason(ended result) string {
	switch ended {
	case notSent, notRun:
		if forwarder.notRunAttempts >= maxNotRunAttempts {
			return "endpoints refused the request"
		}
	default:
		if !forwarder.route.Repeatable() {
			return "the attempt may have run"
		}
		if forwarder.runs >= forwarder.route.Attempts {
			return "no attempt is left"
		}
	}
	if forwarder.deadline-forwarder.gateway.clock.Now() < minAttemptTime {
		return "no time is left"
	}
	if ended != notSent && !forwarder.gateway.takeRetry(forwarder.service.Name) {
		return "the retry budget is used up"
	}
	return ""
}

// end sends the final response of a request that no attempt answered.
func (forwarder *forwarder) end(ctx context.Context, reason string) {
	gateway := forwarder.gateway
	switch {
	case isGone(ctx) && forwarder.stream == nil:
		gateway.answered.Add(kindNames[forwarder.route.Kind] + ".callerGone")
		gateway.log.Write(event.RequestEnded, "id", forwarder.task.ID, "outcome", "callerGone", "runs", forwarder.runs, "unrun", forwarder.notRunAttempts, "took", gateway.clock.Now()-forwarder.arrived)
		panic(http.ErrAbortHandler)
	case forwarder.stream != nil:
		gateway.answered.Add(kindNames[forwarder.route.Kind] + ".brokenOff")
		gateway.log.Write(event.RequestEnded, "id", forwarder.task.ID, "outcome", "brokenOff", "reason", reason, "lastEvent", forwarder.stream.events.LastID(),
			"took", gateway.clock.Now()-forwarder.arrived)
		// A truncated response must not look complete to the caller.
		panic(http.ErrAbortHandler)
	case forwarder.endpointError != nil:
		forwarder.deliver(forwarder.endpointError)
	case (forwarder.runs > 0 || forwarder.mayHaveRun) && ctx.Err() != nil:
		gateway.refuse(forwarder.w, forwarder.call, refusal{status: http.StatusGatewayTimeout, reason: reason})
	case forwarder.runs > 0 || forwarder.mayHaveRun:
		gateway.refuse(forwarder.w, forwarder.call, refusal{status: http.StatusBadGateway, reason: reason})
	default:
		gateway.refuse(forwarder.w, forwarder.call, refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: forwarder.retryAfter()})
	}
}

// choose picks the endpoint for the next attempt.
func (forwarder *forwarder) choose() (roster.Record, bool) {
	gateway := forwarder.gateway
	notices, now := gateway.board.Notices(), gateway.clock.Now()
	all := gateway.poller.Endpoints(forwarder.service.Name)
	records, _ := withoutClosed(all, notices, now)
	loads, totals := gateway.poller.Loads(), gateway.poller.Totals()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	estimates, explored := gateway.estimates(forwarder.service, all, totals, now), -1
	var candidates []choose.Candidate
	var open []roster.Record
	var sum choose.Load
	for _, record := range records {
		if forwarder.tried[record.ID] || forwarder.overLimit[record.ID] || gateway.isEvacuated(record) {
			continue
		}
		open = append(open, record)
		sum = sum.Plus(loads[record.ID]).Plus(gateway.work[record.ID])
	}
	forwarder.usable, forwarder.permittedAt, forwarder.coldUntil = open, 0, 0
	forwarder.meanWork = float64(sum.Ahead(true)) / float64(max(len(open), 1))
	forwarder.meanOnTime = float64(sum.Ahead(false)) / float64(max(len(open), 1))
	for _, record := range open {
		noticed, estimate := notices.State(endpointKey(record), now), estimates.Of(endpointKey(record))
		candidates = append(candidates, choose.Candidate{
			ID: record.ID, Work: loads[record.ID].Plus(gateway.work[record.ID]).Ahead(forwarder.late), Slots: estimate.Slots(slots(record, forwarder.service)),
			Local: record.Zone == gateway.settings.Node.Zone,
			Avoid: now-record.ReceivedAt > maxHeartbeatAge || gateway.detector.Use(healthKey(record), now) == retry.Avoid || noticed.ToldPause > 0,
			Cold:  now < record.ColdUntil || forwarder.service.ColdRate > 0 && gateway.cold.State(record, forwarder.service.ColdTime, now).IsCold,
			Pace:  max(noticed.Pace, estimate.Pace),
		})
		last := candidates[len(candidates)-1]
		if estimate.Pace > 0 && !last.Avoid && !last.Cold && estimates.Explores(endpointKey(record), last.Work, gateway.random.Float64()) {
			explored = len(candidates) - 1
		}
	}
	at := choose.Best(candidates, gateway.random)
	if explored >= 0 && forwarder.runs+forwarder.notRunAttempts == 0 {
		at = explored
	}
	if at < 0 {
		return roster.Record{}, false
	}
	forwarder.work = candidates[at].Work
	gateway.detector = gateway.detector.WithSent(healthKey(open[at]), now)
	return open[at], true
}

// overload returns the log fields that explain why a new stream must be refused, or
// nil when it is admitted. A stream is refused when it would wait too long for a
// slot: beyond its objective, or, when it is late in any case, for as long as its
// caller waits. A request already attempted is not refused. The mean over the
// endpoints decides, because the load of a single endpoint is reported with a delay.
func (forwarder *forwarder) overload(endpoint roster.Record) []any {
	if forwarder.route.Kind != plan.Streaming || forwarder.runs+forwarder.notRunAttempts > 0 || forwarder.stream != nil {
		return nil
	}
	gateway := forwarder.gateway
	uses := gateway.poller.Uses(forwarder.service.Name)
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	capacity, estimate := slots(endpoint, forwarder.service), gateway.waits[forwarder.service.Name]
	reserved := gateway.reserved(forwarder.service.Name, uses, shed.Level(forwarder.urgency, forwarder.route.Priority))
	occupied := forwarder.meanOnTime + float64(reserved)/float64(max(len(forwarder.usable), 1))
	admitted := estimate.Admits(int(occupied), capacity, forwarder.route.Objective, forwarder.urgency)
	if forwarder.late {
		admitted = estimate.AdmitsLate(int(forwarder.meanWork), capacity, forwarder.route.Objective)
	}
	if admitted {
		return nil
	}
	return []any{
		"meanWork", forwarder.meanWork, "meanOnTime", forwarder.meanOnTime, "reserved", reserved, "slots", capacity, "late", forwarder.late,
		"wait", estimate.QueueWait(int(forwarder.meanOnTime), capacity), "waitLate", estimate.QueueWait(int(forwarder.meanWork), capacity),
		"urgency", forwarder.urgency, "patience", forwarder.callerWait(), "used", forwarder.used,
	}
}

// recordDuration records the time of a service's stream from its first event to its end.
func (gateway *Gateway) recordDuration(service string, took clock.Millis) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.waits[service] = gateway.waits[service].WithDuration(took)
}

func slots(record roster.Record, service plan.Service) int {
	if record.Slots > 0 || service.Engine == nil {
		return record.Slots
	}
	return service.Engine.RequestSlots
}

// healthKey identifies an endpoint in the failure detector by ID and address. Failures
// before a restart count against an endpoint that restarts with the same ID and
// address.
func healthKey(record roster.Record) string { return record.ID + "@" + record.Address }

// window returns the retry budget of a service. The caller holds mu.
func (gateway *Gateway) window(service string) *retry.RatioBudget {
	budget := gateway.windows[service]
	if budget == nil {
		budget = retry.NewRatioBudget(gateway.settings.Gateway.RetryRatio, gateway.settings.Gateway.RetryWindow)
		gateway.windows[service] = budget
	}
	return budget
}

// recordRequest counts the first attempt of a request for the retry budget.
func (gateway *Gateway) recordRequest(service string, at clock.Millis) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.window(service).Request(at)
}

// takeRetry takes one retry from this gateway's share of the retry budget and
// reports whether there was one left. A gateway that does not know the number of
// gateways has no share of the slack.
func (gateway *Gateway) takeRetry(service string) bool {
	slack := 0.0
	if gateways := gateway.poller.Gateways(); gateways > 0 {
		slack = gateway.settings.Gateway.RetrySlack / float64(gateways)
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.window(service).TakeRetry(gateway.clock.Now(), slack)
}

// recordResult updates the failure detector with the result of an attempt.
func (gateway *Gateway) recordResult(endpoint roster.Record, ended result) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	key, now := healthKey(endpoint), gateway.clock.Now()
	switch ended {
	case delivered:
		gateway.detector = gateway.detector.WithSuccess(key)
	case notSent:
		gateway.detector = gateway.detector.WithFailure(key, now).WithFailure(key, now)
	case unknown, failed:
		gateway.detector = gateway.detector.WithFailure(key, now)
	default:
		gateway.detector = gateway.detector.WithNeutral(key)
	}
}
