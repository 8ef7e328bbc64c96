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
func (trip *trip) attempt(ctx context.Context, choice place.Choice, alone bool) Result {
	if alone {
		defer trip.router.leaveQuarantine()
	}
	ended := make(chan *runner, 2)
	var running conc.WaitGroup
	defer running.Wait()
	first := trip.launch(ctx, &running, choice, alone, ended)
	slow, stop := trip.hedge(first)
	defer stop()
	select {
	case done := <-ended:
		return trip.settled(done)
	case <-slow:
	}
	second, ok := trip.second(ctx, &running, first, ended)
	if !ok {
		return trip.settled(<-ended)
	}
	return trip.race(first, second, ended)
}

// race takes the attempt that answers first and cancels the other.
func (trip *trip) race(first, second *runner, ended chan *runner) Result {
	other := map[*runner]*runner{first: second, second: first}
	select {
	case <-trip.delivery.claimed():
		winner := first
		if trip.delivery.isOwner(second.exchange) {
			winner = second
		}
		other[winner].cancel()
	case done := <-ended:
		if done.result.Outcome == wire.Outcome_OUTCOME_OK {
			other[done].cancel()
			trip.settled(<-ended)
			return trip.settled(done)
		}
		trip.settled(done)
		return trip.settled(<-ended)
	}
	one := <-ended
	two := <-ended
	if trip.delivery.isOwner(one.exchange) {
		one, two = two, one
	}
	trip.settled(one)
	return trip.settled(two)
}

// hedge returns a channel that tells when the attempt is slow enough to be
// raced; it never does when the attempt must not be. Only paid work is raced:
// free work has no claim to a second engine.
func (trip *trip) hedge(first *runner) (<-chan time.Time, func() bool) {
	trip.router.mu.Lock()
	after, known := trip.router.policy.HedgeAfter()
	trip.router.mu.Unlock()
	if !known || first.flight.Alone || !trip.request.Idempotent || trip.request.Tier != wire.Tier_TIER_PAID || trip.delivery.started() {
		return nil, func() bool { return true }
	}
	timer := time.NewTimer(after.Duration())
	return timer.C, timer.Stop
}

// second sends a racing attempt if the first one runs without an answer so far
// and the retry budget allows it.
func (trip *trip) second(ctx context.Context, running *conc.WaitGroup, first *runner, ended chan *runner) (*runner, bool) {
	if !first.exchange.isBegun() || trip.delivery.started() {
		return nil, false
	}
	engine := first.choice.Candidate.Engine.GetName()
	trip.failed[engine] = first.choice.Candidate.Incarnation
	choice, found, _ := trip.choose(false)
	delete(trip.failed, engine)
	if !found || choice.Candidate.Engine.GetName() == engine || !trip.router.payRetry(trip.started+1) {
		return nil, false
	}
	trip.router.log.Write(event.AttemptRaced, "request", trip.request.ID, "slow", engine, "engine", choice.Candidate.Engine.GetName())
	return trip.launch(ctx, running, choice, false, ended), true
}

// launch sends an attempt; it appears in ended when it is over.
func (trip *trip) launch(ctx context.Context, running *conc.WaitGroup, choice place.Choice, alone bool, ended chan<- *runner) *runner {
	trip.number++
	router, candidate, number, sent := trip.router, choice.Candidate, trip.number, trip.router.clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	hop := span.From(ctx).Start(trip.request.Traceparent, "attempt", span.Number("attempt", number),
		span.Text("endpoint", candidate.Endpoint), span.Text("engine", candidate.Engine.GetName()))
	message := trip.message(choice, alone)
	message.Traceparent = hop.Traceparent(trip.request.Traceparent)
	exchange := &exchange{router: router, candidate: candidate, message: message, delivery: trip.delivery, sent: sent}
	run := &runner{exchange: exchange, choice: choice, cancel: cancel, flight: &Flight{
		Candidate: candidate, Request: trip.request, Alone: alone, Sent: sent, Begun: exchange.isBegun,
	}}
	router.ledger.Try(trip.request.ID, ledger.Attempt{
		Number: number, Endpoint: candidate.Endpoint, Engine: candidate.Engine.GetName(), Reason: choice.Reason, Started: sent,
	})
	router.change(func(policy retry.Policy) retry.Policy {
		policy.Detector = policy.Detector.WithSent(healthKey(candidate), sent)
		return policy
	})
	router.source.Begin(candidate)
	router.judge.Begin(run.flight)
	running.Go(func() {
		defer cancel()
		run.result = exchange.run(ctx)
		hop.End(run.result.Outcome.String(), run.result.Err)
		router.judge.End(run.flight)
		router.source.End(candidate, exchange.load)
		ended <- run
	})
	return run
}

// settled draws the conclusions from an attempt that is over.
func (trip *trip) settled(run *runner) Result {
	router, exchange, result := trip.router, run.exchange, run.result
	candidate := run.choice.Candidate
	reason := ""
	if result.Err != nil {
		reason = result.Err.Error()
		trip.logFailure(candidate, exchange.message.GetAttempt(), result)
	}
	router.ledger.Tried(trip.request.ID, exchange.message.GetAttempt(), router.clock.Now(), exchange.queued, result.Outcome, reason)
	router.change(func(policy retry.Policy) retry.Policy {
		return policy.WithEnd(healthKey(candidate), exchange.ending(), router.clock.Now())
	})
	trip.held = exchange.held
	switch {
	case result.Outcome == wire.Outcome_OUTCOME_NOT_RUN:
	case errors.Is(result.Err, errLost):
		trip.started++
	default:
		trip.started++
		trip.worst = result
		trip.delivery.release(exchange)
	}
	trip.report(run)
	return result
}

// report tells the judge and the source what became of the endpoint process.
func (trip *trip) report(run *runner) {
	router, exchange, candidate := trip.router, run.exchange, run.choice.Candidate
	switch exchange.fate {
	case dead:
		router.judge.Crashed(run.flight)
		router.source.Gone(candidate)
	case unreached:
		router.source.Gone(candidate)
	case mute:
		router.judge.Silent(run.flight)
	case present:
	}
	if run.flight.Alone && exchange.fate == present && exchange.ended && run.result.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
		router.judge.Cleared(trip.request)
	}
	if run.result.Outcome != wire.Outcome_OUTCOME_OK && run.result.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
		trip.failed[candidate.Engine.GetName()] = candidate.Incarnation
	}
	if errors.Is(run.result.Err, errFull) {
		trip.full[candidate.Engine.GetName()] = exchange.load
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

func (trip *trip) message(choice place.Choice, alone bool) *wire.Attempt {
	request, candidate := trip.request, choice.Candidate
	events, _ := trip.delivery.progress(request.Kind)
	return &wire.Attempt{
		RequestId: request.ID, Attempt: trip.number, Incarnation: candidate.Incarnation, Engine: candidate.Engine.GetName(),
		Customer: request.Customer.GetName(), Tier: request.Tier, Priority: request.Priority, Weight: request.Customer.GetWeight(),
		Kind: request.Kind, Idempotent: request.Idempotent, Model: request.Model, Method: request.Method, Path: request.Path,
		ContentType: request.ContentType, Body: request.Body, Stream: request.Stream, SkipEvents: events,
		PredictedSize: request.PredictedSize, Patience: int64(max(request.Deadline-trip.router.clock.Now(), clock.Second)),
		Traceparent: request.Traceparent, Entry: trip.router.settings.Node, PrefixHash: request.PrefixHash, Headers: request.Headers,
		RefuseIfFull: !choice.Queue && !alone, Alone: alone,
	}
}
