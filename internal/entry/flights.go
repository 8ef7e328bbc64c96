package entry

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/front"
	"github.com/hibiscuslug/hibiscuslug/internal/ledger"
	"github.com/hibiscuslug/hibiscuslug/internal/meter"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/internal/span"
	"github.com/hibiscuslug/hibiscuslug/internal/tables"
)

var errCanceled = errors.New("canceled by an operator")

// flights wraps a router and tracks the requests in flight, so that an operator can
// cancel them.
type flights struct {
	router front.Router
	ledger *ledger.Ledger
	tracer *span.Tracer
	// requests and attempts are set before the first request.
	requests, attempts *meter.Counter

	// mu guards running. No other lock is acquired while it is held.
	mu      sync.Mutex
	running map[string]flight
}

type flight struct {
	cancel context.CancelCauseFunc
	done   chan struct{}
}

func newFlights(router front.Router, requestLedger *ledger.Ledger, tracer *span.Tracer) *flights {
	return &flights{router: router, ledger: requestLedger, tracer: tracer, running: map[string]flight{}}
}

// Do runs a call until it ends or is canceled, and records its span and metrics.
func (flights *flights) Do(ctx context.Context, request call.Call, sink route.Sink) route.Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	current := flight{cancel: cancel, done: make(chan struct{})}
	flights.mu.Lock()
	flights.running[request.ID] = current
	flights.mu.Unlock()
	defer func() {
		flights.mu.Lock()
		delete(flights.running, request.ID)
		flights.mu.Unlock()
		close(current.done)
	}()
	requestSpan := flights.tracer.Root(request.Traceparent, "request", span.Text("request", request.ID),
		span.Text("customer", request.Customer.GetName()), span.Text("tier", tables.Word(request.Tier)))
	request.Traceparent = requestSpan.Traceparent(request.Traceparent)
	result := flights.router.Do(span.Into(ctx, flights.tracer), request, sink)
	flights.recordEnd(request, result)
	requestSpan.End(front.OutcomeName(result.Outcome), result.Err)
	return result
}

// recordEnd counts an ended request and its attempts, and records the span of its
// wait for the first attempt.
func (flights *flights) recordEnd(request call.Call, result route.Result) {
	flights.requests.Add(tables.Word(request.Tier) + "." + front.OutcomeName(result.Outcome))
	record, ok := flights.ledger.Find(request.ID)
	if !ok {
		return
	}
	for _, attempt := range record.Attempts {
		flights.attempts.Add(front.OutcomeName(attempt.Outcome))
	}
	if len(record.Attempts) > 0 {
		flights.tracer.Record(request.Traceparent, "wait", request.Arrived, record.Attempts[0].Started)
	}
}

// count returns the number of requests in flight.
func (flights *flights) count() int {
	flights.mu.Lock()
	defer flights.mu.Unlock()
	return len(flights.running)
}

// cancel cancels a request and returns a channel that is closed when it has ended,
// and reports whether it is in flight.
func (flights *flights) cancel(id string) (<-chan struct{}, bool) {
	flights.mu.Lock()
	defer flights.mu.Unlock()
	current, ok := flights.running[id]
	if !ok {
		return nil, false
	}
	current.cancel(errCanceled)
	return current.done, true
}
