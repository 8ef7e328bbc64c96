package queue

import (
	"github.com/hibiscuslug/hibiscuslug/internal/admit"
	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/internal/sizes"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// entryVM models an entry VM: its admission gate and its view of the engines.
type entryVM struct {
	simulation *simulation
	gate       *admit.Controller
	sizes      *sizes.Predictor
	// own counts this entry VM's requests at each engine, others those of all
	// other entry VMs. Index 0 counts all requests, index 1 only the paid ones.
	own    [engines][2]int
	others [engines][2]int
	loads  [engines]queue.Load
	rates  [engines]float64
}

// arrive handles a request from a client.
func (entry *entryVM) arrive(job *job) {
	now := entry.simulation.millis()
	job.item = queue.Item{
		ID: job.id, Customer: job.customer, Tier: job.tier, Weight: 1, Size: entry.sizes.Predict(job.traits),
		Counted: true,
		Arrived: now, Deadline: now + clock.Millis(job.patience),
	}
	if entry.simulation.baseline {
		entry.send(job)
		return
	}
	entry.apply(entry.gate.Arrive(now, job.item))
}

// apply carries out the decisions of the admission gate.
func (entry *entryVM) apply(decisions []admit.Decision) {
	for _, decision := range decisions {
		switch decision := decision.(type) {
		case admit.Admit:
			entry.send(entry.simulation.jobs[decision.ID])
		case admit.Refuse:
			entry.simulation.counts["gate: "+string(decision.Refusal.Reason)]++
		}
	}
}

// send sends a request to the least loaded of three randomly chosen engines.
func (entry *entryVM) send(job *job) {
	simulation := entry.simulation
	best := simulation.random.IntN(engines)
	for range 2 {
		if other := simulation.random.IntN(engines); entry.score(job, other) < entry.score(job, best) {
			best = other
		}
	}
	job.engine = simulation.engines[best]
	entry.count(job, 1)
	item := job.item
	item.Size = max(item.Size, job.done+1) - job.done
	simulation.after(hopLatency, func() {
		item.Arrived = simulation.millis()
		simulation.apply(job.engine, job.engine.queue.Push(simulation.millis(), item))
	})
}

// count adds a change to the number of requests at the job's engine.
func (entry *entryVM) count(job *job, change int) {
	entry.own[job.engine.number][0] += change
	if job.tier == wire.Tier_TIER_PAID {
		entry.own[job.engine.number][1] += change
	}
}

// score returns the number of requests that compete with a job at an engine. Paid
// requests do not wait for free ones, except under the baseline policy.
func (entry *entryVM) score(job *job, number int) int {
	index := 0
	if job.tier == wire.Tier_TIER_PAID && !entry.simulation.baseline {
		index = 1
	}
	return entry.others[number][index] + entry.own[number][index]
}

// observe handles an engine's load report.
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
	if entry.simulation.baseline {
		return
	}
	capacity := admit.Capacity{Slots: engines * engineSlots, Entries: entries}
	for at, reported := range entry.loads {
		capacity.Others += entry.others[at][0]
		capacity.WaitingPaid += reported.WaitingPaid
		capacity.PaidAhead += reported.PaidAhead
		capacity.Backlog += reported.Backlog
		capacity.Rate += entry.rates[at]
	}
	entry.apply(entry.gate.SetCapacity(entry.simulation.millis(), capacity))
}

// fifo is the baseline queue: first in, first out, regardless of tier and size.
type fifo struct {
	slots   int
	running int
	waiting []string
}

// Push queues an item.
func (fifo *fifo) Push(now clock.Millis, item queue.Item) []queue.Decision {
	fifo.waiting = append(fifo.waiting, item.ID)
	return fifo.Tick(now)
}

// Progress is ignored, since the order does not depend on progress.
func (fifo *fifo) Progress(string, uint32) {}

// SetEventInterval is ignored, since the order does not depend on the step time.
func (fifo *fifo) SetEventInterval(float64) {}

// End frees a slot.
func (fifo *fifo) End(now clock.Millis, _ string) []queue.Decision {
	fifo.running--
	return fifo.Tick(now)
}

// Tick starts requests while there are free slots.
func (fifo *fifo) Tick(clock.Millis) []queue.Decision {
	var decisions []queue.Decision
	for fifo.running < fifo.slots && len(fifo.waiting) > 0 {
		decisions = append(decisions, queue.Start{ID: fifo.waiting[0]})
		fifo.waiting = fifo.waiting[1:]
		fifo.running++
	}
	return decisions
}

// Load returns the number of running and waiting requests.
func (fifo *fifo) Load() queue.Load {
	return queue.Load{Running: fifo.running, Waiting: len(fifo.waiting)}
}
