package route

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

var errNoQuarantine = errors.New("the request must run alone and no endpoint can be reserved for it now")

// Refused returns the answer to a request that is blocked, or nil.
func (router *Router) Refused(request call.Call) *Result {
	if decision := router.crashes.Decide(request); decision.Treatment == crash.Block {
		return blockedResult(decision)
	}
	return nil
}

// Place chooses an engine for an attempt that the calling code records before
// it is sent. Engines named in used are left out unless no other is left.
func (router *Router) Place(request call.Call, used []string) (place.Choice, bool) {
	if treatment := router.crashes.Decide(request).Treatment; treatment == crash.Block || treatment == crash.Wait {
		return place.Choice{}, false
	}
	dispatch := newDispatch(router, request, nil)
	dispatch.usedEngines = used
	choice, found, _ := dispatch.choose(false)
	return choice, found
}

// Attempt sends one attempt to the engine chosen for it, without retries.
func (router *Router) Attempt(ctx context.Context, request call.Call, number uint32, choice place.Choice, sink Sink) Result {
	treatment := router.crashes.Decide(request).Treatment
	alone := treatment == crash.Quarantine
	if alone && !router.enterQuarantine(len(eligible(request, router.source.Candidates()))) {
		return Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errNoQuarantine}
	}
	dispatch := newDispatch(router, request, sink)
	dispatch.lastAttempt = number - 1
	// Every attempt is recorded as a claim and their number is limited, so a full
	// engine queues the attempt instead of refusing it.
	choice.Queue = true
	return dispatch.finish(dispatch.attempt(ctx, choice, alone))
}
