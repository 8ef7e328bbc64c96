package queue

import (
	"github.com/hibiscuslug/hibiscuslug/internal/admit"
	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/internal/sizes"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// entryVM holds a gate and what its entry VM knows of the engines.
type entryVM struct {
	world *world
	gate  *admit.Gate
	sizes *sizes.Predictor
	// own and others count the requests at each engine; index 1 counts the
	// paid ones alone.
	own    [engines][2]int
	others [engines][2]int
	loads  [engines]queue.Load
	rates  [engines]float64
}

// arrive takes a caller's request.
func (entry *entryVM) arrive(job *job) {
	now := entry.world.millis()
	job.item = queue.Item{
		ID: job.id, Customer: job.customer, Tier: job.tier, Weight: 1, Size: entry.sizes.Predict(job.traits),
		Counted: true,
		Arrived: now, Deadline: now + clock.Millis(job.patience),
	}
	if entry.world.plain {
		entry.send(job)
		return
	}
	entry.carry(entry.gate.Arrive(now, job.item))
}

func (entry *entryVM) carry(decisions []admit.Decision) {
	for _, decision := range decisions {
		switch decision := decision.(type) {
		case admit.Admit:
			entry.send(entry.world.jobs[decision.ID])
		case admit.Refuse:
			entry.world.counts["gate: "+string(decision.Refusal.Reason)]++
		}
	}
}

// send places a request on the least loaded of three engines.
func (entry *entryVM) send(job *job) {
	world := entry.world
	best := world.random.IntN(engines)
	for range 2 {
		if other := world.random.IntN(engines); entry.score(job, other) < entry.score(job, best) {
			best = other
		}
	}
	job.engine = world.engines[best]
	entry.count(job, 1)
	item := job.item
	item.Size = max(item.Size, job.done+1) - job.done
	world.after(hop, func() {
		item.Arrived = world.millis()
		world.carry(job.engine, job.engine.queue.Push(world.millis(), item))
	})
}

// count counts a job on or off its engine.
func (entry *entryVM) count(job *job, change int) {
	entry.own[job.engine.number][0] += change
	if job.tier == wire.Tier_TIER_PAID {
		entry.own[job.engine.number][1] += change
	}
}

// score is the load that a request would meet: paid requests do not wait for
// free ones, unless the policy is the plain one.
func (entry *entryVM) score(job *job, number int) int {
	kind := 0
	if job.tier == wire.Tier_TIER_PAID && !entry.world.plain {
		kind = 1
	}
	return entry.others[number][kind] + entry.own[number][kind]
}

// observe takes an engine's load report.
func (entry *entryVM) observe(engine *engine) {
	load, number := engine.queue.Load(), engine.number
	entry.loads[number] = load
	entry.others[number] = [2]int{
		max(0, load.Running+load.Waiting-entry.own[number][0]),
		max(0, load.RunningPaid+load.WaitingPaid-entry.own[number][1]),
	}
	entry.rates[number] = 0
	if load.Running > 0 {
		entry.rates[number] = engine.rate() * engineSlots / float64(load.Running)
	}
	if entry.world.plain {
		return
	}
	capacity := admit.Capacity{Slots: engines * engineSlots, Entries: entries}
	for at, known := range entry.loads {
		capacity.Others += entry.others[at][0]
		capacity.WaitingPaid += known.WaitingPaid
		capacity.PaidAhead += known.PaidAhead
		capacity.Backlog += known.Backlog
		capacity.Rate += entry.rates[at]
	}
	entry.carry(entry.gate.SetCapacity(entry.world.millis(), capacity))
}

// fifo is the plain baseline: first in, first out, whatever the tier or size.
type fifo struct {
	slots   int
	running int
	waiting []string
}

// Push queues an item.
func (line *fifo) Push(now clock.Millis, item queue.Item) []queue.Decision {
	line.waiting = append(line.waiting, item.ID)
	return line.Tick(now)
}

// Progress does nothing.
func (line *fifo) Progress(string, uint32) {}

// SetPace does nothing.
func (line *fifo) SetPace(float64) {}

// End frees a slot.
func (line *fifo) End(now clock.Millis, _ string) []queue.Decision {
	line.running--
	return line.Tick(now)
}

// Tick starts what has room.
func (line *fifo) Tick(clock.Millis) []queue.Decision {
	var decisions []queue.Decision
	for line.running < line.slots && len(line.waiting) > 0 {
		decisions = append(decisions, queue.Start{ID: line.waiting[0]})
		line.waiting = line.waiting[1:]
		line.running++
	}
	return decisions
}

// Load returns the load.
func (line *fifo) Load() queue.Load {
	return queue.Load{Running: line.running, Waiting: len(line.waiting)}
}
