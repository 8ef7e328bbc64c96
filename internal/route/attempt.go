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

// runner is one attempt that was sent.
type runner struct {
	exchange *exchange
	choice   place.Choice
	flight   *Flight
	cancel   context.CancelFunc
	result   Result
}

// attempt runs the next attempt, and races it with another one when it is slow.
func (dispatch *dispatch) attempt(ctx context.Context, choice place.Choice, alone bool) Result {
	if alone {
		defer dispatch.router.leaveQuarantine()
	}
	ended := make(chan *runner, 2)
	var running conc.WaitGroup
	defer running.Wait()
	first := dispatch.launch(ctx, &running, choice, alone, ended)
	slow, stop := dispatch.hedge(first)
	defer stop()
	select {
	case done := <-ended:
		return dispatch.settled(done)
	case <-slow:
	}
	second, ok := dispatch.second(ctx, &running, first, ended)
	if !ok {
		return dispatch.settled(<-ended)
	}
	return dispatch.race(first, second, ended)
}

// race takes the attempt that answers first and cancels the other.
func (dispatch *dispatch) race(first, second *runner, ended chan *runner) Result {
	other := map[*runner]*runner{first: second, second: first}
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
			dispatch.settled(<-ended)
			return dispatch.settled(done)
		}
		dispatch.settled(done)
		return dispatch.settled(<-ended)
	}
	one := <-ended
	two := <-ended
	if dispatch.delivery.isOwner(one.exchange) {
		one, two = two, one
	}
	dispatch.settled(one)
	return dispatch.settled(two)
}

// hedge returns a channel that tells when the attempt is slow enough to be
// raced; it never does when the attempt must not be. Only paid work is raced:
// free work has no claim to a second engine.
func (dispatch *dispatch) hedge(first *runner) (<-chan time.Time, func() bool) {
	dispatch.router.mu.Lock()
	after, known := dispatch.router.policy.HedgeAfter()
	dispatch.router.mu.Unlock()
	if !known || first.flight.Alone || !dispatch.request.Idempotent || dispatch.request.Tier != wire.Tier_TIER_PAID || dispatch.delivery.started() {
		return nil, func() bool { return true }
	}
	timer := time.NewTimer(after.Duration())
	return timer.C, timer.Stop
}

// second sends a racing attempt if the first one runs without an answer so far
// and the retry budget allows it.
func (dispatch *dispatch) second(ctx context.Context, running *conc.WaitGroup, first *runner, ended chan *runner) (*runner, bool) {
	if !first.exchange.isBegun() || dispatch.delivery.started() {
		return nil, false
	}
	engine := first.choice.Candidate.Engine.GetName()
	dispatch.failed[engine] = first.choice.Candidate.Incarnation
	choice, found, _ := dispatch.choose(false)
	delete(dispatch.failed, engine)
	if !found || choice.Candidate.Engine.GetName() == engine || !dispatch.router.payRetry(dispatch.started+1) {
		return nil, false
	}
	dispatch.router.log.Write(event.AttemptRaced, "request", dispatch.request.ID, "slow", engine, "engine", choice.Candidate.Engine.GetName())
	return dispatch.launch(ctx, running, choice, false, ended), true
}

// launch sends an attempt; it appears in ended when it is over.
func (dispatch *dispatch) launch(ctx context.Context, running *conc.WaitGroup, choice place.Choice, alone bool, ended chan<- *runner) *runner {
	dispatch.number++
	router, candidate, number, sent := dispatch.router, choice.Candidate, dispatch.number, dispatch.router.clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	hop := span.From(ctx).Start(dispatch.request.Traceparent, "attempt", span.Number("attempt", number),
		span.Text("endpoint", candidate.Endpoint), span.Text("engine", candidate.Engine.GetName()))
	message := dispatch.message(choice, alone)
	message.Traceparent = hop.Traceparent(dispatch.request.Traceparent)
	exchange := &exchange{router: router, candidate: candidate, message: message, delivery: dispatch.delivery, sent: sent}
	run := &runner{exchange: exchange, choice: choice, cancel: cancel, flight: &Flight{
		Candidate: candidate, Request: dispatch.request, Alone: alone, Sent: sent, Begun: exchange.isBegun,
	}}
	router.ledger.BeginAttempt(dispatch.request.ID, ledger.Attempt{
		Number: number, Endpoint: candidate.Endpoint, Engine: candidate.Engine.GetName(), Reason: choice.Reason, Started: sent,
	})
	router.change(func(policy retry.Policy) retry.Policy {
		policy.Detector = policy.Detector.WithSent(healthKey(candidate), sent)
		return policy
	})
	router.source.Begin(candidate)
	router.crashes.Begin(run.flight)
	running.Go(func() {
		defer cancel()
		run.result = exchange.run(ctx)
		hop.End(run.result.Outcome.String(), run.result.Err)
		router.crashes.End(run.flight)
		router.source.End(candidate, exchange.load)
		ended <- run
	})
	return run
}

