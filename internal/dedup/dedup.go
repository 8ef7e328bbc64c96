// Package dedup runs non-idempotent work at most once. It is the entry VM's part of the
// claim protocol: each attempt is claimed at the control VMs before it is sent, and its
// outcome is recorded there before the caller gets it. Used by the entry process.
package dedup

import (
	"context"
	"crypto/sha256"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/claim"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// claimTimeout bounds the wait for a claim. It covers the election of a new control
	// leader, which takes less than 3 s.
	claimTimeout = 4 * clock.Second
	// recordTimeout bounds the caller's wait until its answer is recorded.
	recordTimeout = 3 * clock.Second
	// backgroundTimeout bounds the retries to record an answer that the caller already has.
	backgroundTimeout = 30 * clock.Second
	maxAttempts       = 3
)

var (
	errNoEngine  = errors.New("no engine can run this request now")
	errLost      = errors.New("the endpoint process that held this work is gone; the work may have run and is not run again")
	errUndecided = errors.New("time limit reached before it was known whether this work ran; send it again with the same Idempotency-Key")
)

// Router places and sends attempts.
type Router interface {
	Do(ctx context.Context, request call.Call, sink route.Sink) route.Result
	Place(request call.Call, used []string) (place.Choice, bool)
	Attempt(ctx context.Context, request call.Call, number uint32, choice place.Choice, sink route.Sink) route.Result
}

// Endpoints returns the current announcement of an endpoint process.
type Endpoints func(name string) (*wire.Announcement, bool)

// Settings holds the dependencies of a Runner.
type Settings struct {
	Router       Router
	Claims       *Claims
	Pool         *link.Pool
	Endpoints    Endpoints
	Clock        *clock.Clock
	Log          *event.Log
	SilenceLimit clock.Millis
}

// Runner runs calls and claims those that must run at most once.
type Runner struct {
	Settings
	background conc.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
}

// New returns a Runner that uses the given dependencies.
func New(settings Settings) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Runner{Settings: settings, ctx: ctx, cancel: cancel}
}

// Close cancels the retries to record answers and waits until they have stopped.
func (runner *Runner) Close() error {
	runner.cancel()
	runner.background.Wait()
	return nil
}

// Do runs a call and writes its answer to the sink. Calls that are idempotent or have no
// key are sent without a claim.
func (runner *Runner) Do(ctx context.Context, request call.Call, sink route.Sink) route.Result {
	if request.Idempotent || request.Key == "" {
		return runner.Router.Do(ctx, request, sink)
	}
	execution := &execution{runner: runner, request: request, sink: sink, nextAttempt: 1, hash: bodyHash(request)}
	return execution.run(ctx)
}

// bodyHash returns a hash of method, path and body. It detects the use of one key for
// different requests.
func bodyHash(request call.Call) []byte {
	digest := sha256.New()
	for _, part := range []string{request.Method, "\x00", request.Path, "\x00"} {
		// Writes to a hash never fail.
		_, _ = digest.Write([]byte(part))
	}
	_, _ = digest.Write(request.Body)
	return digest.Sum(nil)
}

// execution is the state of one non-idempotent request: its claim, its attempts and the
// attempt that it replaces.
type execution struct {
	runner  *Runner
	request call.Call
	sink    route.Sink
	hash    []byte
	// nextAttempt is the number of the next attempt.
	nextAttempt uint32
	attempts    int
	usedEngines []string
	// replaces is the fenced or refused attempt whose claim the next attempt takes over.
	replaces *wire.ClaimOp
	// lastRefusal is the error of the last attempt that did not run.
	lastRefusal error
}

func (execution *execution) run(ctx context.Context) route.Result {
	for {
		choice, placed := execution.runner.Router.Place(execution.request, execution.usedEngines)
		if execution.attempts >= maxAttempts || ctx.Err() != nil {
			placed = false
		}
		op := execution.nextOp(choice, placed)
		reply, err := execution.apply(ctx, op)
		if err != nil {
			// All earlier attempts of this request were fenced or refused; none can still start.
			return route.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: err}
		}
		if result, ended := execution.handleReply(ctx, op, reply, choice); ended {
			return result
		}
	}
}

// nextOp returns the claim operation for the next attempt, or a lookup if no engine can
// run it.
func (execution *execution) nextOp(choice place.Choice, placed bool) *wire.ClaimOp {
	op := &wire.ClaimOp{
		Customer: execution.request.Customer.GetName(), Key: execution.request.Key, BodyHash: execution.hash,
		RequestId: execution.request.ID, Attempt: execution.nextAttempt, At: int64(execution.runner.Clock.Now()),
		Endpoint: choice.Candidate.Endpoint, Incarnation: choice.Candidate.Incarnation, EndpointAddress: choice.Candidate.Address,
		Lookup: !placed,
	}
	if execution.replaces != nil {
		op.ReplacesRequestId, op.ReplacesAttempt = execution.replaces.GetRequestId(), execution.replaces.GetAttempt()
	}
	return op
}

