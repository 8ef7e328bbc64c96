package rebal_test

import (
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/expert"
	"github.com/hibiscuslug/hibiscuslug/internal/rebal"
)

// settle plans stages until the map does not change, and checks each of them.
func settle(now expert.Map, loads rebal.Loads, settings rebal.Settings) expert.Map {
	for range 60 {
		next, changed := rebal.New(settings).Plan(now, loads)
		for layer, load := range loads {
			for expertID := range load {
				Expect(next.Slots(layer)).To(ContainElement(uint16(expertID)), "expert %d is on no rank", expertID)
			}
		}
		now = next
		if !changed {
			break
		}
	}
	return now
}

func held(now expert.Map, rank int) int {
	count := 0
	for layer := range now.Layers() {
		for _, expertID := range now.Slots(layer)[rank*now.SlotsPerRank() : (rank+1)*now.SlotsPerRank()] {
			if expertID != expert.Free {
				count++
			}
		}
	}
	return count
}

var _ = Describe("slow ranks", func() {
	const ranks, slotsPerRank, layers, experts, slow = 12, 8, 4, 72, 5
	settings := rebal.Settings{Start: 1.15, Stop: 1.08, MinGain: 0.003, MaxCopies: 2 * ranks, PerRank: 2, PerRankAll: 7}
	var loads rebal.Loads
	var balanced expert.Map

	BeforeEach(func() {
		loads = skewedLoads(rand.New(rand.NewPCG(4, 4)), layers, experts)
		balanced = settle(roundRobin(ranks, slotsPerRank, layers, experts), loads, settings)
	})

	paced := func(pace float64) rebal.Settings {
		with := settings
		with.Paces = slices.Repeat([]float64{1}, ranks)
		with.Paces[slow] = pace
		return with
	}

	// Guards against a slow rank that each layer of a pass waits for.
	It("takes all experts from a rank at 12 times where the others can hold them", func() {
		after := settle(balanced, loads, paced(12))
		Expect(held(after, slow)).To(BeZero())
		Expect(rebal.PacedSkew(after, loads, paced(12).Paces)).To(BeNumerically("<", 1.3))
	})

	It("leaves a rank at 1.5 times a part of its load", func() {
		after := settle(balanced, loads, paced(1.5))
		Expect(held(after, slow)).To(BeNumerically(">", 0))
		Expect(rebal.PacedSkew(after, loads, paced(1.5).Paces)).To(BeNumerically("<", 1.2))
	})

	// Guards against a rank that stays idle because the skew without it is low.
	It("gives the rank its share back when it is fast again", func() {
		after := settle(settle(balanced, loads, paced(12)), loads, paced(1))
		for layer := range layers {
			Expect(after.Slots(layer)[slow*slotsPerRank : (slow+1)*slotsPerRank]).To(ContainElement(Not(Equal(expert.Free))))
		}
		Expect(rebal.MeanSkew(after, loads)).To(BeNumerically("<", 1.15))
	})

	// Guards against an expert that no rank holds in a group without free places.
	It("keeps every expert where the others have no room", func() {
		full := roundRobin(ranks, experts/ranks, layers, experts)
		after := settle(full, loads, paced(12))
		Expect(held(after, slow)).To(Equal(layers * experts / ranks))
	})

	It("plans as without paces when all ranks are equally fast", func() {
		without, _ := rebal.New(settings).Plan(roundRobin(ranks, slotsPerRank, layers, experts), loads)
		with, _ := rebal.New(paced(1)).Plan(roundRobin(ranks, slotsPerRank, layers, experts), loads)
		Expect(with).To(Equal(without))
	})
})
