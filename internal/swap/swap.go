// Package swap plans the orders that switch a group of ranks to another expert
// map: prepare, hold, arm, release and disarm. It performs no I/O and reads no
// clock. A step is the number of a pass of the group over its batch.
//
// A hold stops the group before the step of the switch, so that no rank begins
// that step until either all ranks or none are confirmed to be armed. Each
// attempt uses a new, odd map version, so that a delayed order of an earlier
// attempt names a version or step that no longer matches. Before the group
// resumes after an aborted attempt, every rank prepares the map in use under an
// even version; this fences off the attempt, as ranks then refuse delayed orders
// to arm.
package swap

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

const (
	// stepLead is the distance from the latest reported step to the step of the
	// switch. Without faults all orders arrive within that time and the hold
	// does not delay the group.
	stepLead = 2
	// shortStepLead replaces stepLead while passes are long: an earlier switch
	// then saves more time than a short wait in the hold costs.
	shortStepLead = 1
	// longPassTime is the mean duration of a pass above which passes are long.
	// Without faults, all orders of an attempt take a third of it.
	longPassTime = 100 * clock.Millis(1)
	// firstVersion is the first map version of an epoch. No switch precedes it.
	firstVersion = 1
	// firstStepLead replaces stepLead in the first switch of a new coordinator,
	// so that the step is beyond the last one that its predecessor chose.
	firstStepLead = 6
	// holdRank is the rank whose hold stops the whole group.
	holdRank = 0
	// prepareRetry is the time after which the prepare order is repeated to a
	// rank that has not copied its experts. It is longer than a copy normally
	// takes: at most about a second, and less in the small stages of package coord.
	prepareRetry = 1500 * clock.Millis(1)
	// prepareTimeout is the maximum time for copying experts in one attempt.
	prepareTimeout = 10 * clock.Second
	// armTimeout is the maximum time for arming all ranks, during which the hold
	// may stop the group.
	armTimeout = clock.Second
	// lateOrderLimit is the time after which an unanswered order can no longer
	// take effect; engines carry out orders up to 12 s late.
	lateOrderLimit = 13 * clock.Second
)

// Rank is the current state of a rank as reported by its engine.
type Rank struct {
	// Epoch is the epoch of the group. Step is the number of the last pass that
	// was begun. Sequence is the number of orders that the engine has accepted.
	Epoch, Step, Sequence uint64
	// Map is the version in use, Prepared the version whose experts are fully
	// copied, or 0 for none.
	Map, Prepared uint64
	// Armed is the version to which the rank switches at the start of step
	// ArmedStep; 0 for none.
	Armed, ArmedStep uint64
	// Held is the step that the rank must not begin; 0 for none.
	Held uint64
}

// Order is one of Prepare, Arm, Disarm, Hold and Release.
type Order interface{ order() }

type (
	// Prepare tells the rank to copy the experts of a map: the target map or, with
	// Fence, the map in use, to invalidate the orders of an earlier attempt.
	Prepare struct {
		Version uint64
		Fence   bool
	}
	// Arm tells the rank to switch to a prepared map at the start of a step.
	Arm struct{ Version, Step uint64 }
	// Disarm cancels an Arm.
	Disarm struct{ Version uint64 }
	// Hold stops the group before a step.
	Hold struct{ Step uint64 }
	// Release ends a hold.
	Release struct{ Step uint64 }
)

func (Prepare) order() {}
func (Arm) order()     {}
func (Disarm) order()  {}
func (Hold) order()    {}
func (Release) order() {}

// Send is an order addressed to a rank.
type Send struct {
	Rank  int
	Order Order
}

// Swap is the state machine that switches one group. The zero value is idle.
type Swap struct {
	// target is the version to switch to; 0 for none.
	target uint64
	epoch  uint64
	// startedAt is when the attempt began.
	startedAt clock.Millis
	// prepareSentAt is when each rank was last ordered to prepare.
	prepareSentAt map[int]clock.Millis
	// step is the step of the switch, the first one with the new map, once it is
	// chosen, at stepChosenAt.
	step         uint64
	stepChosenAt clock.Millis
	// arming is set once any rank was ordered to arm for the step.
	arming bool
	// released is the highest step whose hold was ended.
	released uint64
	// abortedAt is when an attempt was aborted whose hold still stands; 0 for
	// none.
	abortedAt clock.Millis
	// lastStep is the highest Step of a rank, first read at lastStepAt, and
	// passTime the mean duration of the passes since the step that was lastStep
	// before.
	lastStep             uint64
	lastStepAt, passTime clock.Millis
}