func (execution *execution) apply(ctx context.Context, op *wire.ClaimOp) (*wire.ClaimReply, error) {
	// A request must be able to release its claim after its deadline.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout.Duration())
	defer cancel()
	return execution.runner.Claims.Apply(ctx, op)
}

// handleReply acts on the result of a claim operation and reports whether the request
// has ended.
func (execution *execution) handleReply(ctx context.Context, op *wire.ClaimOp, reply *wire.ClaimReply, choice place.Choice) (route.Result, bool) {
	switch reply.GetState() {
	case wire.ClaimState_CLAIM_STATE_GRANTED:
		return execution.attempt(ctx, op, choice)
	case wire.ClaimState_CLAIM_STATE_DONE:
		return execution.deliver(reply.GetAnswer()), true
	case wire.ClaimState_CLAIM_STATE_UNKNOWN:
		return route.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errors.Newf("%s", reply.GetAnswer().GetError())}, true
	case wire.ClaimState_CLAIM_STATE_OTHER_BODY:
		return route.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: &call.StatusError{
			Status: fasthttp.StatusConflict,
			Text:   "this Idempotency-Key was used for a request with another method, path or body; use a new key for new work",
		}}, true
	case wire.ClaimState_CLAIM_STATE_RUNNING:
		if execution.replaces != nil && sameAttempt(reply.GetHolder(), execution.replaces) {
			return execution.release(ctx)
		}
		execution.replaces = nil
		return execution.await(ctx, reply.GetHolder(), false)
	default:
	}
	execution.replaces = nil
	if op.GetLookup() {
		return route.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errNoEngine}, true
	}
	// A delayed duplicate of this claim was applied after this attempt had released the
	// key. The next attempt gets a new number.
	execution.nextAttempt++
	return route.Result{}, false
}

// attempt sends a claimed attempt and records its outcome.
func (execution *execution) attempt(ctx context.Context, claimed *wire.ClaimOp, choice place.Choice) (route.Result, bool) {
	execution.attempts++
	execution.usedEngines = append(execution.usedEngines, choice.Candidate.Engine.GetName())
	recorder := &answerRecorder{answer: &wire.ClaimAnswer{}}
	result := execution.runner.Router.Attempt(ctx, execution.request, claimed.GetAttempt(), choice, recorder)
	switch result.Outcome {
	case wire.Outcome_OUTCOME_OK, wire.Outcome_OUTCOME_FAILED:
		answer := recorder.end(result.Outcome, result.Err)
		execution.recordAnswer(ctx, claimed, answer)
		return execution.deliver(answer), true
	case wire.Outcome_OUTCOME_NOT_RUN:
		execution.lastRefusal = result.Err
		execution.markReplaced(claimed)
		return route.Result{}, false
	default:
		return execution.await(ctx, claimed, true)
	}
}

// markReplaced makes the next attempt take over the claim of a fenced or refused one.
func (execution *execution) markReplaced(holder *wire.ClaimOp) {
	execution.replaces = holder
	execution.nextAttempt = holder.GetAttempt() + 1
}

// release releases the claim of a fenced or refused attempt when no engine can run
// another one.
func (execution *execution) release(ctx context.Context) (route.Result, bool) {
	op := execution.opFor(execution.replaces)
	op.Release = true
	// If the release fails, a retry by the caller finds the attempt fenced and takes
	// over the claim.
	_, _ = execution.apply(ctx, op)
	return route.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errors.CombineErrors(execution.lastRefusal, errNoEngine)}, true
}

// opFor returns a claim operation on behalf of the claim's holder.
func (execution *execution) opFor(holder *wire.ClaimOp) *wire.ClaimOp {
	return &wire.ClaimOp{
		Customer: execution.request.Customer.GetName(), Key: execution.request.Key, BodyHash: execution.hash,
		RequestId: holder.GetRequestId(), Attempt: holder.GetAttempt(), At: int64(execution.runner.Clock.Now()),
	}
}

// recordAnswer records an outcome at the control VMs. If that does not succeed in time,
// the caller still gets its answer and recording continues in the background. The claim
// stays held, so that a retry by the caller gets the answer from the endpoint process or
// the outcome unknown, and never runs the work again.
func (execution *execution) recordAnswer(ctx context.Context, holder *wire.ClaimOp, answer *wire.ClaimAnswer) {
	op := execution.opFor(holder)
	op.Answer = claim.StoredAnswer(answer)
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout.Duration())
	defer cancel()
	_, err := execution.runner.Claims.Apply(recordCtx, op)
	if err == nil {
		return
	}
	execution.runner.Log.Write(event.AnswerNotRecorded, "request", execution.request.ID, "key", execution.request.Key, "error", err)
	execution.runner.background.Go(func() {
		ctx, cancel := context.WithTimeout(execution.runner.ctx, backgroundTimeout.Duration())
		defer cancel()
		// The event above already informs the operator. If this fails too, a retry by the
		// caller resolves the claim.
		_, _ = execution.runner.Claims.Apply(ctx, op)
	})
}

func sameAttempt(first, second *wire.ClaimOp) bool {
	return first.GetRequestId() == second.GetRequestId() && first.GetAttempt() == second.GetAttempt()
}