// settled draws the conclusions from an attempt that is over.
func (dispatch *dispatch) settled(run *runner) Result {
	router, exchange, result := dispatch.router, run.exchange, run.result
	candidate := run.choice.Candidate
	reason := ""
	if result.Err != nil {
		reason = result.Err.Error()
		dispatch.logFailure(candidate, exchange.message.GetAttempt(), result)
	}
	router.ledger.EndAttempt(dispatch.request.ID, exchange.message.GetAttempt(), router.clock.Now(), exchange.queued, result.Outcome, reason)
	router.change(func(policy retry.Policy) retry.Policy {
		return policy.WithEnd(healthKey(candidate), exchange.ending(), router.clock.Now())
	})
	dispatch.held = exchange.held
	switch {
	case result.Outcome == wire.Outcome_OUTCOME_NOT_RUN:
	case errors.Is(result.Err, errLost):
		dispatch.started++
	default:
		dispatch.started++
		dispatch.worst = result
		dispatch.delivery.release(exchange)
	}
	dispatch.report(run)
	return result
}

// report tells the crash tracker and the source what became of the endpoint process.
func (dispatch *dispatch) report(run *runner) {
	router, exchange, candidate := dispatch.router, run.exchange, run.choice.Candidate
	switch exchange.fate {
	case dead:
		router.crashes.Crashed(run.flight)
		router.source.Gone(candidate)
	case unreached:
		router.source.Gone(candidate)
	case mute:
		router.crashes.Silent(run.flight)
	case present:
	}
	if run.flight.Alone && exchange.fate == present && exchange.ended && run.result.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
		router.crashes.Cleared(dispatch.request)
	}
	if run.result.Outcome != wire.Outcome_OUTCOME_OK && run.result.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
		dispatch.failed[candidate.Engine.GetName()] = candidate.Incarnation
	}
	if errors.Is(run.result.Err, errFull) {
		dispatch.full[candidate.Engine.GetName()] = exchange.load
	}
}

// ending tells what an attempt's end says of its engine.
func (exchange *exchange) ending() retry.End {
	result := exchange.result
	switch {
	case exchange.fate == mute || exchange.fate == dead:
		return retry.Lost
	case result.Outcome == wire.Outcome_OUTCOME_OK:
		return retry.Succeeded
	case errors.Is(result.Err, errStopped) || errors.Is(result.Err, errLost) || errors.Is(result.Err, context.Canceled):
		return retry.Neutral
	case result.Outcome == wire.Outcome_OUTCOME_UNKNOWN || exchange.fate == unreached:
		return retry.Failed
	case result.Outcome == wire.Outcome_OUTCOME_FAILED && exchange.held != nil && exchange.held.status >= http.StatusInternalServerError:
		return retry.Failed
	case result.Outcome == wire.Outcome_OUTCOME_NOT_RUN && exchange.isBegun():
		// The endpoint process could not reach its engine.
		return retry.Failed
	}
	return retry.Neutral
}

// healthKey names an engine for the detector. A restarted endpoint process
// starts with a clean record.
func healthKey(candidate place.Candidate) string {
	return candidate.Engine.GetName() + "/" + strconv.FormatUint(candidate.Incarnation, 16)
}

func (dispatch *dispatch) message(choice place.Choice, alone bool) *wire.Attempt {
	request, candidate := dispatch.request, choice.Candidate
	events, _ := dispatch.delivery.progress(request.Kind)
	return &wire.Attempt{
		RequestId: request.ID, Attempt: dispatch.number, Incarnation: candidate.Incarnation, Engine: candidate.Engine.GetName(),
		Customer: request.Customer.GetName(), Tier: request.Tier, Priority: request.Priority, Weight: request.Customer.GetWeight(),
		Kind: request.Kind, Idempotent: request.Idempotent, Model: request.Model, Method: request.Method, Path: request.Path,
		ContentType: request.ContentType, Body: request.Body, Stream: request.Stream, SkipEvents: events,
		PredictedSize: request.PredictedSize, Patience: int64(max(request.Deadline-dispatch.router.clock.Now(), clock.Second)),
		Traceparent: request.Traceparent, Entry: dispatch.router.settings.Node, PrefixHash: request.PrefixHash, Headers: request.Headers,
		RefuseIfFull: !choice.Queue && !alone, Alone: alone,
	}
}