// Busy reports whether a switch is in progress.
func (swap *Swap) Busy() bool { return swap.target != 0 }

// Start begins the switch to a version, which must be higher than all earlier
// ones.
func (swap *Swap) Start(version, epoch uint64, now clock.Millis) {
	*swap = Swap{target: version, epoch: epoch, startedAt: now, prepareSentAt: map[int]clock.Millis{}, released: swap.released,
		lastStep: swap.lastStep, lastStepAt: swap.lastStepAt, passTime: swap.passTime}
}

// end ends the attempt, successful or not. Its version is not used again.
func (swap *Swap) end() {
	*swap = Swap{
		epoch: swap.epoch, released: swap.released, abortedAt: swap.abortedAt, lastStep: swap.lastStep, lastStepAt: swap.lastStepAt,
		passTime: swap.passTime,
	}
}

// measurePasses updates the duration of a pass from the progress of the steps.
func (swap *Swap) measurePasses(ranks []Rank, now clock.Millis) {
	newest := uint64(0)
	for _, rank := range ranks {
		newest = max(newest, rank.Step)
	}
	if newest == swap.lastStep {
		return
	}
	if newest > swap.lastStep && swap.lastStep > 0 {
		swap.passTime = (now - swap.lastStepAt) / clock.Millis(newest-swap.lastStep)
	}
	swap.lastStep, swap.lastStepAt = newest, now
}

// release returns the order that ends a hold and records its step.
func (swap *Swap) release(rank int, step uint64) Send {
	swap.abortedAt = 0
	swap.released = max(swap.released, step)
	return Send{rank, Release{step}}
}

// chooseStep returns the step of the next switch. A step whose hold was ended
// is not used again, because a delayed Release for it would end the new hold too. A
// coordinator that has ended no hold does not know which ones its predecessor
// ended, and chooses a later step.
func (swap *Swap) chooseStep(newest uint64) uint64 {
	switch {
	case swap.released == 0 && swap.target > firstVersion:
		return newest + firstStepLead
	case swap.passTime > longPassTime:
		return max(newest+shortStepLead, swap.released+1)
	}
	return max(newest+stepLead, swap.released+1)
}

// NotDone records that a rank did not answer an order or did not carry it out, so
// that Next repeats a prepare order without waiting for prepareRetry.
func (swap *Swap) NotDone(rank int) { delete(swap.prepareSentAt, rank) }

// HighestVersion returns the highest version in the state of any rank.
func HighestVersion(ranks []Rank) uint64 {
	highest := uint64(0)
	for _, rank := range ranks {
		highest = max(highest, rank.Map, rank.Prepared, rank.Armed)
	}
	return highest
}

// NextVersion returns the version for the next switch, the next odd number.
func NextVersion(ranks []Rank) uint64 { return (HighestVersion(ranks) + 1) | 1 }

// fenceOrders returns the orders after which no rank can be armed for an
// earlier attempt.
func fenceOrders(ranks []Rank) []Send {
	version := (HighestVersion(ranks) + 2) &^ 1
	var sends []Send
	for at, rank := range ranks {
		if rank.Prepared > rank.Map && rank.Prepared%2 == 1 {
			sends = append(sends, Send{at, Prepare{Version: version, Fence: true}})
		}
	}
	return sends
}

// Uniform reports whether all ranks are in the same epoch and use the same map.
func Uniform(ranks []Rank) bool {
	for _, rank := range ranks {
		if rank.Epoch != ranks[0].Epoch || rank.Map != ranks[0].Map {
			return false
		}
	}
	return true
}

// Next returns the orders to send now, given the current state of every rank.
func (swap *Swap) Next(ranks []Rank, now clock.Millis) []Send {
	if len(ranks) == 0 || !Uniform(ranks) {
		return nil
	}
	if ranks[0].Epoch != swap.epoch {
		// Step numbers restart in a new epoch, and ranks refuse orders of an old one.
		*swap = Swap{epoch: ranks[0].Epoch}
	}
	if swap.Busy() && ranks[0].Map == swap.target {
		swap.end()
	}
	swap.measurePasses(ranks, now)
	if holder, step := heldStep(ranks); step != 0 {
		return swap.withHold(ranks, holder, step, now)
	}
	if armedRanks := armedRanksOf(ranks); len(armedRanks) > 0 {
		return swap.withoutHold(ranks, armedRanks)
	}
	if !swap.Busy() {
		return nil
	}
	return swap.prepareAndHold(ranks, now)
}

