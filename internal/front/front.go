// Package front is where a request enters: HTTP, limits, identity and the
// outcome in every answer.
package front

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/ledger"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// callerWriteLimit is how long a caller may take nothing of an answer that is
// ready before it counts as gone.
const callerWriteLimit = 10 * clock.Second

// idleLimit is how long a connection may wait for its next request. It is above
// the 60 s after which common load balancers close theirs.
const idleLimit = 75 * time.Second

// Router runs calls.
type Router interface {
	Do(ctx context.Context, request call.Call, sink route.Sink) route.Result
}

// Front serves callers.
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
	leaving   atomic.Bool
	// calls is the parent of the contexts of all calls; stop ends them.
	calls   context.Context
	stop    context.CancelFunc
	running conc.WaitGroup
	work    conc.WaitGroup
}

// New listens for callers.
func New(settings opts.Entry, view *feed.View, router Router, book *ledger.Ledger, ticker *clock.Clock, newID func() string) (*Front, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", settings.HTTPListen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", settings.HTTPListen)
	}
	front := &Front{
		settings: settings, listener: listener, view: view, router: router,
		ledger: book, clock: ticker, newID: newID,
	}
	front.calls, front.stop = context.WithCancel(context.Background())
	front.app = fiber.New(fiber.Config{
		BodyLimit: settings.MaxBody, ReadBufferSize: settings.MaxHeader,
		ReadTimeout: settings.ReadLimit.Duration(), IdleTimeout: idleLimit,
		DisableStartupMessage: true, ErrorHandler: front.onError,
	})
	front.app.Server().Logger = log.New(io.Discard, "", 0)
	front.app.All("/v1/*", front.serve)
	front.app.All("/services/*", front.serve)
	front.running.Go(func() {
		// The listener's end is reported by Close.
		_ = front.app.Listener(link.WithWriteLimit(listener, callerWriteLimit))
	})
	return front, nil
}

// Address returns the address for callers.
func (front *Front) Address() string { return front.listener.Addr().String() }

// Close refuses new requests and waits for those in flight up to a limit. What
// is still in flight then ends with an outcome that is not known.
func (front *Front) Close(limit time.Duration) error {
	front.leaving.Store(true)
	err := front.app.ShutdownWithTimeout(limit)
	// A server that has not begun to serve when it is shut down would go on
	// with the listener; a listener that is closed twice does no harm.
	_ = front.listener.Close()
	front.stop()
	front.running.Wait()
	front.work.Wait()
	return err
}

func (front *Front) serve(ctx *fiber.Ctx) error {
	id := front.newID()
	ctx.Set("X-Request-Id", id)
	if front.leaving.Load() {
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
	leave, ok := front.customers.enter(request.Customer)
	if !ok {
		front.inFlight.Add(-1)
		return tooMany(ctx, "too many requests of this customer in flight at this entry VM, at most %d", request.Customer.GetMaxConcurrent())
	}
	return front.run(ctx, request, limit, leave)
}

func tooMany(ctx *fiber.Ctx, text string, values ...any) error {
	ctx.Set(fiber.HeaderRetryAfter, "1")
	return refuse(ctx, fiber.StatusTooManyRequests, fmt.Sprintf(text, values...))
}

// run starts the call and answers with its head; a stream goes on behind it.
func (front *Front) run(ctx *fiber.Ctx, request call.Call, limit clock.Millis, leave func()) error {
	front.ledger.Begin(request)
	limited, cancel := context.WithTimeout(front.calls, limit.Duration())
	answer := newAnswer(request, cancel)
	front.work.Go(func() {
		defer cancel()
		defer front.inFlight.Add(-1)
		defer leave()
		result := front.router.Do(limited, request, answer)
		front.ledger.End(request.ID, front.clock.Now(), result.Outcome, message(result.Err), answer.count)
		answer.end(result)
	})
	return answer.reply(ctx)
}

// onError answers requests that were refused before they reached serve.
func (front *Front) onError(ctx *fiber.Ctx, err error) error {
	if len(ctx.Response().Header.Peek("X-Request-Id")) == 0 {
		ctx.Set("X-Request-Id", front.newID())
	}
	status := fiber.StatusInternalServerError
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	return refuse(ctx, status, front.explain(status, err))
}

func (front *Front) explain(status int, err error) string {
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

// problem is the JSON form of an error answer.
type problem struct {
	Error detail `json:"error"`
}

type detail struct {
	Message   string `json:"message"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"requestId"`
}

func refuse(ctx *fiber.Ctx, status int, text string) error {
	return fail(ctx, status, wire.Outcome_OUTCOME_NOT_RUN, text)
}

func fail(ctx *fiber.Ctx, status int, outcome wire.Outcome, text string) error {
	ctx.Set("X-Outcome", OutcomeName(outcome))
	return ctx.Status(status).JSON(problem{Error: detail{
		Message: text, Outcome: OutcomeName(outcome), RequestID: string(ctx.Response().Header.Peek("X-Request-Id")),
	}})
}

// OutcomeName returns the outcome as callers see it.
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
