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
