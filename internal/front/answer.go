package front

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// pendingBatches bounds what waits for a slow caller.
const pendingBatches = 64

var (
	errCallerGone = errors.New("caller has gone")
	errBroken     = errors.New("answer broke off")
)

// answer hands the parts of a result from the router to the HTTP connection.
type answer struct {
	kind      wire.Kind
	requestID string
	// cancel ends the call when the caller has gone.
	cancel context.CancelFunc

	headed      chan struct{}
	headOnce    sync.Once
	status      int
	contentType string
	headers     []*wire.Header
	batches     chan [][]byte
	// gone is closed when the caller's connection broke or has all it will get.
	gone     chan struct{}
	goneOnce sync.Once
	result   route.Result
	count    uint64

	// The fields below belong to the connection's goroutine.
	batch  [][]byte
	closed bool
}

func newAnswer(request call.Call, cancel context.CancelFunc) *answer {
	return &answer{
		kind: request.Kind, requestID: request.ID, cancel: cancel,
		headed: make(chan struct{}), batches: make(chan [][]byte, pendingBatches), gone: make(chan struct{}),
	}
}

// Headers takes the headers of a plain service's answer, before Head.
func (answer *answer) Headers(headers []*wire.Header) { answer.headers = headers }

// Head takes the status and content type of the answer.
func (answer *answer) Head(status int, contentType string) {
	answer.status, answer.contentType = status, contentType
	answer.headOnce.Do(func() { close(answer.headed) })
}

// Data takes a part of the answer; it waits while the caller is slow.
func (answer *answer) Data(events [][]byte) error {
	answer.count += uint64(len(events))
	select {
	case answer.batches <- events:
		return nil
	case <-answer.gone:
		answer.cancel()
		return errCallerGone
	}
}

func (answer *answer) end(result route.Result) {
	answer.result = result
	answer.headOnce.Do(func() { close(answer.headed) })
	close(answer.batches)
}

// reply answers the caller once the head or the end is known.
func (answer *answer) reply(ctx *fiber.Ctx) error {
	<-answer.headed
	if answer.status == 0 {
		return answer.failure(ctx)
	}
	ctx.Status(answer.status)
	for _, header := range answer.headers {
		ctx.Response().Header.Add(header.GetName(), header.GetValue())
	}
	ctx.Set(fiber.HeaderContentType, answer.contentType)
	switch {
	case answer.events():
		ctx.Context().SetBodyStream(answer, -1)
		return nil
	case answer.kind == wire.Kind_KIND_PLAIN:
		return answer.through(ctx)
	}
	return answer.whole(ctx)
}

func (answer *answer) events() bool {
	return strings.HasPrefix(answer.contentType, "text/event-stream")
}

func (answer *answer) failure(ctx *fiber.Ctx) error {
	ctx.Response().ResetBody()
	if answer.result.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		ctx.Set(fiber.HeaderRetryAfter, "1")
	}
	return fail(ctx, statusOf(answer.result), answer.result.Outcome, message(answer.result.Err))
}

// through streams a plain service's body. One that breaks off before its first
// byte can still be answered with its outcome.
func (answer *answer) through(ctx *fiber.Ctx) error {
	first, more := <-answer.batches
	if !more && (answer.result.Outcome == wire.Outcome_OUTCOME_UNKNOWN || answer.result.Outcome == wire.Outcome_OUTCOME_NOT_RUN) {
		return answer.failure(ctx)
	}
	if answer.status >= fiber.StatusBadRequest {
		ctx.Set("X-Outcome", OutcomeName(wire.Outcome_OUTCOME_FAILED))
	}
	if !more {
		return nil
	}
	answer.batch = first
	ctx.Context().SetBodyStream(answer, -1)
	return nil
}

// whole collects a body that is not a stream, so that a broken one can be
// answered with its outcome.
func (answer *answer) whole(ctx *fiber.Ctx) error {
	for batch := range answer.batches {
		for _, piece := range batch {
			ctx.Response().AppendBody(piece)
		}
	}
	switch answer.result.Outcome {
	case wire.Outcome_OUTCOME_OK:
		return nil
	case wire.Outcome_OUTCOME_FAILED:
		ctx.Set("X-Outcome", OutcomeName(answer.result.Outcome))
		return nil
	default:
		return answer.failure(ctx)
	}
}

// Read gives the HTTP server the next parts of a stream. It waits only while
// none is ready, so that parts which are ready together go out in one write.
func (answer *answer) Read(buf []byte) (int, error) {
	count := answer.copy(buf)
	for count < len(buf) && !answer.closed {
		if count == 0 {
			batch, more := <-answer.batches
			answer.next(batch, more)
		} else if !answer.poll() {
			break
		}
		count += answer.copy(buf[count:])
	}
	if count > 0 {
		return count, nil
	}
	return 0, answer.finish()
}

// poll takes a batch that is ready.
func (answer *answer) poll() bool {
	select {
	case batch, more := <-answer.batches:
		answer.next(batch, more)
		return true
	default:
		return false
	}
}

func (answer *answer) next(batch [][]byte, more bool) {
	answer.batch, answer.closed = batch, !more
	if !more && answer.events() && answer.result.Outcome != wire.Outcome_OUTCOME_OK {
		answer.batch = [][]byte{answer.closing()}
	}
}

func (answer *answer) copy(buf []byte) int {
	count := 0
	for len(answer.batch) > 0 && count < len(buf) {
		size := copy(buf[count:], answer.batch[0])
		count += size
		if size < len(answer.batch[0]) {
			answer.batch[0] = answer.batch[0][size:]
			break
		}
		answer.batch = answer.batch[1:]
	}
	return count
}

// finish ends the body. The server closes the connection of a broken one
// without its last chunk, so that the caller can tell.
func (answer *answer) finish() error {
	broken := answer.result.Outcome == wire.Outcome_OUTCOME_UNKNOWN || answer.result.Outcome == wire.Outcome_OUTCOME_NOT_RUN
	if broken && !answer.events() {
		return errBroken
	}
	return io.EOF
}

// Close ends the stream, whether the caller has all of it or has gone.
func (answer *answer) Close() error {
	answer.goneOnce.Do(func() { close(answer.gone) })
	return nil
}

// closing returns the outcome of a stream that is not complete, as its last event.
func (answer *answer) closing() []byte {
	text, err := json.Marshal(problem{Error: detail{
		Message: message(answer.result.Err), Outcome: OutcomeName(answer.result.Outcome), RequestID: answer.requestID,
	}})
	if err != nil {
		return nil
	}
	return []byte("event: error\ndata: " + string(text) + "\n\n")
}

func statusOf(result route.Result) int {
	var known *call.StatusError
	if errors.As(result.Err, &known) {
		return known.Status
	}
	switch result.Outcome {
	case wire.Outcome_OUTCOME_NOT_RUN:
		return fasthttp.StatusServiceUnavailable
	case wire.Outcome_OUTCOME_FAILED:
		return fasthttp.StatusBadGateway
	default:
		return fasthttp.StatusGatewayTimeout
	}
}

func message(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, context.DeadlineExceeded):
		return "time limit of the request reached"
	}
	return err.Error()
}
