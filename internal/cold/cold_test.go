package cold_test

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/cold"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestCold(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Cold")
}

const coldTime = 2500 * clock.Millis(1)

type step struct {
	At        clock.Millis `json:"at"`
	Heartbeat *struct {
		Received  clock.Millis `json:"received"`
		Remaining clock.Millis `json:"remaining"`
		Unstated  bool         `json:"unstated"`
		Born      clock.Millis `json:"born"`
	} `json:"heartbeat"`
	Answer *struct {
		Sent      clock.Millis `json:"sent"`
		Remaining clock.Millis `json:"remaining"`
	} `json:"answer"`
	Failure bool   `json:"failure"`
	Ended   string `json:"ended"`
	Cold    bool   `json:"cold"`
	Reason  string `json:"reason"`
}

type script struct {
	Name  string `json:"name"`
	Steps []step `json:"steps"`
}

// Guards against a burst at an endpoint that a gateway takes for warm, and against one
// that stays limited after it is warm.
var _ = Describe("the state of an endpoint of zone z1", func() {
	text, err := os.ReadFile("testdata/states.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			const start = clock.Hour
			table, endpoints := cold.Table{}, roster.New()
			for number, step := range script.Steps {
				now := start + step.At
				if sent := step.Heartbeat; sent != nil {
					endpoints.Put(roster.Record{
						ID: "e1", Service: "desk", Address: "10.0.0.1:80", Zone: "z1", Born: max(sent.Born, 1), Sequence: uint64(number + 1),
						ReceivedAt: start + sent.Received, ColdUntil: start + sent.Received + sent.Remaining, ColdUnstated: sent.Unstated,
					})
				}
				record, ok := endpoints.Get("e1")
				Expect(ok).To(BeTrue())
				if step.Answer != nil {
					table = table.WithAnswer(cold.Key(record), step.Answer.Remaining, start+step.Answer.Sent, now)
				}
				if step.Failure {
					table = table.WithFailure(cold.Key(record), now)
				}
				if step.Ended != "" {
					table = table.WithEnded(step.Ended, now)
				}
				state := table.State(record, coldTime, now)
				Expect(state.IsCold).To(Equal(step.Cold), "step %d", number)
				if step.Cold {
					Expect(state.Reason).To(Equal(step.Reason), "step %d", number)
				}
			}
		})
	}
})
