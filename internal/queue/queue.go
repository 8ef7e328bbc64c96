package queue

import (
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// growthNumerator and growthDenominator predict the size of a stream that has
	// reached its prediction: half as much again as it has produced.
	growthNumerator, growthDenominator = 3, 2
	// longGrowthFactor is the multiple of its first prediction, or of the minimum
	// typical size if larger, at which a stream counts as long.
	longGrowthFactor = 2
	// defaultEventInterval is the assumed time between the events of a stream, in
	// milliseconds, until SetEventInterval is called.
	defaultEventInterval = 30
)

// Settings configure the queue of one engine.
type Settings struct {
	// Slots is the maximum number of requests that run at once.
	Slots int
	// Pausable is set when the engine can pause and resume requests.
	Pausable bool
	// MaxPaused is the maximum number of paused streams, whose state uses engine memory.
	MaxPaused int `json:"Held"`
	// LongSlots is the maximum number of slots for long work while other work waits
	// for them, or at any time on an engine that cannot pause. There, free long work
	// starts only while less than half of them is in use.
	LongSlots int
	// FreeSlots is the maximum number of slots for the free tier on an engine that
	// cannot pause.
	FreeSlots int
	// Stretch is the maximum time that a paid stream waits and is paused, as a
	// multiple of its run time.
	Stretch float64
	// MaxWaiting and MaxPerCustomer limit the requests that have not started.
	MaxWaiting     int
	MaxPerCustomer int
}

// Defaults returns the default settings for an engine with a number of slots.
func Defaults(slots int, pausable bool) Settings {
	return Settings{
		Slots: slots, Pausable: pausable, MaxPaused: slots, LongSlots: max(1, slots*3/4),
		// Without pauses, free work cannot be preempted, so a quarter of the slots is
		// reserved for paid work.
		FreeSlots: max(1, slots-max(1, slots/4)),
		// This limits the slowdown to 1.8. The rest of the target of 2, a tenth of it,
		// is left for the wait for a step.
		Stretch: 0.8, MaxWaiting: 64 * slots, MaxPerCustomer: 32 * slots,
	}
}

// Load is the load that a queue reports.
type Load struct {
	Running, RunningPaid, Waiting, WaitingPaid int
	// Backlog is the predicted number of events not yet produced.
	Backlog uint64
	// PaidAhead is the predicted number of events of the paid work that waits.
	PaidAhead uint64
}

// Queue schedules the waiting and running work of one engine. Nothing else may
// queue in front of the engine.
type Queue struct {
	settings Settings
	waitList *WaitList
	running  map[string]*entry
	// runOrder holds the running entries in the order of their last start or resume.
	runOrder []*entry
	// pausedCount is the number of paused entries, which are in waitList.
	pausedCount int
	longRuns    int
	freeRuns    int
	// eventInterval is the time between the events of one stream, in milliseconds.
	eventInterval float64
}

// New returns an empty queue.
func New(settings Settings) *Queue {
	return &Queue{settings: settings, waitList: NewWaitList(), running: map[string]*entry{}, eventInterval: defaultEventInterval}
}

// SetEventInterval sets the measured time between the events of one stream, in milliseconds.
func (queue *Queue) SetEventInterval(interval float64) {
	if interval > 0 {
		queue.eventInterval = interval
	}
}

// Len returns the number of waiting entries, including paused ones.
func (queue *Queue) Len() int { return queue.waitList.len() }

// Running returns the number of attempts that have a slot.
func (queue *Queue) Running() int { return len(queue.runOrder) }

// Load returns the current load.
func (queue *Queue) Load() Load {
	load := Load{
		Running: len(queue.runOrder), RunningPaid: len(queue.runOrder) - queue.freeRuns, Waiting: queue.waitList.len(), WaitingPaid: queue.waitList.counts[wire.Tier_TIER_PAID],
		Backlog:   queue.waitList.events[wire.Tier_TIER_PAID] + queue.waitList.events[wire.Tier_TIER_FREE],
		PaidAhead: queue.waitList.events[wire.Tier_TIER_PAID],
	}
	for _, run := range queue.runOrder {
		load.Backlog += uint64(run.remaining())
	}
	return load
}

