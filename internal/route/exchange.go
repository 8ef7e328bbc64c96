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

// fate is what became of an attempt's endpoint process.
type fate int

const (
	// present endpoints answer.
	present fate = iota
	// unreached endpoints never got the attempt.
	unreached
	// mute endpoints answer nothing, on new connections either.
	mute
	// dead endpoints refuse connections or are another incarnation.
	dead
)

// exchange is the conversation with an endpoint process about one attempt. It
// may use several connections, one after the other.
type exchange struct {
	router    *Router
	candidate place.Candidate
	message   *wire.Attempt
	delivery  *delivery
	sent      clock.Millis
	// begun is when the attempt left the endpoint process's queue; zero before.
	begun atomic.Int64

	next    uint64
	ended   bool
	result  Result
	load    *wire.EngineLoad
	queued  clock.Millis
	held    *held
	fate    fate
	answers int
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
	if !exchange.ended {
		exchange.result = exchange.recover(ctx, err)
	}
	return exchange.result
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
		// A caller that is slow to take the answer is no silence of the endpoint.
		silence.Stop()
		if err := exchange.take(answer); err != nil {
			return err
		}
		silence.Reset(limit)
	}
	// A stream that is cancelled before its end costs its connection.
	_, _ = stream.Recv()
	return nil
}

func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil && !errors.Is(err, link.ErrConnect) {
		return reason
	}
	return err
}

// take handles one answer. Answers of other attempts and repeated ones are dropped.
func (exchange *exchange) take(answer *wire.Answer) error {
	if answer.GetRequestId() != exchange.message.GetRequestId() || answer.GetAttempt() != exchange.message.GetAttempt() {
		return nil
	}
	exchange.answers++
	if answer.GetKind() == wire.AnswerKind_ANSWER_KIND_PROGRESS {
		if answer.GetStarted() {
			exchange.begin(exchange.router.clock.Now())
		}
		return nil
	}
	if answer.GetSequence() < exchange.next {
		return nil
	}
	if answer.GetSequence() > exchange.next {
		return errors.Newf("answer %d arrived where %d was expected", answer.GetSequence(), exchange.next)
	}
	exchange.next++
	switch answer.GetKind() {
	case wire.AnswerKind_ANSWER_KIND_HEAD:
		exchange.begin(exchange.sent)
		return exchange.head(&held{status: int(answer.GetStatus()), contentType: answer.GetContentType(), headers: answer.GetHeaders()})
	case wire.AnswerKind_ANSWER_KIND_DATA:
		return exchange.data(answer.GetEvents())
	case wire.AnswerKind_ANSWER_KIND_END:
		return exchange.end(answer)
	default:
	}
	return nil
}

func (exchange *exchange) begin(now clock.Millis) { exchange.begun.CompareAndSwap(0, int64(now)) }

func (exchange *exchange) isBegun() bool { return exchange.begun.Load() != 0 }

// head passes on the head of a stream. Other answers are held until their end.
func (exchange *exchange) head(head *held) error {
	if !isStream(head.contentType) || head.status >= http.StatusBadRequest {
		exchange.held = head
		return nil
	}
	if !exchange.delivery.claim(exchange) {
		return errLost
	}
	span := exchange.router.clock.Now() - clock.Millis(exchange.begun.Load())
	exchange.router.change(func(policy retry.Policy) retry.Policy { return policy.WithFirst(span) })
	exchange.delivery.head(head)
	return nil
}

func (exchange *exchange) data(events [][]byte) error {
	if exchange.held == nil {
		if !exchange.delivery.isOwner(exchange) {
			return errLost
		}
		return exchange.delivery.data(events)
	}
	exchange.held.add(events)
	if exchange.held.size > maxHeld {
		return exchange.pass()
	}
	return nil
}

// pass gives the held answer to the caller.
func (exchange *exchange) pass() error {
	if exchange.held == nil {
		return nil
	}
	if exchange.delivery.started() && !exchange.delivery.isOwner(exchange) || !exchange.delivery.claim(exchange) {
		return errLost
	}
	held := exchange.held
	exchange.held = nil
	return held.pass(exchange.delivery)
}

func (exchange *exchange) end(answer *wire.Answer) error {
	result := Result{Outcome: answer.GetOutcome()}
	if answer.GetError() != "" {
		result.Err = errors.Newf("%s", answer.GetError())
	}
	if result.Outcome == wire.Outcome_OUTCOME_OK {
		if err := exchange.pass(); err != nil {
			return err
		}
	}
	if answer.GetFull() {
		result.Err = errFull
	}
	exchange.ended, exchange.result = true, result
	exchange.load, exchange.queued = answer.GetLoad(), clock.Millis(answer.GetQueued())
	return nil
}
