package rebal_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/rebal"
)

// BenchmarkPlanLargeGroup plans one stage for a group of 63 ranks. The control
// leader does this about four times a second on a quarter of a core.
func BenchmarkPlanLargeGroup(b *testing.B) {
	RegisterTestingT(b)
	const ranks, slotsPerRank, layers, experts = 63, 5, 8, 252
	random := rand.New(rand.NewPCG(1, 1))
	loads := skewedLoads(random, layers, experts)
	initial := roundRobin(ranks, slotsPerRank, layers, experts)
	planner := rebal.New(rebal.Settings{Start: 1.1, Stop: 1.03, MaxCopies: ranks, PerRank: 1, PerRankAll: 2, MinGain: 0.001})
	for b.Loop() {
		planner.Plan(initial, loads)
	}
}

// BenchmarkPlanStage plans one stage for a group of 129 ranks right after a shift, with
// the bounds of package stage for copies of 14 ms and with those before it.
func BenchmarkPlanStage(b *testing.B) {
	const ranks, slotsPerRank, layers, experts = 129, 3, 12, 258
	for name, settings := range map[string]rebal.Settings{
		"before": {Start: 1.10, Stop: 1.03, MaxCopies: ranks, PerRank: 1, PerRankAll: 2, MinGain: 0.001},
		"now":    {Start: 1.15, Stop: 1.08, MaxCopies: 2 * ranks, PerRank: 2, PerRankAll: 8, MinGain: 0.001},
	} {
		b.Run(name, func(b *testing.B) {
			RegisterTestingT(b)
			random := rand.New(rand.NewPCG(1, 1))
			initial, loads := rebal.Full(ranks, slotsPerRank, skewedLoads(random, layers, experts)), skewedLoads(random, layers, experts)
			for b.Loop() {
				rebal.New(settings).Plan(initial, loads)
			}
		})
	}
}