// Push adds a new attempt.
func (queue *Queue) Push(now clock.Millis, item Item) []Decision {
	if item.Tier != wire.Tier_TIER_PAID {
		item.Tier = wire.Tier_TIER_FREE
	}
	item.Size = max(item.Size, 1)
	decisions, room := queue.makeRoom(item)
	if !room {
		return decisions
	}
	queue.waitList.learn(item.Size)
	added := &entry{Item: item, long: queue.waitList.isLong(item.Size), predicted: max(item.Size, minTypicalSize)}
	queue.add(added, now)
	return append(decisions, queue.Tick(now)...)
}

// makeRoom enforces the limits on waiting work, displacing an entry if possible,
// and reports whether the item may be added.
func (queue *Queue) makeRoom(item Item) ([]Decision, bool) {
	if queue.waitList.perCustomer[item.Customer] >= queue.settings.MaxPerCustomer {
		return []Decision{Refuse{ID: item.ID, Reason: CustomerFull, RetryAfter: queue.drainTime()}}, false
	}
	if queue.waitList.len()-queue.pausedCount < queue.settings.MaxWaiting {
		return nil, true
	}
	displaced := queue.waitList.displaceable(item.Tier, item.Priority)
	if displaced == nil {
		return []Decision{Refuse{ID: item.ID, Reason: Full, RetryAfter: queue.drainTime()}}, false
	}
	queue.waitList.remove(displaced)
	return []Decision{Refuse{ID: displaced.ID, Reason: Displaced, RetryAfter: queue.drainTime()}}, true
}

// drainTime returns the time that the waiting paid work needs, at least one second.
func (queue *Queue) drainTime() clock.Millis {
	events := float64(queue.waitList.events[wire.Tier_TIER_PAID])
	return max(clock.Second, clock.Millis(events*queue.eventInterval/float64(queue.settings.Slots)))
}

// add puts an entry into the wait list and sets its order and due time.
func (queue *Queue) add(entry *entry, now clock.Millis) {
	expected := clock.Millis(float64(entry.remaining()) * queue.eventInterval)
	entry.orderKey = entry.Arrived + expected
	entry.due = entry.Arrived + clock.Millis(queue.settings.Stretch*float64(expected))
	if entry.wasStarted {
		used := entry.paused
		if entry.long {
			used = entry.delay()
		}
		entry.due = now + max(clock.Millis(queue.settings.Stretch*float64(entry.runTime(now)))-used, 0)
	}
	queue.waitList.push(entry)
}

// Progress records how many events a running attempt has produced. A stream that
// reaches its predicted size gets a larger prediction, and its customer is charged
// the difference.
func (queue *Queue) Progress(id string, produced uint32) {
	run, ok := queue.running[id]
	if !ok || !run.Counted {
		return
	}
	run.produced = produced
	if produced < run.Size {
		return
	}
	grown := produced * growthNumerator / growthDenominator
	queue.charge(run, grown-run.Size)
	run.Size = grown
	if !run.long && (queue.waitList.isLong(produced) || produced >= longGrowthFactor*run.predicted) {
		run.long = true
		queue.longRuns++
	}
}

func (queue *Queue) charge(run *entry, events uint32) {
	band := queue.waitList.band(run.Tier, run.Priority)
	if account, ok := band.accounts[run.Customer]; ok {
		band.charge(account, float64(events))
		run.charged += events
	}
}

// End records that a started attempt ended.
func (queue *Queue) End(now clock.Millis, id string) []Decision {
	if run, ok := queue.running[id]; ok {
		if run.Counted {
			queue.waitList.learn(run.produced)
		}
		queue.stop(run)
	} else if waiting, ok := queue.waitList.byID[id]; ok && waiting.wasStarted {
		queue.waitList.remove(waiting)
		queue.pausedCount--
	}
	return queue.Tick(now)
}

