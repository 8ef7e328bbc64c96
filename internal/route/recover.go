package route

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/retry"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	askLimit = 300 * time.Millisecond
	askPause = 50 * clock.Millis(1)
	// repeatablePatience is how long an endpoint process is asked about work
	// that can be run again elsewhere: two questions. With the silence limit
	// they stay below the target of 2 s.
	repeatablePatience = 400 * clock.Millis(1)
	// otherPatience is how long it is asked about work that cannot: nothing is
	// gained by giving up earlier.
	otherPatience = 10 * clock.Second
	// refusedPatience is how long it is asked while it refuses connections: as
	// long as its announcement lasts.
	refusedPatience = 3 * clock.Second
	// maxResumes bounds new connections that bring no answer.
	maxResumes = 3
)

// recover attaches again on new connections, or settles what became of the
// attempt when that is not possible.
func (exchange *exchange) recover(ctx context.Context, reason error) Result {
	for fruitless := 0; fruitless < maxResumes; {
		if given, ok := exchange.givenUp(ctx, reason); ok {
			return given
		}
		if errors.Is(reason, link.ErrConnect) && exchange.answers == 0 {
			// The message was never sent, so it cannot arrive later.
			exchange.fate = unreached
			return Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: reason}
		}
		exchange.router.log.Write(event.AttemptSilent, "request", exchange.message.GetRequestId(), "endpoint", exchange.candidate.Endpoint, "error", reason)
		exchange.router.pool.Discard(exchange.candidate.Address)
		state, err := exchange.settle(ctx)
		if err != nil {
			return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errors.CombineErrors(reason, err)}
		}
		switch state {
		case wire.AttemptState_ATTEMPT_STATE_FENCED:
			return Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: reason}
		case wire.AttemptState_ATTEMPT_STATE_QUEUED, wire.AttemptState_ATTEMPT_STATE_RUNNING, wire.AttemptState_ATTEMPT_STATE_FINISHED:
		default:
			exchange.fate = dead
			return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: reason}
		}
		before := exchange.answers
		reason = exchange.resume(ctx)
		if exchange.ended {
			return exchange.result
		}
		fruitless++
		if exchange.answers > before {
			fruitless = 0
		}
	}
	exchange.fate = mute
	return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: reason}
}

// givenUp ends the conversation when nobody waits for the answer any more.
func (exchange *exchange) givenUp(ctx context.Context, reason error) (Result, bool) {
	if exchange.delivery.complete() && exchange.delivery.isOwner(exchange) {
		return Result{Outcome: wire.Outcome_OUTCOME_OK}, true
	}
	if ctx.Err() == nil && !errors.Is(reason, errStopped) && !errors.Is(reason, errLost) {
		return Result{}, false
	}
	exchange.abandon()
	return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: reason}, true
}

// settle finds out what the endpoint process knows of the attempt, and fences
// an attempt that has not arrived.
func (exchange *exchange) settle(ctx context.Context) (wire.AttemptState, error) {
	patience := repeatablePatience
	if !exchange.message.GetIdempotent() {
		patience = otherPatience
	}
	begin := exchange.router.clock.Now()
	for {
		reply, err := exchange.ask(ctx, false)
		if err == nil && reply.GetState() == wire.AttemptState_ATTEMPT_STATE_NEVER_SEEN {
			reply, err = exchange.ask(ctx, true)
		}
		if err == nil {
			return reply.GetState(), nil
		}
		limit := patience
		exchange.fate = mute
		if !timedOut(err) {
			exchange.fate, limit = dead, min(patience, refusedPatience)
		}
		exchange.avoid()
		if exchange.router.clock.Now()-begin >= limit || (exchange.fate == dead && exchange.message.GetIdempotent()) {
			return 0, err
		}
		if err := exchange.router.clock.Sleep(ctx, askPause); err != nil {
			return 0, err
		}
	}
}

// avoid keeps new work from an endpoint process as soon as it does not answer,
// while it may still be asked about this attempt.
func (exchange *exchange) avoid() {
	now := exchange.router.clock.Now()
	exchange.router.change(func(policy retry.Policy) retry.Policy {
		return policy.WithEnd(healthKey(exchange.candidate), retry.Lost, now)
	})
	if exchange.fate == dead {
		exchange.router.source.Gone(exchange.candidate)
	}
}

// timedOut tells an endpoint that does not answer from one that refuses.
func timedOut(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, link.ErrDialTimeout)
}

func (exchange *exchange) resume(ctx context.Context) error {
	return exchange.attach(ctx, func(ctx context.Context) (receiver, error) {
		conn, err := exchange.router.pool.Fresh(ctx, exchange.candidate.Address)
		if err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		return wire.NewDRPCRelayClient(conn).Resume(ctx, &wire.ResumeRequest{
			RequestId: exchange.message.GetRequestId(), Attempt: exchange.message.GetAttempt(),
			Incarnation: exchange.message.GetIncarnation(), FromSequence: exchange.next,
		})
	})
}

// ask asks about the attempt on a connection that did not exist before.
func (exchange *exchange) ask(ctx context.Context, fence bool) (*wire.AskReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	conn, err := exchange.router.pool.Fresh(ctx, exchange.candidate.Address)
	if err != nil {
		return nil, err
	}
	defer closeConn(conn)
	reply, err := wire.NewDRPCRelayClient(conn).Ask(ctx, &wire.AskRequest{
		RequestId: exchange.message.GetRequestId(), Attempt: exchange.message.GetAttempt(),
		Incarnation: exchange.message.GetIncarnation(), Fence: fence,
	})
	if err != nil && ctx.Err() != nil {
		return nil, errors.Mark(err, ctx.Err())
	}
	return reply, err
}

// abandon tells the endpoint process that nobody waits for the attempt.
func (exchange *exchange) abandon() {
	ctx, cancel := context.WithTimeout(context.Background(), askLimit)
	defer cancel()
	client := wire.NewDRPCRelayClient(exchange.router.pool.Conn(ctx, exchange.candidate.Address))
	// An endpoint process that misses this cancels the attempt when it was abandoned long enough.
	_, _ = client.Cancel(ctx, &wire.CancelRequest{
		RequestId: exchange.message.GetRequestId(), Attempt: exchange.message.GetAttempt(), Reason: errStopped.Error(),
	})
}

func closeConn(conn drpc.Conn) {
	// The connection is not used again.
	_ = conn.Close()
}
