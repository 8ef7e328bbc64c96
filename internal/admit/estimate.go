package admit

import (
	"math"

	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// side is the index of a tier's own figures.
func side(tier wire.Tier) int {
	if tier == wire.Tier_TIER_PAID {
		return 0
	}
	return 1
}

// remember counts a request without a first event.
func (gate *Gate) remember(item queue.Item) {
	all := gate.pending[side(item.Tier)]
	known, ok := all[item.Customer]
	if !ok {
		known = &share{weight: float64(max(item.Weight, 1))}
		all[item.Customer] = known
	}
	known.events += float64(item.Size)
	known.count++
}

// forget counts it off again; a second call for the same request must not
// happen, so the request is marked by its size.
func (gate *Gate) forget(item queue.Item) {
	if item.Size == 0 {
		return
	}
	if sent, ok := gate.sent[item.ID]; ok {
		sent.Size = 0
		gate.sent[item.ID] = sent
	}
	all := gate.pending[side(item.Tier)]
	known, ok := all[item.Customer]
	if !ok {
		return
	}
	known.events -= float64(item.Size)
	known.count--
	if known.count <= 0 {
		delete(all, item.Customer)
	}
}

// estimate returns how long a request would wait for an engine. It is the
// lesser of two times: that of all work of its tier and the tiers before it,
// and that of its own customer's work at the customer's share, since a large
// customer's backlog does not delay the others.
func (gate *Gate) estimate(now clock.Millis, item queue.Item) clock.Millis {
	capacity := gate.capacity
	if capacity.Rate <= 0 {
		return 0
	}
	entries := float64(max(capacity.Entries, 1))
	ahead := float64(capacity.PaidAhead) + entries*float64(gate.line.Events(wire.Tier_TIER_PAID))
	if item.Tier == wire.Tier_TIER_FREE {
		ahead += entries * float64(gate.line.Events(wire.Tier_TIER_FREE))
	}
	total := ahead / capacity.Rate
	if item.Tier == wire.Tier_TIER_FREE {
		total = max(total, gate.heldTime(now))
	}
	return clock.Millis(1000 * total * gate.fraction(item))
}

// fraction returns the part of the work of a tier that goes before a request:
// up to all of it, and none when its customer has little and others have much.
// The work of the entry VM's own customers is taken for a sample of all.
func (gate *Gate) fraction(item queue.Item) float64 {
	weight, size := float64(max(item.Weight, 1)), float64(item.Size)
	events, weights, all := size, weight, size
	for name, other := range gate.pending[side(item.Tier)] {
		all += other.events
		if name == item.Customer {
			events += other.events
		} else {
			weights += other.weight
		}
	}
	return min(1, events*weights/weight/all)
}

// serve counts free events that were admitted.
func (gate *Gate) serve(now clock.Millis, events float64) {
	gate.decay(now)
	gate.served += events
}

func (gate *Gate) decay(now clock.Millis) {
	gate.served *= math.Exp(-float64(now-gate.servedAt) / float64(memory))
	gate.servedAt = now
}

// watchHeld records since when free work has been held without a break.
func (gate *Gate) watchHeld(now clock.Millis) {
	if gate.line.Waiting(wire.Tier_TIER_FREE) == 0 {
		gate.heldSince = 0
	} else if gate.heldSince == 0 {
		gate.heldSince = now
	}
}

// heldTime returns the seconds in which the held free work would go at the pace
// of late, or 0 while that pace is not known.
func (gate *Gate) heldTime(now clock.Millis) float64 {
	if gate.heldSince == 0 || now-gate.heldSince < memory {
		return 0
	}
	gate.decay(now)
	perSecond := max(gate.served*float64(clock.Second)/float64(memory), 1)
	return float64(gate.line.Events(wire.Tier_TIER_FREE)) / perSecond
}
