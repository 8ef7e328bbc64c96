package route

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/ledger"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/internal/retry"
	"github.com/hibiscuslug/hibiscuslug/internal/span"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// hedgeCheckInterval is the minimum time between checks for a second engine of a slow
// attempt.
const hedgeCheckInterval = 100 * clock.Millis(1)

// sentAttempt is an attempt that was sent to an endpoint process, and its result.
type sentAttempt struct {
	exchange *exchange
	choice   place.Choice
	flight   *Flight
	cancel   context.CancelFunc
	result   Result
}

// attempt sends one attempt to the chosen engine and hedges it with a second
// one if it is slow.
func (dispatch *dispatch) attempt(ctx context.Context, choice place.Choice, alone bool) Result {
	if alone {
		defer dispatch.router.leaveQuarantine()
	}
	ended := make(chan *sentAttempt, 2)
	var running conc.WaitGroup
	defer running.Wait()
	first := dispatch.launch(ctx, &running, choice, alone, ended)
	second, done := dispatch.awaitHedge(ctx, &running, first, ended)
	if done != nil {
		return dispatch.recordResult(done)
	}
	return dispatch.race(first, second, ended)
}

// race waits for two concurrent attempts of the call. It cancels one of them as
// soon as the other one answers.
func (dispatch *dispatch) race(first, second *sentAttempt, ended chan *sentAttempt) Result {
	other := map[*sentAttempt]*sentAttempt{first: second, second: first}
	select {
	case <-dispatch.delivery.claimed():
		winner := first
		if dispatch.delivery.isOwner(second.exchange) {
			winner = second
		}
		other[winner].cancel()
	case done := <-ended:
		if done.result.Outcome == wire.Outcome_OUTCOME_OK {
			other[done].cancel()
			dispatch.recordResult(<-ended)
			return dispatch.recordResult(done)
		}
		dispatch.recordResult(done)
		return dispatch.recordResult(<-ended)
	}
	one := <-ended
	two := <-ended
	if dispatch.delivery.isOwner(one.exchange) {
		one, two = two, one
	}
	dispatch.recordResult(one)
	return dispatch.recordResult(two)
}

// awaitHedge waits until the attempt ends, and returns it, or until it is slow and a
// second one was sent, and returns that one. It checks again as long as no second
// attempt can be sent: the endpoint may report late that the first one began, and
// another engine may be listed late.
func (dispatch *dispatch) awaitHedge(ctx context.Context, running *conc.WaitGroup, first *sentAttempt, ended chan *sentAttempt) (second, done *sentAttempt) {
	delay, ok := dispatch.hedgeDelay(first)
	if !ok {
		return nil, <-ended
	}
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	for {
		select {
		case done := <-ended:
			return nil, done
		case <-timer.C:
		}
		if dispatch.delivery.started() {
			return nil, <-ended
		}
		remaining := delay - first.exchange.runningFor()
		if remaining <= 0 {
			if second, ok := dispatch.sendHedge(ctx, running, first, ended); ok {
				return second, nil
			}
		}
		timer.Reset(max(remaining, hedgeCheckInterval).Duration())
	}
}

// hedgeDelay returns the time without an answer after which the attempt is slow, and
// reports whether it may be hedged. Only paid work is hedged: free work is not entitled
// to a second engine. Before the first measured time, the length of an answer that is
// not a stream says nothing about its engine.
func (dispatch *dispatch) hedgeDelay(first *sentAttempt) (clock.Millis, bool) {
	request := dispatch.request
	if first.flight.Alone || !request.Idempotent || request.Tier != wire.Tier_TIER_PAID || dispatch.delivery.started() {
		return 0, false
	}
	dispatch.router.mu.Lock()
	defer dispatch.router.mu.Unlock()
	delay, isMeasured := dispatch.router.policy.HedgeAfter(request.Deadline - first.exchange.sentAt)
	return delay, isMeasured || request.Stream
}

// sendHedge sends a second attempt if another engine is available and the retry budget
// allows it.
func (dispatch *dispatch) sendHedge(ctx context.Context, running *conc.WaitGroup, first *sentAttempt, ended chan *sentAttempt) (*sentAttempt, bool) {
	engine := first.choice.Candidate.Engine.GetName()
	// Excludes the engine of the first attempt from the choice.
	dispatch.failedEngines[engine] = first.choice.Candidate.Incarnation
	choice, found, _ := dispatch.choose(false)
	delete(dispatch.failedEngines, engine)
	if !found || choice.Candidate.Engine.GetName() == engine || !dispatch.router.spendRetry(dispatch.started+1) {
		return nil, false
	}
	dispatch.router.log.Write(event.AttemptRaced, "request", dispatch.request.ID, "slow", engine, "engine", choice.Candidate.Engine.GetName())
	return dispatch.launch(ctx, running, choice, false, ended), true
}

