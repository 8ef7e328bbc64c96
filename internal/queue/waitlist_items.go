package queue

import (
	"math"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Add inserts an item.
func (list *WaitList) Add(item Item) {
	if item.Tier != wire.Tier_TIER_PAID {
		item.Tier = wire.Tier_TIER_FREE
	}
	item.Size = max(item.Size, 1)
	list.learn(item.Size)
	added := &entry{Item: item, long: list.isLong(item.Size)}
	expected := clock.Millis(item.Size) * defaultEventInterval
	added.orderKey, added.due = item.Arrived+expected, item.Arrived+expected
	list.push(added)
}

// Peek returns the next item of a tier without removing it.
func (list *WaitList) Peek(now clock.Millis, tier wire.Tier) (Item, bool) {
	if first := list.next(tier, now, math.MaxInt32, true); first != nil {
		return first.Item, true
	}
	return Item{}, false
}

// Take removes and returns the next item of a tier. The caller must call Release
// when the item ends.
func (list *WaitList) Take(now clock.Millis, tier wire.Tier) (Item, bool) {
	first := list.next(tier, now, math.MaxInt32, true)
	if first == nil {
		return Item{}, false
	}
	list.take(first)
	list.taken[first.ID] = first
	return first.Item, true
}

// Release ends the accounting of an item that Take returned.
func (list *WaitList) Release(id string) {
	if taken, ok := list.taken[id]; ok {
		delete(list.taken, id)
		list.release(taken, 0)
	}
}

// Withdraw removes a waiting item and reports whether it was present.
func (list *WaitList) Withdraw(id string) bool {
	waiting, ok := list.byID[id]
	if ok {
		list.remove(waiting)
	}
	return ok
}

// Expire removes and returns the items whose deadline has passed.
func (list *WaitList) Expire(now clock.Millis) []Item {
	var expired []Item
	for {
		first, ok := list.expiry.top()
		if !ok || first.Deadline > now {
			return expired
		}
		list.remove(first)
		expired = append(expired, first.Item)
	}
}

// Displace removes and returns a waiting item below a tier and priority, if there is one.
func (list *WaitList) Displace(tier wire.Tier, priority int32) (Item, bool) {
	displaced := list.displaceable(tier, priority)
	if displaced == nil {
		return Item{}, false
	}
	list.remove(displaced)
	return displaced.Item, true
}

// Len returns the number of waiting items.
func (list *WaitList) Len() int { return list.len() }

// Waiting returns the number of waiting items of a tier.
func (list *WaitList) Waiting(tier wire.Tier) int { return list.counts[tierIndex(tier)] }

// Events returns the predicted events of the waiting items of a tier.
func (list *WaitList) Events(tier wire.Tier) uint64 { return list.events[tierIndex(tier)] }

// OfCustomer returns the number of a customer's waiting items.
func (list *WaitList) OfCustomer(customer string) int { return list.perCustomer[customer] }
