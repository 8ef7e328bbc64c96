package engine

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/conns"
	"github.com/hibiscuslug/hibiscuslug/internal/span"
	"github.com/hibiscuslug/hibiscuslug/internal/stream"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	readBufferSize = 64 << 10
	maxBodyChunk   = 32 << 10
	cancelTimeout  = 2 * clock.Second
	// maxTrailingBytes bounds what is read after a stream's closing event.
	maxTrailingBytes = 4 << 10
	// maxEventsPerAnswer bounds the events in one message to an entry VM.
	maxEventsPerAnswer = 256
)

// readerPool reuses stream readers, because each holds a buffer of readBufferSize.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// Sink receives the parts of an engine's answer in order.
type Sink interface {
	Head(status int, contentType string, headers []*wire.Header)
	// Data takes events or a chunk of the body. It may wait for a reader of the answer,
	// and returns an error if the answer is not wanted any more.
	Data(events [][]byte) error
}

// Result is the result of an attempt.
type Result struct {
	Outcome wire.Outcome
	Err     error
}

// Runner sends attempts to engines over HTTP.
type Runner struct {
	pool   *conns.Pool
	tracer *span.Tracer
}

// NewRunner returns a runner with its own connection pool. It never repeats a request
// whose connection broke: package route alone decides about retries.
func NewRunner(ticker *clock.Clock) *Runner {
	return &Runner{pool: conns.New(ticker).WithMaxIdle(maxIdleConns)}
}

// Close closes the idle connections.
func (runner *Runner) Close() { runner.pool.Close() }

// WithTracer makes the runner record a span for each call to an engine.
func (runner *Runner) WithTracer(tracer *span.Tracer) *Runner {
	runner.tracer = tracer
	return runner
}

// ID returns the id by which engines know an attempt.
func ID(requestID string, attempt uint32) string {
	return requestID + "." + strconv.FormatUint(uint64(attempt), 10)
}

// Run runs an attempt on an engine and passes the answer to the sink.
func (runner *Runner) Run(ctx context.Context, target Engine, attempt *wire.Attempt, sink Sink) Result {
	hop := runner.tracer.Start(attempt.GetTraceparent(), "engine", span.Text("engine", target.Info().GetName()))
	result := runner.call(ctx, target, attempt, hop.Traceparent(attempt.GetTraceparent()), sink)
	hop.End(result.Outcome.String(), result.Err)
	return result
}

func (runner *Runner) call(ctx context.Context, target Engine, attempt *wire.Attempt, traceparent string, sink Sink) Result {
	stop := context.AfterFunc(ctx, func() { runner.cancel(target, attempt) })
	defer stop()
	// A cancelled attempt ends with the engine's answer to the order, so that its slot is
	// free at the engine as well.
	exchange, err := runner.do(context.WithoutCancel(ctx), call{
		target: target, method: attempt.GetMethod(), path: enginePath(target, attempt.GetPath()), header: header(target, attempt, traceparent),
		body: attempt.GetBody(), fresh: !attempt.GetIdempotent(),
	})
	if err != nil {
		return classifyFailure(err)
	}
	response := exchange.Response
	sink.Head(response.StatusCode, response.Header.Get("Content-Type"), forwardedHeaders(target, response.Header))
	complete, err := copyBody(response, sink)
	exchange.Close(complete, 0)
	if err != nil {
		return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errors.Wrap(err, "response ended before it was complete")}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return Result{Outcome: wire.Outcome_OUTCOME_FAILED, Err: errors.Newf("engine responded with status %d", response.StatusCode)}
	}
	return Result{Outcome: wire.Outcome_OUTCOME_OK}
}

// header returns the header of an attempt's request.
func header(target Engine, attempt *wire.Attempt, traceparent string) http.Header {
	fields := http.Header{}
	for _, field := range attempt.GetHeaders() {
		if !forwardsEncoding(target, attempt) && strings.EqualFold(field.GetName(), "Accept-Encoding") {
			continue
		}
		fields.Add(field.GetName(), field.GetValue())
	}
	if attempt.GetContentType() != "" {
		fields.Set("Content-Type", attempt.GetContentType())
	}
	fields.Set("X-Request-Id", ID(attempt.GetRequestId(), attempt.GetAttempt()))
	if _, ok := target.(Model); ok {
		fields.Set("X-Priority", strconv.Itoa(int(attempt.GetPriority())))
		fields.Set("X-Resume-From", strconv.FormatUint(attempt.GetSkipEvents(), 10))
	}
	if traceparent != "" {
		fields.Set("Traceparent", traceparent)
	}
	return fields
}

// cancel orders a model engine to stop an attempt; other engines do not support
// this.
func (runner *Runner) cancel(target Engine, attempt *wire.Attempt) {
	if _, ok := target.(Model); !ok {
		return
	}
	// An engine that does not receive the order ends the stream when its connection
	// closes.
	_, _, _ = runner.query(cancelTimeout, call{
		target: target, method: http.MethodPost, path: "/engine/cancel?id=" + url.QueryEscape(ID(attempt.GetRequestId(), attempt.GetAttempt())),
	})
}

// classifyFailure distinguishes an engine that was never reached from one that
// may have run the attempt.
func classifyFailure(err error) Result {
	if errors.Is(err, conns.ErrNotSent) {
		return Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: err}
	}
	return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: err}
}

// copyBody passes a body on and reports whether it was read to its end.
func copyBody(response *http.Response, sink Sink) (bool, error) {
	body := response.Body
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		err := copyChunks(body, sink)
		return err == nil, err
	}
	reader, _ := readerPool.Get().(*bufio.Reader)
	reader.Reset(body)
	defer func() {
		reader.Reset(nil)
		readerPool.Put(reader)
	}()
	if err := copyEvents(reader, sink); err != nil {
		return false, err
	}
	// A connection is reused only when the response was read to its end.
	_, err := io.CopyN(io.Discard, reader, maxTrailingBytes)
	return errors.Is(err, io.EOF), nil
}

func copyChunks(body io.Reader, sink Sink) error {
	for {
		chunk := make([]byte, maxBodyChunk)
		count, err := body.Read(chunk)
		if count > 0 {
			if failure := sink.Data([][]byte{chunk[:count]}); failure != nil {
				return failure
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

var doneEvent = []byte("data: [DONE]")

// copyEvents passes on server-sent events, and batches those that are already
// buffered. A stream without its [DONE] event is incomplete.
func copyEvents(reader *bufio.Reader, sink Sink) error {
	var batch [][]byte
	size := 0
	for {
		event, err := readEvent(reader)
		if err != nil {
			if len(batch) > 0 {
				return errors.CombineErrors(err, sink.Data(batch))
			}
			return err
		}
		batch, size = append(batch, event), size+len(event)
		done := bytes.HasPrefix(event, doneEvent)
		if done || reader.Buffered() == 0 || len(batch) >= maxEventsPerAnswer || size >= stream.MaxEventBytes {
			if err := sink.Data(batch); err != nil {
				return err
			}
			batch, size = nil, 0
		}
		if done {
			return nil
		}
	}
}

// readEvent returns one event including the blank line that ends it.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > stream.MaxEventBytes {
			return nil, errors.Newf("an event of the stream is longer than %d bytes", stream.MaxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, errors.Wrap(io.ErrUnexpectedEOF, "stream ended without [DONE]")
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
	}
}
