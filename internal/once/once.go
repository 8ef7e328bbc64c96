// Package once runs non-idempotent work at most once. It is the entry VM's
// side of claims: each attempt is claimed at the control VMs before it is sent,
// and its outcome is recorded there before the caller hears it.
package once

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
	// claimLimit bounds the wait for a claim; it covers the election of a new
	// control leader, which takes less than 3 s.
	claimLimit = 4 * clock.Second
	// settleLimit bounds the caller's wait for the record of an answer.
	settleLimit = 3 * clock.Second
	// laterLimit bounds the attempts to record an answer after the caller has it.
	laterLimit  = 30 * clock.Second
	maxAttempts = 3
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

// Endpoints returns what an endpoint announces now.
type Endpoints func(name string) (*wire.Announcement, bool)

// Settings of the parts that Once uses.
type Settings struct {
	Router       Router
	Claims       *Claims
	Pool         *link.Pool
	Endpoints    Endpoints
	Clock        *clock.Clock
	Log          *event.Log
	SilenceLimit clock.Millis
}

// Once carries calls and claims those that may run only once.
type Once struct {
	Settings
	later  conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a Once.
func New(settings Settings) *Once {
	ctx, cancel := context.WithCancel(context.Background())
	return &Once{Settings: settings, ctx: ctx, cancel: cancel}
}

// Close gives up the records that could not be made yet and waits.
func (once *Once) Close() error {
	once.cancel()
	once.later.Wait()
	return nil
}

// Do runs a call and passes its answer to the sink.
func (once *Once) Do(ctx context.Context, request call.Call, sink route.Sink) route.Result {
	if request.Idempotent || request.Key == "" {
		return once.Router.Do(ctx, request, sink)
	}
	work := &work{once: once, request: request, sink: sink, number: 1, hash: bodyHash(request)}
	return work.run(ctx)
}

// bodyHash tells requests with the same key apart by what they ask for.
func bodyHash(request call.Call) []byte {
	digest := sha256.New()
	for _, part := range []string{request.Method, "\x00", request.Path, "\x00"} {
		// A digest's writes cannot fail.
		_, _ = digest.Write([]byte(part))
	}
	_, _ = digest.Write(request.Body)
	return digest.Sum(nil)
}

// work is one request on its way to a claim, an attempt and a recorded outcome.
type work struct {
	once    *Once
	request call.Call
	sink    route.Sink
	hash    []byte
	// number is that of the next attempt.
	number uint32
	tried  int
	used   []string
	// replaces is the attempt to take over from. It was fenced.
	replaces *wire.ClaimOp
	// refused is why the latest attempt did not run.
	refused error
}

func (work *work) run(ctx context.Context) route.Result {
	for {
		choice, placed := work.once.Router.Place(work.request, work.used)
		if work.tried >= maxAttempts || ctx.Err() != nil {
			placed = false
		}
		op := work.step(choice, placed)
		reply, err := work.apply(ctx, op)
		if err != nil {
			// Attempts of ours, if any, were fenced; nothing can still start.
			return route.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: err}
		}
		if result, ended := work.follow(ctx, op, reply, choice); ended {
			return result
		}
	}
}

// step returns the claim of the next attempt, or a look-up when no engine can take it.
func (work *work) step(choice place.Choice, placed bool) *wire.ClaimOp {
	op := &wire.ClaimOp{
		Customer: work.request.Customer.GetName(), Key: work.request.Key, BodyHash: work.hash,
		RequestId: work.request.ID, Attempt: work.number, At: int64(work.once.Clock.Now()),
		Endpoint: choice.Candidate.Endpoint, Incarnation: choice.Candidate.Incarnation, EndpointAddress: choice.Candidate.Address,
		Lookup: !placed,
	}
	if work.replaces != nil {
		op.ReplacesRequestId, op.ReplacesAttempt = work.replaces.GetRequestId(), work.replaces.GetAttempt()
	}
	return op
}

func (work *work) apply(ctx context.Context, op *wire.ClaimOp) (*wire.ClaimReply, error) {
	// A request whose time has ended still gives up what it holds.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimLimit.Duration())
	defer cancel()
	return work.once.Claims.Apply(ctx, op)
}

