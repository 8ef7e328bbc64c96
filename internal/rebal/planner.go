package rebal

import (
	"cmp"
	"math"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/internal/expert"
)

// Settings configures a Planner.
type Settings struct {
	// Start is the skew at or above which a layer is rebalanced, Stop the skew
	// at which rebalancing ends. The gap between them keeps noise from causing
	// changes.
	Start float64
	Stop  float64
	// MaxCopies bounds the experts copied for one layer in a stage.
	MaxCopies int
	// PerRank bounds the experts that are new to a rank in one layer; 0 for no
	// bound.
	PerRank int
	// PerRankAll bounds the experts that are new to a rank over all layers; 0
	// for no bound. A rank copies them one after the other, so this bounds the
	// duration of a stage.
	PerRankAll int
	// MinGain is the minimum reduction of skew per copied expert. It weighs the
	// time saved until the next plan against the passes slowed by copying.
	MinGain float64
	// Paces holds, for each rank, by how many times it is slower than usual; nil if
	// all are equally fast. The load of a rank counts multiplied by its pace.
	Paces []float64
}

// Default returns the settings of bench/expert and tests; package coord has its
// own. A layer is rebalanced when its busiest rank has 5% more load than the mean,
// until it has at most 3% more, with at most 12 copies per layer in a stage, each of
// which must reduce the skew by at least 0.001.
func Default() Settings {
	return Settings{Start: 1.05, Stop: 1.03, MaxCopies: 12, MinGain: 0.001}
}

// maxTargets is the number of ranks among which the target of a move is searched
// first. Without a bound, a plan for 129 ranks takes several times as long.
const maxTargets = 32

// Planner changes maps with a bounded number of copies at a time.
type Planner struct {
	settings Settings
}

// New returns a planner.
func New(settings Settings) *Planner {
	return &Planner{settings: settings}
}

// Plan returns the next map and whether it differs from the present one.
func (planner *Planner) Plan(plan expert.Map, loads Loads) (expert.Map, bool) {
	next := plan
	spent := make([]int, plan.Ranks())
	for _, layer := range bySkew(plan, loads, planner.settings.Paces) {
		if pacedSkew(plan, layer, loads[layer], planner.settings.Paces) < planner.settings.Start && !planner.isUnsettled(plan, layer) {
			continue
		}
		next = next.WithLayer(layer, planner.planLayer(next, layer, loads[layer], spent))
	}
	// A map that only takes replicas from slow ranks copies nothing.
	return next, next.Copies(plan) > 0 || plan.Copies(next) > 0
}

// bySkew returns the layers in order of falling skew, so that the bound over
// all layers is spent where it saves most.
func bySkew(plan expert.Map, loads Loads, paces []float64) []int {
	order, skews := make([]int, len(loads)), make([]float64, len(loads))
	for layer, load := range loads {
		order[layer], skews[layer] = layer, pacedSkew(plan, layer, load, paces)
	}
	slices.SortStableFunc(order, func(first, second int) int { return cmp.Compare(skews[second], skews[first]) })
	return order
}

// planLayer returns the slots of a layer after the best moves. It ends when the
// skew is low enough, the next move gains too little per copy, or MaxCopies is
// reached. It adds the experts that are new to each rank to spent.
func (planner *Planner) planLayer(plan expert.Map, layer int, load []float64, spent []int) []uint16 {
	work := newLayout(plan, layer, load, planner.settings.Paces)
	stop := planner.settings.Stop
	if hasIdleRank(plan, layer, planner.settings.Paces) {
		// A rank that was slow gets its share back even if the skew is low.
		stop = 1
	}
	work.setNewLimits(planner.settings, spent)
	copies := 0
	for copies < planner.settings.MaxCopies && work.skew() > stop {
		best := work.bestMove()
		if best.gain <= 0 || best.gain < float64(best.copies)*planner.settings.MinGain*work.meanLoad || copies+best.copies > planner.settings.MaxCopies {
			break
		}
		work.apply(best)
		copies += best.copies
	}
	for {
		next, ok := work.drainMove()
		if !ok {
			next, ok = work.fillMove()
		}
		if !ok || copies+next.copies > planner.settings.MaxCopies {
			break
		}
		work.apply(next)
		copies += next.copies
	}
	for rank := range spent {
		spent[rank] += work.newCounts[rank]
	}
	return work.slots
}

