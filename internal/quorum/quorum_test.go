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

var _ = Describe("a simulated group of cores", func() {
	all := load()

	// Guards against two leaders in a term, lost or changed committed entries,
	// stale reads, and groups that do not recover from faults.
	for _, script := range append(all.Runs, all.Isolation) {
		It("stays correct: "+script.Name, func() {
			committed, diskLosses, fulls := 0, 0, 0
			for seed := range script.Seeds {
				run := newCluster(script, "", seed)
				Expect(run.run()).To(Succeed(), "seed %d", seed)
				committed, diskLosses, fulls = committed+len(run.history), diskLosses+run.diskLosses, fulls+run.fulls
			}
			AddReportEntry(fmt.Sprintf("%d entries committed, %d disks emptied or damaged, %d full", committed, diskLosses, fulls))
			Expect(committed).To(BeNumerically(">", 0))
			Expect(diskLosses > 0).To(Equal(script.Empty+script.Damage > 0))
			Expect(fulls > 0).To(Equal(script.Full > 0))
		})
	}

	// Guards against checks that detect nothing: each script injects one bug,
	// which a check must report for at least one seed.
	for _, script := range all.Faults {
		It("detects an injected bug: "+script.Name, func() {
			for seed := range script.Seeds {
				err := newCluster(script, script.Name, seed).run()
				// A bug may violate several invariants; one seed must report this one.
				if err != nil && strings.Contains(err.Error(), script.Violation) {
					AddReportEntry(fmt.Sprintf("caught with seed %d: %v", seed, err))
					return
				}
			}
			Fail("no seed detected the injected bug")
		})
	}
})
