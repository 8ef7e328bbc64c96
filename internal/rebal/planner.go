package rebal

import (
	"cmp"
	"math"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/internal/expert"
)

// Settings of a planner.
type Settings struct {
	// Start is the skew of a layer above which it is rebalanced, Stop the one
	// at which that ends. The distance between them holds back under noise.
	Start float64
	Stop  float64
	// MaxCopies bounds the experts copied for one layer at a time.
	MaxCopies int
	// PerRank bounds the experts that are new to a rank in one layer; 0 for no bound.
	PerRank int
	// PerRankAll bounds them over all layers; 0 for no bound. A rank copies them
	// one after the other, so this bounds how long a stage takes.
	PerRankAll int
	// MinGain is the skew that one copied expert has to save: the time saved
	// until the next plan against the steps slowed by copying.
	MinGain float64
}

// Default returns the settings that the decision record gives the reasons for.
func Default() Settings {
	return Settings{Start: 1.05, Stop: 1.03, MaxCopies: 12, MinGain: 0.001}
}

// Planner changes maps by few copies at a time.
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
	for _, layer := range worstFirst(plan, loads) {
		if Skew(plan, layer, loads[layer]) < planner.settings.Start {
			break
		}
		next = next.WithLayer(layer, planner.layer(next, layer, loads[layer], spent))
	}
	return next, next.Copies(plan) > 0
}

// worstFirst orders the layers by skew, so that the bound over all layers is
// used where it saves most.
func worstFirst(plan expert.Map, loads Loads) []int {
	order, skews := make([]int, len(loads)), make([]float64, len(loads))
	for layer, load := range loads {
		order[layer], skews[layer] = layer, Skew(plan, layer, load)
	}
	slices.SortStableFunc(order, func(first, second int) int { return cmp.Compare(skews[second], skews[first]) })
	return order
}

// layer improves one layer until it is good enough, a copy saves too little,
// or the copies are used up.
func (planner *Planner) layer(plan expert.Map, layer int, load []float64, spent []int) []uint16 {
	work := newLayout(plan, layer, load)
	work.limit(planner.settings, spent)
	copies := 0
	for copies < planner.settings.MaxCopies && work.skew() > planner.settings.Stop {
		best := work.best()
		if best.copies == 0 || best.gain/float64(best.copies) < planner.settings.MinGain*work.mean || copies+best.copies > planner.settings.MaxCopies {
			break
		}
		work.do(best)
		copies += best.copies
	}
	for rank := range spent {
		spent[rank] += work.news[rank]
	}
	return work.slots
}

// layout is one layer with its loads while it is being changed.
type layout struct {
	slots []uint16
	// before holds the slots as they are now; perRankNew bounds what a rank may
	// hold beyond them, unless it is 0.
	before []uint16
	// room is how many experts may be new to each rank; nil for no bound.
	room []int

	perRank  int
	load     []float64
	replicas []int
	ranks    []float64
	mean     float64
	// isNew marks the slots whose expert is new to the rank, news counts them.
	isNew []bool
	news  []int
	// where lists the slots of each expert, busiest the ranks by their load.
	where   [][]int
	busiest []int
	// deltas, isTouched and touched hold what a move that is tried would change.
	deltas    []float64
	isTouched []bool
	touched   []int
}

// move puts experts into slots: one replica in place of another, or an
// exchange of two.
type move struct {
	slot, other int
	// exchange swaps the experts of the two slots; otherwise the expert of slot
	// is copied to other.
	exchange bool
	copies   int
	gain     float64
}

func newLayout(plan expert.Map, layer int, load []float64) *layout {
	work := &layout{
		slots: append([]uint16(nil), plan.Slots(layer)...), before: plan.Slots(layer), perRank: plan.SlotsPerRank(), load: load,
		replicas: counts(plan, layer, len(load)), ranks: rankLoads(plan, layer, load),
	}
	work.where, work.busiest = make([][]int, len(load)), make([]int, len(work.ranks))
	work.isNew, work.news = make([]bool, len(work.slots)), make([]int, len(work.ranks))
	work.deltas, work.isTouched = make([]float64, len(work.ranks)), make([]bool, len(work.ranks))
	for at, rank := range work.ranks {
		work.mean += rank / float64(len(work.ranks))
		work.busiest[at] = at
	}
	work.index()
	return work
}

func (work *layout) rank(slot int) int { return slot / work.perRank }

func (work *layout) share(held uint16) float64 {
	if held == expert.Free {
		return 0
	}
	return work.load[held] / float64(work.replicas[held])
}

func (work *layout) hottest() int {
	hot := 0
	for rank, load := range work.ranks {
		if load > work.ranks[hot] {
			hot = rank
		}
	}
	return hot
}

func (work *layout) skew() float64 { return work.ranks[work.hottest()] / work.mean }

// best returns the move that takes the most from the busiest rank for each copy
// without making another rank as busy.
func (work *layout) best() move {
	hot := work.hottest()
	found := move{}
	for slot := hot * work.perRank; slot < (hot+1)*work.perRank; slot++ {
		for other := range work.slots {
			if work.rank(other) == hot {
				continue
			}
			for _, candidate := range []move{{slot: slot, other: other, copies: 1}, {slot: slot, other: other, exchange: true, copies: 2}} {
				candidate.gain = work.gain(hot, candidate)
				if candidate.gain/float64(candidate.copies) > found.gain/float64(max(found.copies, 1)) {
					found = candidate
				}
			}
		}
	}
	return found
}

