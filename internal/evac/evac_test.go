package evac_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/evac"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestEvac(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Evac")
}

type order struct {
	Zone     string `json:"zone"`
	Active   bool   `json:"active"`
	Revision uint64 `json:"revision"`
	At       int64  `json:"at"`
}

type step struct {
	At clock.Millis `json:"at"`
	// Poll names the gateway that polls, with the revision that it holds.
	Poll     string `json:"poll"`
	Revision uint64 `json:"revision"`
	// Order replaces the latest order.
	Order   *order   `json:"order"`
	Actions []string `json:"actions"`
}

type script struct {
	Name  string `json:"name"`
	Steps []step `json:"steps"`
}

func describe(actions []evac.Action) []string {
	lines := []string{}
	for _, action := range actions {
		switch action := action.(type) {
		case evac.Held:
			lines = append(lines, fmt.Sprintf("%s %d held by %d after %s", action.Order.GetZone(), action.Order.GetRevision(), action.Gateways, action.Took))
		case evac.Late:
			lines = append(lines, fmt.Sprintf("%s %d late at %s after %s", action.Order.GetZone(), action.Order.GetRevision(), strings.Join(action.Missing, ","), action.Age))
		}
	}
	return lines
}

// Guards against an operator who takes a zone for evacuated while a gateway does not
// know of it, and against lines that repeat.
var _ = Describe("the spread of an order", func() {
	text, err := os.ReadFile("testdata/spread.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			spread := evac.New(5 * clock.Second)
			var orders []*wire.Evacuation
			for at, step := range script.Steps {
				if step.Poll != "" {
					spread.Polled(step.Poll, step.Revision, step.At)
				}
				if step.Order != nil {
					orders = []*wire.Evacuation{{Zone: step.Order.Zone, Active: step.Order.Active, Revision: step.Order.Revision, At: step.Order.At}}
				}
				if step.Actions != nil {
					Expect(describe(spread.Check(orders, step.At))).To(Equal(step.Actions), "step %d", at)
				}
			}
		})
	}
})
