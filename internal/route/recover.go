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
	// queryTimeout is the timeout of one query, and queryInterval the time between two.
	queryTimeout  = 300 * time.Millisecond
	queryInterval = 50 * clock.Millis(1)
	// idempotentResolveTimeout is how long an endpoint process is queried about
	// an attempt that can be repeated elsewhere. It allows two queries, which
	// together with the silence limit stay below the target of 2 s.
	idempotentResolveTimeout = 400 * clock.Millis(1)
	// nonIdempotentResolveTimeout is how long it is queried about an attempt that
	// cannot be repeated: an earlier end would gain nothing.
	nonIdempotentResolveTimeout = 10 * clock.Second
	// refusedResolveTimeout is how long it is queried while it refuses
	// connections. It equals the default lifetime of its announcement.
	refusedResolveTimeout = 3 * clock.Second
	// maxResumes bounds the consecutive new connections without an answer.
	maxResumes = 3
)

// recover resumes the attempt on new connections, or determines its outcome
// when that is not possible.
func (exchange *exchange) recover(ctx context.Context, reason error) Result {
	for emptyResumes := 0; emptyResumes < maxResumes; {
		if result, ok := exchange.endIfUnneeded(ctx, reason); ok {
			return result
		}
		if errors.Is(reason, link.ErrConnect) && exchange.received == 0 {
			// The message was never sent, so it cannot arrive later.
			exchange.endpointState = notReached
			return Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: reason}
		}
		exchange.router.log.Write(event.AttemptSilent, "request", exchange.message.GetRequestId(), "endpoint", exchange.candidate.Endpoint, "error", reason)
		exchange.router.pool.Discard(exchange.candidate.Address)
		state, err := exchange.resolveState(ctx)
		if err != nil {
			return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errors.CombineErrors(reason, err)}
		}
		switch state {
		case wire.AttemptState_ATTEMPT_STATE_FENCED:
			return Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: reason}
		case wire.AttemptState_ATTEMPT_STATE_QUEUED, wire.AttemptState_ATTEMPT_STATE_RUNNING, wire.AttemptState_ATTEMPT_STATE_FINISHED:
		default:
			exchange.endpointState = dead
			return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: reason}
		}
		before := exchange.received
		reason = exchange.resume(ctx)
		if exchange.ended {
			return exchange.result
		}
		emptyResumes++
		if exchange.received > before {
			emptyResumes = 0
		}
	}
	exchange.endpointState = unresponsive
	return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: reason}
}

// endIfUnneeded ends the exchange when the caller has the whole answer, has
// disconnected, or gets the answer of another attempt.
func (exchange *exchange) endIfUnneeded(ctx context.Context, reason error) (Result, bool) {
	if exchange.delivery.complete() && exchange.delivery.isOwner(exchange) {
		return Result{Outcome: wire.Outcome_OUTCOME_OK}, true
	}
	if ctx.Err() == nil && !errors.Is(reason, errCallerGone) && !errors.Is(reason, errLostRace) {
		return Result{}, false
	}
	exchange.abandon()
	return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: reason}, true
}

// resolveState queries the endpoint process for the state of the attempt. It
// fences an attempt that has not arrived, so that it cannot run later.
func (exchange *exchange) resolveState(ctx context.Context) (wire.AttemptState, error) {
	timeout := idempotentResolveTimeout
	if !exchange.message.GetIdempotent() {
		timeout = nonIdempotentResolveTimeout
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
		limit := timeout
		exchange.endpointState = unresponsive
		if !timedOut(err) {
			exchange.endpointState, limit = dead, min(timeout, refusedResolveTimeout)
		}
		exchange.markFailing()
		if exchange.router.clock.Now()-begin >= limit || (exchange.endpointState == dead && exchange.message.GetIdempotent()) {
			return 0, err
		}
		if err := exchange.router.clock.Sleep(ctx, queryInterval); err != nil {
			return 0, err
		}
	}
}

// markFailing keeps new work away from an endpoint process as soon as it does
// not answer, while it may still be queried about this attempt.
func (exchange *exchange) markFailing() {
	now := exchange.router.clock.Now()
	exchange.router.updatePolicy(func(policy retry.Policy) retry.Policy {
		return policy.WithEnd(healthKey(exchange.candidate), retry.Lost, now)
	})
	if exchange.endpointState == dead {
		exchange.router.source.Gone(exchange.candidate)
	}
}

// timedOut reports whether the endpoint did not answer, as opposed to refusing
// the connection.
func timedOut(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, link.ErrDialTimeout)
}

// resume reads the answers that are still missing on a new connection.
func (exchange *exchange) resume(ctx context.Context) error {
	return exchange.attach(ctx, func(ctx context.Context) (receiver, error) {
		conn, err := exchange.router.pool.Fresh(ctx, exchange.candidate.Address)
		if err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		return wire.NewDRPCRelayClient(conn).Resume(ctx, &wire.ResumeRequest{
			RequestId: exchange.message.GetRequestId(), Attempt: exchange.message.GetAttempt(),
			Incarnation: exchange.message.GetIncarnation(), FromSequence: exchange.nextSequence,
		})
	})
}

// ask queries the state of the attempt on a new connection. With fence the
// endpoint process never runs an attempt that it has not received.
func (exchange *exchange) ask(ctx context.Context, fence bool) (*wire.AskReply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
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

// abandon cancels the attempt at the endpoint process.
func (exchange *exchange) abandon() {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	client := wire.NewDRPCRelayClient(exchange.router.pool.Conn(ctx, exchange.candidate.Address))
	// The error is ignored: an endpoint process that does not receive the
	// message cancels the attempt itself when nobody has read it for some time.
	_, _ = client.Cancel(ctx, &wire.CancelRequest{
		RequestId: exchange.message.GetRequestId(), Attempt: exchange.message.GetAttempt(), Reason: errCallerGone.Error(),
	})
}

func closeConn(conn drpc.Conn) {
	// The connection is not used again, so the error does not matter.
	_ = conn.Close()
}
