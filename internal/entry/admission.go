package entry

import (
	"context"
	"sync"

	"github.com/hibiscuslug/hibiscuslug/internal/admit"
	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/once"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/internal/sizes"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// refreshEvery is how often the gates see new load reports.
const refreshEvery = 50 * clock.Millis(1)

// admission stands before the router: it predicts the size of a request and lets
// it through when the gate of its engines admits it. Work that may run only once
// passes it after its claim, so that a recorded answer needs no admission.
type admission struct {
	router  once.Router
	fleet   *engines
	entries func() int
	clock   *clock.Clock
	log     *event.Log

	// mu guards the fields below. Lock order: admission before engines.
	mu        sync.Mutex
	predictor *sizes.Predictor
	gates     map[pool]*admit.Gate
	waiting   map[string]chan admit.Decision
}

// pool names the engines that can run the same requests.
type pool struct {
	kind           wire.Kind
	model, service string
}

func newAdmission(router once.Router, fleet *engines, entries func() int, ticker *clock.Clock, log *event.Log) *admission {
	return &admission{
		router: router, fleet: fleet, entries: entries, clock: ticker, log: log, predictor: sizes.New(),
		gates: map[pool]*admit.Gate{}, waiting: map[string]chan admit.Decision{},
	}
}

func poolOf(request call.Call) pool {
	if request.Kind == wire.Kind_KIND_MODEL {
		return pool{kind: request.Kind, model: request.Model}
	}
	return pool{kind: request.Kind, service: request.Service}
}

// Do carries a call once it is admitted.
func (admission *admission) Do(ctx context.Context, request call.Call, sink route.Sink) route.Result {
	return admission.run(ctx, request, sink, func(request call.Call, sink route.Sink) route.Result {
		return admission.router.Do(ctx, request, sink)
	})
}

// Place chooses an engine for an attempt.
func (admission *admission) Place(request call.Call, used []string) (place.Choice, bool) {
	return admission.router.Place(request, used)
}

// Attempt sends one attempt once it is admitted.
func (admission *admission) Attempt(ctx context.Context, request call.Call, number uint32, choice place.Choice, sink route.Sink) route.Result {
	return admission.run(ctx, request, sink, func(request call.Call, sink route.Sink) route.Result {
		return admission.router.Attempt(ctx, request, number, choice, sink)
	})
}

// run waits for admission, runs the call and learns its size.
func (admission *admission) run(ctx context.Context, request call.Call, sink route.Sink, carry func(call.Call, route.Sink) route.Result) route.Result {
	traits := sizes.Traits{
		Kind: request.Kind, Customer: request.Customer.GetName(), Model: request.Model,
		Rule: request.PredictedSize, Prompt: len(request.Body), Limit: request.OutputLimit,
	}
	candidates := admission.fleet.Candidates()
	admission.mu.Lock()
	request.PredictedSize = admission.predictor.Predict(traits)
	gate, ok := admission.gateLocked(request, candidates)
	admission.mu.Unlock()
	if !ok {
		// No engine is known; the router says so.
		return carry(request, sink)
	}
	if result := admission.admit(ctx, gate, request); result.Err != nil {
		return result
	}
	counted := &countingSink{Sink: sink, begin: func() { admission.started(gate, request.ID) }}
	result := carry(request, counted)
	admission.mu.Lock()
	defer admission.mu.Unlock()
	if request.Stream && result.Outcome == wire.Outcome_OUTCOME_OK {
		admission.predictor.Learn(traits, counted.events)
	}
	admission.carryLocked(gate.Done(admission.clock.Now(), request.ID))
	return result
}

// gateLocked returns the gate of a request's engines, if there are engines.
func (admission *admission) gateLocked(request call.Call, candidates []place.Candidate) (*admit.Gate, bool) {
	wanted := poolOf(request)
	gate, ok := admission.gates[wanted]
	if ok {
		return gate, true
	}
	capacity := admission.capacity(wanted, candidates)
	if capacity.Slots == 0 {
		return nil, false
	}
	gate = admit.New(admit.DefaultSettings())
	admission.gates[wanted] = gate
	admission.carryLocked(gate.SetCapacity(admission.clock.Now(), capacity))
	return gate, true
}

// admit waits until the gate decides or the caller has gone.
func (admission *admission) admit(ctx context.Context, gate *admit.Gate, request call.Call) route.Result {
	now := admission.clock.Now()
	item := queue.Item{
		ID: request.ID, Customer: request.Customer.GetName(), Tier: request.Tier, Priority: request.Priority,
		Weight: request.Customer.GetWeight(), Size: request.PredictedSize, Arrived: now, Deadline: request.Deadline,
	}
	decided := make(chan admit.Decision, 1)
	admission.mu.Lock()
	admission.waiting[request.ID] = decided
	admission.carryLocked(gate.Arrive(now, item))
	admission.mu.Unlock()
	select {
	case decision := <-decided:
		return admission.result(request, decision)
	case <-ctx.Done():
	}
	admission.mu.Lock()
	defer admission.mu.Unlock()
	delete(admission.waiting, request.ID)
	if !gate.Withdraw(item) {
		// It was admitted or refused meanwhile; Done ignores what was refused.
		admission.carryLocked(gate.Done(now, request.ID))
	}
	return route.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: ctx.Err()}
}

