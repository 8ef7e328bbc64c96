package queue

import (
	"math"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// longFactor is the multiple of the typical size above which work is long. Work
	// up to this size delays others no more than the normal spread of sizes does.
	longFactor = 8
	// minTypicalSize keeps many tiny requests from making all others count as long.
	minTypicalSize = 16
	// typicalSizeWeight is the weight of a new size in the moving average.
	typicalSizeWeight = 0.01
)

// WaitList keeps waiting work in scheduling order. Queue uses it, and so does
// admission for the requests that it holds back.
type WaitList struct {
	bands    []*band
	byID     map[string]*entry
	sequence uint64
	// logTypicalSize is the moving average of the logarithms of sizes. A few long
	// requests hardly change such a geometric mean.
	logTypicalSize float64
	expiry         indexedHeap[*entry]
	// counts and events are the number and the predicted events of the waiting
	// entries, by tier.
	counts [3]int
	events [3]uint64
	// perCustomer counts the waiting entries that have never started.
	perCustomer map[string]int
	// taken holds the entries between Take and Release.
	taken map[string]*entry
}

// NewWaitList returns an empty list.
func NewWaitList() *WaitList {
	return &WaitList{
		byID: map[string]*entry{}, logTypicalSize: math.Log(minTypicalSize), perCustomer: map[string]int{}, taken: map[string]*entry{},
		expiry: indexedHeap[*entry]{
			less:  func(first, second *entry) bool { return first.Deadline < second.Deadline },
			index: func(entry *entry) *int { return &entry.expiryIndex },
		},
	}
}

// learn updates the typical size with a new size.
func (list *WaitList) learn(size uint32) {
	list.logTypicalSize += typicalSizeWeight * (math.Log(float64(max(size, minTypicalSize))) - list.logTypicalSize)
}

// isLong reports whether work of a size counts as long.
func (list *WaitList) isLong(size uint32) bool {
	return float64(size) > longFactor*math.Exp(list.logTypicalSize)
}

// band returns the band of a tier and priority, creating it if needed.
func (list *WaitList) band(tier wire.Tier, priority int32) *band {
	at, found := list.locate(tier, priority)
	if !found {
		list.bands = slices.Insert(list.bands, at, newBand(tier, priority))
	}
	return list.bands[at]
}

func (list *WaitList) locate(tier wire.Tier, priority int32) (int, bool) {
	type rank struct {
		tier     wire.Tier
		priority int32
	}
	return slices.BinarySearchFunc(list.bands, rank{tier, priority}, func(band *band, wanted rank) int {
		if band.before(wanted.tier, wanted.priority) {
			return -1
		}
		if band.tier == wanted.tier && band.priority == wanted.priority {
			return 0
		}
		return 1
	})
}

func (list *WaitList) push(entry *entry) {
	list.sequence++
	entry.sequence = list.sequence
	entry.flowIndex, entry.dueIndex, entry.expiryIndex = notInHeap, notInHeap, notInHeap
	list.band(entry.Tier, entry.Priority).push(entry)
	list.byID[entry.ID] = entry
	list.counts[tierIndex(entry.Tier)]++
	list.events[tierIndex(entry.Tier)] += uint64(entry.remaining())
	if entry.wasStarted {
		return
	}
	list.perCustomer[entry.Customer]++
	if entry.Deadline != 0 {
		list.expiry.add(entry)
	}
}

// unindex removes an entry from all indexes and counts except its band's.
func (list *WaitList) unindex(entry *entry) {
	delete(list.byID, entry.ID)
	list.expiry.remove(entry)
	list.counts[tierIndex(entry.Tier)]--
	list.events[tierIndex(entry.Tier)] -= uint64(entry.remaining())
	if entry.wasStarted {
		return
	}
	list.perCustomer[entry.Customer]--
	if list.perCustomer[entry.Customer] == 0 {
		delete(list.perCustomer, entry.Customer)
	}
}

func (list *WaitList) remove(entry *entry) {
	list.unindex(entry)
	band := list.band(entry.Tier, entry.Priority)
	band.remove(entry)
	list.dropIfIdle(band)
}

// take removes an entry that is about to run.
func (list *WaitList) take(entry *entry) {
	list.unindex(entry)
	list.band(entry.Tier, entry.Priority).take(entry)
}

// release removes a running entry from its customer's account and refunds the
// unused events.
func (list *WaitList) release(entry *entry, unused float64) {
	band := list.band(entry.Tier, entry.Priority)
	band.release(entry, unused)
	list.dropIfIdle(band)
}

// dropIfIdle deletes a band without waiting or running work.
func (list *WaitList) dropIfIdle(band *band) {
	if band.active > 0 {
		return
	}
	if at, found := list.locate(band.tier, band.priority); found {
		list.bands = slices.Delete(list.bands, at, at+1)
	}
}

// next returns the entry of a tier that runs next, or nil.
func (list *WaitList) next(tier wire.Tier, now clock.Millis, slots int, allowLong bool) *entry {
	for _, band := range list.bands {
		if band.tier != tier || band.waiting == 0 {
			continue
		}
		if found := band.next(now, slots, allowLong); found != nil {
			return found
		}
	}
	return nil
}

// displaceable returns a waiting entry of the lowest band below a tier and
// priority that has one to displace, or nil.
func (list *WaitList) displaceable(tier wire.Tier, priority int32) *entry {
	for at := len(list.bands) - 1; at >= 0; at-- {
		band := list.bands[at]
		if band.before(tier, priority) || (band.tier == tier && band.priority == priority) {
			return nil
		}
		if found := band.displaceable(); found != nil {
			return found
		}
	}
	return nil
}

func (list *WaitList) len() int { return len(list.byID) }

// tierIndex counts work of an unknown tier as free.
func tierIndex(tier wire.Tier) int {
	if tier == wire.Tier_TIER_PAID {
		return int(wire.Tier_TIER_PAID)
	}
	return int(wire.Tier_TIER_FREE)
}
