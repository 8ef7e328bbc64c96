package once

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/claim"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	recordedKiB = claim.MaxBody >> 10
	askLimit    = 500 * clock.Millis(1)
	pollEvery   = 100 * clock.Millis(1)
	// arrivalGrace is how long another entry VM's attempt may be on its way
	// before it is fenced. It spares a slow first sender a second attempt;
	// nothing depends on it.
	arrivalGrace = clock.Second
)

// finding is what an endpoint process tells of a claimed attempt.
type finding int

const (
	// undecided: the endpoint process may be alive and cannot be reached.
	undecided finding = iota
	// fenced: the attempt has not run and never will.
	fenced
	// lost: the attempt may have run and its outcome cannot be had.
	lost
	// finished: the attempt ran and its answer is here.
	finished
)

// await waits for the outcome of a claimed attempt, of this request or of
// another with the same key. It returns false when the claim is to be made
// again: the attempt was fenced, or the claim has changed.
func (work *work) await(ctx context.Context, holder *wire.ClaimOp, own bool) (route.Result, bool) {
	began := work.once.Clock.Now()
	for {
		fence := own || ctx.Err() != nil || work.once.Clock.Now()-began >= arrivalGrace
		found, answer := work.inquire(ctx, holder, fence)
		if result, ended, decided := work.conclude(ctx, holder, found, answer); decided {
			return result, ended
		}
		if ctx.Err() != nil {
			return route.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errUndecided}, true
		}
		// The context's end is seen at the next turn, after a last inquiry.
		_ = work.once.Clock.Sleep(ctx, pollEvery)
		if work.changed(ctx, holder) {
			return route.Result{}, false
		}
	}
}

// conclude acts on what was found; its last value is false when nothing is decided.
func (work *work) conclude(ctx context.Context, holder *wire.ClaimOp, found finding, answer *wire.ClaimAnswer) (route.Result, bool, bool) {
	switch found {
	case fenced:
		work.takeOver(holder)
		return route.Result{}, false, true
	case lost:
		work.once.Log.Write(event.WorkLost, "request", holder.GetRequestId(), "attempt", holder.GetAttempt(), "endpoint", holder.GetEndpoint())
		work.settle(ctx, holder, &wire.ClaimAnswer{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Error: errLost.Error()})
		return route.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errLost}, true, true
	case finished:
		work.settle(ctx, holder, answer)
		return work.deliver(answer), true, true
	default:
		return route.Result{}, false, false
	}
}

// changed tells whether the claim is no longer held by the same running attempt.
func (work *work) changed(ctx context.Context, holder *wire.ClaimOp) bool {
	op := work.about(holder)
	op.Lookup = true
	limited, cancel := context.WithTimeout(ctx, askLimit.Duration())
	defer cancel()
	reply, err := work.once.Claims.Apply(limited, op)
	if err != nil {
		// Without the quorum the endpoint process can still answer.
		return false
	}
	return reply.GetState() != wire.ClaimState_CLAIM_STATE_RUNNING || !same(reply.GetHolder(), holder)
}

// inquire asks the endpoint process that is to run the attempt.
func (work *work) inquire(ctx context.Context, holder *wire.ClaimOp, fence bool) (finding, *wire.ClaimAnswer) {
	address := holder.GetEndpointAddress()
	reply, err := work.once.ask(ctx, address, holder, fence)
	announced, known := work.once.Endpoints(holder.GetEndpoint())
	if absent(holder, reply, err) && known && announced.GetAddress() != address {
		address = announced.GetAddress()
		reply, err = work.once.ask(ctx, address, holder, fence)
	}
	if absent(holder, reply, err) {
		// Nobody listens where the process was, and it announces itself no more.
		if known && announced.GetIncarnation() == holder.GetIncarnation() {
			return undecided, nil
		}
		return lost, nil
	}
	if err != nil {
		return undecided, nil
	}
	return work.judge(ctx, address, holder, reply.GetState())
}

// absent tells that another process, or none, is at the address.
func absent(holder *wire.ClaimOp, reply *wire.AskReply, err error) bool {
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return reply.GetNode() != holder.GetEndpoint()
}

func (work *work) judge(ctx context.Context, address string, holder *wire.ClaimOp, state wire.AttemptState) (finding, *wire.ClaimAnswer) {
	switch state {
	case wire.AttemptState_ATTEMPT_STATE_FENCED:
		return fenced, nil
	case wire.AttemptState_ATTEMPT_STATE_OTHER_INCARNATION:
		return lost, nil
	case wire.AttemptState_ATTEMPT_STATE_QUEUED, wire.AttemptState_ATTEMPT_STATE_RUNNING, wire.AttemptState_ATTEMPT_STATE_FINISHED:
		return work.once.attach(ctx, address, holder)
	default:
		return undecided, nil
	}
}

// ask asks about the attempt on a connection that did not exist before.
func (once *Once) ask(ctx context.Context, address string, holder *wire.ClaimOp, fence bool) (*wire.AskReply, error) {
	// The last inquiry of a request is made after its time has ended.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askLimit.Duration())
	defer cancel()
	conn, err := once.Pool.Fresh(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	client := wire.NewDRPCRelayClient(conn)
	request := &wire.AskRequest{
		RequestId: holder.GetRequestId(), Attempt: holder.GetAttempt(), Incarnation: holder.GetIncarnation(),
	}
	reply, err := client.Ask(ctx, request)
	if err != nil || !fence || reply.GetState() != wire.AttemptState_ATTEMPT_STATE_NEVER_SEEN {
		return reply, err
	}
	request.Fence = true
	return client.Ask(ctx, request)
}

// attach takes the attempt's answer from its start.
func (once *Once) attach(ctx context.Context, address string, holder *wire.ClaimOp) (finding, *wire.ClaimAnswer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(once.SilenceLimit.Duration(), cancel)
	defer silence.Stop()
	conn, err := once.Pool.Fresh(ctx, address)
	if err != nil {
		return undecided, nil
	}
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewDRPCRelayClient(conn).Resume(ctx, &wire.ResumeRequest{
		RequestId: holder.GetRequestId(), Attempt: holder.GetAttempt(), Incarnation: holder.GetIncarnation(),
	})
	if err != nil {
		return undecided, nil
	}
	taken := &record{answer: &wire.ClaimAnswer{}}
	for {
		part, err := stream.Recv()
		if err != nil {
			return undecided, nil
		}
		silence.Reset(once.SilenceLimit.Duration())
		if part.GetKind() == wire.AnswerKind_ANSWER_KIND_END {
			return outcome(part, taken)
		}
		taken.take(part)
	}
}

func (record *record) take(part *wire.Answer) {
	switch part.GetKind() {
	case wire.AnswerKind_ANSWER_KIND_HEAD:
		record.Head(int(part.GetStatus()), part.GetContentType())
	case wire.AnswerKind_ANSWER_KIND_DATA:
		// Collecting cannot fail.
		_ = record.Data(part.GetEvents())
	default:
	}
}

func outcome(end *wire.Answer, taken *record) (finding, *wire.ClaimAnswer) {
	switch end.GetOutcome() {
	case wire.Outcome_OUTCOME_NOT_RUN:
		return fenced, nil
	case wire.Outcome_OUTCOME_OK, wire.Outcome_OUTCOME_FAILED:
		var err error
		if end.GetError() != "" {
			err = errors.Newf("%s", end.GetError())
		}
		return finished, taken.end(end.GetOutcome(), err)
	default:
		return lost, nil
	}
}
