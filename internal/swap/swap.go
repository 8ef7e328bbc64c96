// Package swap brings a group of ranks from one expert map to the next with the
// orders that their engines take: prepare, hold, arm, go and disarm. It is pure.
//
// A hold stops the group before the step of the switch, so that no rank begins
// it before every rank is known to be armed, or known not to be. A map version
// is used for one try only: an order of an earlier try that is carried out late
// then names a version or a step that no longer fits.
package swap

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

const (
	// lead is how many steps after the last one known the switch happens. It
	// covers the orders of a calm try, so that the hold stops nobody.
	lead = 2
	// prepareAgain is when a rank that has not copied its experts is ordered
	// again; copies take about a second.
	prepareAgain = 1500 * clock.Millis(1)
	// prepareLimit ends a try whose experts were not copied.
	prepareLimit = 10 * clock.Second
	// armLimit ends a try in which a rank could not be armed. The group may be
	// stopped meanwhile.
	armLimit = clock.Second
)

// Rank is the state that a rank's engine reports at this moment.
type Rank struct {
	Epoch, Step, Sequence uint64
	// Map is the version in use, Prepared the one whose copies are complete.
	Map, Prepared    uint64
	Armed, ArmedStep uint64
	// Held is the step that is held; 0 for none.
	Held uint64
}

// Order is an order to a rank.
type Order interface{ order() }

type (
	// Prepare has the rank copy the experts of a map.
	Prepare struct{ Version uint64 }
	// Arm has the rank take a map into use as a step begins.
	Arm struct{ Version, Step uint64 }
	// Disarm takes that back.
	Disarm struct{ Version uint64 }
	// Hold keeps the group from beginning a step.
	Hold struct{ Step uint64 }
	// Go ends a hold.
	Go struct{ Step uint64 }
)

func (Prepare) order() {}
func (Arm) order()     {}
func (Disarm) order()  {}
func (Hold) order()    {}
func (Go) order()      {}

// Send is an order with the rank it is for.
type Send struct {
	Rank  int
	Order Order
}

// Swap drives one group. The zero value has nothing to do.
type Swap struct {
	// target is the version wanted; 0 for none.
	target uint64
	epoch  uint64
	since  clock.Millis
	// asked is when each rank was last told to prepare.
	asked map[int]clock.Millis
	// step is where the switch happens, once chosen, and armedSince when.
	step       uint64
	armedSince clock.Millis
}

// Busy tells whether a map is on its way.
func (swap *Swap) Busy() bool { return swap.target != 0 }

// Want begins the switch to a version, which must be higher than all before.
func (swap *Swap) Want(version, epoch uint64, now clock.Millis) {
	*swap = Swap{target: version, epoch: epoch, since: now, asked: map[int]clock.Millis{}}
}

// Unanswered tells that a rank gave no answer to an order, so that it is given
// again at once.
func (swap *Swap) Unanswered(rank int) { delete(swap.asked, rank) }

// Newest returns the highest version that any rank names.
func Newest(ranks []Rank) uint64 {
	newest := uint64(0)
	for _, rank := range ranks {
		newest = max(newest, rank.Map, rank.Prepared, rank.Armed)
	}
	return newest
}

// Uniform tells whether all ranks are in one epoch with one map.
func Uniform(ranks []Rank) bool {
	for _, rank := range ranks {
		if rank.Epoch != ranks[0].Epoch || rank.Map != ranks[0].Map {
			return false
		}
	}
	return true
}

// Next returns the orders to give now. It needs the present state of every rank.
func (swap *Swap) Next(ranks []Rank, now clock.Millis) []Send {
	if len(ranks) == 0 || !Uniform(ranks) {
		return nil
	}
	if swap.Busy() && (ranks[0].Epoch != swap.epoch || ranks[0].Map == swap.target) {
		*swap = Swap{}
	}
	if holder, step := held(ranks); step != 0 {
		return swap.holding(ranks, holder, step, now)
	}
	if armedRanks := armed(ranks); len(armedRanks) > 0 {
		return swap.unheld(ranks, armedRanks)
	}
	if !swap.Busy() {
		return nil
	}
	return swap.prepare(ranks, now)
}

// holding decides while a step is held: all ranks armed for it, or none.
func (swap *Swap) holding(ranks []Rank, holder int, step uint64, now clock.Millis) []Send {
	armedRanks := armed(ranks)
	version := uint64(0)
	if len(armedRanks) > 0 {
		version = ranks[armedRanks[0]].Armed
	}
	if version != 0 && all(ranks, func(rank Rank) bool { return rank.Armed == version && rank.ArmedStep == step }) {
		return []Send{{holder, Go{step}}}
	}
	if swap.Busy() && swap.step == step && now-swap.armedSince <= armLimit {
		var sends []Send
		for at, rank := range ranks {
			if rank.Armed != swap.target {
				sends = append(sends, Send{at, Arm{swap.target, step}})
			}
		}
		return sends
	}
	*swap = Swap{}
	if len(armedRanks) == 0 {
		return []Send{{holder, Go{step}}}
	}
	return disarm(ranks, armedRanks)
}

// unheld decides when ranks are armed and no step is held: another coordinator
// ended in between, or an order was carried out late.
func (swap *Swap) unheld(ranks []Rank, armedRanks []int) []Send {
	first := ranks[armedRanks[0]]
	if all(ranks, func(rank Rank) bool { return rank.Armed == first.Armed && rank.ArmedStep == first.ArmedStep }) {
		return nil
	}
	*swap = Swap{}
	step := first.ArmedStep
	for _, at := range armedRanks {
		step = min(step, ranks[at].ArmedStep)
	}
	return append([]Send{{0, Hold{step}}}, disarm(ranks, armedRanks)...)
}

// prepare has the experts copied, and then chooses the step.
func (swap *Swap) prepare(ranks []Rank, now clock.Millis) []Send {
	if now-swap.since > prepareLimit {
		*swap = Swap{}
		return nil
	}
	var sends []Send
	ready, step := true, uint64(0)
	for at, rank := range ranks {
		step = max(step, rank.Step)
		if rank.Prepared == swap.target {
			continue
		}
		ready = false
		if last, ok := swap.asked[at]; !ok || now-last > prepareAgain {
			swap.asked[at] = now
			sends = append(sends, Send{at, Prepare{swap.target}})
		}
	}
	if !ready {
		return sends
	}
	// A step chosen before was not held in time; nobody was armed for it.
	swap.step, swap.armedSince = step+lead, now
	return []Send{{0, Hold{swap.step}}}
}

func held(ranks []Rank) (int, uint64) {
	for at, rank := range ranks {
		if rank.Held != 0 {
			return at, rank.Held
		}
	}
	return 0, 0
}

func armed(ranks []Rank) []int {
	var list []int
	for at, rank := range ranks {
		if rank.Armed != 0 {
			list = append(list, at)
		}
	}
	return list
}

func disarm(ranks []Rank, armedRanks []int) []Send {
	sends := make([]Send, 0, len(armedRanks)+1)
	for _, at := range armedRanks {
		sends = append(sends, Send{at, Disarm{ranks[at].Armed}})
	}
	return sends
}

func all(ranks []Rank, holds func(Rank) bool) bool {
	for _, rank := range ranks {
		if !holds(rank) {
			return false
		}
	}
	return true
}
