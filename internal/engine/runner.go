package engine

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuslug/hibiscuslug/internal/span"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	dialTimeout    = 500 * time.Millisecond
	readBufferSize = 64 << 10
	maxBodyChunk   = 32 << 10
	cancelTimeout  = 2 * time.Second
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
	Data(events [][]byte)
}

// Result is the result of an attempt.
type Result struct {
	Outcome wire.Outcome
	Err     error
}

// Runner sends attempts to engines over HTTP.
type Runner struct {
	client *fasthttp.Client
	tracer *span.Tracer
}

// NewRunner returns a runner with its own connection pool.
func NewRunner() *Runner {
	return &Runner{client: &fasthttp.Client{
		StreamResponseBody:  true,
		MaxConnsPerHost:     4096,
		MaxIdleConnDuration: time.Minute,
		// fasthttp must not repeat a request whose connection broke: package route
		// alone decides about retries.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, dialTimeout) },
	}}
}

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
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	runner.fill(request, target, attempt)
	if traceparent != "" {
		request.Header.Set("Traceparent", traceparent)
	}
	stop := context.AfterFunc(ctx, func() { runner.cancel(target, attempt) })
	defer stop()
	if err := runner.client.Do(request, response); err != nil {
		return classifyFailure(err)
	}
	defer func() { _ = response.CloseBodyStream() }()
	sink.Head(response.StatusCode(), string(response.Header.ContentType()), forwardedHeaders(target, &response.Header))
	if err := copyBody(response, sink); err != nil {
		return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errors.Wrap(err, "response ended before it was complete")}
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return Result{Outcome: wire.Outcome_OUTCOME_FAILED, Err: errors.Newf("engine responded with status %d", response.StatusCode())}
	}
	return Result{Outcome: wire.Outcome_OUTCOME_OK}
}

func (runner *Runner) fill(request *fasthttp.Request, target Engine, attempt *wire.Attempt) {
	request.SetRequestURI(URL(target) + enginePath(target, attempt.GetPath()))
	for _, header := range attempt.GetHeaders() {
		if !forwardsEncoding(target, attempt) && strings.EqualFold(header.GetName(), "Accept-Encoding") {
			continue
		}
		request.Header.Add(header.GetName(), header.GetValue())
	}
	request.Header.SetMethod(attempt.GetMethod())
	request.Header.SetContentType(attempt.GetContentType())
	request.Header.Set("X-Request-Id", ID(attempt.GetRequestId(), attempt.GetAttempt()))
	if _, ok := target.(Model); ok {
		request.Header.Set("X-Priority", strconv.Itoa(int(attempt.GetPriority())))
		request.Header.Set("X-Resume-From", strconv.FormatUint(attempt.GetSkipEvents(), 10))
	}
	request.SetBodyRaw(attempt.GetBody())
}

// cancel orders a model engine to stop an attempt; other engines do not support
// this.
func (runner *Runner) cancel(target Engine, attempt *wire.Attempt) {
	if _, ok := target.(Model); !ok {
		return
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(URL(target) + "/engine/cancel?id=" + ID(attempt.GetRequestId(), attempt.GetAttempt()))
	request.Header.SetMethod(fasthttp.MethodPost)
	// An engine that does not receive the order ends the stream when its connection
	// closes.
	_ = runner.client.DoTimeout(request, response, cancelTimeout)
}

// classifyFailure distinguishes an engine that was never reached from one that
// may have run the attempt.
func classifyFailure(err error) Result {
	var dial *net.OpError
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) ||
		(errors.As(err, &dial) && dial.Op == "dial") {
		return Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: err}
	}
	return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: err}
}

func copyBody(response *fasthttp.Response, sink Sink) error {
	body := response.BodyStream()
	if body == nil {
		if chunk := response.Body(); len(chunk) > 0 {
			sink.Data([][]byte{bytes.Clone(chunk)})
		}
		return nil
	}
	if bytes.HasPrefix(response.Header.ContentType(), []byte("text/event-stream")) {
		reader, _ := readerPool.Get().(*bufio.Reader)
		reader.Reset(body)
		defer func() {
			reader.Reset(nil)
			readerPool.Put(reader)
		}()
		if err := copyEvents(reader, sink); err != nil {
			return err
		}
		// fasthttp reuses a connection only when the response was read to the end.
		_, _ = io.CopyN(io.Discard, reader, maxTrailingBytes)
		return nil
	}
	return copyChunks(body, sink)
}

func copyChunks(body io.Reader, sink Sink) error {
	for {
		chunk := make([]byte, maxBodyChunk)
		count, err := body.Read(chunk)
		if count > 0 {
			sink.Data([][]byte{chunk[:count]})
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
	for {
		event, err := readEvent(reader)
		if err != nil {
			if len(batch) > 0 {
				sink.Data(batch)
			}
			return err
		}
		batch = append(batch, event)
		done := bytes.HasPrefix(event, doneEvent)
		if done || reader.Buffered() == 0 || len(batch) >= maxEventsPerAnswer {
			sink.Data(batch)
			batch = nil
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
