package quorum_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQuorum(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Quorum")
}

type scripts struct {
	Runs      []script `json:"runs"`
	Faults    []script `json:"faults"`
	Isolation script   `json:"isolation"`
}

func load() scripts {
	text, err := os.ReadFile("testdata/cluster.json")
	if err != nil {
		panic(err)
	}
	var all scripts
	if err := json.Unmarshal(text, &all); err != nil {
		panic(err)
	}
	return all
}

var _ = Describe("a driven group of cores", func() {
	all := load()

	// Guards against two leaders of a term, committed entries that are lost or
	// changed, reads that are not current, and groups that do not recover.
	for _, script := range append(all.Runs, all.Isolation) {
		It("stays correct: "+script.Name, func() {
			committed, emptied := 0, 0
			for seed := range script.Seeds {
				run := newCluster(script, "", seed)
				Expect(run.run()).To(Succeed(), "seed %d", seed)
				committed, emptied = committed+len(run.history), emptied+run.emptied
			}
			AddReportEntry(fmt.Sprintf("%d entries committed, %d disks emptied or damaged", committed, emptied))
			Expect(committed).To(BeNumerically(">", 0))
			Expect(emptied > 0).To(Equal(script.Empty+script.Damage > 0))
		})
	}

	// Guards against checks that would not notice a broken member.
	for _, script := range all.Faults {
		It("is shown to be checked: "+script.Name, func() {
			for seed := range script.Seeds {
				err := newCluster(script, script.Name, seed).run()
				// A fault may break several invariants; this one must be among those noticed.
				if err != nil && strings.Contains(err.Error(), script.Violation) {
					AddReportEntry(fmt.Sprintf("caught with seed %d: %v", seed, err))
					return
				}
			}
			Fail("the planted fault was not noticed")
		})
	}
})
