// Package swap brings a group of ranks from one expert map to the next with the
// orders that their engines take: prepare, hold, arm, go and disarm. It is pure.
//
// A hold stops the group before the step of the switch, so that no rank begins
// it before every rank is known to be armed, or known not to be. A map version
// is used for one try only: an order of an earlier try that is carried out late
// then names a version or a step that no longer fits. Switches use odd versions.
// A try that is given up is voided before the group goes on: every rank prepares
// the map in use under an even version, and refuses late orders to arm.
package swap

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

const (
	// lead is how many steps after the last one known the switch happens. It
	// covers the orders of a calm try, so that the hold stops nobody.
	lead = 2
	// shortLead is that while passes are long: the better map matters more than
	// the moment for which the hold may stop the group.
	shortLead = 1
	// longPass is three times as long as the orders of a calm try take.
	longPass = 100 * clock.Millis(1)
	// firstVersion is the first one of an epoch; nobody switched before it.
	firstVersion = 1
	// firstLead is that of a new coordinator's first switch, beyond the steps of
	// its predecessor's last one.
	firstLead = 6
	// holdRank is the rank that holds the step for the group.
	holdRank = 0
	// prepareAgain is when a rank that has not copied its experts is ordered
	// again; copies take about a second.
	prepareAgain = 1500 * clock.Millis(1)
	// prepareLimit ends a try whose experts were not copied.
	prepareLimit = 10 * clock.Second
	// armLimit ends a try in which a rank could not be armed. The group may be
	// stopped meanwhile.
	armLimit = clock.Second
	// lateLimit is after which an order that got no answer is not carried out any
	// more; engines are up to 12 s late.
	lateLimit = 13 * clock.Second
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
	// Prepare has the rank copy the experts of a map: the one wanted or, where
	// Void is set, the one in use.
	Prepare struct {
		Version uint64
		Void    bool
	}
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
	// arming is set once a rank was ordered to arm for the step.
	arming bool
	// released is the highest step for which a hold was ended.
	released uint64
	// givenUp is when the try was given up whose hold still stands; 0 for none.
	givenUp clock.Millis
	// newest is the last step seen, seen when that was, and pass how long the
	// latest passes took.
	newest     uint64
	seen, pass clock.Millis
}

// Busy tells whether a map is on its way.
func (swap *Swap) Busy() bool { return swap.target != 0 }

// Want begins the switch to a version, which must be higher than all before.
func (swap *Swap) Want(version, epoch uint64, now clock.Millis) {
	*swap = Swap{target: version, epoch: epoch, since: now, asked: map[int]clock.Millis{}, released: swap.released,
		newest: swap.newest, seen: swap.seen, pass: swap.pass}
}

// end gives the try up. Its version is not used again.
func (swap *Swap) end() {
	*swap = Swap{
		epoch: swap.epoch, released: swap.released, givenUp: swap.givenUp, newest: swap.newest, seen: swap.seen, pass: swap.pass,
	}
}

// watch measures the passes.
func (swap *Swap) watch(ranks []Rank, now clock.Millis) {
	newest := uint64(0)
	for _, rank := range ranks {
		newest = max(newest, rank.Step)
	}
	if newest == swap.newest {
		return
	}
	if newest > swap.newest && swap.newest > 0 {
		swap.pass = (now - swap.seen) / clock.Millis(newest-swap.newest)
	}
	swap.newest, swap.seen = newest, now
}

// release returns the order that ends a hold.
func (swap *Swap) release(rank int, step uint64) Send {
	swap.givenUp = 0
	swap.released = max(swap.released, step)
	return Send{rank, Go{step}}
}

