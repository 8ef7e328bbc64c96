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
	// LeastGain is the skew that one copied expert has to save: the time saved
	// until the next plan against the steps slowed by copying.
	LeastGain float64
}

// Default returns the settings that the decision record gives the reasons for.
func Default() Settings {
	return Settings{Start: 1.05, Stop: 1.03, MaxCopies: 12, LeastGain: 0.001}
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
		if best.copies == 0 || best.gain/float64(best.copies) < planner.settings.LeastGain*work.mean || copies+best.copies > planner.settings.MaxCopies {
			break
		}
		work.do(best)
		copies += best.copies
	}
	for rank := range spent {
		spent[rank] += work.added(rank, -1)
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
	for _, rank := range work.ranks {
		work.mean += rank / float64(len(work.ranks))
	}
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
	rank := work.rank(slot)
	if work.room == nil || slices.Contains(work.before[rank*work.perRank:(rank+1)*work.perRank], held) {
		return true
	}
	return work.added(rank, slot) < work.room[rank]
}

// added counts the experts that are new to a rank, but for one slot.
func (work *layout) added(rank, but int) int {
	before := work.before[rank*work.perRank : (rank+1)*work.perRank]
	found := 0
	for slot := rank * work.perRank; slot < (rank+1)*work.perRank; slot++ {
		if slot != but && work.slots[slot] != expert.Free && !slices.Contains(before, work.slots[slot]) {
			found++
		}
	}
	return found
}

// holds tells whether a rank has a replica of an expert already.
func (work *layout) holds(rank int, held uint16) bool {
	for slot := rank * work.perRank; slot < (rank+1)*work.perRank; slot++ {
		if work.slots[slot] == held {
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
	fewer := 0.0
	if into != expert.Free {
		fewer = work.load[into] / float64(work.replicas[into]-1)
	}
	more := work.load[from] / float64(work.replicas[from]+1)
	cold := work.rank(tried.other)
	after := 0.0
	for rank, load := range work.ranks {
		// Replicas on the same rank count each.
		load += float64(work.count(rank, from)) * (more - work.share(from))
		if into != expert.Free {
			load += float64(work.count(rank, into)) * (fewer - work.share(into))
		}
		if rank == cold {
			load += more - fewer
		}
		after = math.Max(after, load)
	}
	return before - after
}

func (work *layout) count(rank int, held uint16) int {
	found := 0
	for slot := rank * work.perRank; slot < (rank+1)*work.perRank; slot++ {
		if work.slots[slot] == held {
			found++
		}
	}
	return found
}

func (work *layout) do(chosen move) {
	from, into := work.slots[chosen.slot], work.slots[chosen.other]
	work.slots[chosen.other] = from
	if chosen.exchange {
		work.slots[chosen.slot] = into
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
}