// Remove removes an attempt that has never started and reports whether it was present.
func (queue *Queue) Remove(id string) bool {
	waiting, ok := queue.waitList.byID[id]
	if !ok || waiting.wasStarted {
		return false
	}
	queue.waitList.remove(waiting)
	return true
}

// stop removes an entry from the running ones and refunds its customer the
// predicted events that were not produced.
func (queue *Queue) stop(run *entry) {
	delete(queue.running, run.ID)
	queue.runOrder = slices.DeleteFunc(queue.runOrder, func(other *entry) bool { return other == run })
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
	queue.waitList.release(run, unused)
}

// Tick refuses the attempts whose deadline has passed and assigns the slots,
// preempting running work if needed.
func (queue *Queue) Tick(now clock.Millis) []Decision {
	decisions := queue.expire(now)
	for {
		chosen := queue.next(now)
		if chosen == nil {
			return decisions
		}
		if len(queue.runOrder) >= queue.settings.Slots {
			var victim *entry
			chosen, victim = queue.selectPreemption(chosen, now)
			if victim == nil {
				return decisions
			}
			decisions = append(decisions, queue.preempt(victim, now)...)
		}
		decisions = append(decisions, queue.start(chosen, now))
	}
}

func (queue *Queue) expire(now clock.Millis) []Decision {
	var decisions []Decision
	for {
		first, ok := queue.waitList.expiry.top()
		if !ok || first.Deadline > now {
			return decisions
		}
		queue.waitList.remove(first)
		decisions = append(decisions, Refuse{ID: first.ID, Reason: Expired, RetryAfter: queue.drainTime()})
	}
}

// next returns the entry that should have a slot, or nil.
func (queue *Queue) next(now clock.Millis) *entry {
	roomForLong := queue.longRuns < queue.settings.LongSlots
	if found := queue.waitList.next(wire.Tier_TIER_PAID, now, queue.settings.Slots, roomForLong); found != nil {
		return found
	}
	if queue.settings.Pausable {
		// Long work may use slots that no other paid work waits for, since it can be
		// paused again.
		if found := queue.waitList.next(wire.Tier_TIER_PAID, now, queue.settings.Slots, true); found != nil {
			return found
		}
	} else if queue.freeRuns >= queue.settings.FreeSlots {
		return nil
	}
	// Without pauses, free long work starts only while less than half of LongSlots is
	// in use.
	return queue.waitList.next(wire.Tier_TIER_FREE, now, queue.settings.Slots, queue.settings.Pausable || 2*queue.longRuns < queue.settings.LongSlots)
}

// selectPreemption returns the entry that gets the slot of a running one, and that
// one, or nil if none may be preempted. If long work finds no slot to take, short
// work may still take one.
func (queue *Queue) selectPreemption(chosen *entry, now clock.Millis) (*entry, *entry) {
	victim := queue.victim(chosen, now)
	if victim != nil || !chosen.long {
		return chosen, victim
	}
	short := queue.waitList.next(wire.Tier_TIER_PAID, now, queue.settings.Slots, false)
	if short == nil {
		return chosen, nil
	}
	return short, queue.victim(short, now)
}

func (queue *Queue) start(chosen *entry, now clock.Millis) Decision {
	queue.waitList.take(chosen)
	queue.running[chosen.ID] = chosen
	queue.runOrder = append(queue.runOrder, chosen)
	chosen.resumed = now
	if chosen.long {
		queue.longRuns++
	}
	if chosen.Tier == wire.Tier_TIER_FREE {
		queue.freeRuns++
	}
	if !chosen.wasStarted {
		chosen.wasStarted, chosen.started = true, now
		return Start{ID: chosen.ID}
	}
	chosen.paused += now - chosen.pausedAt
	chosen.pausedAt = 0
	queue.pausedCount--
	return Resume{ID: chosen.ID}
}
