package rebal_test

import (
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/expert"
	"github.com/hibiscuslug/hibiscuslug/internal/rebal"
)

// roundRobin returns the initial map of a group: experts are spread in turn and
// some slots are free.
func roundRobin(ranks, slotsPerRank, layers, experts int) expert.Map {
	all := make([][]uint16, layers)
	for layer := range all {
		all[layer] = make([]uint16, ranks*slotsPerRank)
		for slot := range all[layer] {
			all[layer][slot] = expert.Free
		}
		for expertID := range experts {
			all[layer][expertID%ranks*slotsPerRank+expertID/ranks] = uint16(expertID)
		}
	}
	plan, err := expert.NewMap(ranks, slotsPerRank, all)
	Expect(err).NotTo(HaveOccurred())
	return plan
}

// skewedLoads draws loads in which few experts take most of the tokens.
func skewedLoads(random *rand.Rand, layers, experts int) rebal.Loads {
	loads := make(rebal.Loads, layers)
	for layer := range loads {
		loads[layer] = make([]float64, experts)
		sum := 0.0
		for at := range loads[layer] {
			loads[layer][at] = 1 / float64(1+random.IntN(experts))
			sum += loads[layer][at]
		}
		for at := range loads[layer] {
			loads[layer][at] /= sum
		}
	}
	return loads
}

// newExperts counts the experts that are new to a rank in one layer.
func newExperts(before, after expert.Map, layer, rank int) int {
	found := 0
	first, slotsPerRank := rank*before.SlotsPerRank(), before.SlotsPerRank()
	for _, expertID := range after.Slots(layer)[first : first+slotsPerRank] {
		if expertID != expert.Free && !slices.Contains(before.Slots(layer)[first:first+slotsPerRank], expertID) {
			found++
		}
	}
	return found
}

// Guards against prepare orders that engines refuse, and against stages that
// take long to copy.
var _ = It("respects the bounds on experts that are new to a rank and still converges to a balanced map", func() {
	const ranks, slotsPerRank, layers, experts = 12, 8, 4, 72
	random := rand.New(rand.NewPCG(4, 4))
	loads := skewedLoads(random, layers, experts)
	settings := rebal.Settings{Start: 1.10, Stop: 1.03, MinGain: 0.001, MaxCopies: ranks, PerRank: 1, PerRankAll: 2}
	now := roundRobin(ranks, slotsPerRank, layers, experts)
	initialSkew := rebal.MeanSkew(now, loads)
	for range 30 {
		next, changed := rebal.New(settings).Plan(now, loads)
		for rank := range ranks {
			all := 0
			for layer := range layers {
				count := newExperts(now, next, layer, rank)
				Expect(count).To(BeNumerically("<=", 1))
				all += count
			}
			Expect(all).To(BeNumerically("<=", 2))
		}
		for layer := range layers {
			for expertID := range experts {
				Expect(next.Slots(layer)).To(ContainElement(uint16(expertID)))
			}
		}
		if !changed {
			break
		}
		now = next
	}
	Expect(initialSkew).To(BeNumerically(">", 1.5))
	Expect(rebal.MeanSkew(now, loads)).To(BeNumerically("<", 1.10))
})
