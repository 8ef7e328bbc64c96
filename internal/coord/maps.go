package coord

import (
	"context"
	"math"

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

// maxNewPerLayer is the maximum number of experts that may be new to a rank in
// one layer in a stage.
const maxNewPerLayer = 1

// stageCopyTime is how long a rank may copy experts in one stage, unless a single
// expert takes longer. Popularity shifts every few seconds, and a small stage
// comes into force sooner.
const stageCopyTime = 100 * clock.Millis(1)

// maxNewPerRank is the maximum number of experts that may be new to a rank in
// one stage, however short a copy is: passes take longer while ranks copy.
const maxNewPerRank = 2

// newPerRank returns how many experts may be new to a rank in one stage, in all
// layers together. If the copy time is unknown, it returns the limit of a single
// layer.
func newPerRank(engine plan.Engine) int {
	if engine.CopyMillis <= 0 {
		return maxNewPerLayer
	}
	return min(max(1, int(float64(stageCopyTime)/engine.CopyMillis)), maxNewPerRank)
}

// loadWeight is the weight of a new measurement in the loads. It is high enough
// to follow a shift within two reads, and low enough to ignore single requests.
const loadWeight = 0.4

// threshold is the skew at which copying experts pays off. A group with free
// request slots loses little by a longer pass; a full one loses requests.
type threshold struct {
	// fill is the minimum share of request slots in use at which the threshold
	// applies.
	fill float64
	// startSkew, stopSkew and minGain are the Start, Stop and MinGain of
	// rebal.Settings.
	startSkew, stopSkew, minGain float64
}

// thresholds are ordered from a full group to an idle one.
var thresholds = []threshold{
	{fill: 0.55, startSkew: 1.10, stopSkew: 1.03, minGain: 0.001},
	{fill: 0.35, startSkew: 1.50, stopSkew: 1.20, minGain: 0.008},
	{fill: 0, startSkew: 2.20, stopSkew: 1.60, minGain: 0.03},
}

// plannerSettings returns the planner settings that match the load of a group.
func plannerSettings(group *group, states []*wire.RankState) rebal.Settings {
	taken := 0
	for _, state := range states {
		taken += int(state.GetRunning() + state.GetWaiting())
	}
	fill := float64(taken) / float64(max(len(states)*group.engine.RequestSlots, 1))
	settings := rebal.Settings{MaxCopies: maxNewPerLayer * group.current.Ranks(), PerRank: maxNewPerLayer, PerRankAll: newPerRank(group.engine)}
	for _, level := range thresholds {
		if fill >= level.fill {
			settings.Start, settings.Stop, settings.MinGain = level.startSkew, level.stopSkew, level.minGain
			break
		}
	}
	return settings
}

// addCounts adds the expert choices since the last read to the loads.
func (group *group) addCounts(states []*wire.RankState) {
	layers, experts := group.engine.Layers, group.engine.Experts
	for rank, state := range states {
		// The sizes of the configuration are used only if an engine confirms them.
		if total := len(state.GetCounts()); total == 0 || layers < 1 || total%layers != 0 || total/layers != experts {
			continue
		}
		if group.pending == nil {
			group.pending, group.counts = newLoads(layers, experts), map[int]rankCounts{}
		}
		previous := group.counts[rank]
		group.counts[rank] = rankCounts{born: state.GetBorn(), counts: state.GetCounts()}
		if previous.born != state.GetBorn() || previous.counts == nil {
			continue
		}
		for index, count := range state.GetCounts() {
			if count > previous.counts[index] {
				group.pending[index/experts][index%experts] += float64(count - previous.counts[index])
			}
		}
	}
	if shares, ok := normalize(group.pending); ok {
		group.loads = group.loads.WithWeight(shares, loadWeight)
		group.pending = newLoads(layers, experts)
	}
}

func newLoads(layers, experts int) rebal.Loads {
	loads := make(rebal.Loads, layers)
	for layer := range loads {
		loads[layer] = make([]float64, experts)
	}
	return loads
}

// normalize turns counts into shares, and reports whether every layer has enough
// choices for that. Otherwise the counts of later reads are added to them.
func normalize(measured rebal.Loads) (rebal.Loads, bool) {
	shares := make(rebal.Loads, len(measured))
	for layer, counts := range measured {
		sum := 0.0
		for _, count := range counts {
			sum += count
		}
		if sum < minChoices {
			return nil, false
		}
		shares[layer] = make([]float64, len(counts))
		for at, count := range counts {
			shares[layer][at] = count / sum
		}
	}
	return shares, len(measured) > 0
}

// plan reads the map in use if it has changed, and starts the switch to a
// better one.
func (coordinator *Coordinator) plan(ctx context.Context, group *group, ranks []roster.Record, states []*wire.RankState) {
	current := rankStates(states)
	if !swap.Uniform(current) {
		return
	}
	version, epoch := current[0].Map, current[0].Epoch
	if !group.hasMap || version != group.version || epoch != group.epoch {
		if err := coordinator.loadMap(ctx, group, ranks, version, epoch); err != nil {
			coordinator.logReadError(group, err)
			return
		}
	}
	if group.swap.Busy() || group.loads == nil {
		return
	}
	next, changed := rebal.New(plannerSettings(group, states)).Plan(group.current, group.loads)
	if !changed {
		return
	}
	group.planned = next
	target := swap.NextVersion(current)
	group.swap.Start(target, epoch, coordinator.clock.Now())
	coordinator.log.Write(event.MapWanted, "group", group.name, "version", target, "epoch", epoch, "copies", next.Copies(group.current),
		"skewNow", rebal.MeanSkew(group.current, group.loads), "skewPlanned", rebal.MeanSkew(next, group.loads))
}

// loadMap reads the map in use from the ranks.
func (coordinator *Coordinator) loadMap(ctx context.Context, group *group, ranks []roster.Record, version, epoch uint64) error {
	states, err := coordinator.read(ctx, readTimeout, ranks, func(int) *wire.RankRead { return &wire.RankRead{Maps: true} })
	if err != nil {
		return err
	}
	read, err := decode(states, group.engine.ExpertSlotsPerRank)
	if err != nil {
		return err
	}
	group.current, group.version, group.epoch, group.hasMap = read, version, epoch, true
	skew := 0.0
	if group.loads != nil {
		skew = rebal.MeanSkew(read, group.loads)
	}
	coordinator.log.Write(event.MapInForce, "group", group.name, "version", version, "epoch", epoch, "skew", skew)
	return nil
}

// decode builds a map from the experts that each rank reports.
func decode(states []*wire.RankState, slotsPerRank int) (expert.Map, error) {
	if slotsPerRank < 1 || slotsPerRank > math.MaxUint16 {
		return expert.Map{}, errors.Newf("a rank cannot have %d places for experts", slotsPerRank)
	}
	layers := make([][]uint16, len(states[0].GetExperts()))
	for layer := range layers {
		layers[layer] = make([]uint16, len(states)*slotsPerRank)
		for slot := range layers[layer] {
			layers[layer][slot] = expert.Free
		}
	}
	for rank, state := range states {
		if len(state.GetExperts()) != len(layers) {
			return expert.Map{}, errors.Newf("rank %d has %d sets and rank 0 has %d", rank, len(state.GetExperts()), len(layers))
		}
		for layer, set := range state.GetExperts() {
			if len(set.GetExperts()) > slotsPerRank {
				return expert.Map{}, errors.Newf("rank %d holds %d experts in set %d; there are %d places", rank, len(set.GetExperts()), layer, slotsPerRank)
			}
			for at, expertID := range set.GetExperts() {
				layers[layer][rank*slotsPerRank+at] = uint16(expertID)
			}
		}
	}
	return expert.NewMap(len(states), slotsPerRank, layers)
}

// encode returns the experts of a map by layer and rank.
func encode(target expert.Map) []*wire.RankMap {
	sets := make([]*wire.RankMap, target.Layers())
	for layer := range sets {
		sets[layer] = &wire.RankMap{Ranks: make([]*wire.RankSet, target.Ranks())}
		for rank := range sets[layer].Ranks {
			sets[layer].Ranks[rank] = &wire.RankSet{}
		}
		for slot, expertID := range target.Slots(layer) {
			if expertID != expert.Free {
				rank := sets[layer].Ranks[target.RankOf(slot)]
				rank.Experts = append(rank.Experts, uint32(expertID))
			}
		}
	}
	return sets
}