// layout is the working state of one layer while moves are applied.
type layout struct {
	slots []uint16
	// current holds the slots of the present map.
	current []uint16
	// newLimits is the maximum number of experts that may be new to each rank;
	// nil for no bound.
	newLimits []int

	slotsPerRank int
	load         []float64
	replicas     []int
	// rankLoads holds the loads of the ranks multiplied by their paces; meanLoad is
	// the mean without them.
	rankLoads []float64
	paces     []float64
	meanLoad  float64
	// isNew marks the slots whose expert is new to the rank; newCounts counts
	// them by rank.
	isNew     []bool
	newCounts []int
	// slotsOf lists the slots of each expert, ranksByLoad the ranks from the
	// busiest to the least busy.
	slotsOf     [][]int
	ranksByLoad []int
	// deltas holds the change in load of each rank by the move under
	// evaluation; isTouched and touched list the ranks that it changes.
	deltas    []float64
	isTouched []bool
	touched   []int
}

// moveKind is what a move does.
type moveKind int

const (
	// copyTo copies the expert of slot to other.
	copyTo moveKind = iota
	// exchange swaps the experts of the two slots.
	exchange
	// vacate copies the expert of slot to other and frees slot. It and drop take
	// experts from slow ranks only.
	vacate
	// drop frees slot; the expert has other replicas.
	drop
)

// move changes the expert of one slot or of two.
type move struct {
	slot, other int
	kind        moveKind
	copies      int
	gain        float64
}

func newLayout(plan expert.Map, layer int, load, paces []float64) *layout {
	work := &layout{
		slots: append([]uint16(nil), plan.Slots(layer)...), current: plan.Slots(layer), slotsPerRank: plan.SlotsPerRank(), load: load,
		replicas: countReplicas(plan, layer, len(load)), rankLoads: rankLoads(plan, layer, load), paces: paces,
	}
	work.slotsOf, work.ranksByLoad = make([][]int, len(load)), make([]int, len(work.rankLoads))
	work.isNew, work.newCounts = make([]bool, len(work.slots)), make([]int, len(work.rankLoads))
	work.deltas, work.isTouched = make([]float64, len(work.rankLoads)), make([]bool, len(work.rankLoads))
	for at, rank := range work.rankLoads {
		work.meanLoad += rank / float64(len(work.rankLoads))
		work.rankLoads[at] *= paceOf(paces, at)
		work.ranksByLoad[at] = at
	}
	work.index()
	return work
}

func (work *layout) rank(slot int) int { return slot / work.slotsPerRank }

func (work *layout) share(expertID uint16) float64 {
	if expertID == expert.Free {
		return 0
	}
	return work.load[expertID] / float64(work.replicas[expertID])
}

func (work *layout) busiestRank() int {
	busiest := 0
	for rank, load := range work.rankLoads {
		if load > work.rankLoads[busiest] {
			busiest = rank
		}
	}
	return busiest
}

func (work *layout) skew() float64 { return work.rankLoads[work.busiestRank()] / work.meanLoad }

// bestMove returns the move that reduces the load of the busiest rank the most
// per copy, without making another rank as busy.
func (work *layout) bestMove() move {
	busiest := work.busiestRank()
	var found move
	kinds := []move{{kind: copyTo, copies: 1}, {kind: exchange, copies: 2}}
	if paceOf(work.paces, busiest) > 1 {
		if dropped := work.bestDrop(busiest); dropped.gain > 0 {
			return dropped
		}
		kinds = append(kinds, move{kind: vacate, copies: 1})
	}
	if found = work.bestOf(kinds, busiest, work.leastBusy()); found.gain > 0 {
		return found
	}
	return work.bestOf(kinds, busiest, nil)
}

// leastBusy marks the ranks with the least load that may take another expert, at most
// maxTargets of them. It returns nil if there are no more ranks than that.
func (work *layout) leastBusy() []bool {
	if len(work.rankLoads) <= maxTargets {
		return nil
	}
	isTarget, count := make([]bool, len(work.rankLoads)), 0
	for _, rank := range slices.Backward(work.ranksByLoad) {
		if work.newLimits != nil && work.newCounts[rank] >= work.newLimits[rank] {
			continue
		}
		isTarget[rank] = true
		if count++; count == maxTargets {
			break
		}
	}
	return isTarget
}

