package route

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay after an endpoint refused
	// an attempt.
	minRetryDelay = 20 * clock.Millis(1)
	maxRetryDelay = 500 * clock.Millis(1)
	// continueWait keeps the deadline of a call with a partly delivered answer at
	// least this far ahead, so that it can wait for an engine that continues it.
	// It starts anew at each check (see deadline).
	continueWait = 10 * clock.Second
	// quarantineDivisor limits the endpoints that one entry VM uses for
	// quarantine at a time to one in four.
	quarantineDivisor = 4
)

// dispatch is the state of one call over all of its attempts.
type dispatch struct {
	router   *Router
	request  call.Call
	delivery *delivery
	// lastAttempt is the number of the latest attempt.
	lastAttempt uint32
	// started counts the attempts that may have run.
	started int
	// lastResult is the result of the latest attempt that may have run.
	lastResult Result
	// fullEngines holds the load of the engines that refused the call as full.
	fullEngines map[string]*wire.EngineLoad
	// failedEngines holds the incarnation of the engines that failed the call.
	failedEngines map[string]uint64
	// retryDelay is the delay before the next attempt that follows a refusal.
	retryDelay clock.Millis
	// usedEngines names engines to avoid, whatever their incarnation.
	usedEngines []string
	// errorAnswer is the error answer of the latest attempt.
	errorAnswer *bufferedAnswer
}

func newDispatch(router *Router, request call.Call, sink Sink) *dispatch {
	return &dispatch{
		router: router, request: request, delivery: newDelivery(sink),
		fullEngines: map[string]*wire.EngineLoad{}, failedEngines: map[string]uint64{}, retryDelay: minRetryDelay,
	}
}

func (dispatch *dispatch) run(ctx context.Context) Result {
	for {
		choice, alone, refusal := dispatch.awaitEngine(ctx)
		if refusal != nil {
			if refusal.Outcome == wire.Outcome_OUTCOME_FAILED {
				// The refusal replaces an earlier error answer of an engine.
				dispatch.errorAnswer = nil
			}
			return dispatch.finish(*refusal)
		}
		result := dispatch.attempt(ctx, choice, alone)
		if !dispatch.prepareRetry(ctx, result) {
			return dispatch.finish(result)
		}
	}
}

// awaitEngine waits until the call may run and an engine is available for it.
// It returns a result instead when the call is refused or its deadline passes.
func (dispatch *dispatch) awaitEngine(ctx context.Context) (place.Choice, bool, *Result) {
	leave := func() {}
	defer func() { leave() }()
	for waiting := false; ; waiting = true {
		decision := dispatch.router.crashes.Decide(dispatch.request)
		if decision.Treatment == crash.Block {
			return place.Choice{}, false, blockedResult(decision)
		}
		alone := decision.Treatment == crash.Quarantine
		if decision.Treatment != crash.Wait {
			choice, found, expected := dispatch.choose(alone)
			if found {
				return choice, alone, nil
			}
			if !expected {
				return place.Choice{}, false, &Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errNoEngine}
			}
		}
		if dispatch.router.clock.Now() >= dispatch.deadline() {
			return place.Choice{}, false, &Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errDeadline}
		}
		if !waiting {
			leave = dispatch.router.waitlist.enter(dispatch.request)
		}
		if err := dispatch.router.clock.Sleep(ctx, waitPollInterval); err != nil {
			return place.Choice{}, false, &Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errDeadline}
		}
	}
}

// deadline returns the time at which the call stops waiting for an engine. Once a
// part of the answer is delivered, it is at least continueWait after the time of
// each call of deadline, so that it is never reached; the wait then ends only with
// an engine, a block, the context, or when no engine is expected.
func (dispatch *dispatch) deadline() clock.Millis {
	if dispatch.delivery.started() {
		return max(dispatch.request.Deadline, dispatch.router.clock.Now()+continueWait)
	}
	return dispatch.request.Deadline
}

// choose returns an engine if one is available now, and reports whether one is
// likely to become available soon. With alone set, an engine that is found comes
// with a reserved quarantine, which attempt releases when the attempt is over.
func (dispatch *dispatch) choose(alone bool) (choice place.Choice, found, expected bool) {
	router, now, class := dispatch.router, dispatch.router.clock.Now(), engineClassOf(dispatch.request)
	fit := eligible(dispatch.request, router.source.Candidates())
	if len(fit) == 0 {
		return place.Choice{}, false, router.waitlist.mayAppear(class, now)
	}
	router.waitlist.markAvailable(class, now)
	if !router.waitlist.mayProceed(dispatch.request) {
		return place.Choice{}, false, true
	}
	if alone && !router.enterQuarantine(len(fit)) {
		return place.Choice{}, false, true
	}
	choice, found = router.placer.Choose(dispatch.request, dispatch.withoutFailed(router.healthy(fit)), now, dispatch.fullEngines)
	if alone && !found {
		router.leaveQuarantine()
	}
	return choice, found, true
}

