// Package front is the HTTP server for callers. It enforces limits, authenticates
// customers and reports the outcome in every response.
package front

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/guard"
	"github.com/hibiscuslug/hibiscuslug/internal/ledger"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// callerWriteTimeout is how long a caller may accept no data of a response before it is
// treated as disconnected.
const callerWriteTimeout = 10 * clock.Second

// idleTimeout is how long a keep-alive connection may wait for its next request. It is
// longer than the 60 s after which common load balancers close idle connections.
const idleTimeout = 75 * time.Second

// Router runs calls.
type Router interface {
	Do(ctx context.Context, request call.Call, sink route.Sink) route.Result
}

// Front is the HTTP server for callers.
type Front struct {
	settings  opts.Entry
	app       *fiber.App
	listener  net.Listener
	view      *feed.View
	router    Router
	ledger    *ledger.Ledger
	clock     *clock.Clock
	newID     func() string
	inFlight  atomic.Int64
	customers customers
	closing   atomic.Bool
	// callsCtx is the parent of the contexts of all calls; cancelCalls cancels them.
	callsCtx    context.Context
	cancelCalls context.CancelFunc
	serving     conc.WaitGroup
	calls       conc.WaitGroup
}

// New listens for callers and starts to serve them.
func New(settings opts.Entry, bounds *guard.Guard, view *feed.View, router Router, requestLedger *ledger.Ledger, ticker *clock.Clock, newID func() string) (*Front, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", settings.HTTPListen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", settings.HTTPListen)
	}
	front := &Front{
		settings: settings, listener: listener, view: view, router: router,
		ledger: requestLedger, clock: ticker, newID: newID,
	}
	front.callsCtx, front.cancelCalls = context.WithCancel(context.Background())
	front.app = fiber.New(fiber.Config{
		BodyLimit: settings.MaxBody, ReadBufferSize: settings.MaxHeader,
		ReadTimeout: settings.ReadLimit.Duration(), IdleTimeout: idleTimeout,
		// A connection keeps nothing of a request that was answered, and a body is not parsed
		// into the parts of a form.
		ReduceMemoryUsage: true, DisablePreParseMultipartForm: true,
		DisableStartupMessage: true, ErrorHandler: front.handleError,
	})
	front.app.Server().ConnState = guard.FollowFast
	front.app.Server().Logger = log.New(io.Discard, "", 0)
	front.app.All("/v1/*", front.serve)
	front.app.All("/services/*", front.serve)
	front.serving.Go(func() {
		bounds.Served("callers", front.app.Listener(bounds.Listen(listener, guard.Options{
			Name: "callers", Share: guard.CallersShare, HeadLimit: func() int { return settings.MaxHeader }, HeadTime: settings.ReadLimit,
			WholeBody: settings.MaxBody, ServerRefuses: true, Respond: front.refusal, WriteStall: callerWriteTimeout,
		})))
	})
	return front, nil
}

// Address returns the address on which callers are served.
func (front *Front) Address() string { return front.listener.Addr().String() }

// Close refuses new requests and waits up to limit for those in flight. Requests that
// are still in flight then are canceled and end with an unknown outcome.
func (front *Front) Close(limit time.Duration) error {
	front.closing.Store(true)
	err := front.app.ShutdownWithTimeout(limit)
	// A server that starts to serve only after the shutdown would keep using the
	// listener. Closing the listener twice is harmless.
	_ = front.listener.Close()
	front.cancelCalls()
	front.serving.Wait()
	front.calls.Wait()
	return err
}

func (front *Front) serve(ctx *fiber.Ctx) error {
	id := front.newID()
	ctx.Set("X-Request-Id", id)
	if front.closing.Load() {
		ctx.Set(fiber.HeaderRetryAfter, "1")
		return refuse(ctx, fiber.StatusServiceUnavailable, "this entry VM is shutting down")
	}
	if front.inFlight.Add(1) > int64(front.settings.MaxConcurrent) {
		front.inFlight.Add(-1)
		return tooMany(ctx, "too many requests in flight at this entry VM, at most %d", front.settings.MaxConcurrent)
	}
	request, refusal := front.classify(ctx, id)
	if refusal != nil {
		front.inFlight.Add(-1)
		return refuse(ctx, refusal.Code, refusal.Message)
	}
	limit, refusal := timeLimit(ctx, front.settings.RequestLimit)
	if refusal != nil {
		front.inFlight.Add(-1)
		return refuse(ctx, refusal.Code, refusal.Message)
	}
	release, ok := front.customers.acquire(request.Customer)
	if !ok {
		front.inFlight.Add(-1)
		return tooMany(ctx, "too many requests of this customer in flight at this entry VM, at most %d", request.Customer.GetMaxConcurrent())
	}
	return front.run(ctx, request, limit, release)
}

