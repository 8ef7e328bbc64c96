package admit

import (
	"math"

	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// tierIndex returns the index of a tier in the gate's per-tier arrays.
func tierIndex(tier wire.Tier) int {
	if tier == wire.Tier_TIER_PAID {
		return 0
	}
	return 1
}

// addPending counts a request that has no first event yet.
func (gate *Gate) addPending(item queue.Item) {
	byCustomer := gate.pending[tierIndex(item.Tier)]
	work, ok := byCustomer[item.Customer]
	if !ok {
		work = &pendingWork{weight: float64(max(item.Weight, 1))}
		byCustomer[item.Customer] = work
	}
	work.events += float64(item.Size)
	work.count++
}

// removePending undoes addPending. It sets the size of a sent request to 0, so that
// the request is not subtracted twice.
func (gate *Gate) removePending(item queue.Item) {
	if item.Size == 0 {
		return
	}
	if sent, ok := gate.sent[item.ID]; ok {
		sent.Size = 0
		gate.sent[item.ID] = sent
	}
	byCustomer := gate.pending[tierIndex(item.Tier)]
	work, ok := byCustomer[item.Customer]
	if !ok {
		return
	}
	work.events -= float64(item.Size)
	work.count--
	if work.count <= 0 {
		delete(byCustomer, item.Customer)
	}
}

// estimate returns how long a request would wait for an engine: the time for all
// work of its tier and of the tiers before it, or the time for its customer's own
// work at the customer's share if that is less, since the backlog of a large
// customer does not delay the others.
func (gate *Gate) estimate(now clock.Millis, item queue.Item) clock.Millis {
	capacity := gate.capacity
	if capacity.Rate <= 0 {
		return 0
	}
	entries := float64(max(capacity.Entries, 1))
	ahead := float64(capacity.PaidAhead) + entries*float64(gate.waiting.Events(wire.Tier_TIER_PAID))
	if item.Tier == wire.Tier_TIER_FREE {
		ahead += entries * float64(gate.waiting.Events(wire.Tier_TIER_FREE))
	}
	total := ahead / capacity.Rate
	if item.Tier == wire.Tier_TIER_FREE {
		total = max(total, gate.backlogSeconds(now))
	}
	return clock.Millis(1000 * total * gate.fraction(item))
}

// fraction returns the fraction of a tier's work that runs before a request. It is
// close to 0 if the request's customer has little work and others have much, and at
// most 1. The work at this entry VM is taken as a sample of the work at all of them.
func (gate *Gate) fraction(item queue.Item) float64 {
	weight, size := float64(max(item.Weight, 1)), float64(item.Size)
	events, weights, all := size, weight, size
	for name, other := range gate.pending[tierIndex(item.Tier)] {
		all += other.events
		if name == item.Customer {
			events += other.events
		} else {
			weights += other.weight
		}
	}
	return min(1, events*weights/weight/all)
}

// recordServed adds admitted free events to the decayed sum.
func (gate *Gate) recordServed(now clock.Millis, events float64) {
	gate.decay(now)
	gate.served += events
}

// decay brings the sum of served events up to the current time.
func (gate *Gate) decay(now clock.Millis) {
	gate.served *= math.Exp(-float64(now-gate.servedAt) / float64(serviceWindow))
	gate.servedAt = now
}

// trackBacklog records since when free work has been waiting without interruption.
func (gate *Gate) trackBacklog(now clock.Millis) {
	if gate.waiting.Waiting(wire.Tier_TIER_FREE) == 0 {
		gate.backlogSince = 0
	} else if gate.backlogSince == 0 {
		gate.backlogSince = now
	}
}

// backlogSeconds returns the time that the waiting free work would need at the
// recent rate of admission, or 0 until that rate has been measured for one window.
func (gate *Gate) backlogSeconds(now clock.Millis) float64 {
	if gate.backlogSince == 0 || now-gate.backlogSince < serviceWindow {
		return 0
	}
	gate.decay(now)
	perSecond := max(gate.served*float64(clock.Second)/float64(serviceWindow), 1)
	return float64(gate.waiting.Events(wire.Tier_TIER_FREE)) / perSecond
}
