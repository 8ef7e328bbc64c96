package route

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// exchange is the conversation with an endpoint process about one attempt. It
// may use several connections, one after the other.
type exchange struct {
	router    *Router
	candidate place.Candidate
	message   *wire.Attempt
	delivery  *delivery

	next   uint64
	ended  bool
	result Result
	load   *wire.EngineLoad
	queued clock.Millis
}

// receiver is what Run and Resume streams have in common.
type receiver interface {
	Recv() (*wire.Answer, error)
}

func (exchange *exchange) run(ctx context.Context) Result {
	err := exchange.attach(ctx, func(ctx context.Context) (receiver, error) {
		conn := exchange.router.pool.Conn(ctx, exchange.candidate.Address)
		return wire.NewDRPCRelayClient(conn).Run(ctx, exchange.message)
	})
	if exchange.ended {
		return exchange.result
	}
	return exchange.recover(ctx, err)
}

// attach reads answers from a stream until the attempt ends, the stream breaks
// or makes no progress.
func (exchange *exchange) attach(ctx context.Context, open func(context.Context) (receiver, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := exchange.router.settings.SilenceLimit.Duration()
	silence := time.AfterFunc(limit, func() { cancel(errSilent) })
	defer silence.Stop()
	stream, err := open(ctx)
	if err != nil {
		return cause(ctx, err)
	}
	for !exchange.ended {
		answer, err := stream.Recv()
		if err != nil {
			return cause(ctx, err)
		}
		silence.Reset(limit)
		if err := exchange.take(answer); err != nil {
			return err
		}
	}
	// A stream that is cancelled before its end costs its connection.
	_, _ = stream.Recv()
	return nil
}

func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil {
		return reason
	}
	return err
}

// take handles one answer. Answers of other attempts and repeated ones are dropped.
func (exchange *exchange) take(answer *wire.Answer) error {
	if answer.GetRequestId() != exchange.message.GetRequestId() || answer.GetAttempt() != exchange.message.GetAttempt() {
		return nil
	}
	if answer.GetKind() == wire.AnswerKind_ANSWER_KIND_PROGRESS || answer.GetSequence() < exchange.next {
		return nil
	}
	if answer.GetKind() != wire.AnswerKind_ANSWER_KIND_END && answer.GetSequence() > exchange.next {
		return errors.Newf("answer %d arrived where %d was expected", answer.GetSequence(), exchange.next)
	}
	exchange.next++
	switch answer.GetKind() {
	case wire.AnswerKind_ANSWER_KIND_HEAD:
		exchange.delivery.head(int(answer.GetStatus()), answer.GetContentType(), answer.GetHeaders())
	case wire.AnswerKind_ANSWER_KIND_DATA:
		return exchange.delivery.data(answer.GetEvents())
	case wire.AnswerKind_ANSWER_KIND_END:
		exchange.end(answer)
	default:
	}
	return nil
}

func (exchange *exchange) end(answer *wire.Answer) {
	exchange.ended = true
	exchange.result = Result{Outcome: answer.GetOutcome()}
	if answer.GetError() != "" {
		exchange.result.Err = errors.Newf("%s", answer.GetError())
	}
	exchange.load, exchange.queued = answer.GetLoad(), clock.Millis(answer.GetQueued())
}

// recover attaches again on a new connection, or settles what became of the
// attempt when that is not possible.
func (exchange *exchange) recover(ctx context.Context, reason error) Result {
	if ctx.Err() != nil || errors.Is(reason, errStopped) {
		exchange.abandon()
		return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: reason}
	}
	exchange.router.log.Write(event.AttemptSilent, "request", exchange.message.GetRequestId(), "endpoint", exchange.candidate.Endpoint, "error", reason)
	exchange.router.pool.Discard(exchange.candidate.Address)
	reply, err := exchange.ask(ctx, true)
	if err != nil {
		return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: reason}
	}
	switch reply.GetState() {
	case wire.AttemptState_ATTEMPT_STATE_FENCED:
		return Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: reason}
	case wire.AttemptState_ATTEMPT_STATE_RUNNING, wire.AttemptState_ATTEMPT_STATE_FINISHED:
		return exchange.resume(ctx)
	default:
		return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: reason}
	}
}

func (exchange *exchange) resume(ctx context.Context) Result {
	err := exchange.attach(ctx, func(ctx context.Context) (receiver, error) {
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
	if exchange.ended {
		return exchange.result
	}
	return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: err}
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
	return wire.NewDRPCRelayClient(conn).Ask(ctx, &wire.AskRequest{
		RequestId: exchange.message.GetRequestId(), Attempt: exchange.message.GetAttempt(),
		Incarnation: exchange.message.GetIncarnation(), Fence: fence,
	})
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
