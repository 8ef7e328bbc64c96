package engine

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	dialLimit   = 500 * time.Millisecond
	readBuffer  = 64 << 10
	pieceSize   = 32 << 10
	cancelLimit = 2 * time.Second
	// maxEventsPerAnswer bounds one message to an entry VM.
	maxEventsPerAnswer = 256
)

// Sink takes the parts of an engine's answer in order.
type Sink interface {
	Head(status int, contentType string, headers []*wire.Header)
	Data(events [][]byte)
}

// Result is how an attempt ended.
type Result struct {
	Outcome wire.Outcome
	Err     error
}

// Runner sends attempts to engines over HTTP.
type Runner struct {
	client *fasthttp.Client
}

// NewRunner returns a runner.
func NewRunner() *Runner {
	return &Runner{client: &fasthttp.Client{
		StreamResponseBody:  true,
		MaxConnsPerHost:     4096,
		MaxIdleConnDuration: time.Minute,
		// fasthttp would repeat a request whose connection broke; whether to
		// repeat is decided by package route alone.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, dialLimit) },
	}}
}

// ID names an attempt towards engines.
func ID(requestID string, attempt uint32) string {
	return requestID + "." + strconv.FormatUint(uint64(attempt), 10)
}

// Run runs an attempt and passes its answer to the sink.
func (runner *Runner) Run(ctx context.Context, target Engine, attempt *wire.Attempt, sink Sink) Result {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	runner.fill(request, target, attempt)
	stop := context.AfterFunc(ctx, func() { runner.cancel(target, attempt) })
	defer stop()
	if err := runner.client.Do(request, response); err != nil {
		return failure(err)
	}
	defer func() { _ = response.CloseBodyStream() }()
	sink.Head(response.StatusCode(), string(response.Header.ContentType()), kept(target, &response.Header))
	if err := copyBody(response, sink); err != nil {
		return Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errors.Wrap(err, "answer broke off")}
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return Result{Outcome: wire.Outcome_OUTCOME_FAILED, Err: errors.Newf("engine answered status %d", response.StatusCode())}
	}
	return Result{Outcome: wire.Outcome_OUTCOME_OK}
}

func (runner *Runner) fill(request *fasthttp.Request, target Engine, attempt *wire.Attempt) {
	request.SetRequestURI(URL(target) + path(target, attempt.GetPath()))
	for _, header := range attempt.GetHeaders() {
		if !encoded(target, attempt) && strings.EqualFold(header.GetName(), "Accept-Encoding") {
			continue
		}
		request.Header.Add(header.GetName(), header.GetValue())
	}
	request.Header.SetMethod(attempt.GetMethod())
	request.Header.SetContentType(attempt.GetContentType())
	request.Header.Set("X-Request-Id", ID(attempt.GetRequestId(), attempt.GetAttempt()))
	if attempt.GetTraceparent() != "" {
		request.Header.Set("Traceparent", attempt.GetTraceparent())
	}
	if _, ok := target.(Model); ok {
		request.Header.Set("X-Priority", strconv.Itoa(int(attempt.GetPriority())))
		request.Header.Set("X-Resume-From", strconv.FormatUint(attempt.GetSkipEvents(), 10))
	}
	request.SetBodyRaw(attempt.GetBody())
}

// cancel asks a model engine to stop an attempt; other engines cannot be asked.
func (runner *Runner) cancel(target Engine, attempt *wire.Attempt) {
	if _, ok := target.(Model); !ok {
		return
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(URL(target) + "/engine/cancel?id=" + ID(attempt.GetRequestId(), attempt.GetAttempt()))
	request.Header.SetMethod(fasthttp.MethodPost)
	// An engine that misses the order ends the stream when its connection closes.
	_ = runner.client.DoTimeout(request, response, cancelLimit)
}

// failure tells an engine that was never reached from one that may have run the attempt.
func failure(err error) Result {
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
		if piece := response.Body(); len(piece) > 0 {
			sink.Data([][]byte{bytes.Clone(piece)})
		}
		return nil
	}
	if bytes.HasPrefix(response.Header.ContentType(), []byte("text/event-stream")) {
		return copyEvents(bufio.NewReaderSize(body, readBuffer), sink)
	}
	return copyPieces(body, sink)
}

func copyPieces(body io.Reader, sink Sink) error {
	for {
		piece := make([]byte, pieceSize)
		count, err := body.Read(piece)
		if count > 0 {
			sink.Data([][]byte{piece[:count]})
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

// copyEvents passes on server-sent events and groups those that are already
// buffered. A stream is complete only with its [DONE] event.
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

// readEvent returns one event with its closing blank line.
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
