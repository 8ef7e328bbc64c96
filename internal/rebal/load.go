// Package rebal decides when to change an expert map and which experts to move.
// It computes a new map from measured loads and the present map, and performs
// no I/O.
//
// A large change is split into stages, so that each copies few experts. Each call
// of Planner.Plan plans one stage.
package rebal

import (
	"math"

	"github.com/hibiscuslug/hibiscuslug/internal/expert"
)

// Loads holds the load of each expert by layer, as a share of the layer's
// tokens.
type Loads [][]float64

// smoothing is the weight of a new measurement in With. Lower values react
// later to drift, higher ones react to noise. Package coord uses a weight of its own.
const smoothing = 0.3

// With returns the loads after mixing in a new measurement with the default
// weight. Only bench/expert and tests use it.
func (loads Loads) With(measured Loads) Loads { return loads.WithWeight(measured, smoothing) }

// WithWeight returns the loads after mixing in a new measurement with a given
// weight.
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

// Distance returns the share of the tokens of a layer, as a mean over the layers,
// that a measurement finds at other experts than the loads do.
func (loads Loads) Distance(measured Loads) float64 {
	sum := 0.0
	for layer := range loads {
		for at := range loads[layer] {
			sum += math.Abs(loads[layer][at]-measured[layer][at]) / 2
		}
	}
	return sum / float64(max(len(loads), 1))
}

// Skew returns the load of the busiest rank in a layer over the mean load of
// the ranks. The busiest rank determines the duration of the layer. The tokens
// of an expert are spread evenly over its slots.
func Skew(plan expert.Map, layer int, load []float64) float64 {
	return pacedSkew(plan, layer, load, nil)
}

func pacedSkew(plan expert.Map, layer int, load, paces []float64) float64 {
	ranks := rankLoads(plan, layer, load)
	maximum, sum := 0.0, 0.0
	for at, rank := range ranks {
		maximum = math.Max(maximum, rank*paceOf(paces, at))
		sum += rank
	}
	return maximum * float64(len(ranks)) / sum
}

// paceOf returns the pace of a rank; paces is nil when all ranks are equally fast.
func paceOf(paces []float64, rank int) float64 {
	if paces == nil {
		return 1
	}
	return paces[rank]
}

// MeanSkew returns the mean skew of all layers, since a pass runs one layer
// after the other.
func MeanSkew(plan expert.Map, loads Loads) float64 { return PacedSkew(plan, loads, nil) }

// PacedSkew returns the mean skew of all layers where the load of each rank counts
// multiplied by its pace, the factor by which it is slower than usual.
func PacedSkew(plan expert.Map, loads Loads, paces []float64) float64 {
	sum := 0.0
	for layer, load := range loads {
		sum += pacedSkew(plan, layer, load, paces)
	}
	return sum / float64(len(loads))
}

func countReplicas(plan expert.Map, layer, experts int) []int {
	replicas := make([]int, experts)
	for _, expertID := range plan.Slots(layer) {
		if expertID != expert.Free {
			replicas[expertID]++
		}
	}
	return replicas
}

func rankLoads(plan expert.Map, layer int, load []float64) []float64 {
	replicas := countReplicas(plan, layer, len(load))
	ranks := make([]float64, plan.Ranks())
	for slot, expertID := range plan.Slots(layer) {
		if expertID != expert.Free {
			ranks[plan.RankOf(slot)] += load[expertID] / float64(replicas[expertID])
		}
	}
	return ranks
}
