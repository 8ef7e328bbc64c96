package rebal

import (
	"math"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/internal/expert"
)

// drainPace is the pace from which a rank loses all experts that others can hold. It
// would carry less than a third of the load of another rank, and an expert on it that
// becomes popular would slow the whole group.
const drainPace = 3

// isUnsettled reports whether a layer is planned even if its skew is low.
func (planner *Planner) isUnsettled(plan expert.Map, layer int) bool {
	return unsettled(plan, layer, planner.settings.Paces) > 0
}

// Unsettled returns how many experts ranks hold that are too slow to hold any, plus
// the number of ranks that are not slow and hold none in a layer, over all layers.
func Unsettled(plan expert.Map, paces []float64) int {
	count := 0
	for layer := range plan.Layers() {
		count += unsettled(plan, layer, paces)
	}
	return count
}

func unsettled(plan expert.Map, layer int, paces []float64) int {
	count := 0
	for rank, pace := range paces {
		switch held := heldExperts(plan, layer, rank); {
		case isDrained(pace):
			count += held
		case isFast(pace) && held == 0:
			count++
		}
	}
	return count
}

func heldExperts(plan expert.Map, layer, rank int) int {
	count, size := 0, plan.SlotsPerRank()
	for _, expertID := range plan.Slots(layer)[rank*size : (rank+1)*size] {
		if expertID != expert.Free {
			count++
		}
	}
	return count
}

// hasIdleRank reports whether a rank that is not slow holds no expert of a layer.
func hasIdleRank(plan expert.Map, layer int, paces []float64) bool {
	for rank, pace := range paces {
		if isFast(pace) && heldExperts(plan, layer, rank) == 0 {
			return true
		}
	}
	return false
}

func isDrained(pace float64) bool { return pace >= drainPace }

func isFast(pace float64) bool { return pace <= 1 }

// bestDrop returns the move that frees a slot of a slow rank and gains most. If none of
// its experts has another replica, the move returned is not of kind drop.
func (work *layout) bestDrop(rank int) move {
	found := move{gain: math.Inf(-1)}
	for slot := rank * work.slotsPerRank; slot < (rank+1)*work.slotsPerRank; slot++ {
		expertID := work.slots[slot]
		if expertID == expert.Free || work.replicas[expertID] < 2 {
			continue
		}
		fewer := work.load[expertID] / float64(work.replicas[expertID]-1)
		work.addExpertLoad(expertID, fewer-work.share(expertID))
		work.addRankLoad(rank, -fewer)
		if gain := work.changedGain(work.rankLoads[work.busiestRank()]); gain > found.gain {
			found = move{slot: slot, other: slot, kind: drop, gain: gain}
		}
	}
	return found
}

// drainMove returns the move that takes an expert from a drained rank with the lowest
// load of the busiest rank after it. It reports false if no other rank can hold the
// expert. That load may rise: later moves and stages even it out, as no expert comes
// to a drained rank.
func (work *layout) drainMove() (move, bool) {
	busiest := work.busiestRank()
	found, ok := move{}, false
	consider := func(candidate move) {
		if !ok || candidate.gain > found.gain {
			found, ok = candidate, true
		}
	}
	for rank, pace := range work.paces {
		if !isDrained(pace) {
			continue
		}
		if dropped := work.bestDrop(rank); dropped.kind == drop {
			consider(dropped)
			continue
		}
		for slot := rank * work.slotsPerRank; slot < (rank+1)*work.slotsPerRank; slot++ {
			for other := range work.slots {
				if candidate := (move{slot: slot, other: other, kind: vacate, copies: 1}); work.isAllowed(candidate) {
					candidate.gain = work.gain(busiest, candidate)
					consider(candidate)
				}
			}
		}
	}
	return found, ok
}

// fillMove returns the copy to a rank that is fast again and holds no expert which
// leaves the lowest load of the busiest rank, the most popular expert first. It reports
// false if there is no such rank.
func (work *layout) fillMove() (move, bool) {
	busiest := work.busiestRank()
	found, ok := move{}, false
	for rank, pace := range work.paces {
		first := rank * work.slotsPerRank
		held := work.slots[first : first+work.slotsPerRank]
		if !isFast(pace) || slices.ContainsFunc(held, func(expertID uint16) bool { return expertID != expert.Free }) {
			continue
		}
		for slot := range work.slots {
			candidate := move{slot: slot, other: first, kind: copyTo, copies: 1}
			if !work.isAllowed(candidate) {
				continue
			}
			candidate.gain = work.gain(busiest, candidate)
			isBetter := candidate.gain > found.gain || candidate.gain == found.gain && work.share(work.slots[slot]) > work.share(work.slots[found.slot])
			if !ok || isBetter {
				found, ok = candidate, true
			}
		}
	}
	return found, ok
}