func (admission *admission) result(request call.Call, decision admit.Decision) route.Result {
	refused, ok := decision.(admit.Refuse)
	if !ok {
		return route.Result{}
	}
	admission.log.Write(event.RequestRefused, "request", request.ID, "customer", request.Customer.GetName(),
		"tier", request.Tier, "reason", refused.Refusal.Reason)
	return route.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: refused.Refusal}
}

// carryLocked passes decisions on to the requests that wait for them.
func (admission *admission) carryLocked(decisions []admit.Decision) {
	for _, decision := range decisions {
		id := ""
		switch decision := decision.(type) {
		case admit.Admit:
			id = decision.ID
		case admit.Refuse:
			id = decision.ID
		}
		if decided, ok := admission.waiting[id]; ok {
			delete(admission.waiting, id)
			decided <- decision
		}
	}
}

func (admission *admission) started(gate *admit.Gate, id string) {
	admission.mu.Lock()
	defer admission.mu.Unlock()
	gate.Started(id)
}

// refresh gives the gates the newest reports until the context ends.
func (admission *admission) refresh(ctx context.Context) {
	for admission.clock.Sleep(ctx, refreshEvery) == nil {
		candidates := admission.fleet.Candidates()
		now := admission.clock.Now()
		admission.mu.Lock()
		for name, gate := range admission.gates {
			admission.carryLocked(gate.SetCapacity(now, admission.capacity(name, candidates)))
		}
		admission.mu.Unlock()
	}
}

// capacity sums what is known of the engines of a pool.
func (admission *admission) capacity(wanted pool, candidates []place.Candidate) admit.Capacity {
	sum := admit.Capacity{Entries: admission.entries()}
	fits := call.Call{Kind: wanted.kind, Model: wanted.model, Service: wanted.service}
	for _, candidate := range candidates {
		if !place.Fits(fits, candidate.Engine) {
			continue
		}
		load := candidate.Load
		own := int(candidate.InFlight) - int(candidate.Sent) + int(candidate.Returned)
		sum.Slots += int(load.GetSlots())
		sum.Others += max(0, int(load.GetRunning()+load.GetWaiting())-own)
		sum.WaitingPaid += int(load.GetWaitingPaid())
		sum.PaidAhead += load.GetPaidAhead()
		sum.Backlog += load.GetBacklog()
		if load.GetRunning() > 0 {
			sum.Rate += float64(load.GetRate()) * float64(load.GetSlots()) / float64(load.GetRunning())
		}
	}
	return sum
}

// countingSink counts the events of an answer on their way to the caller.
type countingSink struct {
	route.Sink
	begin  func()
	events uint32
}

// Headers passes on the answer's headers, where its caller takes them.
func (sink *countingSink) Headers(headers []*wire.Header) {
	if taker, ok := sink.Sink.(route.HeaderSink); ok {
		taker.Headers(headers)
	}
}

// Data passes on a part of the answer.
func (sink *countingSink) Data(events [][]byte) error {
	if sink.events == 0 {
		sink.begin()
	}
	sink.events += uint32(len(events))
	return sink.Sink.Data(events)
}
