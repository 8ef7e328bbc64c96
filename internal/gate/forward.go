package gate

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/choose"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/pace"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/retry"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/wait"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// mostUnrun bounds the attempts of one request that endpoints refused or
	// that found no connection; they do not count as runs.
	mostUnrun = 3
	// fullRetry is when a caller may return to endpoints that were full: a swing
	// lasts seconds, and callers wait a third of their time at most.
	fullRetry = 2000 * clock.Millis(1)
	// staleAfter is the age of a heartbeat from which an endpoint is avoided;
	// heartbeats come about every 1.2 s and may be late.
	staleAfter = 4 * clock.Second
	// leastLeft is the time below which an attempt is not worth starting.
	leastLeft = 5 * clock.Millis(1)
)

// result is how an attempt ended.
type result int

const (
	// delivered attempts gave the caller its final answer, or what there is of it.
	delivered result = iota
	// notSent attempts found no connection.
	notSent
	// notRun attempts were refused by the endpoint.
	notRun
	// unknown attempts may have run and gave no whole answer.
	unknown
	// failed attempts ran and have an error as answer, which is kept.
	failed
	// callerGone is the end of the request itself.
	callerGone
)

var resultNames = map[result]string{
	delivered: "delivered", notSent: "notSent", notRun: "notRun", unknown: "unknown", failed: "failed", callerGone: "callerGone",
}

// journey is a request on its way through endpoints.
type journey struct {
	*call
	gateway *Gateway
	w       http.ResponseWriter
	tried   map[string]bool
	// work is what the endpoint chosen last had, as far as known here.
	work int
	// mean is the mean work at the endpoints that take new work.
	mean float64
	// runs counts attempts that may have run, unrun those that have not.
	runs, unrun int
	// kept is an endpoint's error, delivered when no other attempt does better.
	kept *answer
	// probes is set when the next attempt finds out whether a stalled group is back.
	probes bool
	// stream is set once the head of a stream was sent to the caller.
	stream *relayed
}

// forward sends the request to endpoints until one answers or none may.
func (gateway *Gateway) forward(ctx context.Context, w http.ResponseWriter, asked *call) {
	on := &journey{call: asked, gateway: gateway, w: w, tried: map[string]bool{}}
	gateway.requested(asked.service.Name, asked.arrived)
	for {
		endpoint, ok := on.choose()
		if !ok {
			on.end(ctx, "no endpoint takes the request")
			return
		}
		if inputs := on.fullness(endpoint); inputs != nil {
			gateway.refuse(w, asked, refusal{
				status: http.StatusServiceUnavailable, reason: "all endpoints are full", retry: gateway.spread(fullRetry), inputs: inputs,
			})
			return
		}
		if !on.probes && gateway.isStalled(endpoint.Group, on.returned()) {
			if !on.awaitGroup(ctx, endpoint.Group) {
				on.end(ctx, "the group of ranks is stalled")
				return
			}
			on.probes = true
			continue
		}
		on.probes = false
		on.tried[endpoint.ID] = true
		began := gateway.clock.Now()
		ended, err := on.attempt(ctx, endpoint)
		gateway.log.Write(event.SendEnded, "id", asked.task.ID, "endpoint", endpoint.ID, "address", endpoint.Address,
			"result", resultNames[ended], "work", on.work, "heartbeatAge", began-endpoint.Heard, "took", gateway.clock.Now()-began, "runs", on.runs, "error", err)
		gateway.sends.Add(resultNames[ended])
		if ended == delivered {
			return
		}
		on.count(ended)
		if ctx.Err() != nil || ended == callerGone {
			on.end(ctx, "time is over")
			return
		}
		if ended == notRun && gateway.isStalled(endpoint.Group, on.returned()) {
			if !on.awaitGroup(ctx, endpoint.Group) || !gateway.mayRepeat(on.service.Name) {
				on.end(ctx, "the group of ranks is stalled")
				return
			}
			clear(on.tried)
			on.probes = true
			continue
		}
		if reason := on.stop(ended); reason != "" {
			on.end(ctx, reason)
			return
		}
	}
}

// count notes whether an attempt may have run. Only when none has may the
// caller be told so, whatever else ends the request.
func (on *journey) count(ended result) {
	if ended == notSent || ended == notRun {
		on.unrun++
		return
	}
	on.runs++
}

// stop returns why there may be no other attempt, or nothing.
func (on *journey) stop(ended result) string {
	switch ended {
	case notSent, notRun:
		if on.unrun >= mostUnrun {
			return "endpoints refused the request"
		}
	default:
		if !on.route.Repeatable() {
			return "the attempt may have run"
		}
		if on.runs >= on.route.Attempts {
			return "no attempt is left"
		}
	}
	if on.due-on.gateway.clock.Now() < leastLeft {
		return "no time is left"
	}
	if ended != notSent && !on.gateway.mayRepeat(on.service.Name) {
		return "the retry budget is used up"
	}
	return ""
}

// end gives the final answer of a request that no attempt answered.
func (on *journey) end(ctx context.Context, reason string) {
	gateway := on.gateway
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && on.stream == nil:
		gateway.answered.Add(kindNames[on.route.Kind] + ".callerGone")
		gateway.log.Write(event.RequestEnded, "id", on.task.ID, "outcome", "callerGone", "runs", on.runs, "unrun", on.unrun, "took", gateway.clock.Now()-on.arrived)
		panic(http.ErrAbortHandler)
	case on.stream != nil:
		gateway.answered.Add(kindNames[on.route.Kind] + ".brokenOff")
		gateway.log.Write(event.RequestEnded, "id", on.task.ID, "outcome", "brokenOff", "reason", reason, "lastEvent", on.stream.events.Last(),
			"took", gateway.clock.Now()-on.arrived)
		// An answer that breaks off must not look complete.
		panic(http.ErrAbortHandler)
	case on.kept != nil:
		on.deliver(on.kept)
	case on.runs > 0 && ctx.Err() != nil:
		gateway.refuse(on.w, on.call, refusal{status: http.StatusGatewayTimeout, reason: reason})
	case on.runs > 0:
		gateway.refuse(on.w, on.call, refusal{status: http.StatusBadGateway, reason: reason})
	default:
		gateway.refuse(on.w, on.call, refusal{status: http.StatusServiceUnavailable, reason: reason, retry: on.comeBack()})
	}
}

