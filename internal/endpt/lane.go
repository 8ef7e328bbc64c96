package endpt

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/engine"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// tickEvery is how late a deadline or an ageing bound may be noticed.
	tickEvery  = 50 * clock.Millis(1)
	orderTries = 3
	orderWait  = 5 * clock.Millis(1)
)

// lane carries out a queue's decisions on one engine.
type lane struct {
	target engine.Engine
	runner *engine.Runner
	clock  *clock.Clock
	log    *event.Log
	slots  int
	work   *conc.WaitGroup

	// mu guards the fields below. Lock order: lane before attempt.
	mu    sync.Mutex
	queue *queue.Queue
	runs  map[string]*attempt
	// pending holds the decisions not yet carried out, in order; carrying tells
	// whether a goroutine is at it.
	pending  []queue.Decision
	carrying bool
	gaveWay  map[string]bool
	rate     rate
}

func newLane(target engine.Engine, runner *engine.Runner, slots int, ticker *clock.Clock, log *event.Log, work *conc.WaitGroup) *lane {
	_, pausable := target.(engine.Model)
	return &lane{
		target: target, runner: runner, clock: ticker, log: log, slots: slots, work: work,
		queue: queue.New(queue.Defaults(slots, pausable)), runs: map[string]*attempt{}, gaveWay: map[string]bool{},
	}
}

// submit queues an attempt.
func (lane *lane) submit(run *attempt) {
	request := run.request
	id := engine.ID(request.GetRequestId(), request.GetAttempt())
	item := queue.Item{
		ID: id, Customer: request.GetCustomer(), Tier: request.GetTier(), Priority: request.GetPriority(),
		Weight: request.GetWeight(), Size: remaining(request), Arrived: run.arrived, Fixed: !request.GetIdempotent(),
		Counted: request.GetStream(),
	}
	// A caller that has events already does not give up on the first one.
	if request.GetPatience() > 0 && request.GetSkipEvents() == 0 {
		item.Deadline = run.arrived + clock.Millis(request.GetPatience())
	}
	lane.mu.Lock()
	defer lane.mu.Unlock()
	lane.runs[id] = run
	lane.carryLocked(lane.queue.Push(lane.clock.Now(), item))
}

// remaining returns the predicted events that the caller does not have yet.
func remaining(request *wire.Attempt) uint32 {
	size := uint64(request.GetPredictedSize())
	return uint32(max(size, request.GetSkipEvents()+1) - request.GetSkipEvents())
}

// tick lets the queue notice deadlines and ageing.
func (lane *lane) tick() {
	now := lane.clock.Now()
	lane.mu.Lock()
	defer lane.mu.Unlock()
	lane.rate.add(now, 0, uint64(lane.queue.Running()))
	lane.queue.SetPace(lane.rate.pace())
	lane.carryLocked(lane.queue.Tick(now))
}

// carryLocked passes decisions on to the goroutine that carries them out, which
// keeps their order without holding the lock during orders to the engine.
func (lane *lane) carryLocked(decisions []queue.Decision) {
	for len(decisions) > 0 && !lane.carrying {
		start, ok := decisions[0].(queue.Start)
		if !ok {
			break
		}
		// Nothing goes before it, so it needs no goroutine of its own.
		lane.startLocked(start.ID)
		decisions = decisions[1:]
	}
	lane.pending = append(lane.pending, decisions...)
	if lane.carrying || len(lane.pending) == 0 {
		return
	}
	lane.carrying = true
	lane.work.Go(lane.carry)
}

func (lane *lane) carry() {
	for {
		lane.mu.Lock()
		if len(lane.pending) == 0 {
			lane.carrying = false
			lane.mu.Unlock()
			return
		}
		decision := lane.pending[0]
		lane.pending = lane.pending[1:]
		lane.mu.Unlock()
		lane.carryOut(decision)
	}
}

func (lane *lane) carryOut(decision queue.Decision) {
	switch decision := decision.(type) {
	case queue.Start:
		lane.mu.Lock()
		lane.startLocked(decision.ID)
		lane.mu.Unlock()
	case queue.Pause:
		lane.with(decision.ID, lane.pause)
	case queue.Resume:
		lane.with(decision.ID, lane.resume)
	case queue.Cancel:
		lane.with(decision.ID, func(run *attempt) { lane.cancel(decision.ID, run) })
	case queue.Refuse:
		lane.with(decision.ID, func(run *attempt) {
			load := lane.forget(decision.ID)
			lane.log.Write(event.AttemptRefused, "request", run.request.GetRequestId(), "reason", decision.Reason)
			run.refuse(decision, load)
		})
	}
}

// with acts on an attempt that has not ended meanwhile.
func (lane *lane) with(id string, act func(*attempt)) {
	lane.mu.Lock()
	run, ok := lane.runs[id]
	lane.mu.Unlock()
	if ok {
		act(run)
	}
}

