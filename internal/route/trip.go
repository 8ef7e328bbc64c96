package route

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/blame"
	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// leastPause and mostPause bound the wait after an endpoint refused an attempt.
	leastPause = 20 * clock.Millis(1)
	mostPause  = 500 * clock.Millis(1)
	// continueLimit is how long a caller that has a part of its answer waits
	// for an engine that continues it, whatever its tier's patience.
	continueLimit = 10 * clock.Second
	// quarantineShare bounds the part of the endpoints that one entry VM keeps
	// in quarantine: one in four.
	quarantineShare = 4
)

// trip is one call on its way through its attempts.
type trip struct {
	router   *Router
	request  call.Call
	delivery *delivery
	number   uint32
	// started counts the attempts that may have run.
	started int
	// worst is the result of the latest attempt that may have run.
	worst Result
	// full holds the load of the engines that refused the call as full.
	full map[string]*wire.EngineLoad
	// failed names the engines that failed the call, with their incarnation.
	failed map[string]uint64
	pause  clock.Millis
	// used names engines that are not wanted, whatever their incarnation.
	used []string
	// held is the error answer of the latest attempt.
	held *held
}

func newTrip(router *Router, request call.Call, sink Sink) *trip {
	return &trip{
		router: router, request: request, delivery: newDelivery(sink),
		full: map[string]*wire.EngineLoad{}, failed: map[string]uint64{}, pause: leastPause,
	}
}

func (trip *trip) run(ctx context.Context) Result {
	for {
		choice, alone, refusal := trip.next(ctx)
		if refusal != nil {
			if refusal.Outcome == wire.Outcome_OUTCOME_FAILED {
				// The refusal is the answer, not an earlier error of an engine.
				trip.held = nil
			}
			return trip.close(*refusal)
		}
		result := trip.attempt(ctx, choice, alone)
		if !trip.again(ctx, result) {
			return trip.close(result)
		}
	}
}

// next waits until the call may run and an engine can be had for it.
func (trip *trip) next(ctx context.Context) (place.Choice, bool, *Result) {
	leave := func() {}
	defer func() { leave() }()
	for waiting := false; ; waiting = true {
		verdict := trip.router.judge.Verdict(trip.request)
		if verdict.Standing == blame.Refuse {
			return place.Choice{}, false, blocked(verdict)
		}
		alone := verdict.Standing == blame.Quarantine
		if verdict.Standing != blame.Hold {
			choice, found, known := trip.choose(alone)
			if found {
				return choice, alone, nil
			}
			if !known {
				return place.Choice{}, false, &Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errNoEngine}
			}
		}
		if trip.router.clock.Now() >= trip.deadline() {
			return place.Choice{}, false, &Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errDeadline}
		}
		if !waiting {
			leave = trip.router.room.enter(trip.request)
		}
		if err := trip.router.clock.Sleep(ctx, waitPoll); err != nil {
			return place.Choice{}, false, &Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errDeadline}
		}
	}
}

// deadline is when the caller stops waiting for an engine.
func (trip *trip) deadline() clock.Millis {
	if trip.delivery.started() {
		return max(trip.request.Deadline, trip.router.clock.Now()+continueLimit)
	}
	return trip.request.Deadline
}

// choose returns an engine if one can be had now, and tells whether one can be
// expected at all.
func (trip *trip) choose(alone bool) (choice place.Choice, found, known bool) {
	router, now, of := trip.router, trip.router.clock.Now(), classOf(trip.request)
	fit := fitting(trip.request, router.source.Candidates())
	if len(fit) == 0 {
		return place.Choice{}, false, router.room.expected(of, now)
	}
	router.room.note(of, now)
	if !router.room.turn(trip.request) {
		return place.Choice{}, false, true
	}
	if alone && !router.enterQuarantine(len(fit)) {
		return place.Choice{}, false, true
	}
	choice, found = router.placer.Choose(trip.request, trip.fresh(router.healthy(fit)), now, trip.full)
	if alone && !found {
		router.leaveQuarantine()
	}
	return choice, found, true
}

// fresh leaves out the engines that failed the call, unless none would be left.
func (trip *trip) fresh(candidates []place.Candidate) []place.Candidate {
	if len(trip.failed) == 0 && len(trip.used) == 0 {
		return candidates
	}
	kept := make([]place.Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		name := candidate.Engine.GetName()
		if trip.failed[name] != candidate.Incarnation && !slices.Contains(trip.used, name) {
			kept = append(kept, candidate)
		}
	}
	if len(kept) == 0 {
		return candidates
	}
	return kept
}

func fitting(request call.Call, candidates []place.Candidate) []place.Candidate {
	fit := make([]place.Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if place.Fits(request, candidate.Engine) {
			fit = append(fit, candidate)
		}
	}
	return fit
}

// again tells whether a call is tried once more, after the pause that is due.
func (trip *trip) again(ctx context.Context, result Result) bool {
	if ctx.Err() != nil || errors.Is(result.Err, errStopped) {
		return false
	}
	switch result.Outcome {
	case wire.Outcome_OUTCOME_NOT_RUN:
		return trip.rest(ctx, result)
	case wire.Outcome_OUTCOME_UNKNOWN:
	case wire.Outcome_OUTCOME_FAILED:
		if trip.held == nil || trip.held.status < http.StatusInternalServerError {
			return false
		}
	default:
		return false
	}
	_, resumable := trip.delivery.progress(trip.request.Kind)
	return trip.request.Idempotent && resumable && trip.router.payRetry(trip.started)
}

// rest waits before an attempt that was refused is sent again. An engine that
// is full names its load at once, so another one is tried without a wait.
func (trip *trip) rest(ctx context.Context, result Result) bool {
	if errors.Is(result.Err, errFull) && len(trip.full) <= place.Tries {
		return true
	}
	if trip.router.clock.Now() >= trip.deadline() {
		return false
	}
	if err := trip.router.clock.Sleep(ctx, trip.pause); err != nil {
		return false
	}
	trip.pause = min(2*trip.pause, mostPause)
	return true
}

// close gives the caller what is left. A call of which any attempt may have
// run is never reported as not run.
func (trip *trip) close(result Result) Result {
	if result.Outcome == wire.Outcome_OUTCOME_NOT_RUN && trip.started > 0 {
		result.Outcome = trip.worst.Outcome
		result.Err = errors.CombineErrors(trip.worst.Err, result.Err)
	}
	if result.Outcome == wire.Outcome_OUTCOME_FAILED && trip.held != nil && !trip.delivery.started() {
		if err := trip.held.pass(trip.delivery); err != nil {
			result.Err = err
		}
	}
	return result
}

// blocked is the answer to a request that crashes endpoints.
func blocked(verdict blame.Verdict) *Result {
	until := time.UnixMilli(int64(verdict.Until)).UTC().Format(time.RFC3339)
	text := fmt.Sprintf("this request is blocked until %s because endpoints crashed %d times while it ran", until, verdict.Crashes)
	if verdict.RequestID != "" {
		text += fmt.Sprintf("; an operator can end the block earlier by: unblock request %s", verdict.RequestID)
	}
	return &Result{Outcome: wire.Outcome_OUTCOME_FAILED, Err: &call.StatusError{Status: http.StatusUnprocessableEntity, Text: text}}
}

func (trip *trip) logFailure(candidate place.Candidate, number uint32, result Result) {
	trip.router.log.Write(event.AttemptFailed, "request", trip.request.ID, "attempt", number,
		"engine", candidate.Engine.GetName(), "outcome", result.Outcome, "error", result.Err)
}