// choose picks the endpoint for the next attempt.
func (on *journey) choose() (roster.Record, bool) {
	gateway := on.gateway
	records := gateway.poller.Endpoints(on.service.Name)
	loads := gateway.poller.Loads()
	now := gateway.clock.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	var candidates []choose.Candidate
	var open []roster.Record
	for _, record := range records {
		if on.tried[record.ID] {
			continue
		}
		open = append(open, record)
		candidates = append(candidates, choose.Candidate{
			ID: record.ID, Work: loads[record.ID] + gateway.work[record.ID], Slots: slots(record, on.service),
			Local: record.Zone == gateway.settings.Node.Zone,
			Avoid: now-record.Heard > staleAfter || gateway.detector.Use(incarnation(record), now) == retry.Avoid,
			Cold:  now < record.ColdUntil,
		})
	}
	at := choose.Best(candidates, gateway.random)
	if at < 0 {
		return roster.Record{}, false
	}
	on.work, on.mean = candidates[at].Work, mean(candidates)
	gateway.means[on.service.Name] = on.mean
	gateway.detector = gateway.detector.WithSent(incarnation(open[at]), now)
	return open[at], true
}

// fullness returns what decides that a new stream is better refused, or nil
// when it is not: it would wait too long for a slot, or lengthen the pauses of
// all streams beyond their objective. A caller that has returned is late in any
// case and is spared the second. What has begun goes on. The mean decides: the
// work at one endpoint is known late.
func (on *journey) fullness(endpoint roster.Record) []any {
	if on.route.Kind != plan.Streaming || on.runs+on.unrun > 0 || on.stream != nil {
		return nil
	}
	gateway, now := on.gateway, on.gateway.clock.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	work, places, estimate := int(on.mean), slots(endpoint, on.service), gateway.waits[on.service.Name]
	limit := float64(places)
	if on.service.Engine != nil && on.urgency > wait.MostUrgent && !on.returned() {
		limit = gateway.paces[on.service.Name].Limit(now, on.route.Gap, places, cost(on.service.Engine))
	}
	if estimate.Admits(work, places, on.route.Objective, on.urgency) && (on.mean < limit || limit >= float64(places)) {
		return nil
	}
	return []any{
		"meanWork", on.mean, "slots", places, "limit", limit, "wait", estimate.QueueWait(work, places), "urgency", on.urgency,
		"patience", on.patience(),
	}
}

// paused notes a pause between two events of a stream.
func (on *journey) paused(pause clock.Millis) {
	gateway, name := on.gateway, on.service.Name
	if on.service.Engine == nil || pause < on.route.Gap/2 {
		return
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	running := min(gateway.means[name], float64(on.service.Engine.Slots))
	gateway.paces[name] = gateway.paces[name].WithPause(gateway.clock.Now(), pause, on.route.Gap, running, cost(on.service.Engine))
}

func cost(engine *plan.Engine) pace.Cost {
	return pace.Cost{Step: engine.StepMillis, PerStream: engine.PerSequenceMillis}
}

// lasted notes how long a stream of a service took from its first event to its end.
func (gateway *Gateway) lasted(service string, took clock.Millis) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.waits[service] = gateway.waits[service].WithDuration(took)
}

func mean(candidates []choose.Candidate) float64 {
	sum := 0
	for _, candidate := range candidates {
		sum += candidate.Work
	}
	return float64(sum) / float64(max(len(candidates), 1))
}

func slots(record roster.Record, service plan.Service) int {
	if record.Slots > 0 || service.Engine == nil {
		return record.Slots
	}
	return service.Engine.Slots
}

// incarnation names one start of an endpoint: what an earlier one did wrong
// tells nothing of it.
func incarnation(record roster.Record) string { return record.ID + "@" + record.Address }

// window returns the retry budget of a service. The caller holds mu.
func (gateway *Gateway) window(service string) *retry.Window {
	known := gateway.windows[service]
	if known == nil {
		known = retry.NewWindow(gateway.settings.Gateway.RetryRatio, gateway.settings.Gateway.RetryWindow)
		gateway.windows[service] = known
	}
	return known
}

// requested notes the first attempt of a request.
func (gateway *Gateway) requested(service string, at clock.Millis) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.window(service).Request(at)
}

// mayRepeat takes one repeat from this gateway's part of the retry budget.
func (gateway *Gateway) mayRepeat(service string) bool {
	slack := float64(gateway.settings.Gateway.RetrySlack) / float64(gateway.poller.Gateways())
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.window(service).Repeat(gateway.clock.Now(), slack)
}

// judge notes what an attempt tells of the endpoint.
func (gateway *Gateway) judge(endpoint roster.Record, ended result) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	name, now := incarnation(endpoint), gateway.clock.Now()
	switch ended {
	case delivered:
		gateway.detector = gateway.detector.WithSuccess(name)
	case notSent:
		gateway.detector = gateway.detector.WithFailure(name, now).WithFailure(name, now)
	case unknown, failed:
		gateway.detector = gateway.detector.WithFailure(name, now)
	default:
		gateway.detector = gateway.detector.WithNeutral(name)
	}
}