// follow acts on the result of a claim and tells whether the request has ended.
func (work *work) follow(ctx context.Context, op *wire.ClaimOp, reply *wire.ClaimReply, choice place.Choice) (route.Result, bool) {
	switch reply.GetState() {
	case wire.ClaimState_CLAIM_STATE_GRANTED:
		return work.attempt(ctx, op, choice)
	case wire.ClaimState_CLAIM_STATE_DONE:
		return work.deliver(reply.GetAnswer()), true
	case wire.ClaimState_CLAIM_STATE_UNKNOWN:
		return route.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errors.Newf("%s", reply.GetAnswer().GetError())}, true
	case wire.ClaimState_CLAIM_STATE_OTHER_BODY:
		return route.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: &call.StatusError{
			Status: fasthttp.StatusConflict,
			Text:   "this Idempotency-Key was used for a request with another method, path or body; use a new key for new work",
		}}, true
	case wire.ClaimState_CLAIM_STATE_RUNNING:
		if work.replaces != nil && same(reply.GetHolder(), work.replaces) {
			return work.giveUp(ctx)
		}
		work.replaces = nil
		return work.await(ctx, reply.GetHolder(), false)
	default:
	}
	work.replaces = nil
	if op.GetLookup() {
		return route.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errNoEngine}, true
	}
	// A late copy of the claim found the key released by this very attempt.
	work.number++
	return route.Result{}, false
}

// attempt sends the claimed attempt and records its outcome.
func (work *work) attempt(ctx context.Context, held *wire.ClaimOp, choice place.Choice) (route.Result, bool) {
	work.tried++
	work.used = append(work.used, choice.Candidate.Engine.GetName())
	taken := &record{answer: &wire.ClaimAnswer{}}
	result := work.once.Router.Attempt(ctx, work.request, held.GetAttempt(), choice, taken)
	switch result.Outcome {
	case wire.Outcome_OUTCOME_OK, wire.Outcome_OUTCOME_FAILED:
		answer := taken.end(result.Outcome, result.Err)
		work.settle(ctx, held, answer)
		return work.deliver(answer), true
	case wire.Outcome_OUTCOME_NOT_RUN:
		work.refused = result.Err
		work.takeOver(held)
		return route.Result{}, false
	default:
		return work.await(ctx, held, true)
	}
}

// takeOver notes that the holder's attempt was fenced or refused.
func (work *work) takeOver(holder *wire.ClaimOp) {
	work.replaces = holder
	work.number = holder.GetAttempt() + 1
}

// giveUp releases a claim whose attempt was fenced and that no engine can take on.
func (work *work) giveUp(ctx context.Context) (route.Result, bool) {
	op := work.about(work.replaces)
	op.Release = true
	// A claim that stays is taken over by a resend, which finds its attempt fenced.
	_, _ = work.apply(ctx, op)
	return route.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errors.CombineErrors(work.refused, errNoEngine)}, true
}

// about returns a step on behalf of the claim's holder.
func (work *work) about(holder *wire.ClaimOp) *wire.ClaimOp {
	return &wire.ClaimOp{
		Customer: work.request.Customer.GetName(), Key: work.request.Key, BodyHash: work.hash,
		RequestId: holder.GetRequestId(), Attempt: holder.GetAttempt(), At: int64(work.once.Clock.Now()),
	}
}

// settle records an outcome. When that is not possible in time the caller gets
// its true answer all the same: the claim stays, so that a resend finds the
// work at its endpoint or gets unknown, and never runs it again.
func (work *work) settle(ctx context.Context, holder *wire.ClaimOp, answer *wire.ClaimAnswer) {
	op := work.about(holder)
	op.Answer = claim.StoredAnswer(answer)
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleLimit.Duration())
	defer cancel()
	_, err := work.once.Claims.Apply(limited, op)
	if err == nil {
		return
	}
	work.once.Log.Write(event.AnswerNotRecorded, "request", work.request.ID, "key", work.request.Key, "error", err)
	work.once.later.Go(func() {
		ctx, cancel := context.WithTimeout(work.once.ctx, laterLimit.Duration())
		defer cancel()
		// The event above was the operator's notice; a resend resolves the rest.
		_, _ = work.once.Claims.Apply(ctx, op)
	})
}

func same(first, second *wire.ClaimOp) bool {
	return first.GetRequestId() == second.GetRequestId() && first.GetAttempt() == second.GetAttempt()
}
