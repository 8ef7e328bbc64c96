package queue

import (
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// outgrowth is how far a stream that produced more than predicted is
	// expected to go on: half as much again.
	outgrowthNumerator, outgrowthDenominator = 3, 2
	// outgrown is how many times its prediction makes a stream long, if it is
	// at least of typical size.
	outgrown = 2
	// defaultPace is the time between the events of a stream until it is measured.
	defaultPace = 30
)

// Settings shape the queue of one engine.
type Settings struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Pausable tells whether the engine can pause and resume.
	Pausable bool
	// Held bounds the paused streams, whose state takes the engine's memory.
	Held int
	// LongSlots bounds the slots of long work while short work wants them.
	LongSlots int
	// FreeSlots bounds the slots of free work on an engine that cannot pause.
	FreeSlots int
	// Stretch bounds the time that a paid stream waits and is paused, as a
	// multiple of the time it runs.
	Stretch float64
	// MaxWaiting and MaxPerCustomer bound the work that has not started.
	MaxWaiting     int
	MaxPerCustomer int
}

// Defaults returns the settings for an engine with a number of slots.
func Defaults(slots int, pausable bool) Settings {
	return Settings{
		Slots: slots, Pausable: pausable, Held: slots, LongSlots: max(1, slots*3/4),
		// A quarter of the slots stays free for paid work, which nothing could give it back there.
		FreeSlots: max(1, slots-max(1, slots/4)),
		// The worst slowdown is 1.8, which leaves a tenth of the target of 2 for the wait for a step.
		Stretch: 0.8, MaxWaiting: 64 * slots, MaxPerCustomer: 32 * slots,
	}
}

// Load is what a queue reports.
type Load struct {
	Running, RunningPaid, Waiting, WaitingPaid int
	// Backlog is the predicted number of events not yet produced.
	Backlog uint64
	// PaidAhead is the predicted number of events of the paid work that waits.
	PaidAhead uint64
}

// Queue is the only queue in front of an engine, with the work that runs.
type Queue struct {
	settings Settings
	line     *Line
	running  map[string]*entry
	order    []*entry
	held     int
	longRuns int
	freeRuns int
	pace     float64
}

// New returns an empty queue.
func New(settings Settings) *Queue {
	return &Queue{settings: settings, line: NewLine(), running: map[string]*entry{}, pace: defaultPace}
}

// SetPace tells the measured time between the events of one stream, in milliseconds.
func (queue *Queue) SetPace(pace float64) {
	if pace > 0 {
		queue.pace = pace
	}
}

// Len returns the number of entries that wait, paused ones included.
func (queue *Queue) Len() int { return queue.line.len() }

// Running returns the number of attempts that have a slot.
func (queue *Queue) Running() int { return len(queue.order) }

// Load returns the load.
func (queue *Queue) Load() Load {
	load := Load{
		Running: len(queue.order), RunningPaid: len(queue.order) - queue.freeRuns, Waiting: queue.line.len(), WaitingPaid: queue.line.counts[wire.Tier_TIER_PAID],
		Backlog:   queue.line.events[wire.Tier_TIER_PAID] + queue.line.events[wire.Tier_TIER_FREE],
		PaidAhead: queue.line.events[wire.Tier_TIER_PAID],
	}
	for _, run := range queue.order {
		load.Backlog += uint64(run.remaining())
	}
	return load
}

// Push takes new work.
func (queue *Queue) Push(now clock.Millis, item Item) []Decision {
	if item.Tier != wire.Tier_TIER_PAID {
		item.Tier = wire.Tier_TIER_FREE
	}
	item.Size = max(item.Size, 1)
	decisions, room := queue.makeRoom(item)
	if !room {
		return decisions
	}
	queue.line.learn(item.Size)
	added := &entry{Item: item, long: queue.line.long(item.Size), predicted: max(item.Size, leastTypical)}
	queue.add(added, now)
	return append(decisions, queue.Tick(now)...)
}

// makeRoom keeps the bounds on waiting work and tells whether an item may come in.
func (queue *Queue) makeRoom(item Item) ([]Decision, bool) {
	if queue.line.perCustomer[item.Customer] >= queue.settings.MaxPerCustomer {
		return []Decision{Refuse{ID: item.ID, Reason: CustomerFull, RetryAfter: queue.drain()}}, false
	}
	if queue.line.len()-queue.held < queue.settings.MaxWaiting {
		return nil, true
	}
	worst := queue.line.worst(item.Tier, item.Priority)
	if worst == nil {
		return []Decision{Refuse{ID: item.ID, Reason: Full, RetryAfter: queue.drain()}}, false
	}
	queue.line.remove(worst)
	return []Decision{Refuse{ID: worst.ID, Reason: Displaced, RetryAfter: queue.drain()}}, true
}

// drain returns the time in which the paid work that is here would be done.
func (queue *Queue) drain() clock.Millis {
	events := float64(queue.line.events[wire.Tier_TIER_PAID])
	return max(clock.Second, clock.Millis(events*queue.pace/float64(queue.settings.Slots)))
}