// withoutFailed leaves out the engines that failed the call and those to avoid,
// unless none would be left.
func (dispatch *dispatch) withoutFailed(candidates []place.Candidate) []place.Candidate {
	if len(dispatch.failedEngines) == 0 && len(dispatch.usedEngines) == 0 {
		return candidates
	}
	kept := make([]place.Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		name := candidate.Engine.GetName()
		if dispatch.failedEngines[name] != candidate.Incarnation && !slices.Contains(dispatch.usedEngines, name) {
			kept = append(kept, candidate)
		}
	}
	if len(kept) == 0 {
		return candidates
	}
	return kept
}

// eligible returns the candidates whose engine can run the call.
func eligible(request call.Call, candidates []place.Candidate) []place.Candidate {
	fit := make([]place.Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if place.Fits(request, candidate.Engine) {
			fit = append(fit, candidate)
		}
	}
	return fit
}

// prepareRetry reports whether the call gets another attempt. For an attempt that
// did not run it first sleeps for the delay that is due; for one that may have run
// it takes a retry from the budget.
func (dispatch *dispatch) prepareRetry(ctx context.Context, result Result) bool {
	if ctx.Err() != nil || errors.Is(result.Err, errCallerGone) {
		return false
	}
	switch result.Outcome {
	case wire.Outcome_OUTCOME_NOT_RUN:
		return dispatch.backOff(ctx, result)
	case wire.Outcome_OUTCOME_UNKNOWN:
	case wire.Outcome_OUTCOME_FAILED:
		if dispatch.errorAnswer == nil || dispatch.errorAnswer.status < http.StatusInternalServerError {
			return false
		}
	default:
		return false
	}
	_, resumable := dispatch.delivery.progress(dispatch.request.Kind)
	return dispatch.request.Idempotent && resumable && dispatch.router.spendRetry(dispatch.started)
}

// backOff waits before a refused call is sent again, and reports whether it may
// be. An engine that is full refuses at once with its load, so another engine
// is tried without a delay.
func (dispatch *dispatch) backOff(ctx context.Context, result Result) bool {
	if errors.Is(result.Err, errFull) && len(dispatch.fullEngines) <= place.MaxTries {
		return true
	}
	if dispatch.router.clock.Now() >= dispatch.deadline() {
		return false
	}
	if err := dispatch.router.clock.Sleep(ctx, dispatch.retryDelay); err != nil {
		return false
	}
	dispatch.retryDelay = min(2*dispatch.retryDelay, maxRetryDelay)
	return true
}

// finish sends a buffered error answer to the caller and returns the result of
// the call. A call with an attempt that may have run is never reported as not
// run.
func (dispatch *dispatch) finish(result Result) Result {
	if result.Outcome == wire.Outcome_OUTCOME_NOT_RUN && dispatch.started > 0 {
		result.Outcome = dispatch.lastResult.Outcome
		result.Err = errors.CombineErrors(dispatch.lastResult.Err, result.Err)
	}
	if result.Outcome == wire.Outcome_OUTCOME_FAILED && dispatch.errorAnswer != nil && !dispatch.delivery.started() {
		if err := dispatch.errorAnswer.deliver(dispatch.delivery); err != nil {
			result.Err = err
		}
	}
	return result
}

// blockedResult returns the answer to a request that is blocked because it
// crashes endpoints.
func blockedResult(decision crash.Decision) *Result {
	until := time.UnixMilli(int64(decision.Until)).UTC().Format(time.RFC3339)
	text := fmt.Sprintf("this request is blocked until %s because endpoints crashed %d times while it ran", until, decision.Crashes)
	if decision.RequestID != "" {
		text += fmt.Sprintf("; an operator can end the block earlier by: unblock request %s", decision.RequestID)
	}
	return &Result{Outcome: wire.Outcome_OUTCOME_FAILED, Err: &call.StatusError{Status: http.StatusUnprocessableEntity, Text: text}}
}

func (dispatch *dispatch) logFailure(candidate place.Candidate, number uint32, result Result) {
	dispatch.router.log.Write(event.AttemptFailed, "request", dispatch.request.ID, "attempt", number,
		"engine", candidate.Engine.GetName(), "outcome", result.Outcome, "error", result.Err)
}
