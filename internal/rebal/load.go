// Package rebal decides when to change an expert map and what to move. It is
// pure: it sees measured loads and the present map, and gives back a new map.
package rebal

import (
	"math"

	"github.com/hibiscuslug/hibiscuslug/internal/expert"
)

// Loads holds the load of each expert, layer by layer, as a share of the
// layer's tokens.
type Loads [][]float64

// smoothing is the weight of the newest measurement. Lower values follow drift
// later, higher ones follow noise.
const smoothing = 0.3

// With returns the loads with a new measurement mixed in.
func (loads Loads) With(measured Loads) Loads { return loads.WithWeight(measured, smoothing) }

// WithWeight returns the loads with a new measurement that has a weight of its own.
func (loads Loads) WithWeight(measured Loads, weight float64) Loads {
	if loads == nil {
		return measured
	}
	mixed := make(Loads, len(loads))
	for layer := range loads {
		mixed[layer] = make([]float64, len(loads[layer]))
		for at := range loads[layer] {
			mixed[layer][at] = (1-weight)*loads[layer][at] + weight*measured[layer][at]
		}
	}
	return mixed
}

// Skew returns a layer's step time: the load of the busiest rank over the mean.
// The tokens of an expert are spread evenly over its slots.
func Skew(plan expert.Map, layer int, load []float64) float64 {
	ranks := rankLoads(plan, layer, load)
	most, sum := 0.0, 0.0
	for _, rank := range ranks {
		most = math.Max(most, rank)
		sum += rank
	}
	return most * float64(len(ranks)) / sum
}

// MeanSkew returns the skew over all layers; a step runs them one after the other.
func MeanSkew(plan expert.Map, loads Loads) float64 {
	sum := 0.0
	for layer, load := range loads {
		sum += Skew(plan, layer, load)
	}
	return sum / float64(len(loads))
}

func counts(plan expert.Map, layer, experts int) []int {
	replicas := make([]int, experts)
	for _, held := range plan.Slots(layer) {
		if held != expert.Free {
			replicas[held]++
		}
	}
	return replicas
}

func rankLoads(plan expert.Map, layer int, load []float64) []float64 {
	replicas := counts(plan, layer, len(load))
	ranks := make([]float64, plan.Ranks())
	for slot, held := range plan.Slots(layer) {
		if held != expert.Free {
			ranks[plan.RankOf(slot)] += load[held] / float64(replicas[held])
		}
	}
	return ranks
}
