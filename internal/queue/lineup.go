package queue

import (
	"math"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Add puts an item into the line.
func (line *Line) Add(item Item) {
	if item.Tier != wire.Tier_TIER_PAID {
		item.Tier = wire.Tier_TIER_FREE
	}
	item.Size = max(item.Size, 1)
	line.learn(item.Size)
	added := &entry{Item: item, long: line.long(item.Size)}
	expected := clock.Millis(item.Size) * defaultPace
	added.key, added.due = item.Arrived+expected, item.Arrived+expected
	line.push(added)
}

// Peek returns the item of a tier that goes next.
func (line *Line) Peek(now clock.Millis, tier wire.Tier) (Item, bool) {
	if first := line.next(tier, now, math.MaxInt32, true); first != nil {
		return first.Item, true
	}
	return Item{}, false
}

// Take removes the item of a tier that goes next; Release must follow.
func (line *Line) Take(now clock.Millis, tier wire.Tier) (Item, bool) {
	first := line.next(tier, now, math.MaxInt32, true)
	if first == nil {
		return Item{}, false
	}
	line.take(first)
	line.taken[first.ID] = first
	return first.Item, true
}

// Release takes an item that was taken off its customer's account.
func (line *Line) Release(id string) {
	if gone, ok := line.taken[id]; ok {
		delete(line.taken, id)
		line.leave(gone, 0)
	}
}

// Withdraw removes a waiting item and tells whether it was there.
func (line *Line) Withdraw(id string) bool {
	waiting, ok := line.byID[id]
	if ok {
		line.remove(waiting)
	}
	return ok
}

// Expire removes the items whose deadline has passed.
func (line *Line) Expire(now clock.Millis) []Item {
	var gone []Item
	for {
		first, ok := line.expiry.top()
		if !ok || first.Deadline > now {
			return gone
		}
		line.remove(first)
		gone = append(gone, first.Item)
	}
}

// Displace removes an item behind a tier and priority, if there is one.
func (line *Line) Displace(tier wire.Tier, priority int32) (Item, bool) {
	worst := line.worst(tier, priority)
	if worst == nil {
		return Item{}, false
	}
	line.remove(worst)
	return worst.Item, true
}

// Len returns the number of waiting items.
func (line *Line) Len() int { return line.len() }

// Waiting returns the number of waiting items of a tier.
func (line *Line) Waiting(tier wire.Tier) int { return line.counts[tierIndex(tier)] }

// Events returns the predicted events of the waiting items of a tier.
func (line *Line) Events(tier wire.Tier) uint64 { return line.events[tierIndex(tier)] }

// OfCustomer returns the number of a customer's waiting items.
func (line *Line) OfCustomer(customer string) int { return line.perCustomer[customer] }
