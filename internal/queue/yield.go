package queue

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// restartEvents is what a cancelled stream loses beside its events: the
// prompt's processing, in events' time.
const restartEvents = 4

// victim returns the running entry that gives its slot to a chosen one, or nil.
func (queue *Queue) victim(chosen *entry, now clock.Millis) *entry {
	if !queue.settings.Pausable {
		return nil
	}
	var best *entry
	for _, run := range queue.order {
		if !run.Fixed && queue.yields(run, chosen, now) && (best == nil || queue.rather(run, best)) {
			best = run
		}
	}
	return best
}

// yields tells whether a running entry may be stopped for a chosen one.
func (queue *Queue) yields(run, chosen *entry, now clock.Millis) bool {
	if run.Tier != chosen.Tier {
		return run.Tier == wire.Tier_TIER_FREE
	}
	if queue.held >= queue.settings.Held && (run.Tier == wire.Tier_TIER_FREE || queue.cheapestHeld() == nil) {
		return false
	}
	if float64(now-run.resumed) < queue.pace {
		// It has not produced an event since it got the slot.
		return false
	}
	budget := queue.settings.Stretch * float64(run.ran(now))
	if float64(run.paused) >= budget {
		return false
	}
	if run.Priority == chosen.Priority && queue.fairer(run, chosen) {
		// What a customer beyond its share waited was the wait for its own work.
		return true
	}
	if float64(run.delay()) >= budget {
		return false
	}
	if run.Priority != chosen.Priority {
		return run.Priority < chosen.Priority && run.long
	}
	return run.long && !chosen.long && queue.level(run, chosen)
}

// fairer tells whether a slot that moves from a running entry's customer to the
// chosen one's leaves the latter with no more slots for its weight.
func (queue *Queue) fairer(run, chosen *entry) bool {
	band := queue.line.band(run.Tier, run.Priority)
	loser, winner := band.accounts[run.Customer], band.accounts[chosen.Customer]
	if run.Customer == chosen.Customer || loser == nil || winner == nil {
		return false
	}
	return float64(winner.running+1)*loser.weight <= float64(loser.running-1)*winner.weight
}

// level tells whether the chosen one's customer has no more slots for its weight
// than the running one's.
func (queue *Queue) level(run, chosen *entry) bool {
	band := queue.line.band(run.Tier, run.Priority)
	loser, winner := band.accounts[run.Customer], band.accounts[chosen.Customer]
	return loser != nil && winner != nil && float64(winner.running)*loser.weight <= float64(loser.running)*winner.weight
}

// rather tells whether one victim costs less than another: free work before
// paid, long before short, and then the one that ran least.
func (queue *Queue) rather(first, second *entry) bool {
	if first.Tier != second.Tier {
		return first.Tier == wire.Tier_TIER_FREE
	}
	if first.long != second.long {
		return first.long
	}
	if first.Tier == wire.Tier_TIER_FREE {
		return first.produced < second.produced
	}
	// Among paid streams, the one with the most budget left.
	return first.delay()-first.started < second.delay()-second.started
}

// yield stops a running entry. It is paused while the engine can hold one more
// stream; otherwise the free stream that loses least is cancelled.
func (queue *Queue) yield(victim *entry, now clock.Millis) []Decision {
	if queue.held < queue.settings.Held {
		return []Decision{queue.pause(victim, now)}
	}
	held := queue.cheapestHeld()
	if victim.Tier == wire.Tier_TIER_FREE && (held == nil || loss(victim) <= loss(held)) {
		queue.stop(victim)
		return []Decision{Cancel{ID: victim.ID}}
	}
	queue.line.remove(held)
	queue.held--
	return []Decision{Cancel{ID: held.ID}, queue.pause(victim, now)}
}

func (queue *Queue) pause(victim *entry, now clock.Millis) Decision {
	queue.stop(victim)
	victim.pausedAt = now
	queue.held++
	queue.add(victim, now)
	return Pause{ID: victim.ID}
}

func loss(entry *entry) uint32 { return entry.produced + restartEvents }

// cheapestHeld returns the paused free stream that loses least, or nil.
func (queue *Queue) cheapestHeld() *entry {
	var best *entry
	for _, waiting := range queue.line.byID {
		if !waiting.begun || waiting.Tier != wire.Tier_TIER_FREE {
			continue
		}
		if best == nil || loss(waiting) < loss(best) || (loss(waiting) == loss(best) && waiting.sequence < best.sequence) {
			best = waiting
		}
	}
	return best
}
