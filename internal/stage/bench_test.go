package stage_test

import (
	"encoding/json"
	"fmt"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// benchmark is a script of groups in which the present rule and the one before are
// compared.
type benchmark struct {
	Shapes []shape `json:"shapes"`
	// Copies are the times of a copy in ms, Late the shares of stages with a late
	// order; a fifth as many have a lost one.
	Copies []float64 `json:"copies"`
	Late   []float64 `json:"late"`
	// Seeds is the number of runs of each group.
	Seeds int `json:"seeds"`
}

func readBenchmark(name string) benchmark {
	text, err := os.ReadFile(name)
	Expect(err).NotTo(HaveOccurred())
	script := benchmark{}
	Expect(json.Unmarshal(text, &script)).To(Succeed())
	return script
}

// compare runs both rules on the groups of a script, prints their figures side by side
// and passes them on.
func compare(script benchmark, check func(of shape, before, now figures)) {
	const line = "%5d %5g %5.2f  %7.0f %7.0f  %6.3f %6.3f  %6.3f %6.3f  %7.0f %7.0f  %6.3f %6.3f\n"
	fmt.Fprintln(GinkgoWriter, "ranks  copy  late  to1.3ms     now    skew    now  weight.    now   copies     now    over    now")
	for _, of := range script.Shapes {
		spread := fit(of)
		for _, of.Copy = range script.Copies {
			for _, of.Late = range script.Late {
				of.Lost = of.Late / 5
				var before, now figures
				for seed := range script.Seeds {
					before = before.plus(run(of, spread, uint64(seed), &fixedRule{shape: of}), 1/float64(script.Seeds))
					now = now.plus(run(of, spread, uint64(seed), newMeasuredRule(of)), 1/float64(script.Seeds))
				}
				fmt.Fprintf(GinkgoWriter, line, of.Ranks, of.Copy, of.Late, before.toGood, now.toGood, before.skew, now.skew,
					before.demandSkew, now.demandSkew, before.copies, now.copies, before.overLimit, now.overLimit)
				check(of, before, now)
			}
		}
	}
}

// Guards against sizes of stages that help one kind of group and harm another.
var _ = It("is better than the fixed rule at 32 and 72 ranks with copies of 16 ms", func() {
	compare(readBenchmark("testdata/groups.json"), func(_ shape, before, now figures) {
		Expect(now.demandSkew).To(BeNumerically("<", before.demandSkew-0.05))
		Expect(now.overLimit).To(BeNumerically("<", before.overLimit))
		Expect(now.toGood).To(BeNumerically("<", 0.7*before.toGood))
	})
})

// The whole comparison takes some minutes and runs with HIB_STAGE_ALL=1.
var _ = It("is not worse than the fixed rule in any group", func() {
	if os.Getenv("HIB_STAGE_ALL") == "" {
		Skip("HIB_STAGE_ALL is not set")
	}
	var worse []shape
	compare(readBenchmark("testdata/allGroups.json"), func(of shape, before, now figures) {
		if now.demandSkew > before.demandSkew || now.overLimit > before.overLimit {
			worse = append(worse, of)
		}
	})
	Expect(worse).To(BeEmpty())
})
