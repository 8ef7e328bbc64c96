package coord

import (
	"context"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/expert"
	"github.com/hibiscuslug/hibiscuslug/internal/rebal"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/swap"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// loadWeight is the weight of a new measurement in the loads, low enough to ignore
// single requests; shiftWeight is that of the first one after a shift, since a stage
// may make the whole change to the new popularity.
const (
	loadWeight  = 0.4
	shiftWeight = 0.8
)

// minPasses is the minimum number of passes whose mean duration is measured, since
// reads are at any time of a pass.
const minPasses = 2

// measure adds the demand and the duration of passes since the last read to the
// figures by which stages are decided. Passes are measured while no switch is in
// progress and no rank is slow, since passes take longer then.
func (group *group) measure(states []*wire.RankState, now clock.Millis) {
	inUse := 0
	for _, state := range states {
		inUse += int(state.GetRunning() + state.GetWaiting())
	}
	group.stage = group.stage.WithDemand(inUse, len(states), now)
	step := states[0].GetStep()
	if group.swap.Busy() || len(group.paces.Slow()) > 0 || group.passFrom == 0 || step < group.passStep {
		group.passFrom, group.passStep = now, step
		return
	}
	if passes := step - group.passStep; passes >= minPasses && group.hasMap && group.loads != nil {
		mean := float64(now-group.passFrom) / float64(passes)
		group.stage = group.stage.WithPass(mean, rebal.MeanSkew(group.current, group.loads), now)
		group.passFrom, group.passStep = now, step
	}
}

// addCounts adds the expert choices since the last read to the loads. It reports
// whether their popularity has shifted.
func (group *group) addCounts(states []*wire.RankState, now clock.Millis) bool {
	shifted := false
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
		weight := loadWeight
		if group.loads != nil {
			if group.stage, shifted = group.stage.WithDistance(group.loads.Distance(shares), now); shifted {
				weight = shiftWeight
			}
		}
		group.loads = group.loads.WithWeight(shares, weight)
		group.pending = newLoads(layers, experts)
	}
	return shifted
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

// stageRun is the stage that was started last.
type stageRun struct {
	// version is the version of its map; 0 once the stage has ended.
	version uint64
	// copies is the largest number of experts that a rank copies for it.
	copies                int
	startedAt, preparedAt clock.Millis
}

// follow notes when all ranks have copied their experts for the stage under way, and
// measures a stage whose map is in use in all ranks.
func (group *group) follow(ranks []swap.Rank, now clock.Millis) {
	run := &group.run
	if run.version == 0 {
		return
	}
	isPrepared, isInUse := true, true
	for _, rank := range ranks {
		isPrepared = isPrepared && (rank.Prepared == run.version || rank.Map == run.version)
		isInUse = isInUse && rank.Map == run.version
	}
	if isPrepared && run.preparedAt == 0 {
		run.preparedAt = now
	}
	if isInUse {
		group.stage = group.stage.WithStage(now-run.startedAt, run.preparedAt-run.startedAt, run.copies)
		run.version = 0
	}
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
	paces := group.slowPaces()
	now, skew := coordinator.clock.Now(), rebal.PacedSkew(group.current, group.loads, paces)
	settings, ok := group.stage.Settings(skew, now)
	if !ok {
		return
	}
	settings.Paces = paces
	next, changed := rebal.New(settings).Plan(group.current, group.loads)
	if !changed {
		group.wasSlow = len(group.paces.Slow()) > 0
		return
	}
	planned, copies := rebal.PacedSkew(next, group.loads, paces), next.RankCopies(group.current)
	settles := rebal.Unsettled(next, paces) < rebal.Unsettled(group.current, paces)
	if !settles && !group.stage.IsWorth(skew, planned, copies, now) {
		return
	}
	group.planned = next
	target := swap.NextVersion(current)
	group.swap.Start(target, epoch, now)
	group.run = stageRun{version: target, copies: copies, startedAt: now}
	coordinator.log.Write(event.MapWanted, "group", group.name, "version", target, "epoch", epoch, "copies", next.Copies(group.current),
		"skewNow", skew, "skewPlanned", planned, "perRank", copies, "maxPerRank", settings.PerRankAll, "minGain", settings.MinGain)
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
