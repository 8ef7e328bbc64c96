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
	// tickInterval bounds the delay after which the queue handles a passed
	// deadline or ageing bound.
	tickInterval    = 50 * clock.Millis(1)
	maxOrderTries   = 3
	orderRetryDelay = 5 * clock.Millis(1)
)

// lane executes a queue's decisions on one engine.
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
	// pending holds the decisions not yet executed, in order; executing is set
	// while a goroutine works through them.
	pending   []queue.Decision
	executing bool
	preempted map[string]bool
	rate      rate
}

func newLane(target engine.Engine, runner *engine.Runner, slots int, ticker *clock.Clock, log *event.Log, work *conc.WaitGroup) *lane {
	_, pausable := target.(engine.Model)
	return &lane{
		target: target, runner: runner, clock: ticker, log: log, slots: slots, work: work,
		queue: queue.New(queue.Defaults(slots, pausable)), runs: map[string]*attempt{}, preempted: map[string]bool{},
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
	// Patience limits the wait for the first event, which a caller with events to
	// skip already has.
	if request.GetPatience() > 0 && request.GetSkipEvents() == 0 {
		item.Deadline = run.arrived + clock.Millis(request.GetPatience())
	}
	lane.mu.Lock()
	defer lane.mu.Unlock()
	lane.runs[id] = run
	lane.executeLocked(lane.queue.Push(lane.clock.Now(), item))
}

// remaining returns the predicted number of events that the caller still lacks.
func remaining(request *wire.Attempt) uint32 {
	size := uint64(request.GetPredictedSize())
	return uint32(max(size, request.GetSkipEvents()+1) - request.GetSkipEvents())
}

// tick updates the queue's event rate and makes it handle deadlines and ageing.
func (lane *lane) tick() {
	now := lane.clock.Now()
	lane.mu.Lock()
	defer lane.mu.Unlock()
	lane.rate.add(now, 0, uint64(lane.queue.Running()))
	lane.queue.SetEventInterval(lane.rate.eventInterval())
	lane.executeLocked(lane.queue.Tick(now))
}

// executeLocked hands decisions to the goroutine that executes them in order.
// The goroutine does not hold the lock while it sends orders to the engine.
func (lane *lane) executeLocked(decisions []queue.Decision) {
	for len(decisions) > 0 && !lane.executing {
		start, ok := decisions[0].(queue.Start)
		if !ok {
			break
		}
		// No decision is pending ahead of this one, and a start sends no order
		// under the lock, so it needs no separate goroutine.
		lane.startLocked(start.ID)
		decisions = decisions[1:]
	}
	lane.pending = append(lane.pending, decisions...)
	if lane.executing || len(lane.pending) == 0 {
		return
	}
	lane.executing = true
	lane.work.Go(lane.executePending)
}

func (lane *lane) executePending() {
	for {
		lane.mu.Lock()
		if len(lane.pending) == 0 {
			lane.executing = false
			lane.mu.Unlock()
			return
		}
		decision := lane.pending[0]
		lane.pending = lane.pending[1:]
		lane.mu.Unlock()
		lane.execute(decision)
	}
}

func (lane *lane) execute(decision queue.Decision) {
	switch decision := decision.(type) {
	case queue.Start:
		lane.mu.Lock()
		lane.startLocked(decision.ID)
		lane.mu.Unlock()
	case queue.Pause:
		lane.withAttempt(decision.ID, lane.pause)
	case queue.Resume:
		lane.withAttempt(decision.ID, lane.resume)
	case queue.Cancel:
		lane.withAttempt(decision.ID, func(run *attempt) { lane.cancel(decision.ID, run) })
	case queue.Refuse:
		lane.withAttempt(decision.ID, func(run *attempt) {
			load := lane.remove(decision.ID)
			lane.log.Write(event.AttemptRefused, "request", run.request.GetRequestId(), "reason", decision.Reason)
			run.refuse(decision, load)
		})
	}
}

// withAttempt calls act with an attempt, unless the attempt has ended meanwhile.
func (lane *lane) withAttempt(id string, act func(*attempt)) {
	lane.mu.Lock()
	run, ok := lane.runs[id]
	lane.mu.Unlock()
	if ok {
		act(run)
	}
}

// startLocked starts an attempt, or releases its slot if it was fenced meanwhile.
func (lane *lane) startLocked(id string) {
	run, ok := lane.runs[id]
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	if !run.begin(ctx, cancel) {
		cancel()
		lane.work.Go(func() { lane.remove(id) })
		return
	}
	lane.work.Go(func() {
		defer cancel()
		result := lane.runWatched(ctx, run, &laneSink{attempt: run, lane: lane, id: id})
		lane.end(id, run, result)
	})
}

// pause pauses a stream. If the engine does not pause it, the stream keeps
// running beside the work that was to take its slot, and the engine's own
// concurrency limit makes that work wait.
func (lane *lane) pause(run *attempt) {
	_ = lane.order("pause", run, lane.runner.Pause)
}

// resume continues a paused stream. A stream that cannot be resumed is
// cancelled, and its entry VM continues it on another engine.
func (lane *lane) resume(run *attempt) {
	if err := lane.order("resume", run, lane.runner.Resume); err != nil {
		run.stop()
	}
}

func (lane *lane) cancel(id string, run *attempt) {
	lane.mu.Lock()
	lane.preempted[id] = true
	lane.mu.Unlock()
	_ = lane.order("cancel", run, lane.runner.Cancel)
	run.stop()
}

// order sends an order to the engine. It retries, because an order can arrive
// before the attempt's own request.
func (lane *lane) order(name string, run *attempt, send func(engine.Engine, *wire.Attempt) error) error {
	var err error
	for range maxOrderTries {
		if err = send(lane.target, run.request); err == nil {
			return nil
		}
		if sleepErr := lane.clock.Sleep(context.Background(), orderRetryDelay); sleepErr != nil {
			return sleepErr
		}
	}
	lane.log.Write(event.OrderFailed, "order", name, "request", run.request.GetRequestId(), "error", err)
	return err
}

func (lane *lane) end(id string, run *attempt, result engine.Result) {
	lane.mu.Lock()
	if lane.preempted[id] && result.Outcome == wire.Outcome_OUTCOME_UNKNOWN {
		result.Err = errPreempted
	}
	lane.mu.Unlock()
	run.finish(result, lane.remove(id))
}

// remove removes an attempt from the lane and returns the load without it.
func (lane *lane) remove(id string) *wire.EngineLoad {
	now := lane.clock.Now()
	lane.mu.Lock()
	defer lane.mu.Unlock()
	delete(lane.runs, id)
	delete(lane.preempted, id)
	lane.executeLocked(lane.queue.End(now, id))
	return lane.loadLocked(now)
}

// withdraw removes a queued attempt from the queue.
func (lane *lane) withdraw(run *attempt) {
	id := engine.ID(run.request.GetRequestId(), run.request.GetAttempt())
	lane.mu.Lock()
	defer lane.mu.Unlock()
	// If the queue has just started the attempt, startLocked removes it.
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

// full reports whether new work of a tier would have to wait. Free streams do
// not count for paid work, which preempts them.
func (lane *lane) full(tier wire.Tier) bool {
	lane.mu.Lock()
	defer lane.mu.Unlock()
	load := lane.queue.Load()
	if tier == wire.Tier_TIER_PAID {
		return load.RunningPaid+load.WaitingPaid >= lane.slots
	}
	return load.Running+load.Waiting >= lane.slots
}

// idle reports whether no attempt is queued or running.
func (lane *lane) idle() bool {
	lane.mu.Lock()
	defer lane.mu.Unlock()
	return len(lane.runs) == 0
}

// laneSink passes an engine's answer on to the attempt and reports its events to
// the lane's queue and rate.
type laneSink struct {
	*attempt
	lane   *lane
	id     string
	events uint32
}

// Data passes on and counts a batch of events or a body chunk.
func (sink *laneSink) Data(events [][]byte) error {
	if err := sink.attempt.Data(events); err != nil {
		return err
	}
	sink.events += uint32(len(events))
	lane := sink.lane
	now := lane.clock.Now()
	lane.mu.Lock()
	defer lane.mu.Unlock()
	lane.queue.Progress(sink.id, sink.events)
	lane.rate.add(now, uint64(len(events)), uint64(lane.queue.Running()))
	return nil
}