// startLocked runs an attempt. One that was fenced meanwhile gives its slot back.
func (lane *lane) startLocked(id string) {
	run, ok := lane.runs[id]
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	if !run.begin(cancel) {
		cancel()
		lane.work.Go(func() { lane.forget(id) })
		return
	}
	lane.work.Go(func() {
		defer cancel()
		result := lane.watched(ctx, run, &laneSink{attempt: run, lane: lane, id: id})
		lane.end(id, run, result)
	})
}

// pause stops a stream. One that the engine does not pause runs on beside the
// work that was to have its slot; the engine's own limit then makes that wait.
func (lane *lane) pause(run *attempt) {
	_ = lane.order("pause", run, lane.runner.Pause)
}

// resume continues a paused stream. One that cannot be resumed is cancelled;
// its entry VM continues it elsewhere.
func (lane *lane) resume(run *attempt) {
	if err := lane.order("resume", run, lane.runner.Resume); err != nil {
		run.stop()
	}
}

func (lane *lane) cancel(id string, run *attempt) {
	lane.mu.Lock()
	lane.gaveWay[id] = true
	lane.mu.Unlock()
	_ = lane.order("cancel", run, lane.runner.Cancel)
	run.stop()
}

// order sends an order to the engine. An order that overtook the attempt's own
// request is sent again.
func (lane *lane) order(name string, run *attempt, send func(engine.Engine, *wire.Attempt) error) error {
	var err error
	for range orderTries {
		if err = send(lane.target, run.request); err == nil {
			return nil
		}
		if sleep := lane.clock.Sleep(context.Background(), orderWait); sleep != nil {
			return sleep
		}
	}
	lane.log.Write(event.OrderFailed, "order", name, "request", run.request.GetRequestId(), "error", err)
	return err
}

func (lane *lane) end(id string, run *attempt, result engine.Result) {
	lane.mu.Lock()
	if lane.gaveWay[id] && result.Outcome == wire.Outcome_OUTCOME_UNKNOWN {
		result.Err = errGaveWay
	}
	lane.mu.Unlock()
	run.finish(result, lane.forget(id))
}

// forget takes an attempt off the lane and returns the load after it.
func (lane *lane) forget(id string) *wire.EngineLoad {
	now := lane.clock.Now()
	lane.mu.Lock()
	defer lane.mu.Unlock()
	delete(lane.runs, id)
	delete(lane.gaveWay, id)
	lane.carryLocked(lane.queue.End(now, id))
	return lane.loadLocked(now)
}

// withdraw takes a queued attempt out of the queue.
func (lane *lane) withdraw(run *attempt) {
	id := engine.ID(run.request.GetRequestId(), run.request.GetAttempt())
	lane.mu.Lock()
	defer lane.mu.Unlock()
	// An attempt that the queue has just started is taken off by start.
	if lane.queue.Remove(id) {
		delete(lane.runs, id)
	}
}

func (lane *lane) info() *wire.EngineInfo {
	info := lane.target.Info()
	lane.mu.Lock()
	defer lane.mu.Unlock()
	info.Load = lane.loadLocked(lane.clock.Now())
	return info
}

func (lane *lane) loadLocked(now clock.Millis) *wire.EngineLoad {
	load := lane.queue.Load()
	return &wire.EngineLoad{
		Engine: lane.target.Info().GetName(), Slots: uint32(lane.slots),
		Running: uint32(load.Running), Waiting: uint32(load.Waiting), WaitingPaid: uint32(load.WaitingPaid),
		Backlog: load.Backlog, PaidAhead: load.PaidAhead, RunningPaid: uint32(load.RunningPaid), Rate: lane.rate.perSecond(now),
	}
}

// full tells whether new work of a tier would have to wait. Paid work takes the
// slots of free streams.
func (lane *lane) full(tier wire.Tier) bool {
	lane.mu.Lock()
	defer lane.mu.Unlock()
	load := lane.queue.Load()
	if tier == wire.Tier_TIER_PAID {
		return load.RunningPaid+load.WaitingPaid >= lane.slots
	}
	return load.Running+load.Waiting >= lane.slots
}

// idle tells whether nothing waits or runs.
func (lane *lane) idle() bool {
	lane.mu.Lock()
	defer lane.mu.Unlock()
	return len(lane.runs) == 0
}

// laneSink counts what an attempt produces on its way to the attempt.
type laneSink struct {
	*attempt
	lane   *lane
	id     string
	events uint32
}

// Data passes on a part of the engine's answer.
func (sink *laneSink) Data(events [][]byte) {
	sink.attempt.Data(events)
	sink.events += uint32(len(events))
	lane := sink.lane
	now := lane.clock.Now()
	lane.mu.Lock()
	defer lane.mu.Unlock()
	lane.queue.Progress(sink.id, sink.events)
	lane.rate.add(now, uint64(len(events)), uint64(lane.queue.Running()))
}