// bestOf returns the best move from the busiest rank to the targets; nil stands for
// all ranks.
func (work *layout) bestOf(kinds []move, busiest int, isTarget []bool) move {
	found := move{}
	for slot := busiest * work.slotsPerRank; slot < (busiest+1)*work.slotsPerRank; slot++ {
		for other := range work.slots {
			if rank := work.rank(other); rank == busiest || isTarget != nil && !isTarget[rank] {
				continue
			}
			for _, candidate := range kinds {
				candidate.slot, candidate.other = slot, other
				candidate.gain = work.gain(busiest, candidate)
				if candidate.gain/float64(candidate.copies) > found.gain/float64(max(found.copies, 1)) {
					found = candidate
				}
			}
		}
	}
	return found
}

func (work *layout) gain(busiest int, candidate move) float64 {
	before := work.rankLoads[busiest]
	if !work.isAllowed(candidate) {
		return 0
	}
	from, into := work.slots[candidate.slot], work.slots[candidate.other]
	if candidate.kind == exchange {
		return work.exchangeGain(before, candidate, from, into)
	}
	if candidate.kind == vacate {
		return work.vacateGain(before, candidate, from, into)
	}
	return work.copyGain(before, candidate, from, into)
}

// isAllowed reports whether the expert of a slot may be placed in the other slot.
func (work *layout) isAllowed(candidate move) bool {
	from, into, rank := work.slots[candidate.slot], work.slots[candidate.other], work.rank(candidate.other)
	if from == into || from == expert.Free || isDrained(paceOf(work.paces, rank)) || work.hasReplica(rank, from) || !work.allowsNew(candidate.other, from) {
		return false
	}
	return candidate.kind == exchange || into == expert.Free || work.replicas[into] > 1
}

// setNewLimits bounds the experts that are new to each rank, less those that
// other layers already add.
func (work *layout) setNewLimits(settings Settings, spent []int) {
	if settings.PerRank == 0 && settings.PerRankAll == 0 {
		return
	}
	work.newLimits = make([]int, len(work.rankLoads))
	for rank := range work.newLimits {
		work.newLimits[rank] = work.slotsPerRank
		if settings.PerRank > 0 {
			work.newLimits[rank] = settings.PerRank
		}
		if settings.PerRankAll > 0 {
			work.newLimits[rank] = min(work.newLimits[rank], settings.PerRankAll-spent[rank])
		}
	}
}

// allowsNew reports whether an expert may be placed in a slot within the bound
// on experts that are new to the rank.
func (work *layout) allowsNew(slot int, expertID uint16) bool {
	if work.newLimits == nil {
		return true
	}
	rank := work.rank(slot)
	others := work.newCounts[rank]
	if work.isNew[slot] {
		others--
	}
	return others < work.newLimits[rank] || work.hasInCurrent(rank, expertID)
}

// hasInCurrent reports whether a rank holds an expert in the present map.
func (work *layout) hasInCurrent(rank int, expertID uint16) bool {
	return slices.Contains(work.current[rank*work.slotsPerRank:(rank+1)*work.slotsPerRank], expertID)
}

// place puts an expert into a slot and counts it if it is new to the rank.
func (work *layout) place(slot int, expertID uint16) {
	rank := work.rank(slot)
	if work.isNew[slot] {
		work.newCounts[rank]--
	}
	work.slots[slot] = expertID
	work.isNew[slot] = expertID != expert.Free && !work.hasInCurrent(rank, expertID)
	if work.isNew[slot] {
		work.newCounts[rank]++
	}
}

// hasReplica reports whether a rank already has a replica of an expert.
func (work *layout) hasReplica(rank int, expertID uint16) bool {
	for _, slot := range work.slotsOf[expertID] {
		if work.rank(slot) == rank {
			return true
		}
	}
	return false
}

