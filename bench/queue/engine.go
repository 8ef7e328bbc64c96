// Package queue measures the policies of the queue and of admission, in
// virtual time with a small engine model and with real processes.
package queue

const (
	// engineSlots is the number of streams in an engine's batch.
	engineSlots = 16
	// A step of the engine takes stepBase, stepStream for each stream of its
	// batch, prefill for each stream that joins and resumeCost for each that
	// is resumed, all in milliseconds.
	stepBase   = 20.0
	stepStream = 0.3
	prefill    = 8.0
	resumeCost = 1.0
	// joinsPerStep bounds the prompts that one step processes.
	joinsPerStep = 4
	// hop is the time of a message between two processes, in milliseconds.
	hop = 0.5
)

// engineTime returns the engine's time for a request in a full batch.
func engineTime(size float64) float64 {
	return size*(stepBase+stepStream*engineSlots)/engineSlots + prefill
}

// stream is one attempt at an engine.
type stream struct {
	job      *job
	produced uint32
	joined   bool
	pausing  bool
	gone     bool
}

// engine is a batch that produces one event for each of its streams a step.
type engine struct {
	world   *world
	number  int
	queue   scheduler
	streams map[string]*stream
	batch   []*stream
	joining []*stream
	busy    bool
	pace    float64
	// recent counts the events of the last two seconds, in tenths.
	recent [20]uint64
	tenth  int
}

func (engine *engine) join(stream *stream) {
	engine.joining = append(engine.joining, stream)
	if !engine.busy {
		engine.step()
	}
}

// step begins a step with the streams that may join; its events come at its end.
func (engine *engine) step() {
	engine.batch = keep(engine.batch, func(stream *stream) bool { return !stream.pausing && !stream.gone })
	joins, resumes := 0, 0
	engine.joining = keep(engine.joining, func(stream *stream) bool {
		if stream.gone || stream.pausing {
			return false
		}
		if stream.joined {
			resumes++
		} else {
			if joins == joinsPerStep {
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
	length := stepBase + stepStream*float64(len(engine.batch)) + prefill*float64(joins) + resumeCost*float64(resumes)
	engine.pace += 0.05 * (length - engine.pace)
	engine.world.after(length, engine.finishStep)
}

func (engine *engine) finishStep() {
	batch := append([]*stream(nil), engine.batch...)
	engine.count(uint64(len(batch)))
	for _, stream := range batch {
		if !stream.gone {
			stream.produced++
			engine.world.event(engine, stream)
		}
	}
	engine.step()
}

func (engine *engine) count(events uint64) {
	tenth := int(engine.world.now / 100)
	for ; engine.tenth < tenth; engine.tenth++ {
		engine.recent[(engine.tenth+1)%len(engine.recent)] = 0
	}
	engine.recent[tenth%len(engine.recent)] += events
}

func (engine *engine) rate() float64 {
	engine.count(0)
	sum := uint64(0)
	for _, events := range engine.recent {
		sum += events
	}
	return float64(sum) / 2
}

func (engine *engine) pause(stream *stream) { stream.pausing = true }

// resume lets a stream join again, unless its pause had not taken effect yet.
func (engine *engine) resume(resumed *stream) {
	resumed.pausing = false
	for _, other := range append(append([]*stream(nil), engine.batch...), engine.joining...) {
		if other == resumed {
			return
		}
	}
	engine.join(resumed)
}

func (engine *engine) end(ended *stream) {
	ended.gone = true
	delete(engine.streams, ended.job.id)
}

func keep[T any](list []T, wanted func(T) bool) []T {
	kept := list[:0]
	for _, element := range list {
		if wanted(element) {
			kept = append(kept, element)
		}
	}
	return kept
}
