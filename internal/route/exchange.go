package route

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/internal/retry"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// endpointState is the state of an attempt's endpoint process, as far as the
// entry VM can tell.
type endpointState int

const (
	// responsive endpoints answer.
	responsive endpointState = iota
	// notReached endpoints never received the attempt.
	notReached
	// unresponsive endpoints do not answer, not even on new connections.
	unresponsive
	// dead endpoints refuse connections or were restarted as another incarnation.
	dead
)

// exchange is the communication with an endpoint process about one attempt. It
// may use several connections, one after the other.
type exchange struct {
	router    *Router
	candidate place.Candidate
	message   *wire.Attempt
	delivery  *delivery
	sentAt    clock.Millis
	// begunAt is when the attempt left the endpoint process's queue, or the time of
	// sending if the endpoint reported no start; zero while neither is known.
	begunAt atomic.Int64

	// nextSequence is the sequence number expected of the next answer.
	nextSequence  uint64
	ended         bool
	result        Result
	load          *wire.EngineLoad
	queueTime     clock.Millis
	buffered      *bufferedAnswer
	endpointState endpointState
	// received counts the answers of this attempt.
	received int
}

// receiver is the common part of Run and Resume streams.
type receiver interface {
	Recv() (*wire.Answer, error)
}

// run sends the attempt and returns its result.
func (exchange *exchange) run(ctx context.Context) Result {
	err := exchange.attach(ctx, func(ctx context.Context) (receiver, error) {
		conn := exchange.router.pool.Conn(ctx, exchange.candidate.Address)
		return wire.NewDRPCRelayClient(conn).Run(ctx, exchange.message)
	})
	if !exchange.ended {
		exchange.result = exchange.recover(ctx, err)
	}
	return exchange.result
}

// attach opens a stream and reads answers from it until the attempt ends, the
// stream fails or makes no progress for the silence limit.
func (exchange *exchange) attach(ctx context.Context, open func(context.Context) (receiver, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := exchange.router.settings.SilenceLimit.Duration()
	silence := time.AfterFunc(limit, func() { cancel(errNoProgress) })
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
		// The time that a slow caller needs to read the answer does not count
		// as silence of the endpoint.
		silence.Stop()
		if err := exchange.handle(answer); err != nil {
			return err
		}
		silence.Reset(limit)
	}
	// Cancelling a stream before its end closes the connection, so the stream
	// is read to its end.
	_, _ = stream.Recv()
	return nil
}

// cause returns the reason for which the context was cancelled, or else the
// error. A failure to connect takes precedence over the reason.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil && !errors.Is(err, link.ErrConnect) {
		return reason
	}
	return err
}

// handle processes one answer. Answers of other attempts and repeated ones are
// dropped.
func (exchange *exchange) handle(answer *wire.Answer) error {
	if answer.GetRequestId() != exchange.message.GetRequestId() || answer.GetAttempt() != exchange.message.GetAttempt() {
		return nil
	}
	exchange.received++
	if answer.GetKind() == wire.AnswerKind_ANSWER_KIND_PROGRESS {
		if answer.GetStarted() {
			exchange.markBegun(exchange.router.clock.Now())
		}
		return nil
	}
	if answer.GetSequence() < exchange.nextSequence {
		return nil
	}
	if answer.GetSequence() > exchange.nextSequence {
		return errors.Newf("answer has sequence number %d, expected %d", answer.GetSequence(), exchange.nextSequence)
	}
	exchange.nextSequence++
	switch answer.GetKind() {
	case wire.AnswerKind_ANSWER_KIND_HEAD:
		exchange.markBegun(exchange.sentAt)
		return exchange.head(&bufferedAnswer{status: int(answer.GetStatus()), contentType: answer.GetContentType(), headers: answer.GetHeaders()})
	case wire.AnswerKind_ANSWER_KIND_DATA:
		return exchange.data(answer.GetEvents())
	case wire.AnswerKind_ANSWER_KIND_END:
		return exchange.end(answer)
	default:
	}
	return nil
}

func (exchange *exchange) markBegun(now clock.Millis) { exchange.begunAt.CompareAndSwap(0, int64(now)) }

// runningFor returns the time since the attempt began; 0 if it has not begun.
func (exchange *exchange) runningFor() clock.Millis {
	begun := clock.Millis(exchange.begunAt.Load())
	if begun == 0 {
		return 0
	}
	return exchange.router.clock.Now() - begun
}

func (exchange *exchange) isBegun() bool { return exchange.begunAt.Load() != 0 }

// head sends the head of a stream to the caller. Other answers are buffered
// until their attempt ends.
func (exchange *exchange) head(head *bufferedAnswer) error {
	if !isStream(head.contentType) || head.status >= http.StatusBadRequest {
		exchange.buffered = head
		return nil
	}
	if !exchange.delivery.claim(exchange) {
		return errLostRace
	}
	timeToFirst := exchange.router.clock.Now() - clock.Millis(exchange.begunAt.Load())
	exchange.router.updatePolicy(func(policy retry.Policy) retry.Policy { return policy.WithFirstEvent(timeToFirst) })
	exchange.delivery.head(head)
	return nil
}

// data sends events of a stream to the caller and buffers those of other answers.
func (exchange *exchange) data(events [][]byte) error {
	if exchange.buffered == nil {
		if !exchange.delivery.isOwner(exchange) {
			return errLostRace
		}
		return exchange.delivery.data(events)
	}
	exchange.buffered.add(events)
	if exchange.buffered.size > maxBuffered {
		return exchange.deliverBuffered()
	}
	return nil
}

// deliverBuffered sends the buffered answer to the caller, if there is one and
// no other attempt owns the delivery.
func (exchange *exchange) deliverBuffered() error {
	if exchange.buffered == nil {
		return nil
	}
	if exchange.delivery.started() && !exchange.delivery.isOwner(exchange) || !exchange.delivery.claim(exchange) {
		return errLostRace
	}
	buffered := exchange.buffered
	exchange.buffered = nil
	return buffered.deliver(exchange.delivery)
}

// end records the result of the attempt and delivers a buffered answer.
func (exchange *exchange) end(answer *wire.Answer) error {
	result := Result{Outcome: answer.GetOutcome()}
	if answer.GetError() != "" {
		result.Err = errors.Newf("%s", answer.GetError())
	}
	if result.Outcome == wire.Outcome_OUTCOME_OK {
		if err := exchange.deliverBuffered(); err != nil {
			return err
		}
	}
	if answer.GetFull() {
		result.Err = errFull
	}
	exchange.ended, exchange.result = true, result
	exchange.load, exchange.queueTime = answer.GetLoad(), clock.Millis(answer.GetQueued())
	return nil
}
