package state_test

import (
	"encoding/json"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// evacuationStep is an order about a zone with the expected result.
type evacuationStep struct {
	Zone   string `json:"zone"`
	Active bool   `json:"active"`
	After  uint64 `json:"after"`
	Code   string `json:"code"`
	// Revision is that of the zone's record after the step; 0 for none.
	Revision  uint64   `json:"revision"`
	Evacuated []string `json:"evacuated"`
}

type evacuationScript struct {
	Name  string           `json:"name"`
	Steps []evacuationStep `json:"steps"`
}

// evacuated lists the evacuated zones.
func evacuated(config *state.State) []string {
	zones := []string{}
	for _, record := range config.Evacuations() {
		Expect(config.IsEvacuated(record.GetZone())).To(Equal(record.GetActive()))
		if record.GetActive() {
			zones = append(zones, record.GetZone())
		}
	}
	return zones
}

// Guards against an order that undoes a later one, that is refused when it is sent
// again, or that is lost from the snapshot or on the way to a process that follows.
var _ = Describe("evacuations", func() {
	text, err := os.ReadFile("testdata/evacuations.json")
	if err != nil {
		panic(err)
	}
	var scripts []evacuationScript
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			machine, follower := state.NewMachine(), state.New()
			for at, step := range script.Steps {
				result, numbered := machine.Apply(&wire.Change{At: int64(at + 1), Body: &wire.Change_Evacuation{
					Evacuation: &wire.Evacuation{Zone: step.Zone, Active: step.Active, After: step.After},
				}})
				Expect(result.GetCode()).To(Equal(step.Code), "step %d: %s", at, result.GetError())
				if numbered != nil {
					next, err := follower.WithNumbered(numbered)
					Expect(err).NotTo(HaveOccurred())
					follower = next
				}
				for _, config := range []*state.State{machine.State(), follower, state.Restore(machine.Snapshot()).State()} {
					record, _ := config.Evacuation(step.Zone)
					Expect(record.GetRevision()).To(Equal(step.Revision), "step %d", at)
					Expect(evacuated(config)).To(Equal(step.Evacuated), "step %d", at)
				}
			}
		})
	}
})
