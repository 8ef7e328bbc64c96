// Package route carries a call through its attempts: it dispatches to the
// endpoint process in front of the chosen engine, notices silence, and tries
// again where the work may be repeated.
package route

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/ledger"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	maxAttempts = 3
	askLimit    = 500 * time.Millisecond
)

// Sink takes the parts of the answer for the caller, in order and once each.
type Sink interface {
	Head(status int, contentType string)
	// Data returns an error when the caller has gone.
	Data(events [][]byte) error
}

// Result is how a call ended.
type Result struct {
	Outcome wire.Outcome
	Err     error
}

// Source lists the engines that may be used now.
type Source interface {
	Candidates() []place.Candidate
	// Begin and End count this entry VM's own requests on an engine.
	Begin(candidate place.Candidate)
	End(candidate place.Candidate, load *wire.EngineLoad)
}

// Settings of a router.
type Settings struct {
	Node         string
	SilenceLimit clock.Millis
}

// Router carries calls.
type Router struct {
	settings Settings
	pool     *link.Pool
	placer   *place.Placer
	source   Source
	ledger   *ledger.Ledger
	clock    *clock.Clock
	log      *event.Log
}

// New returns a router.
func New(settings Settings, pool *link.Pool, placer *place.Placer, source Source, book *ledger.Ledger, ticker *clock.Clock, log *event.Log) *Router {
	return &Router{settings: settings, pool: pool, placer: placer, source: source, ledger: book, clock: ticker, log: log}
}

var (
	errNoEngine = errors.New("no engine can run this request now")
	errSilent   = errors.New("endpoint made no progress")
	errStopped  = errors.New("caller has gone")
)

// Do runs a call and passes its answer to the sink.
func (router *Router) Do(ctx context.Context, request call.Call, sink Sink) Result {
	delivery := &delivery{sink: sink}
	result := Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errNoEngine}
	var used []string
	for number := uint32(1); number <= maxAttempts; number++ {
		choice, ok := router.choose(request, used)
		if !ok {
			break
		}
		used = append(used, choice.Candidate.Engine.GetName())
		result = router.try(ctx, request, number, choice, delivery)
		if !router.again(ctx, request, result, delivery) {
			break
		}
	}
	return result
}

func (router *Router) choose(request call.Call, used []string) (place.Choice, bool) {
	candidates := router.source.Candidates()
	fresh := slices.DeleteFunc(slices.Clone(candidates), func(candidate place.Candidate) bool {
		return slices.Contains(used, candidate.Engine.GetName())
	})
	return router.placer.Choose(request, fresh, router.clock.Now(), nil)
}

// again tells whether a call may be tried once more.
func (router *Router) again(ctx context.Context, request call.Call, result Result, delivery *delivery) bool {
	switch result.Outcome {
	case wire.Outcome_OUTCOME_OK:
		return false
	case wire.Outcome_OUTCOME_NOT_RUN:
		return ctx.Err() == nil
	default:
	}
	// A body that is not a stream of events cannot be continued.
	resumable := request.Stream || !delivery.started
	return ctx.Err() == nil && request.Idempotent && result.Outcome == wire.Outcome_OUTCOME_UNKNOWN && resumable
}

func (router *Router) try(ctx context.Context, request call.Call, number uint32, choice place.Choice, delivery *delivery) Result {
	candidate := choice.Candidate
	router.ledger.Try(request.ID, ledger.Attempt{
		Number: number, Endpoint: candidate.Endpoint, Engine: candidate.Engine.GetName(),
		Reason: choice.Reason, Started: router.clock.Now(),
	})
	router.source.Begin(candidate)
	exchange := &exchange{router: router, candidate: candidate, message: router.message(request, number, candidate, delivery), delivery: delivery}
	result := exchange.run(ctx)
	router.source.End(candidate, exchange.load)
	reason := ""
	if result.Err != nil {
		reason = result.Err.Error()
		router.log.Write(event.AttemptFailed, "request", request.ID, "attempt", number, "engine", candidate.Engine.GetName(), "outcome", result.Outcome, "error", reason)
	}
	router.ledger.Tried(request.ID, router.clock.Now(), exchange.queued, result.Outcome, reason)
	return result
}

func (router *Router) message(request call.Call, number uint32, candidate place.Candidate, delivery *delivery) *wire.Attempt {
	return &wire.Attempt{
		RequestId: request.ID, Attempt: number, Incarnation: candidate.Incarnation, Engine: candidate.Engine.GetName(),
		Customer: request.Customer.GetName(), Tier: request.Tier, Priority: request.Priority, Weight: request.Customer.GetWeight(),
		Kind: request.Kind, Idempotent: request.Idempotent, Model: request.Model, Method: request.Method, Path: request.Path,
		ContentType: request.ContentType, Body: request.Body, Stream: request.Stream, SkipEvents: delivery.events,
		PredictedSize: request.PredictedSize, Patience: int64(request.Deadline - router.clock.Now()),
		Traceparent: request.Traceparent, Entry: router.settings.Node, PrefixHash: request.PrefixHash,
	}
}

// delivery counts what the caller has, over all attempts.
type delivery struct {
	sink    Sink
	started bool
	events  uint64
}

func (delivery *delivery) head(status int, contentType string) {
	if !delivery.started {
		delivery.started = true
		delivery.sink.Head(status, contentType)
	}
}

func (delivery *delivery) data(events [][]byte) error {
	delivery.events += uint64(len(events))
	return delivery.sink.Data(events)
}
