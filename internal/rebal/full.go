package rebal

import (
	"cmp"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/internal/expert"
)

// Full plans a map from the loads alone, regardless of the present one: spare
// slots go to replicas of the most loaded experts, and the replicas are then
// placed on the least loaded rank with a free slot, largest first. Only bench/expert
// and tests use it.
func Full(ranks, slotsPerRank int, loads Loads) expert.Map {
	layers := make([][]uint16, len(loads))
	for layer, load := range loads {
		layers[layer] = placeReplicas(ranks, slotsPerRank, load, replicaCounts(ranks*slotsPerRank, load))
	}
	// The error is nil, because every layer has the right number of slots.
	plan, _ := expert.NewMap(ranks, slotsPerRank, layers)
	return plan
}

// replicaCounts returns the number of replicas of each expert. Each spare slot
// goes to the expert with the highest load per replica.
func replicaCounts(slots int, load []float64) []int {
	replicas := make([]int, len(load))
	for at := range replicas {
		replicas[at] = 1
	}
	for range slots - len(load) {
		highest := 0
		for at := range load {
			if load[at]/float64(replicas[at]) > load[highest]/float64(replicas[highest]) {
				highest = at
			}
		}
		replicas[highest]++
	}
	return replicas
}

// replica is one replica of an expert with its share of the expert's load.
type replica struct {
	expert uint16
	load   float64
}

// placeReplicas returns the expert of each slot of a layer.
func placeReplicas(ranks, slotsPerRank int, load []float64, replicas []int) []uint16 {
	sorted := make([]replica, 0, ranks*slotsPerRank)
	for at, count := range replicas {
		for range count {
			sorted = append(sorted, replica{expert: uint16(at), load: load[at] / float64(count)})
		}
	}
	slices.SortStableFunc(sorted, func(first, second replica) int { return cmp.Compare(second.load, first.load) })
	slots := make([]uint16, ranks*slotsPerRank)
	used, sums := make([]int, ranks), make([]float64, ranks)
	for _, next := range sorted {
		best := -1
		for rank := range ranks {
			if used[rank] < slotsPerRank && (best < 0 || sums[rank] < sums[best]) {
				best = rank
			}
		}
		slots[best*slotsPerRank+used[best]] = next.expert
		used[best]++
		sums[best] += next.load
	}
	return slots
}
