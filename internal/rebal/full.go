package rebal

import (
	"cmp"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/internal/expert"
)

// Full plans a map from the loads alone: the hottest experts get the spare
// slots, then replicas go to the least loaded rank with room, largest first.
func Full(ranks, slotsPerRank int, loads Loads) expert.Map {
	layers := make([][]uint16, len(loads))
	for layer, load := range loads {
		layers[layer] = pack(ranks, slotsPerRank, load, replicate(ranks*slotsPerRank, load))
	}
	// Every layer has the right number of slots by construction.
	plan, _ := expert.NewMap(ranks, slotsPerRank, layers)
	return plan
}

// replicate gives each slot to the expert whose replicas carry the most.
func replicate(slots int, load []float64) []int {
	replicas := make([]int, len(load))
	for at := range replicas {
		replicas[at] = 1
	}
	for range slots - len(load) {
		hottest := 0
		for at := range load {
			if load[at]/float64(replicas[at]) > load[hottest]/float64(replicas[hottest]) {
				hottest = at
			}
		}
		replicas[hottest]++
	}
	return replicas
}

type piece struct {
	expert uint16
	load   float64
}

func pack(ranks, slotsPerRank int, load []float64, replicas []int) []uint16 {
	pieces := make([]piece, 0, ranks*slotsPerRank)
	for at, count := range replicas {
		for range count {
			pieces = append(pieces, piece{expert: uint16(at), load: load[at] / float64(count)})
		}
	}
	slices.SortStableFunc(pieces, func(first, second piece) int { return cmp.Compare(second.load, first.load) })
	slots := make([]uint16, ranks*slotsPerRank)
	used, sums := make([]int, ranks), make([]float64, ranks)
	for _, next := range pieces {
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
