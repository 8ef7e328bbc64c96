package front

import (
	"bufio"
	"encoding/json"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// pendingBatches bounds what waits for a slow caller.
const pendingBatches = 64

var errCallerGone = errors.New("caller has gone")

// answer hands the parts of a result from the router to the HTTP connection.
type answer struct {
	headed      chan struct{}
	headOnce    sync.Once
	status      int
	contentType string
	batches     chan [][]byte
	// gone is closed when the caller's connection broke.
	gone   chan struct{}
	result route.Result
	count  uint64
}

func newAnswer() *answer {
	return &answer{headed: make(chan struct{}), batches: make(chan [][]byte, pendingBatches), gone: make(chan struct{})}
}

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
		result := answer.result
		return fail(ctx, statusOf(result), result.Outcome, message(result.Err))
	}
	ctx.Status(answer.status)
	ctx.Set(fiber.HeaderContentType, answer.contentType)
	if strings.HasPrefix(answer.contentType, "text/event-stream") {
		requestID := string(ctx.Response().Header.Peek("X-Request-Id"))
		ctx.Context().SetBodyStreamWriter(func(out *bufio.Writer) { answer.stream(out, requestID) })
		return nil
	}
	return answer.whole(ctx)
}

// whole collects a body that is not a stream of events, so that a broken one
// can be answered with its outcome.
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
		ctx.Response().ResetBody()
		return fail(ctx, statusOf(answer.result), answer.result.Outcome, message(answer.result.Err))
	}
}

func (answer *answer) stream(out *bufio.Writer, requestID string) {
	defer close(answer.gone)
	for batch := range answer.batches {
		for _, event := range batch {
			if _, err := out.Write(event); err != nil {
				return
			}
		}
		if len(answer.batches) > 0 {
			continue
		}
		if err := out.Flush(); err != nil {
			return
		}
	}
	answer.closing(out, requestID)
}

// closing writes the outcome of a stream that is not complete as its last event.
func (answer *answer) closing(out *bufio.Writer, requestID string) {
	if answer.result.Outcome == wire.Outcome_OUTCOME_OK {
		return
	}
	text, err := json.Marshal(problem{Error: detail{
		Message: message(answer.result.Err), Outcome: OutcomeName(answer.result.Outcome), RequestID: requestID,
	}})
	if err != nil {
		return
	}
	// The caller sees the stream end without [DONE] if this cannot be written.
	_, _ = out.WriteString("event: error\ndata: " + string(text) + "\n\n")
	_ = out.Flush()
}

func statusOf(result route.Result) int {
	if result.Status != 0 {
		return result.Status
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
