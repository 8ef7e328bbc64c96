// Package front is where a request enters: HTTP, limits, identity and the
// outcome in every answer.
package front

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/class"
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

// Router runs calls.
type Router interface {
	Do(ctx context.Context, request call.Call, sink route.Sink) route.Result
}

// Front serves callers.
type Front struct {
	settings opts.Entry
	app      *fiber.App
	listener net.Listener
	view     *feed.View
	router   Router
	ledger   *ledger.Ledger
	clock    *clock.Clock
	newID    func() string
	inFlight atomic.Int64
	leaving  atomic.Bool
	running  conc.WaitGroup
	work     conc.WaitGroup
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
	front.app = fiber.New(fiber.Config{
		BodyLimit: settings.MaxBody, ReadBufferSize: settings.MaxHeader,
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

// Close refuses new requests and waits for those in flight up to a limit.
func (front *Front) Close(limit time.Duration) error {
	front.leaving.Store(true)
	err := front.app.ShutdownWithTimeout(limit)
	front.running.Wait()
	front.work.Wait()
	return err
}

// body is what the front needs to know of a model call.
type body struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens uint32          `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (front *Front) serve(ctx *fiber.Ctx) error {
	id := front.newID()
	ctx.Set("X-Request-Id", id)
	if front.leaving.Load() {
		ctx.Set("Retry-After", "1")
		return refuse(ctx, fiber.StatusServiceUnavailable, "this entry VM is shutting down")
	}
	if front.inFlight.Add(1) > int64(front.settings.MaxConcurrent) {
		front.inFlight.Add(-1)
		ctx.Set("Retry-After", "1")
		return refuse(ctx, fiber.StatusTooManyRequests, "too many requests in flight at this entry VM")
	}
	request, refusal := front.classify(ctx, id)
	if refusal != nil {
		front.inFlight.Add(-1)
		return refuse(ctx, refusal.Code, refusal.Message)
	}
	return front.run(ctx, request)
}

func (front *Front) classify(ctx *fiber.Ctx, id string) (call.Call, *fiber.Error) {
	input := class.Input{
		ID: id, Token: bearer(ctx), Method: strings.Clone(ctx.Method()), Path: strings.Clone(ctx.OriginalURL()),
		ContentType: strings.Clone(ctx.Get(fiber.HeaderContentType)), Key: strings.Clone(ctx.Get("Idempotency-Key")),
		Traceparent: strings.Clone(ctx.Get("Traceparent")), LowerTier: strings.Clone(ctx.Get("X-Tier")),
		Body: append([]byte(nil), ctx.Body()...), Arrived: front.clock.Now(),
	}
	if text := ctx.Get("X-Priority"); text != "" {
		priority, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return call.Call{}, fiber.NewError(fiber.StatusBadRequest, "X-Priority is not a whole number: "+text)
		}
		wanted := int32(priority)
		input.LowerPriority = &wanted
	}
	if strings.HasPrefix(input.Path, "/v1/") {
		var parsed body
		if err := json.Unmarshal(input.Body, &parsed); err != nil {
			return call.Call{}, fiber.NewError(fiber.StatusBadRequest, "body is not valid JSON: "+err.Error())
		}
		input.Model, input.MaxTokens, input.Stream = parsed.Model, parsed.MaxTokens, parsed.Stream
		input.Prompt = string(parsed.Prompt) + string(parsed.Messages)
	}
	request, ok := class.Classify(front.view.State(), input)
	if !ok {
		return call.Call{}, fiber.NewError(fiber.StatusUnauthorized, "bearer token is missing or belongs to no customer")
	}
	if !request.Idempotent && request.Key == "" && !request.KeyOptional {
		return call.Call{}, fiber.NewError(fiber.StatusBadRequest, "this request may not be repeated and needs an Idempotency-Key header")
	}
	return request, nil
}

func bearer(ctx *fiber.Ctx) string {
	token, _ := strings.CutPrefix(ctx.Get(fiber.HeaderAuthorization), "Bearer ")
	return token
}

// run starts the call and answers with its head; a stream goes on behind it.
func (front *Front) run(ctx *fiber.Ctx, request call.Call) error {
	front.ledger.Begin(request)
	limited, cancel := context.WithTimeout(context.Background(), front.settings.RequestLimit.Duration())
	answer := newAnswer()
	front.work.Go(func() {
		defer cancel()
		defer front.inFlight.Add(-1)
		result := front.router.Do(limited, request, answer)
		front.ledger.End(request.ID, front.clock.Now(), result.Outcome, message(result.Err), answer.count)
		answer.end(result)
	})
	return answer.reply(ctx)
}

func message(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (front *Front) onError(ctx *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	return refuse(ctx, status, err.Error())
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