func (work *layout) exchangeGain(before float64, candidate move, from, into uint16) float64 {
	if into == expert.Free || work.hasReplica(work.rank(candidate.slot), into) || !work.allowsNew(candidate.slot, into) {
		return 0
	}
	shift := work.share(from) - work.share(into)
	slot, other := work.rank(candidate.slot), work.rank(candidate.other)
	after := math.Max(before-shift*paceOf(work.paces, slot), work.rankLoads[other]+shift*paceOf(work.paces, other))
	return before - after
}

// copyGain returns the gain of one more replica of an expert. The tokens of the
// replica that it replaces go to the other slots of that expert.
func (work *layout) copyGain(before float64, candidate move, from, into uint16) float64 {
	more := work.load[from] / float64(work.replicas[from]+1)
	work.addExpertLoad(from, more-work.share(from))
	work.addRankLoad(work.rank(candidate.other), more-work.displace(into))
	return work.changedGain(before)
}

// vacateGain returns the gain when an expert moves to another rank. The tokens of the
// replica that it replaces go to the other slots of that expert.
func (work *layout) vacateGain(before float64, candidate move, from, into uint16) float64 {
	share := work.share(from)
	work.addRankLoad(work.rank(candidate.slot), -share)
	work.addRankLoad(work.rank(candidate.other), share-work.displace(into))
	return work.changedGain(before)
}

// displace spreads the tokens of a replica that is replaced over the other slots of
// its expert, including its own, and returns what each of them then has.
func (work *layout) displace(into uint16) float64 {
	if into == expert.Free {
		return 0
	}
	fewer := work.load[into] / float64(work.replicas[into]-1)
	work.addExpertLoad(into, fewer-work.share(into))
	return fewer
}

// changedGain returns by how much the evaluated changes reduce the load of the busiest
// rank, and discards them.
func (work *layout) changedGain(before float64) float64 {
	defer work.clearChanges()
	after := 0.0
	for _, rank := range work.touched {
		after = max(after, work.rankLoads[rank]+work.deltas[rank])
	}
	// Of the ranks that the move does not change, only the busiest one matters.
	for _, rank := range work.ranksByLoad {
		if !work.isTouched[rank] {
			return before - max(after, work.rankLoads[rank])
		}
	}
	return before - after
}

// addExpertLoad adds a change in load to every slot of an expert.
func (work *layout) addExpertLoad(expertID uint16, delta float64) {
	for _, slot := range work.slotsOf[expertID] {
		work.addRankLoad(work.rank(slot), delta)
	}
}

func (work *layout) addRankLoad(rank int, delta float64) {
	if !work.isTouched[rank] {
		work.isTouched[rank] = true
		work.touched = append(work.touched, rank)
	}
	work.deltas[rank] += delta * paceOf(work.paces, rank)
}

// clearChanges discards the evaluated changes.
func (work *layout) clearChanges() {
	for _, rank := range work.touched {
		work.deltas[rank], work.isTouched[rank] = 0, false
	}
	work.touched = work.touched[:0]
}

// index updates the slots of each expert and the order of the ranks.
func (work *layout) index() {
	for expertID := range work.slotsOf {
		work.slotsOf[expertID] = work.slotsOf[expertID][:0]
	}
	for slot, expertID := range work.slots {
		if expertID != expert.Free {
			work.slotsOf[expertID] = append(work.slotsOf[expertID], slot)
		}
	}
	slices.SortFunc(work.ranksByLoad, func(first, second int) int { return cmp.Compare(work.rankLoads[second], work.rankLoads[first]) })
}

func (work *layout) apply(chosen move) {
	from, into := work.slots[chosen.slot], work.slots[chosen.other]
	switch chosen.kind {
	case drop:
		work.place(chosen.slot, expert.Free)
		work.replicas[from]--
	case exchange:
		work.place(chosen.other, from)
		work.place(chosen.slot, into)
	case copyTo, vacate:
		work.place(chosen.other, from)
		if chosen.kind == vacate {
			work.place(chosen.slot, expert.Free)
		} else {
			work.replicas[from]++
		}
		if into != expert.Free {
			work.replicas[into]--
		}
	}
	clear(work.rankLoads)
	for slot, expertID := range work.slots {
		rank := work.rank(slot)
		work.rankLoads[rank] += work.share(expertID) * paceOf(work.paces, rank)
	}
	work.index()
}
