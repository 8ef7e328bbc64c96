package queue

import (
	"math/rand/v2"

	"github.com/hibiscuslug/hibiscuslug/internal/admit"
	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/internal/sizes"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	engines = 12
	entries = 6
	// reportEvery is the time between an engine's load reports.
	reportEvery = 1000.0
	// tickEvery is the time between ticks of queues and gates.
	tickEvery = 50.0
	// epoch keeps instants away from zero, which means none.
	epoch = 1_000_000
)

// scheduler is an engine's queue: the project's or the plain baseline.
type scheduler interface {
	Push(now clock.Millis, item queue.Item) []queue.Decision
	Progress(id string, produced uint32)
	End(now clock.Millis, id string) []queue.Decision
	Tick(now clock.Millis) []queue.Decision
	Load() queue.Load
	SetPace(pace float64)
}

// job is one request with what became of it.
type job struct {
	id       string
	customer string
	tier     wire.Tier
	size     uint32
	traits   sizes.Traits
	at       float64
	patience float64
	long     bool

	entry    *entryVM
	engine   *engine
	item     queue.Item
	done     uint32
	first    float64
	finished float64
}

// world is entry VMs and engines in virtual time, in milliseconds.
type world struct {
	timers
	random  *rand.Rand
	engines []*engine
	entries []*entryVM
	jobs    map[string]*job
	plain   bool
	// events counts what each tier got; a cancelled stream goes on from its
	// last event, so that none is counted twice.
	events map[wire.Tier]uint64
	counts map[string]int
}

// newWorld returns a world with the project's policies, or with plain ones:
// no admission, and first in first out at each engine.
func newWorld(seed uint64, plain bool) *world {
	made := &world{
		random: rand.New(rand.NewPCG(seed, 7)), plain: plain, jobs: map[string]*job{},
		events: map[wire.Tier]uint64{}, counts: map[string]int{},
	}
	for number := range engines {
		engine := &engine{world: made, number: number, streams: map[string]*stream{}, pace: stepBase + stepStream*engineSlots}
		engine.queue = queue.New(queue.Defaults(engineSlots, true))
		if plain {
			engine.queue = &fifo{slots: engineSlots}
		}
		made.engines = append(made.engines, engine)
	}
	for range entries {
		made.entries = append(made.entries, &entryVM{world: made, gate: admit.New(admit.DefaultSettings()), sizes: sizes.New()})
	}
	return made
}

func (world *world) millis() clock.Millis { return epoch + clock.Millis(world.now) }

// run plays the jobs and stops at an instant.
func (world *world) run(jobs []*job, until float64) {
	for number, job := range jobs {
		world.jobs[job.id] = job
		job.entry = world.entries[number%entries]
		world.after(job.at, func() { job.entry.arrive(job) })
	}
	for _, engine := range world.engines {
		world.every(reportEvery, float64(engine.number)*reportEvery/engines, func() { world.report(engine) })
		world.every(tickEvery, float64(engine.number), func() {
			engine.queue.SetPace(engine.pace)
			world.carry(engine, engine.queue.Tick(world.millis()))
		})
	}
	for number, entry := range world.entries {
		world.every(tickEvery, 0.5+float64(number), func() { entry.carry(entry.gate.Tick(world.millis())) })
	}
	world.runUntil(until)
}

func (world *world) report(engine *engine) {
	for _, entry := range world.entries {
		entry.observe(engine)
	}
}

// carry carries out a queue's decisions as the lane does.
func (world *world) carry(engine *engine, decisions []queue.Decision) {
	for _, decision := range decisions {
		switch decision := decision.(type) {
		case queue.Start:
			started := &stream{job: world.jobs[decision.ID]}
			engine.streams[decision.ID] = started
			world.after(hop, func() { engine.join(started) })
		case queue.Pause:
			world.counts["pause"]++
			paused := engine.streams[decision.ID]
			world.after(hop, func() { engine.pause(paused) })
		case queue.Resume:
			resumed := engine.streams[decision.ID]
			world.after(hop, func() { engine.resume(resumed) })
		case queue.Cancel:
			world.counts["cancel"]++
			cancelled := engine.streams[decision.ID]
			engine.end(cancelled)
			world.again(cancelled)
		case queue.Refuse:
			world.counts["queue: "+string(decision.Reason)]++
			world.leave(world.jobs[decision.ID])
		}
	}
}

// again sends a cancelled stream to an engine once more, from its last event on.
func (world *world) again(cancelled *stream) {
	job := cancelled.job
	job.done += cancelled.produced
	job.entry.count(job, -1)
	world.after(2*hop, func() { job.entry.send(job) })
}

// event takes one event of a stream.
func (world *world) event(engine *engine, stream *stream) {
	job := stream.job
	world.events[job.tier]++
	engine.queue.Progress(job.id, stream.produced)
	if job.first == 0 {
		job.first = world.now + 2*hop
		if !world.plain {
			job.entry.gate.Started(job.id)
		}
	}
	if job.done+stream.produced < job.size {
		return
	}
	job.finished = world.now + 2*hop
	engine.end(stream)
	world.carry(engine, engine.queue.End(world.millis(), job.id))
	world.leave(job)
}

// leave takes a job that ended off its entry VM.
func (world *world) leave(job *job) {
	entry, engine := job.entry, job.engine
	world.after(hop, func() {
		entry.count(job, -1)
		if world.plain {
			return
		}
		if job.finished > 0 {
			entry.sizes.Learn(job.traits, job.size)
		}
		entry.carry(entry.gate.Done(world.millis(), job.id))
		entry.observe(engine)
	})
}
