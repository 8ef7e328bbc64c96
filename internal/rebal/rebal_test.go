package rebal_test

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/expert"
	"github.com/hibiscuslug/hibiscuslug/internal/rebal"
)

func TestRebal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Rebal")
}

type script struct {
	Name         string    `json:"name"`
	Ranks        int       `json:"ranks"`
	SlotsPerRank int       `json:"slotsPerRank"`
	Slots        []uint16  `json:"slots"`
	Load         []float64 `json:"load"`
	// MaxSkew is the maximum skew after one plan, MaxCopies the maximum number
	// of copies.
	MaxSkew   float64 `json:"maxSkew"`
	MaxCopies int     `json:"maxCopies"`
}

var _ = Describe("the incremental planner", func() {
	text, err := os.ReadFile("testdata/plans.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			plan, err := expert.NewMap(script.Ranks, script.SlotsPerRank, [][]uint16{script.Slots})
			Expect(err).NotTo(HaveOccurred())
			next, _ := rebal.New(rebal.Default()).Plan(plan, rebal.Loads{script.Load})
			Expect(rebal.Skew(next, 0, script.Load)).To(BeNumerically("<=", script.MaxSkew))
			Expect(next.Copies(plan)).To(BeNumerically("<=", script.MaxCopies))
			for expertID := range script.Load {
				Expect(next.Slots(0)).To(ContainElement(uint16(expertID)), "expert %d is on no rank", expertID)
			}
		})
	}

	// Guards against maps that keep changing while popularity is constant.
	It("stops copying under measurement noise when popularity does not change", func() {
		random := rand.New(rand.NewPCG(3, 3))
		truth := make([]float64, 64)
		for at := range truth {
			truth[at] = (1 + random.ExpFloat64()) / 128
		}
		plan := rebal.Full(32, 3, rebal.Loads{truth})
		planner := rebal.New(rebal.Default())
		var smoothed rebal.Loads
		copies := 0
		for interval := range 200 {
			noisy := make([]float64, len(truth))
			for at := range noisy {
				noisy[at] = truth[at] * (1 + 0.02*random.NormFloat64())
			}
			smoothed = smoothed.With(rebal.Loads{noisy})
			next, _ := planner.Plan(plan, smoothed)
			if interval >= 100 {
				copies += next.Copies(plan)
			}
			plan = next
		}
		Expect(copies).To(BeZero())
	})
})