// refusal returns the response to a request for which the entry VM has no room.
func (front *Front) refusal(status int) []byte {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	id := front.newID()
	response.SetStatusCode(status)
	response.Header.Set("X-Request-Id", id)
	response.Header.Set("X-Outcome", OutcomeName(wire.Outcome_OUTCOME_NOT_RUN))
	response.Header.Set(fiber.HeaderRetryAfter, "1")
	response.Header.SetContentType(fiber.MIMEApplicationJSON)
	response.SetConnectionClose()
	text, err := json.Marshal(errorBody{Error: errorDetail{
		Message: "this entry VM holds too many bytes of requests", Outcome: OutcomeName(wire.Outcome_OUTCOME_NOT_RUN), RequestID: id,
	}})
	if err == nil {
		response.SetBody(text)
	}
	return []byte(response.String())
}

func tooMany(ctx *fiber.Ctx, text string, values ...any) error {
	ctx.Set(fiber.HeaderRetryAfter, "1")
	return refuse(ctx, fiber.StatusTooManyRequests, fmt.Sprintf(text, values...))
}

// run starts the call and writes the response. The body of a stream is sent after run
// returns.
func (front *Front) run(ctx *fiber.Ctx, request call.Call, limit clock.Millis, release func()) error {
	front.ledger.Begin(request)
	callCtx, cancel := context.WithTimeout(front.callsCtx, limit.Duration())
	response := newResponse(request, cancel)
	front.calls.Go(func() {
		defer cancel()
		defer front.inFlight.Add(-1)
		defer release()
		result := front.router.Do(callCtx, request, response)
		front.ledger.End(request.ID, front.clock.Now(), result.Outcome, errorMessage(result.Err), response.eventCount)
		response.end(result)
	})
	return response.write(ctx)
}

// handleError writes the error response to a request that was rejected before serve
// was called.
func (front *Front) handleError(ctx *fiber.Ctx, err error) error {
	if len(ctx.Response().Header.Peek("X-Request-Id")) == 0 {
		ctx.Set("X-Request-Id", front.newID())
	}
	status := fiber.StatusInternalServerError
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		status = fiberErr.Code
	}
	return refuse(ctx, status, front.errorText(status, err))
}

func (front *Front) errorText(status int, err error) string {
	switch status {
	case fiber.StatusRequestEntityTooLarge:
		return fmt.Sprintf("request body is larger than %d bytes", front.settings.MaxBody)
	case fiber.StatusRequestHeaderFieldsTooLarge:
		return fmt.Sprintf("request header is larger than %d bytes", front.settings.MaxHeader)
	case fiber.StatusRequestTimeout:
		return fmt.Sprintf("request was not received within %s", front.settings.ReadLimit)
	case fiber.StatusBadRequest:
		return "malformed HTTP request: " + err.Error()
	case fiber.StatusNotFound:
		return "no such path; use /v1/chat/completions, /v1/completions or /services/NAME/"
	}
	return err.Error()
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string `json:"message"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"requestId"`
}

func refuse(ctx *fiber.Ctx, status int, text string) error {
	return fail(ctx, status, wire.Outcome_OUTCOME_NOT_RUN, text)
}

func fail(ctx *fiber.Ctx, status int, outcome wire.Outcome, text string) error {
	ctx.Set("X-Outcome", OutcomeName(outcome))
	return ctx.Status(status).JSON(errorBody{Error: errorDetail{
		Message: text, Outcome: OutcomeName(outcome), RequestID: string(ctx.Response().Header.Peek("X-Request-Id")),
	}})
}

// OutcomeName returns the name of an outcome in responses, metrics and query results.
func OutcomeName(outcome wire.Outcome) string {
	switch outcome {
	case wire.Outcome_OUTCOME_OK:
		return "ok"
	case wire.Outcome_OUTCOME_NOT_RUN:
		return "notRun"
	case wire.Outcome_OUTCOME_FAILED:
		return "failed"
	default:
		return "unknown"
	}
}