// add puts an entry into the line with its order and the instant at which it goes first.
func (queue *Queue) add(entry *entry, now clock.Millis) {
	expected := clock.Millis(float64(entry.remaining()) * queue.pace)
	entry.key = entry.Arrived + expected
	entry.due = entry.Arrived + clock.Millis(queue.settings.Stretch*float64(expected))
	if entry.begun {
		used := entry.paused
		if entry.long {
			used = entry.delay()
		}
		entry.due = now + max(clock.Millis(queue.settings.Stretch*float64(entry.ran(now)))-used, 0)
	}
	queue.line.push(entry)
}

// Progress records how many events a running attempt has produced. A stream
// that outgrew its prediction is predicted anew, and its customer charged.
func (queue *Queue) Progress(id string, produced uint32) {
	run, ok := queue.running[id]
	if !ok || !run.Counted {
		return
	}
	run.produced = produced
	if produced < run.Size {
		return
	}
	grown := produced * outgrowthNumerator / outgrowthDenominator
	queue.charge(run, grown-run.Size)
	run.Size = grown
	if !run.long && (queue.line.long(produced) || produced >= outgrown*run.predicted) {
		run.long = true
		queue.longRuns++
	}
}

func (queue *Queue) charge(run *entry, events uint32) {
	band := queue.line.band(run.Tier, run.Priority)
	if account, ok := band.accounts[run.Customer]; ok {
		band.charge(account, float64(events))
		run.charged += events
	}
}

// End records that a started attempt ended.
func (queue *Queue) End(now clock.Millis, id string) []Decision {
	if run, ok := queue.running[id]; ok {
		if run.Counted {
			queue.line.learn(run.produced)
		}
		queue.stop(run)
	} else if waiting, ok := queue.line.byID[id]; ok && waiting.begun {
		queue.line.remove(waiting)
		queue.held--
	}
	return queue.Tick(now)
}

// Remove takes out an attempt that did not start, and tells whether it was there.
func (queue *Queue) Remove(id string) bool {
	waiting, ok := queue.line.byID[id]
	if !ok || waiting.begun {
		return false
	}
	queue.line.remove(waiting)
	return true
}

// stop takes an entry off the running ones and returns what its customer paid too much.
func (queue *Queue) stop(run *entry) {
	delete(queue.running, run.ID)
	queue.order = slices.DeleteFunc(queue.order, func(other *entry) bool { return other == run })
	if run.long {
		queue.longRuns--
	}
	if run.Tier == wire.Tier_TIER_FREE {
		queue.freeRuns--
	}
	unused := 0.0
	if run.Counted {
		unused = float64(run.remaining())
	}
	queue.line.leave(run, unused)
}

// Tick refuses what waited too long and gives the slots to the work that goes first.
func (queue *Queue) Tick(now clock.Millis) []Decision {
	decisions := queue.expire(now)
	for {
		chosen := queue.next(now)
		if chosen == nil {
			return decisions
		}
		if len(queue.order) >= queue.settings.Slots {
			var victim *entry
			chosen, victim = queue.displace(chosen, now)
			if victim == nil {
				return decisions
			}
			decisions = append(decisions, queue.yield(victim, now)...)
		}
		decisions = append(decisions, queue.start(chosen, now))
	}
}

func (queue *Queue) expire(now clock.Millis) []Decision {
	var decisions []Decision
	for {
		first, ok := queue.line.expiry.top()
		if !ok || first.Deadline > now {
			return decisions
		}
		queue.line.remove(first)
		decisions = append(decisions, Refuse{ID: first.ID, Reason: Expired, RetryAfter: queue.drain()})
	}
}

// next returns the entry that should have a slot, or nil.
func (queue *Queue) next(now clock.Millis) *entry {
	roomForLong := queue.longRuns < queue.settings.LongSlots
	if found := queue.line.next(wire.Tier_TIER_PAID, now, queue.settings.Slots, roomForLong); found != nil {
		return found
	}
	if queue.settings.Pausable {
		// Long work may use what nobody else wants, since it can be paused again.
		if found := queue.line.next(wire.Tier_TIER_PAID, now, queue.settings.Slots, true); found != nil {
			return found
		}
	} else if queue.freeRuns >= queue.settings.FreeSlots {
		return nil
	}
	return queue.line.next(wire.Tier_TIER_FREE, now, queue.settings.Slots, queue.settings.Pausable || 2*queue.longRuns < queue.settings.LongSlots)
}

// displace returns the entry that gets the slot of a running one, and that one.
// Long work that must wait for a slot does not keep short work from taking one.
func (queue *Queue) displace(chosen *entry, now clock.Millis) (*entry, *entry) {
	victim := queue.victim(chosen, now)
	if victim != nil || !chosen.long {
		return chosen, victim
	}
	short := queue.line.next(wire.Tier_TIER_PAID, now, queue.settings.Slots, false)
	if short == nil {
		return chosen, nil
	}
	return short, queue.victim(short, now)
}

func (queue *Queue) start(chosen *entry, now clock.Millis) Decision {
	queue.line.take(chosen)
	queue.running[chosen.ID] = chosen
	queue.order = append(queue.order, chosen)
	chosen.resumed = now
	if chosen.long {
		queue.longRuns++
	}
	if chosen.Tier == wire.Tier_TIER_FREE {
		queue.freeRuns++
	}
	if !chosen.begun {
		chosen.begun, chosen.started = true, now
		return Start{ID: chosen.ID}
	}
	chosen.paused += now - chosen.pausedAt
	chosen.pausedAt = 0
	queue.held--
	return Resume{ID: chosen.ID}
}
