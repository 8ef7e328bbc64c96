package steer

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/expert"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/rebal"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/swap"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// perStage is how many experts may be new to a rank in one set at a time.
const perStage = 1

// stageCopy is how long a rank may copy in one stage. Popularity shifts every
// few seconds, and a stage that copies little is in force sooner.
const stageCopy = 100 * clock.Millis(1)

// mostPerStage bounds the experts of a stage however short a copy is: passes are
// longer while ranks copy.
const mostPerStage = 2

// perStageAll is how many experts may be new to a rank in all sets together.
func perStageAll(engine plan.Engine) int {
	if engine.CopyMillis <= 0 {
		return perStage
	}
	return min(max(1, int(float64(stageCopy)/engine.CopyMillis)), mostPerStage)
}

// weight is that of a new measurement in the loads: enough to follow a shift
// within two reads, and little enough not to follow single requests.
const weight = 0.4

// effort is how much skew is worth copies. A group with free slots loses little
// by a longer pass; a full one loses requests.
type effort struct {
	// fill is the share of slots taken from which the effort counts.
	fill float64
	// start, stop and gain are those of rebal.Settings.
	start, stop, gain float64
}

// efforts go from a full group to an idle one. The figures are estimates that
// were tried together, and not one by one.
var efforts = []effort{
	{fill: 0.55, start: 1.10, stop: 1.03, gain: 0.001},
	{fill: 0.35, start: 1.25, stop: 1.10, gain: 0.004},
	{fill: 0, start: 1.50, stop: 1.20, gain: 0.008},
}

// planner returns the settings for a group as full as it is.
func planner(known *group, states []*wire.RankState) rebal.Settings {
	taken := 0
	for _, state := range states {
		taken += int(state.GetRunning() + state.GetWaiting())
	}
	fill := float64(taken) / float64(max(len(states)*known.engine.Slots, 1))
	settings := rebal.Settings{MaxCopies: perStage * known.held.Ranks(), PerRank: perStage, PerRankAll: perStageAll(known.engine)}
	for _, level := range efforts {
		if fill >= level.fill {
			settings.Start, settings.Stop, settings.LeastGain = level.start, level.stop, level.gain
			break
		}
	}
	return settings
}

// measure takes the choices since the last read into the loads.
func (known *group) measure(states []*wire.RankState) {
	sets, experts := known.engine.Sets, known.engine.Experts
	if known.measured == nil {
		known.measured, known.counts = newLoads(sets, experts), map[int]counted{}
	}
	for rank, state := range states {
		if len(state.GetCounts()) != sets*experts {
			continue
		}
		before := known.counts[rank]
		known.counts[rank] = counted{born: state.GetBorn(), counts: state.GetCounts()}
		if before.born != state.GetBorn() || before.counts == nil {
			continue
		}
		for index, count := range state.GetCounts() {
			if count > before.counts[index] {
				known.measured[index/experts][index%experts] += float64(count - before.counts[index])
			}
		}
	}
	if shares, ok := normalize(known.measured); ok {
		known.loads = known.loads.WithWeight(shares, weight)
		known.measured = newLoads(sets, experts)
	}
}

func newLoads(sets, experts int) rebal.Loads {
	loads := make(rebal.Loads, sets)
	for set := range loads {
		loads[set] = make([]float64, experts)
	}
	return loads
}

// normalize turns counts into shares. It returns false when there are too few;
// later reads then add to them.
func normalize(measured rebal.Loads) (rebal.Loads, bool) {
	shares := make(rebal.Loads, len(measured))
	for set, counts := range measured {
		sum := 0.0
		for _, count := range counts {
			sum += count
		}
		if sum < leastChoices {
			return nil, false
		}
		shares[set] = make([]float64, len(counts))
		for at, count := range counts {
			shares[set][at] = count / sum
		}
	}
	return shares, len(measured) > 0
}

// plan keeps the map in use known and asks for a better one.
func (steer *Steer) plan(ctx context.Context, known *group, ranks []roster.Record, states []*wire.RankState) {
	now := rankStates(states)
	if !swap.Uniform(now) {
		return
	}
	version, epoch := now[0].Map, now[0].Epoch
	if !known.known || version != known.version || epoch != known.epoch {
		if err := steer.learn(ctx, known, ranks, version, epoch); err != nil {
			steer.note(known, err)
			return
		}
	}
	if known.swap.Busy() || known.loads == nil {
		return
	}
	next, changed := rebal.New(planner(known, states)).Plan(known.held, known.loads)
	if !changed {
		return
	}
	known.wanted = next
	wanted := swap.NextVersion(now)
	known.swap.Start(wanted, epoch, steer.clock.Now())
	steer.log.Write(event.MapWanted, "group", known.name, "version", wanted, "epoch", epoch, "copies", next.Copies(known.held),
		"skewNow", rebal.MeanSkew(known.held, known.loads), "skewPlanned", rebal.MeanSkew(next, known.loads))
}

// learn takes the map in use from the one that was wanted, or from the ranks.
func (steer *Steer) learn(ctx context.Context, known *group, ranks []roster.Record, version, epoch uint64) error {
	states, err := steer.read(ctx, readLimit, ranks, func(int) *wire.RankRead { return &wire.RankRead{Maps: true} })
	if err != nil {
		return err
	}
	read, err := decode(states, known.engine.Places)
	if err != nil {
		return err
	}
	known.held, known.version, known.epoch, known.known = read, version, epoch, true
	skew := 0.0
	if known.loads != nil {
		skew = rebal.MeanSkew(read, known.loads)
	}
	steer.log.Write(event.MapInForce, "group", known.name, "version", version, "epoch", epoch, "skew", skew)
	return nil
}

// decode puts the experts of all ranks together.
func decode(states []*wire.RankState, places int) (expert.Map, error) {
	sets := len(states[0].GetExperts())
	layers := make([][]uint16, sets)
	for set := range layers {
		layers[set] = make([]uint16, len(states)*places)
		for slot := range layers[set] {
			layers[set][slot] = expert.Free
		}
	}
	for rank, state := range states {
		if len(state.GetExperts()) != sets {
			return expert.Map{}, errors.Newf("rank %d has %d sets and rank 0 has %d", rank, len(state.GetExperts()), sets)
		}
		for set, held := range state.GetExperts() {
			if len(held.GetExperts()) > places {
				return expert.Map{}, errors.Newf("rank %d holds %d experts in set %d; there are %d places", rank, len(held.GetExperts()), set, places)
			}
			for at, number := range held.GetExperts() {
				layers[set][rank*places+at] = uint16(number)
			}
		}
	}
	return expert.NewMap(len(states), places, layers)
}

// encode lists the experts set by set and rank by rank.
func encode(wanted expert.Map) []*wire.RankMap {
	sets := make([]*wire.RankMap, wanted.Layers())
	for set := range sets {
		sets[set] = &wire.RankMap{Ranks: make([]*wire.RankSet, wanted.Ranks())}
		for rank := range sets[set].Ranks {
			sets[set].Ranks[rank] = &wire.RankSet{}
		}
		for slot, held := range wanted.Slots(set) {
			if held != expert.Free {
				rank := sets[set].Ranks[wanted.RankOf(slot)]
				rank.Experts = append(rank.Experts, uint32(held))
			}
		}
	}
	return sets
}
