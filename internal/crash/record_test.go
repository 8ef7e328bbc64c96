package crash_test

import (
	"encoding/json"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// blockRecord is a block of the configuration.
type blockRecord struct {
	Part        uint64       `json:"part"`
	Fingerprint uint64       `json:"fingerprint"`
	At          clock.Millis `json:"at"`
	Until       clock.Millis `json:"until"`
	Crashes     int          `json:"crashes"`
}

// recordStep is a step with the blocks that the configuration holds from then on, and
// those that the control leader must add.
type recordStep struct {
	partStep
	Recorded   *[]blockRecord `json:"recorded"`
	Unrecorded *[]blockRecord `json:"unrecorded"`
}

// Guards against blocks that a restart of all processes ends, that are put into the
// configuration more than once or before other processes have reported, and that stay
// there after the crashes turned out to have another cause.
var _ = Describe("blocks in the configuration", func() {
	text, err := os.ReadFile("testdata/records.json")
	if err != nil {
		panic(err)
	}
	var scripts []struct {
		Name  string       `json:"name"`
		Steps []recordStep `json:"steps"`
	}
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			core := crash.Core{}
			for number, step := range script.Steps {
				if step.Event != "" {
					core = step.apply(core, number)
				}
				if step.Recorded != nil {
					var records []crash.Record
					for _, record := range *step.Recorded {
						records = append(records, crash.Record(record))
					}
					core, _ = core.Step(crash.Recorded{Records: records}, step.At)
				}
				if step.Unrecorded != nil {
					found := []blockRecord{}
					for _, record := range core.Unrecorded(step.At) {
						found = append(found, blockRecord(record))
					}
					Expect(found).To(Equal(*step.Unrecorded), "step %d", number)
				}
				for at, want := range step.Expect {
					decision := core.Decide(want.request(), step.At)
					Expect(treatments[decision.Treatment]).To(Equal(want.Treatment), "step %d, request %d", number, at)
					if want.Until > 0 {
						Expect(decision.Until).To(Equal(want.Until), "step %d, request %d", number, at)
					}
				}
			}
		})
	}
})
