package dedup

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
	recordedKiB  = claim.MaxBody >> 10
	askTimeout   = 500 * clock.Millis(1)
	pollInterval = 100 * clock.Millis(1)
	// fenceDelay is how long to wait for another entry VM's attempt to arrive at its
	// endpoint process before it is fenced. It avoids a second attempt when the first
	// sender is only slow; correctness does not depend on it.
	fenceDelay = clock.Second
)

// attemptStatus is what is known of a claimed attempt from its endpoint process.
type attemptStatus int

const (
	// undecided: the endpoint process may be alive but gave no answer.
	undecided attemptStatus = iota
	// fenced: the attempt has not run and never will.
	fenced
	// lost: the attempt may have run and its outcome cannot be determined.
	lost
	// finished: the attempt ran and its answer was received.
	finished
)

// await waits for the outcome of a claimed attempt of this request or of another one
// with the same key, and reports whether the request has ended. If it has not, the work
// must be claimed again because the attempt was fenced or the claim has changed.
func (execution *execution) await(ctx context.Context, holder *wire.ClaimOp, own bool) (route.Result, bool) {
	start := execution.runner.Clock.Now()
	for {
		fence := own || ctx.Err() != nil || execution.runner.Clock.Now()-start >= fenceDelay
		status, answer := execution.queryAttempt(ctx, holder, fence)
		if result, ended, decided := execution.resolve(ctx, holder, status, answer); decided {
			return result, ended
		}
		if ctx.Err() != nil {
			return route.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errUndecided}, true
		}
		// If ctx ends here, the next iteration queries the attempt once more and returns.
		_ = execution.runner.Clock.Sleep(ctx, pollInterval)
		if execution.claimChanged(ctx, holder) {
			return route.Result{}, false
		}
	}
}

// resolve acts on an attempt's status. It returns the result, whether the request has
// ended, and whether the status was decided.
func (execution *execution) resolve(ctx context.Context, holder *wire.ClaimOp, status attemptStatus, answer *wire.ClaimAnswer) (route.Result, bool, bool) {
	switch status {
	case fenced:
		execution.markReplaced(holder)
		return route.Result{}, false, true
	case lost:
		execution.runner.Log.Write(event.WorkLost, "request", holder.GetRequestId(), "attempt", holder.GetAttempt(), "endpoint", holder.GetEndpoint())
		execution.recordAnswer(ctx, holder, &wire.ClaimAnswer{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Error: errLost.Error()})
		return route.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errLost}, true, true
	case finished:
		execution.recordAnswer(ctx, holder, answer)
		return execution.deliver(answer), true, true
	default:
		return route.Result{}, false, false
	}
}

// claimChanged reports whether the claim is no longer held by the same running attempt.
func (execution *execution) claimChanged(ctx context.Context, holder *wire.ClaimOp) bool {
	op := execution.opFor(holder)
	op.Lookup = true
	lookupCtx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	reply, err := execution.runner.Claims.Apply(lookupCtx, op)
	if err != nil {
		// Without a quorum the endpoint process may still return the outcome.
		return false
	}
	return reply.GetState() != wire.ClaimState_CLAIM_STATE_RUNNING || !sameAttempt(reply.GetHolder(), holder)
}

// queryAttempt gets the attempt's status and answer from the endpoint process to which
// it was assigned. If fence is set, an attempt that has not arrived there is fenced.
func (execution *execution) queryAttempt(ctx context.Context, holder *wire.ClaimOp, fence bool) (attemptStatus, *wire.ClaimAnswer) {
	address := holder.GetEndpointAddress()
	reply, err := execution.runner.ask(ctx, address, holder, fence)
	announced, isAnnounced := execution.runner.Endpoints(holder.GetEndpoint())
	if processAbsent(holder, reply, err) && isAnnounced && announced.GetAddress() != address {
		address = announced.GetAddress()
		reply, err = execution.runner.ask(ctx, address, holder, fence)
	}
	if processAbsent(holder, reply, err) {
		// The process cannot be reached at its address. It counts as alive only while
		// its incarnation is announced.
		if isAnnounced && announced.GetIncarnation() == holder.GetIncarnation() {
			return undecided, nil
		}
		return lost, nil
	}
	if err != nil {
		return undecided, nil
	}
	return execution.statusFromState(ctx, address, holder, reply.GetState())
}

// processAbsent reports whether no process or another one listens at the address.
func processAbsent(holder *wire.ClaimOp, reply *wire.AskReply, err error) bool {
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return reply.GetNode() != holder.GetEndpoint()
}

func (execution *execution) statusFromState(ctx context.Context, address string, holder *wire.ClaimOp, state wire.AttemptState) (attemptStatus, *wire.ClaimAnswer) {
	switch state {
	case wire.AttemptState_ATTEMPT_STATE_FENCED:
		return fenced, nil
	case wire.AttemptState_ATTEMPT_STATE_OTHER_INCARNATION:
		return lost, nil
	case wire.AttemptState_ATTEMPT_STATE_QUEUED, wire.AttemptState_ATTEMPT_STATE_RUNNING, wire.AttemptState_ATTEMPT_STATE_FINISHED:
		return execution.runner.fetchAnswer(ctx, address, holder)
	default:
		return undecided, nil
	}
}

// ask queries the state of the attempt on a new connection. If fence is set, an attempt
// that the endpoint process has not received is fenced.
func (runner *Runner) ask(ctx context.Context, address string, holder *wire.ClaimOp, fence bool) (*wire.AskReply, error) {
	// The last query of a request is sent after its deadline.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout.Duration())
	defer cancel()
	conn, err := runner.Pool.Fresh(ctx, address)
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

// fetchAnswer receives the attempt's answer from its start, until it ends or the
// endpoint process is silent for the silence limit.
func (runner *Runner) fetchAnswer(ctx context.Context, address string, holder *wire.ClaimOp) (attemptStatus, *wire.ClaimAnswer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(runner.SilenceLimit.Duration(), cancel)
	defer silenceTimer.Stop()
	conn, err := runner.Pool.Fresh(ctx, address)
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
	recorder := &answerRecorder{answer: &wire.ClaimAnswer{}}
	for {
		part, err := stream.Recv()
		if err != nil {
			return undecided, nil
		}
		silenceTimer.Reset(runner.SilenceLimit.Duration())
		if part.GetKind() == wire.AnswerKind_ANSWER_KIND_END {
			return statusFromEnd(part, recorder)
		}
		recorder.add(part)
	}
}

func (recorder *answerRecorder) add(part *wire.Answer) {
	switch part.GetKind() {
	case wire.AnswerKind_ANSWER_KIND_HEAD:
		recorder.Head(int(part.GetStatus()), part.GetContentType())
	case wire.AnswerKind_ANSWER_KIND_DATA:
		// Buffering the answer cannot fail.
		_ = recorder.Data(part.GetEvents())
	default:
	}
}

func statusFromEnd(end *wire.Answer, recorder *answerRecorder) (attemptStatus, *wire.ClaimAnswer) {
	switch end.GetOutcome() {
	case wire.Outcome_OUTCOME_NOT_RUN:
		return fenced, nil
	case wire.Outcome_OUTCOME_OK, wire.Outcome_OUTCOME_FAILED:
		var err error
		if end.GetError() != "" {
			err = errors.Newf("%s", end.GetError())
		}
		return finished, recorder.end(end.GetOutcome(), err)
	default:
		return lost, nil
	}
}
