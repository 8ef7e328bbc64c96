package front

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuslug/hibiscuslug/internal/answer"
	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// maxPendingBatches is the maximum number of batches that are buffered for a slow caller.
const maxPendingBatches = 64

var (
	errDisconnected = errors.New("caller has disconnected")
	errIncomplete   = errors.New("answer is incomplete")
)

// response passes an answer from the router's goroutine to the HTTP connection. It is
// the router's sink and the body stream of the HTTP server.
type response struct {
	kind      wire.Kind
	requestID string
	// cancel ends the call when the caller has disconnected.
	cancel context.CancelFunc

	// headReady is closed when the status or the result is set.
	headReady   chan struct{}
	headOnce    sync.Once
	status      int
	contentType string
	headers     []*wire.Header
	batches     chan [][]byte
	// done is closed when the HTTP server has sent the body or lost the connection.
	done       chan struct{}
	doneOnce   sync.Once
	result     route.Result
	eventCount uint64

	// The fields below are used only by the connection's goroutine.
	batch  [][]byte
	closed bool
}

func newResponse(request call.Call, cancel context.CancelFunc) *response {
	return &response{
		kind: request.Kind, requestID: request.ID, cancel: cancel,
		headReady: make(chan struct{}), batches: make(chan [][]byte, maxPendingBatches), done: make(chan struct{}),
	}
}

// Headers sets the headers of a plain service's answer. It is called before Head.
func (response *response) Headers(headers []*wire.Header) { response.headers = headers }

// Head sets the status and content type of the answer. An engine's status that promises that
// the request did not run becomes 502, since the engine got the request: outcomes alone tell
// callers what did not run.
func (response *response) Head(status int, contentType string) {
	if answer.PromisesNotRun(status) {
		status = fasthttp.StatusBadGateway
		response.headers = slices.DeleteFunc(slices.Clone(response.headers), func(header *wire.Header) bool {
			return strings.EqualFold(header.GetName(), fiber.HeaderRetryAfter)
		})
	}
	response.status, response.contentType = status, contentType
	response.headOnce.Do(func() { close(response.headReady) })
}

// Data queues a part of the answer. It blocks while the queue to a slow caller is full.
func (response *response) Data(events [][]byte) error {
	response.eventCount += uint64(len(events))
	select {
	case response.batches <- events:
		return nil
	case <-response.done:
		response.cancel()
		return errDisconnected
	}
}

func (response *response) end(result route.Result) {
	response.result = result
	response.headOnce.Do(func() { close(response.headReady) })
	close(response.batches)
}

// write sends the HTTP response once the head or the result is available.
func (response *response) write(ctx *fiber.Ctx) error {
	<-response.headReady
	if response.status == 0 {
		return response.writeError(ctx)
	}
	ctx.Status(response.status)
	for _, header := range response.headers {
		ctx.Response().Header.Add(header.GetName(), header.GetValue())
	}
	ctx.Set(fiber.HeaderContentType, response.contentType)
	switch {
	case response.isEventStream():
		ctx.Context().SetBodyStream(response, -1)
		return nil
	case response.kind == wire.Kind_KIND_PLAIN:
		return response.writePlain(ctx)
	}
	return response.writeBuffered(ctx)
}

func (response *response) isEventStream() bool {
	return strings.HasPrefix(response.contentType, "text/event-stream")
}

func (response *response) writeError(ctx *fiber.Ctx) error {
	ctx.Response().ResetBody()
	return fail(ctx, setRetryAfter(ctx, response.result), response.result.Outcome, errorMessage(response.result.Err))
}

// writePlain streams a plain service's body. If the answer is interrupted before its
// first byte, the caller gets an error response with the outcome instead.
func (response *response) writePlain(ctx *fiber.Ctx) error {
	first, more := <-response.batches
	if !more && (response.result.Outcome == wire.Outcome_OUTCOME_UNKNOWN || response.result.Outcome == wire.Outcome_OUTCOME_NOT_RUN) {
		return response.writeError(ctx)
	}
	if response.status >= fiber.StatusBadRequest {
		ctx.Set("X-Outcome", OutcomeName(wire.Outcome_OUTCOME_FAILED))
	}
	if !more {
		return nil
	}
	response.batch = first
	ctx.Context().SetBodyStream(response, -1)
	return nil
}

// writeBuffered collects a body that is not an event stream before it is sent, so that
// the caller gets an error response with the outcome if the answer is interrupted.
func (response *response) writeBuffered(ctx *fiber.Ctx) error {
	for batch := range response.batches {
		for _, piece := range batch {
			ctx.Response().AppendBody(piece)
		}
	}
	switch response.result.Outcome {
	case wire.Outcome_OUTCOME_OK:
		return nil
	case wire.Outcome_OUTCOME_FAILED:
		ctx.Set("X-Outcome", OutcomeName(response.result.Outcome))
		return nil
	default:
		return response.writeError(ctx)
	}
}

// Read copies the next parts of the body to the HTTP server. It blocks only while no
// part is ready, so that parts that are ready together are sent in one write.
func (response *response) Read(buf []byte) (int, error) {
	count := response.copy(buf)
	for count < len(buf) && !response.closed {
		if count == 0 {
			batch, more := <-response.batches
			response.accept(batch, more)
		} else if !response.poll() {
			break
		}
		count += response.copy(buf[count:])
	}
	if count > 0 {
		return count, nil
	}
	return 0, response.endOfBody()
}

// poll accepts the next batch or the end of the answer without blocking. It returns
// false if neither is ready.
func (response *response) poll() bool {
	select {
	case batch, more := <-response.batches:
		response.accept(batch, more)
		return true
	default:
		return false
	}
}

func (response *response) accept(batch [][]byte, more bool) {
	response.batch, response.closed = batch, !more
	if !more && response.isEventStream() && response.result.Outcome != wire.Outcome_OUTCOME_OK {
		response.batch = [][]byte{response.errorEvent()}
	}
}

func (response *response) copy(buf []byte) int {
	count := 0
	for len(response.batch) > 0 && count < len(buf) {
		size := copy(buf[count:], response.batch[0])
		count += size
		if size < len(response.batch[0]) {
			response.batch[0] = response.batch[0][size:]
			break
		}
		response.batch = response.batch[1:]
	}
	return count
}

// endOfBody returns io.EOF, or an error if the body is incomplete. After an error the
// server closes the connection without the last chunk, so that the caller can detect it.
func (response *response) endOfBody() error {
	incomplete := response.result.Outcome == wire.Outcome_OUTCOME_UNKNOWN || response.result.Outcome == wire.Outcome_OUTCOME_NOT_RUN
	if incomplete && !response.isEventStream() {
		return errIncomplete
	}
	return io.EOF
}

// Close is called by the HTTP server when the body is sent or the connection is lost.
func (response *response) Close() error {
	response.doneOnce.Do(func() { close(response.done) })
	return nil
}

// errorEvent returns the last event of an incomplete stream, with the error and outcome.
func (response *response) errorEvent() []byte {
	text, err := json.Marshal(errorBody{Error: errorDetail{
		Message: errorMessage(response.result.Err), Outcome: OutcomeName(response.result.Outcome), RequestID: response.requestID,
	}})
	if err != nil {
		return nil
	}
	return []byte("event: error\ndata: " + string(text) + "\n\n")
}

func statusOf(result route.Result) int {
	var statusErr *call.StatusError
	if errors.As(result.Err, &statusErr) {
		return statusErr.Status
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

func errorMessage(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, context.DeadlineExceeded):
		return "time limit of the request reached"
	}
	return err.Error()
}