// choose returns the step of the next switch. It is none for which a hold was
// ended: that order may be carried out late, and would end the next hold too. A
// coordinator that has ended none does not know what its predecessor ended.
func (swap *Swap) choose(newest uint64) uint64 {
	switch {
	case swap.released == 0 && swap.target > firstVersion:
		return newest + firstLead
	case swap.pass > longPass:
		return max(newest+shortLead, swap.released+1)
	}
	return max(newest+lead, swap.released+1)
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

// Version returns the version for the next switch.
func Version(ranks []Rank) uint64 { return (Newest(ranks) + 1) | 1 }

// void returns the orders after which no rank can be armed for an earlier try.
func void(ranks []Rank) []Send {
	version := (Newest(ranks) + 2) &^ 1
	var sends []Send
	for at, rank := range ranks {
		if rank.Prepared > rank.Map && rank.Prepared%2 == 1 {
			sends = append(sends, Send{at, Prepare{Version: version, Void: true}})
		}
	}
	return sends
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
	if ranks[0].Epoch != swap.epoch {
		// Steps begin anew, and orders of another epoch are refused.
		*swap = Swap{epoch: ranks[0].Epoch}
	}
	if swap.Busy() && ranks[0].Map == swap.target {
		swap.end()
	}
	swap.watch(ranks, now)
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
		return []Send{swap.release(holder, step)}
	}
	if swap.Busy() && swap.step == step && now-swap.armedSince <= armLimit {
		var sends []Send
		for at, rank := range ranks {
			if rank.Armed != swap.target {
				swap.arming = true
				sends = append(sends, Send{at, Arm{swap.target, step}})
			}
		}
		return sends
	}
	// Without an order to arm nothing can come late.
	isArming := swap.step != step || swap.arming
	swap.end()
	if len(armedRanks) > 0 {
		return disarm(ranks, armedRanks)
	}
	if swap.givenUp == 0 {
		swap.givenUp = now
	}
	// A group whose ranks refuse to be voided is not stopped for good.
	if sends := void(ranks); len(sends) > 0 && isArming && now-swap.givenUp <= lateLimit {
		return sends
	}
	return []Send{swap.release(holder, step)}
}

// unheld decides when ranks are armed and no step is held: another coordinator
// ended in between, or an order was carried out late.
func (swap *Swap) unheld(ranks []Rank, armedRanks []int) []Send {
	first := ranks[armedRanks[0]]
	if all(ranks, func(rank Rank) bool { return rank.Armed == first.Armed && rank.ArmedStep == first.ArmedStep }) {
		return nil
	}
	swap.end()
	step := first.ArmedStep
	for _, at := range armedRanks {
		step = min(step, ranks[at].ArmedStep)
	}
	return append([]Send{{holdRank, Hold{step}}}, disarm(ranks, armedRanks)...)
}

// prepare has the experts copied, and then chooses the step.
func (swap *Swap) prepare(ranks []Rank, now clock.Millis) []Send {
	if now-swap.since > prepareLimit {
		swap.end()
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
			sends = append(sends, Send{at, Prepare{Version: swap.target}})
		}
	}
	if !ready {
		return sends
	}
	// A step chosen before was not held in time; nobody was armed for it.
	swap.step, swap.armedSince, swap.arming = swap.choose(step), now, false
	return []Send{{holdRank, Hold{swap.step}}}
}

// Holds tells whether the group may be stopped by a hold of this switch.
func (swap *Swap) Holds() bool { return swap.step != 0 }

// Rescue returns the order that ends a hold of this switch when some ranks
// cannot be read through their agents; the states of those may be old. Without
// an order to arm, no rank can switch at the step, whatever is still under way.
// Once ranks were told to arm, all of them must be seen armed, which an old
// state shows as well as a new one: nobody else takes it back.
func (swap *Swap) Rescue(ranks []Rank) (Send, bool) {
	step := swap.step
	switch {
	case step == 0:
		return Send{}, false
	case !swap.arming:
		// The try ends here, also when the order is carried out late.
		swap.target = 0
	case !all(ranks, func(rank Rank) bool {
		return rank.Epoch == swap.epoch && rank.Armed == swap.target && rank.ArmedStep == step
	}):
		return Send{}, false
	}
	return swap.release(holdRank, step), true
}

// Released tells that the hold was ended by the order of Rescue.
func (swap *Swap) Released() { swap.step = 0 }

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
