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

// dispatch is one call on its way through its attempts.
type dispatch struct {
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

func newDispatch(router *Router, request call.Call, sink Sink) *dispatch {
	return &dispatch{
		router: router, request: request, delivery: newDelivery(sink),
		full: map[string]*wire.EngineLoad{}, failed: map[string]uint64{}, pause: leastPause,
	}
}

func (dispatch *dispatch) run(ctx context.Context) Result {
	for {
		choice, alone, refusal := dispatch.next(ctx)
		if refusal != nil {
			if refusal.Outcome == wire.Outcome_OUTCOME_FAILED {
				// The refusal is the answer, not an earlier error of an engine.
				dispatch.held = nil
			}
			return dispatch.close(*refusal)
		}
		result := dispatch.attempt(ctx, choice, alone)
		if !dispatch.again(ctx, result) {
			return dispatch.close(result)
		}
	}
}

// next waits until the call may run and an engine can be had for it.
func (dispatch *dispatch) next(ctx context.Context) (place.Choice, bool, *Result) {
	leave := func() {}
	defer func() { leave() }()
	for waiting := false; ; waiting = true {
		verdict := dispatch.router.crashes.Verdict(dispatch.request)
		if verdict.Standing == blame.Refuse {
			return place.Choice{}, false, blocked(verdict)
		}
		alone := verdict.Standing == blame.Quarantine
		if verdict.Standing != blame.Hold {
			choice, found, known := dispatch.choose(alone)
			if found {
				return choice, alone, nil
			}
			if !known {
				return place.Choice{}, false, &Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errNoEngine}
			}
		}
		if dispatch.router.clock.Now() >= dispatch.deadline() {
			return place.Choice{}, false, &Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errDeadline}
		}
		if !waiting {
			leave = dispatch.router.room.enter(dispatch.request)
		}
		if err := dispatch.router.clock.Sleep(ctx, waitPoll); err != nil {
			return place.Choice{}, false, &Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errDeadline}
		}
	}
}

// deadline is when the caller stops waiting for an engine.
func (dispatch *dispatch) deadline() clock.Millis {
	if dispatch.delivery.started() {
		return max(dispatch.request.Deadline, dispatch.router.clock.Now()+continueLimit)
	}
	return dispatch.request.Deadline
}

// choose returns an engine if one can be had now, and tells whether one can be
// expected at all.
func (dispatch *dispatch) choose(alone bool) (choice place.Choice, found, known bool) {
	router, now, of := dispatch.router, dispatch.router.clock.Now(), classOf(dispatch.request)
	fit := fitting(dispatch.request, router.source.Candidates())
	if len(fit) == 0 {
		return place.Choice{}, false, router.room.expected(of, now)
	}
	router.room.note(of, now)
	if !router.room.turn(dispatch.request) {
		return place.Choice{}, false, true
	}
	if alone && !router.enterQuarantine(len(fit)) {
		return place.Choice{}, false, true
	}
	choice, found = router.placer.Choose(dispatch.request, dispatch.fresh(router.healthy(fit)), now, dispatch.full)
	if alone && !found {
		router.leaveQuarantine()
	}
	return choice, found, true
}

// fresh leaves out the engines that failed the call, unless none would be left.
func (dispatch *dispatch) fresh(candidates []place.Candidate) []place.Candidate {
	if len(dispatch.failed) == 0 && len(dispatch.used) == 0 {
		return candidates
	}
	kept := make([]place.Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		name := candidate.Engine.GetName()
		if dispatch.failed[name] != candidate.Incarnation && !slices.Contains(dispatch.used, name) {
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
func (dispatch *dispatch) again(ctx context.Context, result Result) bool {
	if ctx.Err() != nil || errors.Is(result.Err, errStopped) {
		return false
	}
	switch result.Outcome {
	case wire.Outcome_OUTCOME_NOT_RUN:
		return dispatch.rest(ctx, result)
	case wire.Outcome_OUTCOME_UNKNOWN:
	case wire.Outcome_OUTCOME_FAILED:
		if dispatch.held == nil || dispatch.held.status < http.StatusInternalServerError {
			return false
		}
	default:
		return false
	}
	_, resumable := dispatch.delivery.progress(dispatch.request.Kind)
	return dispatch.request.Idempotent && resumable && dispatch.router.payRetry(dispatch.started)
}

// rest waits before an attempt that was refused is sent again. An engine that
// is full names its load at once, so another one is tried without a wait.
func (dispatch *dispatch) rest(ctx context.Context, result Result) bool {
	if errors.Is(result.Err, errFull) && len(dispatch.full) <= place.Tries {
		return true
	}
	if dispatch.router.clock.Now() >= dispatch.deadline() {
		return false
	}
	if err := dispatch.router.clock.Sleep(ctx, dispatch.pause); err != nil {
		return false
	}
	dispatch.pause = min(2*dispatch.pause, mostPause)
	return true
}

// close gives the caller what is left. A call of which any attempt may have
// run is never reported as not run.
func (dispatch *dispatch) close(result Result) Result {
	if result.Outcome == wire.Outcome_OUTCOME_NOT_RUN && dispatch.started > 0 {
		result.Outcome = dispatch.worst.Outcome
		result.Err = errors.CombineErrors(dispatch.worst.Err, result.Err)
	}
	if result.Outcome == wire.Outcome_OUTCOME_FAILED && dispatch.held != nil && !dispatch.delivery.started() {
		if err := dispatch.held.pass(dispatch.delivery); err != nil {
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

func (dispatch *dispatch) logFailure(candidate place.Candidate, number uint32, result Result) {
	dispatch.router.log.Write(event.AttemptFailed, "request", dispatch.request.ID, "attempt", number,
		"engine", candidate.Engine.GetName(), "outcome", result.Outcome, "error", result.Err)
}
