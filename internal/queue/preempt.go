package queue

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// restartCostEvents is the cost of processing the prompt of a cancelled stream
// again, as a number of events that take as long.
const restartCostEvents = 4

// victim returns the running entry to preempt for a chosen one, or nil.
func (queue *Queue) victim(chosen *entry, now clock.Millis) *entry {
	if !queue.settings.Pausable {
		return nil
	}
	var best *entry
	for _, run := range queue.runOrder {
		if !run.Fixed && queue.canPreempt(run, chosen, now) && (best == nil || queue.isCheaperVictim(run, best)) {
			best = run
		}
	}
	return best
}

// canPreempt reports whether a running entry may be preempted for a chosen one.
func (queue *Queue) canPreempt(run, chosen *entry, now clock.Millis) bool {
	if run.Tier != chosen.Tier {
		return run.Tier == wire.Tier_TIER_FREE
	}
	if queue.pausedCount >= queue.settings.MaxPaused && (run.Tier == wire.Tier_TIER_FREE || queue.cheapestPaused() == nil) {
		return false
	}
	if float64(now-run.resumed) < queue.eventInterval {
		// The running entry has not had time to produce an event since it got the slot.
		return false
	}
	budget := queue.settings.Stretch * float64(run.runTime(now))
	if float64(run.paused) >= budget {
		return false
	}
	if run.Priority == chosen.Priority && queue.narrowsShareGap(run, chosen) {
		// The delay before its start does not count for a customer beyond its share,
		// since it waited for that customer's other work.
		return true
	}
	if float64(run.delay()) >= budget {
		return false
	}
	if run.Priority != chosen.Priority {
		return run.Priority < chosen.Priority && run.long
	}
	return run.long && !chosen.long && queue.hasNoLargerShare(run, chosen)
}

// narrowsShareGap reports whether moving a slot from the running entry's customer
// to the chosen entry's customer leaves the latter with no more slots per weight
// than the former.
func (queue *Queue) narrowsShareGap(run, chosen *entry) bool {
	band := queue.waitList.band(run.Tier, run.Priority)
	loser, winner := band.accounts[run.Customer], band.accounts[chosen.Customer]
	if run.Customer == chosen.Customer || loser == nil || winner == nil {
		return false
	}
	return float64(winner.running+1)*loser.weight <= float64(loser.running-1)*winner.weight
}

// hasNoLargerShare reports whether the chosen entry's customer has no more slots
// per weight than the running entry's customer.
func (queue *Queue) hasNoLargerShare(run, chosen *entry) bool {
	band := queue.waitList.band(run.Tier, run.Priority)
	loser, winner := band.accounts[run.Customer], band.accounts[chosen.Customer]
	return loser != nil && winner != nil && float64(winner.running)*loser.weight <= float64(loser.running)*winner.weight
}

// isCheaperVictim reports whether preempting the first entry costs less than
// preempting the second: free work before paid, long before short, then the free
// stream with the fewest events, or the paid stream that arrived last, with its
// paused time subtracted from the arrival time.
func (queue *Queue) isCheaperVictim(first, second *entry) bool {
	if first.Tier != second.Tier {
		return first.Tier == wire.Tier_TIER_FREE
	}
	if first.long != second.long {
		return first.long
	}
	if first.Tier == wire.Tier_TIER_FREE {
		return first.produced < second.produced
	}
	// delay() - started equals the paused time minus the arrival time.
	return first.delay()-first.started < second.delay()-second.started
}

// preempt takes the slot of a running entry. The entry is paused if the engine can
// keep one more paused stream; otherwise the free stream that is cheapest to cancel
// is cancelled.
func (queue *Queue) preempt(victim *entry, now clock.Millis) []Decision {
	if queue.pausedCount < queue.settings.MaxPaused {
		return []Decision{queue.pause(victim, now)}
	}
	cheapest := queue.cheapestPaused()
	if victim.Tier == wire.Tier_TIER_FREE && (cheapest == nil || cancelCost(victim) <= cancelCost(cheapest)) {
		queue.stop(victim)
		return []Decision{Cancel{ID: victim.ID}}
	}
	queue.waitList.remove(cheapest)
	queue.pausedCount--
	return []Decision{Cancel{ID: cheapest.ID}, queue.pause(victim, now)}
}

func (queue *Queue) pause(victim *entry, now clock.Millis) Decision {
	queue.stop(victim)
	victim.pausedAt = now
	queue.pausedCount++
	queue.add(victim, now)
	return Pause{ID: victim.ID}
}

// cancelCost returns the work that is lost when an entry is cancelled, in events.
func cancelCost(entry *entry) uint32 { return entry.produced + restartCostEvents }

// cheapestPaused returns the paused free stream that is cheapest to cancel, or nil.
func (queue *Queue) cheapestPaused() *entry {
	var best *entry
	for _, waiting := range queue.waitList.byID {
		if !waiting.wasStarted || waiting.Tier != wire.Tier_TIER_FREE {
			continue
		}
		if best == nil || cancelCost(waiting) < cancelCost(best) || (cancelCost(waiting) == cancelCost(best) && waiting.sequence < best.sequence) {
			best = waiting
		}
	}
	return best
}
