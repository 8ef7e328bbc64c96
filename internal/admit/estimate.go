package admit

import (
	"math"

	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// tierIndex returns the index of a tier in the controller's per-tier arrays.
func tierIndex(tier wire.Tier) int {
	if tier == wire.Tier_TIER_PAID {
		return 0
	}
	return 1
}

// addPending counts a request that has no first event yet.
func (controller *Controller) addPending(item queue.Item) {
	byCustomer := controller.pending[tierIndex(item.Tier)]
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
func (controller *Controller) removePending(item queue.Item) {
	if item.Size == 0 {
		return
	}
	if sent, ok := controller.sent[item.ID]; ok {
		sent.Size = 0
		controller.sent[item.ID] = sent
	}
	byCustomer := controller.pending[tierIndex(item.Tier)]
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

// estimate returns how long a request would wait for an engine, or 0 if the rate is
// unknown. It is the time for all work of its tier and of the tiers before it, times
// the fraction of its own tier's work that runs before it, since the backlog of a
// large customer does not delay the others. For a free request, that fraction also
// scales the paid work ahead of it.
func (controller *Controller) estimate(now clock.Millis, item queue.Item) clock.Millis {
	capacity := controller.capacity
	if capacity.Rate <= 0 {
		return 0
	}
	entries := float64(max(capacity.Entries, 1))
	ahead := float64(capacity.PaidAhead) + entries*float64(controller.waiting.Events(wire.Tier_TIER_PAID))
	if item.Tier == wire.Tier_TIER_FREE {
		ahead += entries * float64(controller.waiting.Events(wire.Tier_TIER_FREE))
	}
	total := ahead / capacity.Rate
	if item.Tier == wire.Tier_TIER_FREE {
		total = max(total, controller.backlogSeconds(now))
	}
	return clock.Millis(1000 * total * controller.fraction(item))
}

// fraction returns the fraction of a tier's work that runs before a request. It is
// close to 0 if the request's customer has little work and others have much, and at
// most 1. The work at this entry VM is taken as a sample of the work at all of them.
func (controller *Controller) fraction(item queue.Item) float64 {
	weight, size := float64(max(item.Weight, 1)), float64(item.Size)
	events, weights, all := size, weight, size
	for name, other := range controller.pending[tierIndex(item.Tier)] {
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
func (controller *Controller) recordServed(now clock.Millis, events float64) {
	controller.decay(now)
	controller.served += events
}

// decay brings the sum of served events up to the current time.
func (controller *Controller) decay(now clock.Millis) {
	controller.served *= math.Exp(-float64(now-controller.servedAt) / float64(serviceWindow))
	controller.servedAt = now
}

// trackBacklog records since when free work has been waiting without interruption.
func (controller *Controller) trackBacklog(now clock.Millis) {
	if controller.waiting.Waiting(wire.Tier_TIER_FREE) == 0 {
		controller.backlogSince = 0
	} else if controller.backlogSince == 0 {
		controller.backlogSince = now
	}
}

// backlogSeconds returns the time that the waiting free work would need at the
// recent rate of admission, or 0 until that rate has been measured for one window.
func (controller *Controller) backlogSeconds(now clock.Millis) float64 {
	if controller.backlogSince == 0 || now-controller.backlogSince < serviceWindow {
		return 0
	}
	controller.decay(now)
	perSecond := max(controller.served*float64(clock.Second)/float64(serviceWindow), 1)
	return float64(controller.waiting.Events(wire.Tier_TIER_FREE)) / perSecond
}