func (work *layout) gain(hot int, tried move) float64 {
	before := work.ranks[hot]
	from, into := work.slots[tried.slot], work.slots[tried.other]
	if from == into || from == expert.Free || work.holds(work.rank(tried.other), from) || !work.fits(tried.other, from) {
		return 0
	}
	if tried.exchange {
		return work.exchangeGain(before, tried, from, into)
	}
	if into != expert.Free && work.replicas[into] < 2 {
		return 0
	}
	return work.copyGain(before, tried, from, into)
}

// limit bounds the experts that are new to each rank, given those that other
// layers bring.
func (work *layout) limit(settings Settings, spent []int) {
	if settings.PerRank == 0 && settings.PerRankAll == 0 {
		return
	}
	work.room = make([]int, len(work.ranks))
	for rank := range work.room {
		work.room[rank] = work.perRank
		if settings.PerRank > 0 {
			work.room[rank] = settings.PerRank
		}
		if settings.PerRankAll > 0 {
			work.room[rank] = min(work.room[rank], settings.PerRankAll-spent[rank])
		}
	}
}

// fits tells whether an expert may come into a slot within the bound on experts
// that are new to the rank.
func (work *layout) fits(slot int, held uint16) bool {
	if work.room == nil {
		return true
	}
	rank := work.rank(slot)
	others := work.news[rank]
	if work.isNew[slot] {
		others--
	}
	return others < work.room[rank] || work.had(rank, held)
}

// had tells whether a rank holds an expert in the map before.
func (work *layout) had(rank int, held uint16) bool {
	return slices.Contains(work.before[rank*work.perRank:(rank+1)*work.perRank], held)
}

// put places an expert and counts it if it is new to the rank.
func (work *layout) put(slot int, held uint16) {
	rank := work.rank(slot)
	if work.isNew[slot] {
		work.news[rank]--
	}
	work.slots[slot] = held
	work.isNew[slot] = held != expert.Free && !work.had(rank, held)
	if work.isNew[slot] {
		work.news[rank]++
	}
}

// holds tells whether a rank has a replica of an expert already.
func (work *layout) holds(rank int, held uint16) bool {
	for _, slot := range work.where[held] {
		if work.rank(slot) == rank {
			return true
		}
	}
	return false
}

func (work *layout) exchangeGain(before float64, tried move, from, into uint16) float64 {
	if into == expert.Free || work.holds(work.rank(tried.slot), into) || !work.fits(tried.slot, into) {
		return 0
	}
	shift := work.share(from) - work.share(into)
	after := math.Max(before-shift, work.ranks[work.rank(tried.other)]+shift)
	return before - after
}

// copyGain is what one more replica of an expert saves; the replica that it
// replaces sends its tokens to the expert's other slots.
func (work *layout) copyGain(before float64, tried move, from, into uint16) float64 {
	defer work.restore()
	more := work.load[from] / float64(work.replicas[from]+1)
	work.shift(from, more-work.share(from))
	fewer := 0.0
	if into != expert.Free {
		fewer = work.load[into] / float64(work.replicas[into]-1)
		work.shift(into, fewer-work.share(into))
	}
	work.change(work.rank(tried.other), more-fewer)
	after := 0.0
	for _, rank := range work.touched {
		after = max(after, work.ranks[rank]+work.deltas[rank])
	}
	// Of the ranks whose load stays as it is, the busiest one counts.
	for _, rank := range work.busiest {
		if !work.isTouched[rank] {
			return before - max(after, work.ranks[rank])
		}
	}
	return before - after
}

// shift changes the load of every rank that holds an expert, slot by slot.
func (work *layout) shift(held uint16, delta float64) {
	for _, slot := range work.where[held] {
		work.change(work.rank(slot), delta)
	}
}

func (work *layout) change(rank int, delta float64) {
	if !work.isTouched[rank] {
		work.isTouched[rank] = true
		work.touched = append(work.touched, rank)
	}
	work.deltas[rank] += delta
}

// restore takes all changes back.
func (work *layout) restore() {
	for _, rank := range work.touched {
		work.deltas[rank], work.isTouched[rank] = 0, false
	}
	work.touched = work.touched[:0]
}

// index notes where each expert is and which ranks are busiest.
func (work *layout) index() {
	for held := range work.where {
		work.where[held] = work.where[held][:0]
	}
	for slot, held := range work.slots {
		if held != expert.Free {
			work.where[held] = append(work.where[held], slot)
		}
	}
	slices.SortFunc(work.busiest, func(first, second int) int { return cmp.Compare(work.ranks[second], work.ranks[first]) })
}

func (work *layout) do(chosen move) {
	from, into := work.slots[chosen.slot], work.slots[chosen.other]
	work.put(chosen.other, from)
	if chosen.exchange {
		work.put(chosen.slot, into)
	} else {
		work.replicas[from]++
		if into != expert.Free {
			work.replicas[into]--
		}
	}
	clear(work.ranks)
	for slot, held := range work.slots {
		work.ranks[work.rank(slot)] += work.share(held)
	}
	work.index()
}