// launch sends an attempt in the background. The attempt is written to ended
// when it is over.
func (dispatch *dispatch) launch(ctx context.Context, running *conc.WaitGroup, choice place.Choice, alone bool, ended chan<- *sentAttempt) *sentAttempt {
	dispatch.lastAttempt++
	router, candidate, number, sent := dispatch.router, choice.Candidate, dispatch.lastAttempt, dispatch.router.clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	attemptSpan := span.From(ctx).Start(dispatch.request.Traceparent, "attempt", span.Number("attempt", number),
		span.Text("endpoint", candidate.Endpoint), span.Text("engine", candidate.Engine.GetName()))
	message := dispatch.message(choice, alone)
	message.Traceparent = attemptSpan.Traceparent(dispatch.request.Traceparent)
	exchange := &exchange{router: router, candidate: candidate, message: message, delivery: dispatch.delivery, sentAt: sent}
	run := &sentAttempt{exchange: exchange, choice: choice, cancel: cancel, flight: &Flight{
		Candidate: candidate, Request: dispatch.request, Alone: alone, Sent: sent, Begun: exchange.isBegun,
	}}
	router.ledger.BeginAttempt(dispatch.request.ID, ledger.Attempt{
		Number: number, Endpoint: candidate.Endpoint, Engine: candidate.Engine.GetName(), Reason: choice.Reason, Started: sent,
	})
	router.updatePolicy(func(policy retry.Policy) retry.Policy {
		policy.Detector = policy.Detector.WithSent(healthKey(candidate), sent)
		return policy
	})
	router.source.Begin(candidate)
	router.crashes.Begin(run.flight)
	running.Go(func() {
		defer cancel()
		run.result = exchange.run(ctx)
		attemptSpan.End(run.result.Outcome.String(), run.result.Err)
		router.crashes.End(run.flight)
		router.source.End(candidate, exchange.load)
		ended <- run
	})
	return run
}

// recordResult records the result of an attempt that is over in the ledger, the
// retry policy, the crash tracker and the call's own state.
func (dispatch *dispatch) recordResult(run *sentAttempt) Result {
	router, exchange, result := dispatch.router, run.exchange, run.result
	candidate := run.choice.Candidate
	reason := ""
	if result.Err != nil {
		reason = result.Err.Error()
		dispatch.logFailure(candidate, exchange.message.GetAttempt(), result)
	}
	router.ledger.EndAttempt(dispatch.request.ID, exchange.message.GetAttempt(), router.clock.Now(), exchange.queueTime, result.Outcome, reason)
	router.updatePolicy(func(policy retry.Policy) retry.Policy {
		return policy.WithEnd(healthKey(candidate), exchange.retryEnd(), router.clock.Now())
	})
	dispatch.errorAnswer = exchange.buffered
	switch {
	case result.Outcome == wire.Outcome_OUTCOME_NOT_RUN:
	case errors.Is(result.Err, errLostRace):
		dispatch.started++
	default:
		dispatch.started++
		dispatch.lastResult = result
		dispatch.delivery.release(exchange)
	}
	dispatch.report(run)
	return result
}

// report passes the state of the attempt's endpoint process to the crash
// tracker and the source, and records engines that failed or were full.
func (dispatch *dispatch) report(run *sentAttempt) {
	router, exchange, candidate := dispatch.router, run.exchange, run.choice.Candidate
	switch exchange.endpointState {
	case dead:
		router.crashes.Crashed(run.flight)
		router.source.Gone(candidate)
	case notReached:
		router.source.Gone(candidate)
	case unresponsive:
		router.crashes.Silent(run.flight)
	case responsive:
	}
	if run.flight.Alone && exchange.endpointState == responsive && exchange.ended && run.result.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
		router.crashes.Cleared(dispatch.request)
	}
	if run.result.Outcome != wire.Outcome_OUTCOME_OK && run.result.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
		dispatch.failedEngines[candidate.Engine.GetName()] = candidate.Incarnation
	}
	if errors.Is(run.result.Err, errFull) {
		dispatch.fullEngines[candidate.Engine.GetName()] = exchange.load
	}
}

// retryEnd classifies the end of an attempt for the health of its engine.
func (exchange *exchange) retryEnd() retry.End {
	result := exchange.result
	switch {
	case exchange.endpointState == unresponsive || exchange.endpointState == dead:
		return retry.Lost
	case result.Outcome == wire.Outcome_OUTCOME_OK:
		return retry.Succeeded
	case errors.Is(result.Err, errCallerGone) || errors.Is(result.Err, errLostRace) || errors.Is(result.Err, context.Canceled):
		return retry.Neutral
	case result.Outcome == wire.Outcome_OUTCOME_UNKNOWN || exchange.endpointState == notReached:
		return retry.Failed
	case result.Outcome == wire.Outcome_OUTCOME_FAILED && exchange.buffered != nil && exchange.buffered.status >= http.StatusInternalServerError:
		return retry.Failed
	case result.Outcome == wire.Outcome_OUTCOME_NOT_RUN && exchange.isBegun():
		// The endpoint process could not reach its engine.
		return retry.Failed
	}
	return retry.Neutral
}

// healthKey returns the detector's key for an engine. It includes the
// incarnation, so a restarted endpoint process starts without failures.
func healthKey(candidate place.Candidate) string {
	return candidate.Engine.GetName() + "/" + strconv.FormatUint(candidate.Incarnation, 16)
}

// message builds the wire message of the next attempt. It skips the stream
// events that the caller already has.
func (dispatch *dispatch) message(choice place.Choice, alone bool) *wire.Attempt {
	request, candidate := dispatch.request, choice.Candidate
	events, _ := dispatch.delivery.progress(request.Kind)
	return &wire.Attempt{
		RequestId: request.ID, Attempt: dispatch.lastAttempt, Incarnation: candidate.Incarnation, Engine: candidate.Engine.GetName(),
		Customer: request.Customer.GetName(), Tier: request.Tier, Priority: request.Priority, Weight: request.Customer.GetWeight(),
		Kind: request.Kind, Idempotent: request.Idempotent, Model: request.Model, Method: request.Method, Path: request.Path,
		ContentType: request.ContentType, Body: request.Body, Stream: request.Stream, SkipEvents: events,
		PredictedSize: request.PredictedSize, Patience: int64(max(request.Deadline-dispatch.router.clock.Now(), clock.Second)),
		Traceparent: request.Traceparent, Entry: dispatch.router.settings.Node, PrefixHash: request.PrefixHash, Headers: request.Headers,
		RefuseIfFull: !choice.Queue && !alone, Alone: alone,
	}
}