// withHold returns the orders while a step is held: the hold ends when either
// all ranks or none are armed for it.
func (swap *Swap) withHold(ranks []Rank, holder int, step uint64, now clock.Millis) []Send {
	armedRanks := armedRanksOf(ranks)
	version := uint64(0)
	if len(armedRanks) > 0 {
		version = ranks[armedRanks[0]].Armed
	}
	if version != 0 && all(ranks, func(rank Rank) bool { return rank.Armed == version && rank.ArmedStep == step }) {
		return []Send{swap.release(holder, step)}
	}
	if swap.Busy() && swap.step == step && now-swap.stepChosenAt <= armTimeout {
		var sends []Send
		for at, rank := range ranks {
			if rank.Armed != swap.target {
				swap.arming = true
				sends = append(sends, Send{at, Arm{swap.target, step}})
			}
		}
		return sends
	}
	// Fencing is needed only if an arm order may still be on its way.
	mayBeArming := swap.step != step || swap.arming
	swap.end()
	if len(armedRanks) > 0 {
		return disarm(ranks, armedRanks)
	}
	if swap.abortedAt == 0 {
		swap.abortedAt = now
	}
	// The hold ends after lateOrderLimit even when ranks refuse the fencing order.
	if sends := fenceOrders(ranks); len(sends) > 0 && mayBeArming && now-swap.abortedAt <= lateOrderLimit {
		return sends
	}
	return []Send{swap.release(holder, step)}
}

// withoutHold returns the orders when ranks are armed and no step is held,
// because another coordinator ended meanwhile or an order was carried out late.
func (swap *Swap) withoutHold(ranks []Rank, armedRanks []int) []Send {
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

// prepareAndHold lets the ranks copy the experts and then chooses the step and
// holds it.
func (swap *Swap) prepareAndHold(ranks []Rank, now clock.Millis) []Send {
	if now-swap.startedAt > prepareTimeout {
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
		if last, ok := swap.prepareSentAt[at]; !ok || now-last > prepareRetry {
			swap.prepareSentAt[at] = now
			sends = append(sends, Send{at, Prepare{Version: swap.target}})
		}
	}
	if !ready {
		return sends
	}
	// A step chosen earlier began before the hold arrived; no rank was armed for it.
	swap.step, swap.stepChosenAt, swap.arming = swap.chooseStep(step), now, false
	return []Send{{holdRank, Hold{swap.step}}}
}

// Holds reports whether a hold of this switch may be stopping the group.
func (swap *Swap) Holds() bool { return swap.step != 0 }

// ForceRelease returns the order that ends a hold of this switch when some
// ranks cannot be read through their agents; the states of those may be old. If
// no rank was ordered to arm, none can switch at the step, whichever orders are
// still on their way. Otherwise every rank must be reported as armed; an old
// report suffices, since only this coordinator disarms ranks.
func (swap *Swap) ForceRelease(ranks []Rank) (Send, bool) {
	step := swap.step
	switch {
	case step == 0:
		return Send{}, false
	case !swap.arming:
		// The attempt ends here, even if the Release is carried out late.
		swap.target = 0
	case !all(ranks, func(rank Rank) bool {
		return rank.Epoch == swap.epoch && rank.Armed == swap.target && rank.ArmedStep == step
	}):
		return Send{}, false
	}
	return swap.release(holdRank, step), true
}

// Released records that the order from ForceRelease ended the hold.
func (swap *Swap) Released() { swap.step = 0 }

func heldStep(ranks []Rank) (int, uint64) {
	for at, rank := range ranks {
		if rank.Held != 0 {
			return at, rank.Held
		}
	}
	return 0, 0
}

func armedRanksOf(ranks []Rank) []int {
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

func all(ranks []Rank, matches func(Rank) bool) bool {
	for _, rank := range ranks {
		if !matches(rank) {
			return false
		}
	}
	return true
}
