package endpt

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/engine"
	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// lane is the queue and the running attempts in front of one engine.
type lane struct {
	target engine.Engine
	runner *engine.Runner
	clock  *clock.Clock
	slots  int
	work   *conc.WaitGroup

	// mu guards the fields below. Lock order: lane before attempt.
	mu      sync.Mutex
	queue   *queue.Queue
	waiting map[string]*attempt
	running map[string]*attempt
}

func newLane(target engine.Engine, runner *engine.Runner, slots int, ticker *clock.Clock, work *conc.WaitGroup) *lane {
	return &lane{
		target: target, runner: runner, clock: ticker, slots: slots, work: work,
		queue: queue.New(), waiting: map[string]*attempt{}, running: map[string]*attempt{},
	}
}

// submit queues an attempt and starts what has room.
func (lane *lane) submit(run *attempt) {
	request := run.request
	id := engine.ID(request.GetRequestId(), request.GetAttempt())
	lane.mu.Lock()
	defer lane.mu.Unlock()
	lane.waiting[id] = run
	lane.queue.Push(queue.Item{
		ID: id, Customer: request.GetCustomer(), Tier: request.GetTier(), Priority: request.GetPriority(),
		Weight: request.GetWeight(), Size: request.GetPredictedSize(), Arrived: run.arrived,
		Deadline: run.arrived + clock.Millis(request.GetPatience()),
	})
	lane.fillLocked()
}

// fillLocked starts waiting attempts while the engine has room.
func (lane *lane) fillLocked() {
	for len(lane.running) < lane.slots {
		item, ok := lane.queue.Pop(lane.clock.Now())
		if !ok {
			return
		}
		run := lane.waiting[item.ID]
		delete(lane.waiting, item.ID)
		lane.startLocked(item.ID, run)
	}
}

func (lane *lane) startLocked(id string, run *attempt) {
	ctx, cancel := context.WithCancel(context.Background())
	if !run.begin(cancel) {
		cancel()
		return
	}
	lane.running[id] = run
	lane.work.Go(func() {
		defer cancel()
		result := lane.watched(ctx, run)
		lane.end(id, run, result)
	})
}

func (lane *lane) end(id string, run *attempt, result engine.Result) {
	lane.mu.Lock()
	delete(lane.running, id)
	lane.fillLocked()
	load := lane.loadLocked()
	lane.mu.Unlock()
	run.finish(result, load)
}

// withdraw takes a queued attempt out of the queue.
func (lane *lane) withdraw(run *attempt) {
	id := engine.ID(run.request.GetRequestId(), run.request.GetAttempt())
	lane.mu.Lock()
	defer lane.mu.Unlock()
	lane.queue.Remove(id)
	delete(lane.waiting, id)
}

func (lane *lane) info() *wire.EngineInfo {
	info := lane.target.Info()
	lane.mu.Lock()
	defer lane.mu.Unlock()
	info.Load = lane.loadLocked()
	return info
}

func (lane *lane) loadLocked() *wire.EngineLoad {
	return &wire.EngineLoad{
		Engine: lane.target.Info().GetName(), Slots: uint32(lane.slots),
		Running: uint32(len(lane.running)), Waiting: uint32(lane.queue.Len()),
		WaitingPaid: uint32(lane.queue.Waiting(wire.Tier_TIER_PAID)),
	}
}

// idle tells whether nothing waits or runs.
func (lane *lane) idle() bool {
	lane.mu.Lock()
	defer lane.mu.Unlock()
	return len(lane.running) == 0 && lane.queue.Len() == 0
}
