// Package queue benchmarks the queueing and admission policies, in virtual time
// with a simple engine model and with real processes.
package queue

const (
	// engineSlots is the maximum number of streams in an engine's batch.
	engineSlots = 16
	// An engine's step takes stepBase, plus stepStream for each stream of the
	// batch, prefillCost for each stream that joins and resumeCost for each stream
	// that resumes, all in milliseconds.
	stepBase    = 20.0
	stepStream  = 0.3
	prefillCost = 8.0
	resumeCost  = 1.0
	// maxPrefillsPerStep limits the number of prompts that one step prefills.
	maxPrefillsPerStep = 4
	// hopLatency is the latency of a message between two processes, in milliseconds.
	hopLatency = 0.5
)

// engineTime returns the engine time, in milliseconds, that a request with size
// events takes in a full batch.
func engineTime(size float64) float64 {
	return size*(stepBase+stepStream*engineSlots)/engineSlots + prefillCost
}

// stream is one attempt of a job on an engine.
type stream struct {
	job      *job
	produced uint32
	// joined is set once the stream was prefilled.
	joined bool
	paused bool
	ended  bool
}

// engine models an engine with continuous batching: each step produces one event
// for each stream of the batch.
type engine struct {
	simulation *simulation
	number     int
	queue      scheduler
	streams    map[string]*stream
	batch      []*stream
	joining    []*stream
	busy       bool
	// pace is a moving average of the step time, in milliseconds.
	pace float64
	// recent counts the events of the last two seconds in buckets of 100 ms.
	recent [20]uint64
	// bucket is the number of the current bucket since the start.
	bucket int
}

func (engine *engine) join(stream *stream) {
	engine.joining = append(engine.joining, stream)
	if !engine.busy {
		engine.step()
	}
}

// step starts a step with the streams that can join. The step produces its
// events when it ends.
func (engine *engine) step() {
	engine.batch = filter(engine.batch, func(stream *stream) bool { return !stream.paused && !stream.ended })
	joins, resumes := 0, 0
	engine.joining = filter(engine.joining, func(stream *stream) bool {
		if stream.ended || stream.paused {
			return false
		}
		if stream.joined {
			resumes++
		} else {
			if joins == maxPrefillsPerStep {
				return true
			}
			joins++
		}
		stream.joined = true
		engine.batch = append(engine.batch, stream)
		return false
	})
	if len(engine.batch) == 0 {
		engine.busy = false
		return
	}
	engine.busy = true
	length := stepBase + stepStream*float64(len(engine.batch)) + prefillCost*float64(joins) + resumeCost*float64(resumes)
	engine.pace += 0.05 * (length - engine.pace)
	engine.simulation.after(length, engine.finishStep)
}

func (engine *engine) finishStep() {
	batch := append([]*stream(nil), engine.batch...)
	engine.count(uint64(len(batch)))
	for _, stream := range batch {
		if !stream.ended {
			stream.produced++
			engine.simulation.handleEvent(engine, stream)
		}
	}
	engine.step()
}

func (engine *engine) count(events uint64) {
	current := int(engine.simulation.now / 100)
	for ; engine.bucket < current; engine.bucket++ {
		engine.recent[(engine.bucket+1)%len(engine.recent)] = 0
	}
	engine.recent[current%len(engine.recent)] += events
}

// rate returns the events per second over the last two seconds.
func (engine *engine) rate() float64 {
	engine.count(0)
	sum := uint64(0)
	for _, events := range engine.recent {
		sum += events
	}
	return float64(sum) / 2
}

func (engine *engine) pause(stream *stream) { stream.paused = true }

// resume adds a paused stream to the next step, unless the pause has not taken
// effect yet and the stream is still in the batch.
func (engine *engine) resume(resumed *stream) {
	resumed.paused = false
	for _, other := range append(append([]*stream(nil), engine.batch...), engine.joining...) {
		if other == resumed {
			return
		}
	}
	engine.join(resumed)
}

func (engine *engine) end(stream *stream) {
	stream.ended = true
	delete(engine.streams, stream.job.id)
}

// filter keeps the wanted elements of a slice, in place.
func filter[T any](list []T, wanted func(T) bool) []T {
	kept := list[:0]
	for _, element := range list {
		if wanted(element) {
			kept = append(kept, element)
		}
	}
	return kept
}
