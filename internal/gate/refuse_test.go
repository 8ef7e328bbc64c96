package gate

import (
	"encoding/json"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/hibiscuslug/hibiscuslug/internal/roster"
)

// refuseScript is what connections meet that show whether an endpoint crashed.
type refuseScript struct {
	Name string `json:"name"`
	// OwnZone is set when the endpoint is in the gateway's zone.
	OwnZone bool `json:"ownZone"`
	// Others is the number of other endpoints in its zone.
	Others int `json:"others"`
	// Reaches are the expected connections in order: the endpoint, and whether it
	// accepts.
	Reaches []struct {
		ID      string `json:"id"`
		Accepts bool   `json:"accepts"`
	} `json:"reaches"`
	Crashed bool `json:"crashed"`
}

// Guards against a crash that is reported when a partition of the zone ends between the
// connections which tell one from the other.
var _ = Describe("an endpoint whose connection broke", func() {
	text, err := os.ReadFile("testdata/refuse.json")
	if err != nil {
		panic(err)
	}
	var scripts []refuseScript
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			var others []roster.Record
			for _, id := range []string{"b", "c", "d"}[:script.Others] {
				others = append(others, roster.Record{ID: id})
			}
			rest := script.Reaches
			crashed := refusesAlone(roster.Record{ID: "a"}, others, script.OwnZone, func(record roster.Record) error {
				Expect(rest).NotTo(BeEmpty(), record.ID)
				next := rest[0]
				rest = rest[1:]
				Expect(record.ID).To(Equal(next.ID))
				if next.Accepts {
					return nil
				}
				return unix.ECONNREFUSED
			})
			Expect(rest).To(BeEmpty())
			Expect(crashed).To(Equal(script.Crashed))
		})
	}
})
