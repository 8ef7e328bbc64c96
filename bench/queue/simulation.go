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
	// reportEvery is the interval of an engine's load reports, in milliseconds.
	reportEvery = 1000.0
	// tickEvery is the tick interval of queues and gates, in milliseconds.
	tickEvery = 50.0
	// epoch is the clock value at the start, since the policies take zero as unset.
	epoch = 1_000_000
)

// scheduler is an engine's queue: the measured one or the baseline.
type scheduler interface {
	Push(now clock.Millis, item queue.Item) []queue.Decision
	Progress(id string, produced uint32)
	End(now clock.Millis, id string) []queue.Decision
	Tick(now clock.Millis) []queue.Decision
	Load() queue.Load
	SetEventInterval(pace float64)
}

// job is one request and its outcome. Times are in milliseconds, zero if the event
// did not occur.
type job struct {
	id       string
	customer string
	tier     wire.Tier
	size     uint32
	traits   sizes.Traits
	arrived  float64
	patience float64
	long     bool

	entry  *entryVM
	engine *engine
	item   queue.Item
	// done counts the events of earlier, cancelled attempts.
	done       uint32
	firstEvent float64
	finished   float64
}

// simulation runs entry VMs and engines in virtual time, in milliseconds.
type simulation struct {
	timers
	random   *rand.Rand
	engines  []*engine
	entries  []*entryVM
	jobs     map[string]*job
	baseline bool
	// events counts the events that each tier received. A cancelled stream
	// continues after its last event, so that no event is counted twice.
	events map[wire.Tier]uint64
	// counts has the numbers of pauses, cancellations and refusals, for notes in
	// the report.
	counts map[string]int
}

// newSimulation returns a simulation of the measured policies, or of the baseline:
// no admission control, and a FIFO queue at each engine.
func newSimulation(seed uint64, baseline bool) *simulation {
	made := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), baseline: baseline, jobs: map[string]*job{},
		events: map[wire.Tier]uint64{}, counts: map[string]int{},
	}
	for number := range engines {
		engine := &engine{simulation: made, number: number, streams: map[string]*stream{}, pace: stepBase + stepStream*engineSlots}
		engine.queue = queue.New(queue.Defaults(engineSlots, true))
		if baseline {
			engine.queue = &fifo{slots: engineSlots}
		}
		made.engines = append(made.engines, engine)
	}
	for range entries {
		made.entries = append(made.entries, &entryVM{simulation: made, gate: admit.New(admit.DefaultSettings()), sizes: sizes.New()})
	}
	return made
}

func (simulation *simulation) millis() clock.Millis { return epoch + clock.Millis(simulation.now) }

// run simulates the jobs and stops at an instant.
func (simulation *simulation) run(jobs []*job, until float64) {
	for number, job := range jobs {
		simulation.jobs[job.id] = job
		job.entry = simulation.entries[number%entries]
		simulation.after(job.arrived, func() { job.entry.arrive(job) })
	}
	for _, engine := range simulation.engines {
		simulation.every(reportEvery, float64(engine.number)*reportEvery/engines, func() { simulation.report(engine) })
		simulation.every(tickEvery, float64(engine.number), func() {
			engine.queue.SetEventInterval(engine.pace)
			simulation.apply(engine, engine.queue.Tick(simulation.millis()))
		})
	}
	for number, entry := range simulation.entries {
		simulation.every(tickEvery, 0.5+float64(number), func() { entry.apply(entry.gate.Tick(simulation.millis())) })
	}
	simulation.runUntil(until)
}

// report sends an engine's load to all entry VMs.
func (simulation *simulation) report(engine *engine) {
	for _, entry := range simulation.entries {
		entry.observe(engine)
	}
}

// apply carries out a queue's decisions as the endpoint process does.
func (simulation *simulation) apply(engine *engine, decisions []queue.Decision) {
	for _, decision := range decisions {
		switch decision := decision.(type) {
		case queue.Start:
			started := &stream{job: simulation.jobs[decision.ID]}
			engine.streams[decision.ID] = started
			simulation.after(hopLatency, func() { engine.join(started) })
		case queue.Pause:
			simulation.counts["pause"]++
			paused := engine.streams[decision.ID]
			simulation.after(hopLatency, func() { engine.pause(paused) })
		case queue.Resume:
			resumed := engine.streams[decision.ID]
			simulation.after(hopLatency, func() { engine.resume(resumed) })
		case queue.Cancel:
			simulation.counts["cancel"]++
			cancelled := engine.streams[decision.ID]
			engine.end(cancelled)
			simulation.retry(cancelled)
		case queue.Refuse:
			simulation.counts["queue: "+string(decision.Reason)]++
			simulation.release(simulation.jobs[decision.ID])
		}
	}
}

// retry sends a cancelled stream to an engine again; it continues after its last
// event.
func (simulation *simulation) retry(cancelled *stream) {
	job := cancelled.job
	job.done += cancelled.produced
	job.entry.count(job, -1)
	simulation.after(2*hopLatency, func() { job.entry.send(job) })
}

// handleEvent handles one event that a stream produced.
func (simulation *simulation) handleEvent(engine *engine, stream *stream) {
	job := stream.job
	simulation.events[job.tier]++
	engine.queue.Progress(job.id, stream.produced)
	if job.firstEvent == 0 {
		job.firstEvent = simulation.now + 2*hopLatency
		if !simulation.baseline {
			job.entry.gate.Started(job.id)
		}
	}
	if job.done+stream.produced < job.size {
		return
	}
	job.finished = simulation.now + 2*hopLatency
	engine.end(stream)
	simulation.apply(engine, engine.queue.End(simulation.millis(), job.id))
	simulation.release(job)
}

// release removes a job that ended or was refused from its entry VM.
func (simulation *simulation) release(job *job) {
	entry, engine := job.entry, job.engine
	simulation.after(hopLatency, func() {
		entry.count(job, -1)
		if simulation.baseline {
			return
		}
		if job.finished > 0 {
			entry.sizes.Learn(job.traits, job.size)
		}
		entry.apply(entry.gate.Done(simulation.millis(), job.id))
		entry.observe(engine)
	})
}
