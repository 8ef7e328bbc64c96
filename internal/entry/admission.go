package entry

import (
	"context"
	"sync"

	"github.com/hibiscuslug/hibiscuslug/internal/admit"
	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/dedup"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/internal/sizes"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// capacityRefreshInterval is how often the controllers' capacity is updated from load reports.
const capacityRefreshInterval = 50 * clock.Millis(1)

// admission wraps a router with admission control: it predicts the size of a
// request and sends it when the controller of its engine pool admits it. Non-idempotent
// work is admitted after its claim, so that replaying a recorded answer needs no
// admission.
type admission struct {
	router     dedup.Router
	fleet      *engines
	entryCount func() int
	clock      *clock.Clock
	log        *event.Log

	// mu guards the fields below. Lock order: admission before engines.
	mu          sync.Mutex
	predictor   *sizes.Predictor
	controllers map[enginePool]*admit.Controller
	waiters     map[string]chan admit.Decision
}

// enginePool identifies the engines that can run the same requests.
type enginePool struct {
	kind           wire.Kind
	model, service string
}

func newAdmission(router dedup.Router, fleet *engines, entries func() int, ticker *clock.Clock, log *event.Log) *admission {
	return &admission{
		router: router, fleet: fleet, entryCount: entries, clock: ticker, log: log, predictor: sizes.New(),
		controllers: map[enginePool]*admit.Controller{}, waiters: map[string]chan admit.Decision{},
	}
}

func enginePoolOf(request call.Call) enginePool {
	if request.Kind == wire.Kind_KIND_MODEL {
		return enginePool{kind: request.Kind, model: request.Model}
	}
	return enginePool{kind: request.Kind, service: request.Service}
}

// Do runs a call once it is admitted.
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

// run waits for admission, sends the call and trains the size predictor with the result.
func (admission *admission) run(ctx context.Context, request call.Call, sink route.Sink, send func(call.Call, route.Sink) route.Result) route.Result {
	traits := sizes.Traits{
		Kind: request.Kind, Customer: request.Customer.GetName(), Model: request.Model,
		Rule: request.PredictedSize, Prompt: len(request.Body), Limit: request.OutputLimit,
	}
	candidates := admission.fleet.Candidates()
	admission.mu.Lock()
	request.PredictedSize = admission.predictor.Predict(traits)
	controller, ok := admission.controllerLocked(request, candidates)
	admission.mu.Unlock()
	if !ok {
		// No engine is known; the router returns the error.
		return send(request, sink)
	}
	if result := admission.admit(ctx, controller, request); result.Err != nil {
		return result
	}
	counting := &countingSink{Sink: sink, onStart: func() { admission.started(controller, request.ID) }}
	result := send(request, counting)
	admission.mu.Lock()
	defer admission.mu.Unlock()
	if request.Stream && result.Outcome == wire.Outcome_OUTCOME_OK {
		admission.predictor.Learn(traits, counting.events)
	}
	admission.deliverLocked(controller.Done(admission.clock.Now(), request.ID))
	return result
}

// controllerLocked returns the controller of a request's engine pool, creating it on first
// use, and reports whether there is one. None is created for a pool without slots.
func (admission *admission) controllerLocked(request call.Call, candidates []place.Candidate) (*admit.Controller, bool) {
	pool := enginePoolOf(request)
	controller, ok := admission.controllers[pool]
	if ok {
		return controller, true
	}
	capacity := admission.capacity(pool, candidates)
	if capacity.Slots == 0 {
		return nil, false
	}
	controller = admit.New(admit.DefaultSettings())
	admission.controllers[pool] = controller
	admission.deliverLocked(controller.SetCapacity(admission.clock.Now(), capacity))
	return controller, true
}

// admit waits until the controller admits or refuses the request or ctx ends.
func (admission *admission) admit(ctx context.Context, controller *admit.Controller, request call.Call) route.Result {
	now := admission.clock.Now()
	item := queue.Item{
		ID: request.ID, Customer: request.Customer.GetName(), Tier: request.Tier, Priority: request.Priority,
		Weight: request.Customer.GetWeight(), Size: request.PredictedSize, Arrived: now, Deadline: request.Deadline,
	}
	decisions := make(chan admit.Decision, 1)
	admission.mu.Lock()
	admission.waiters[request.ID] = decisions
	admission.deliverLocked(controller.Arrive(now, item))
	admission.mu.Unlock()
	select {
	case decision := <-decisions:
		return admission.result(request, decision)
	case <-ctx.Done():
	}
	admission.mu.Lock()
	defer admission.mu.Unlock()
	delete(admission.waiters, request.ID)
	if !controller.Withdraw(item) {
		// The controller decided in the meantime. Done frees the slot of an admitted
		// request and ignores a refused one.
		admission.deliverLocked(controller.Done(now, request.ID))
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

// deliverLocked sends each decision to the request that waits for it.
func (admission *admission) deliverLocked(decisions []admit.Decision) {
	for _, decision := range decisions {
		id := ""
		switch decision := decision.(type) {
		case admit.Admit:
			id = decision.ID
		case admit.Refuse:
			id = decision.ID
		}
		if waiter, ok := admission.waiters[id]; ok {
			delete(admission.waiters, id)
			waiter <- decision
		}
	}
}

func (admission *admission) started(controller *admit.Controller, id string) {
	admission.mu.Lock()
	defer admission.mu.Unlock()
	controller.Started(id)
}

// refresh updates the capacity of all controllers periodically until ctx ends.
func (admission *admission) refresh(ctx context.Context) {
	for admission.clock.Sleep(ctx, capacityRefreshInterval) == nil {
		candidates := admission.fleet.Candidates()
		now := admission.clock.Now()
		admission.mu.Lock()
		for pool, controller := range admission.controllers {
			admission.deliverLocked(controller.SetCapacity(now, admission.capacity(pool, candidates)))
		}
		admission.mu.Unlock()
	}
}

// capacity sums the slots and the reported load of the engines of a pool.
func (admission *admission) capacity(pool enginePool, candidates []place.Candidate) admit.Capacity {
	sum := admit.Capacity{Entries: admission.entryCount()}
	template := call.Call{Kind: pool.kind, Model: pool.model, Service: pool.service}
	for _, candidate := range candidates {
		if !place.Fits(template, candidate.Engine) {
			continue
		}
		load := candidate.Load
		// The reported load includes this entry VM's own requests that were in
		// flight when the report was made.
		ownReported := int(candidate.InFlight) - int(candidate.Sent) + int(candidate.Returned)
		sum.Slots += int(load.GetSlots())
		sum.Others += max(0, int(load.GetRunning()+load.GetWaiting())-ownReported)
		sum.WaitingPaid += int(load.GetWaitingPaid())
		sum.PaidAhead += load.GetPaidAhead()
		sum.Backlog += load.GetBacklog()
		if load.GetRunning() > 0 {
			sum.Rate += float64(load.GetRate()) * float64(load.GetSlots()) / float64(load.GetRunning())
		}
	}
	return sum
}

// countingSink counts the events of an answer that it forwards to the caller.
type countingSink struct {
	route.Sink
	onStart func()
	events  uint32
}

// Headers forwards the answer's headers if the wrapped sink accepts headers.
func (sink *countingSink) Headers(headers []*wire.Header) {
	if headerSink, ok := sink.Sink.(route.HeaderSink); ok {
		headerSink.Headers(headers)
	}
}

// Data counts and forwards a part of the answer, and calls onStart before the first.
func (sink *countingSink) Data(events [][]byte) error {
	if sink.events == 0 {
		sink.onStart()
	}
	sink.events += uint32(len(events))
	return sink.Sink.Data(events)
}
