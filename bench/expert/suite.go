// Package expert benchmarks rebalancing and the activation of expert maps, in virtual
// time.
package expert

import (
	"github.com/hibiscuslug/hibiscuslug/internal/expert"
	"github.com/hibiscuslug/hibiscuslug/internal/figure"
	"github.com/hibiscuslug/hibiscuslug/internal/rebal"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	ranks        = 32
	experts      = 64
	slotsPerRank = 3
	layers       = 8
	intervals    = 400
	// stepsPerInterval is the number of steps between two plans.
	stepsPerInterval = 300
	// expertBytes is the size of one expert of one layer.
	expertBytes = 44 << 20
	// meanStepMillis is the duration of a step without skew, in milliseconds.
	meanStepMillis = 33.0
	seeds          = 3
	// mapSteps is the number of steps checked for mixed maps, over all mapGroups groups.
	mapSteps  = 100_000
	mapGroups = 4
)

// policy returns the next map for the current map and the smoothed measured loads.
type policy func(plan expert.Map, smoothed rebal.Loads) expert.Map

// driftResult is the mean skew of a run and the number of experts copied.
type driftResult struct {
	skew   float64
	copied int
}

// runPolicy simulates a policy on drifting popularities. The skew is computed from the
// true popularities.
func runPolicy(seed uint64, next policy) driftResult {
	source := newDrift(seed, layers, experts)
	plan := rebal.Full(ranks, slotsPerRank, source.loads())
	var smoothed rebal.Loads
	result := driftResult{}
	for range intervals {
		source.advance()
		smoothed = smoothed.With(source.measured())
		result.skew += rebal.MeanSkew(plan, source.loads()) / intervals
		changed := next(plan, smoothed)
		result.copied += changed.Copies(plan)
		plan = changed
	}
	return result
}

func static(plan expert.Map, _ rebal.Loads) expert.Map { return plan }

func fullReplan(_ expert.Map, smoothed rebal.Loads) expert.Map {
	return rebal.Full(ranks, slotsPerRank, smoothed)
}

func incremental(plan expert.Map, smoothed rebal.Loads) expert.Map {
	next, _ := rebal.New(rebal.Default()).Plan(plan, smoothed)
	return next
}

// Run measures the skew and the copied bytes of three policies, and counts mixed
// steps.
func Run(report *figure.Report) error {
	var skews, copies [3][]float64
	for seed := report.Seed; seed < report.Seed+seeds; seed++ {
		for at, next := range []policy{static, incremental, fullReplan} {
			result := runPolicy(seed, next)
			skews[at] = append(skews[at], result.skew)
			copies[at] = append(copies[at], float64(result.copied)*expertBytes)
		}
	}
	staticSkew, incrementalSkew, fullSkew := figure.Median(skews[0]...), figure.Median(skews[1]...), figure.Median(skews[2]...)
	report.Add("skew.static", staticSkew, "ratio")
	report.Add("skew.rebalanced", incrementalSkew, "ratio")
	report.Add("skew.fullReplan", fullSkew, "ratio")
	incrementalBytes, fullBytes := figure.Median(copies[1]...), figure.Median(copies[2]...)
	report.Add("rebalance.copied", incrementalBytes, "bytes")
	report.Add("rebalance.copiedFull", fullBytes, "bytes")
	const gibibyte = 1 << 30
	steps := float64(intervals * stepsPerInterval)
	report.Add("rebalance.savedPerGiB", (staticSkew-incrementalSkew)*meanStepMillis*steps/(incrementalBytes/gibibyte), "ms/GiB")
	report.Add("rebalance.savedPerGiBFull", (staticSkew-fullSkew)*meanStepMillis*steps/(fullBytes/gibibyte), "ms/GiB")
	measureMaps(report)
	return nil
}

// measureMaps counts mixed steps and delays while maps change under faults.
func measureMaps(report *figure.Report) {
	faults := Faults{Lose: 0.1, Late: 0.05, Repeat: 0.1, Restart: 0.0003, Stall: 0.0005, CutRank: 0.0005, Coordinator: 0.0005, NewMap: 0.001}
	steps, mixed, switched := 0, 0, 0
	var waited, ran clock.Millis
	for seed := report.Seed; seed < report.Seed+mapGroups; seed++ {
		group := NewGroup(seed, ranks, faults, None)
		group.Run(mapSteps/mapGroups, 48*clock.Hour)
		steps, mixed, switched = steps+group.Steps, mixed+group.Mixed, switched+group.Switched
		waited, ran = waited+group.Waited, ran+group.now
	}
	report.Add("map.steps", float64(steps), "steps")
	report.Add("map.mixedSteps", float64(mixed), "steps")
	report.Add("map.switched", float64(switched), "maps")
	report.Add("map.waited", 100*float64(waited)/float64(ran), "percent")
}
