package queue

import (
	"math"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// longFactor is how many times the typical size makes work long. Work of
	// up to this size delays others by no more than a normal spread of sizes does.
	longFactor = 8
	// leastTypical keeps a stream of tiny requests from making all others long.
	leastTypical = 16
	// typicalStep is the weight of one request in the typical size.
	typicalStep = 0.01
)

// Line is the waiting work in its order. Queue uses it, and admission does for
// the requests that it holds.
type Line struct {
	bands    []*band
	byID     map[string]*entry
	sequence uint64
	// typical is the geometric mean of the sizes seen, which a few long
	// requests hardly move; kept as a logarithm.
	typical float64
	expiry  pile[*entry]
	counts  [3]int
	events  [3]uint64
	// perCustomer counts the waiting work that has not started.
	perCustomer map[string]int
	// taken holds the items between Take and Release.
	taken map[string]*entry
}

// NewLine returns an empty line.
func NewLine() *Line {
	return &Line{
		byID: map[string]*entry{}, typical: math.Log(leastTypical), perCustomer: map[string]int{}, taken: map[string]*entry{},
		expiry: pile[*entry]{
			less:  func(first, second *entry) bool { return first.Deadline < second.Deadline },
			index: func(entry *entry) *int { return &entry.expiryIndex },
		},
	}
}

// learn takes a size into the typical size.
func (line *Line) learn(size uint32) {
	line.typical += typicalStep * (math.Log(float64(max(size, leastTypical))) - line.typical)
}

// long tells whether a size is that of long work.
func (line *Line) long(size uint32) bool {
	return float64(size) > longFactor*math.Exp(line.typical)
}

// band returns the band of a tier and priority, made if need be.
func (line *Line) band(tier wire.Tier, priority int32) *band {
	at, found := line.locate(tier, priority)
	if !found {
		line.bands = slices.Insert(line.bands, at, newBand(tier, priority))
	}
	return line.bands[at]
}

func (line *Line) locate(tier wire.Tier, priority int32) (int, bool) {
	type rank struct {
		tier     wire.Tier
		priority int32
	}
	return slices.BinarySearchFunc(line.bands, rank{tier, priority}, func(band *band, wanted rank) int {
		if band.before(wanted.tier, wanted.priority) {
			return -1
		}
		if band.tier == wanted.tier && band.priority == wanted.priority {
			return 0
		}
		return 1
	})
}

func (line *Line) push(entry *entry) {
	line.sequence++
	entry.sequence = line.sequence
	entry.flowIndex, entry.dueIndex, entry.expiryIndex = none, none, none
	line.band(entry.Tier, entry.Priority).push(entry)
	line.byID[entry.ID] = entry
	line.counts[tierIndex(entry.Tier)]++
	line.events[tierIndex(entry.Tier)] += uint64(entry.remaining())
	if entry.begun {
		return
	}
	line.perCustomer[entry.Customer]++
	if entry.Deadline != 0 {
		line.expiry.add(entry)
	}
}

// forget takes an entry out of everything but its band.
func (line *Line) forget(entry *entry) {
	delete(line.byID, entry.ID)
	line.expiry.remove(entry)
	line.counts[tierIndex(entry.Tier)]--
	line.events[tierIndex(entry.Tier)] -= uint64(entry.remaining())
	if entry.begun {
		return
	}
	line.perCustomer[entry.Customer]--
	if line.perCustomer[entry.Customer] == 0 {
		delete(line.perCustomer, entry.Customer)
	}
}

func (line *Line) remove(entry *entry) {
	line.forget(entry)
	band := line.band(entry.Tier, entry.Priority)
	band.remove(entry)
	line.drop(band)
}

// take removes an entry that will run.
func (line *Line) take(entry *entry) {
	line.forget(entry)
	line.band(entry.Tier, entry.Priority).take(entry)
}

// leave takes a running entry off its customer's account.
func (line *Line) leave(entry *entry, unused float64) {
	band := line.band(entry.Tier, entry.Priority)
	band.leave(entry, unused)
	line.drop(band)
}

// drop forgets a band without work.
func (line *Line) drop(band *band) {
	if band.active > 0 {
		return
	}
	if at, found := line.locate(band.tier, band.priority); found {
		line.bands = slices.Delete(line.bands, at, at+1)
	}
}

// next returns the entry of a tier that runs next, or nil.
func (line *Line) next(tier wire.Tier, now clock.Millis, slots int, long bool) *entry {
	for _, band := range line.bands {
		if band.tier != tier || band.waiting == 0 {
			continue
		}
		if found := band.next(now, slots, long); found != nil {
			return found
		}
	}
	return nil
}

// worst returns an entry behind a tier and priority that may be displaced, or nil.
func (line *Line) worst(tier wire.Tier, priority int32) *entry {
	for at := len(line.bands) - 1; at >= 0; at-- {
		band := line.bands[at]
		if band.before(tier, priority) || (band.tier == tier && band.priority == priority) {
			return nil
		}
		if found := band.last(); found != nil {
			return found
		}
	}
	return nil
}

func (line *Line) len() int { return len(line.byID) }

// tierIndex counts work of an unknown tier as free.
func tierIndex(tier wire.Tier) int {
	if tier == wire.Tier_TIER_PAID {
		return int(wire.Tier_TIER_PAID)
	}
	return int(wire.Tier_TIER_FREE)
}
