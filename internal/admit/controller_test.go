package admit_test

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/admit"
	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestAdmit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Admit")
}

// step is one event and the decisions expected from it.
type step struct {
	At       clock.Millis    `json:"at"`
	Capacity *admit.Capacity `json:"capacity"`
	Arrive   *queue.Item     `json:"arrive"`
	Started  string          `json:"started"`
	Done     string          `json:"done"`
	Want     []string        `json:"want"`
}

type script struct {
	Name     string         `json:"name"`
	Settings admit.Settings `json:"settings"`
	Steps    []step         `json:"steps"`
}

var _ = Describe("the controller's decisions", func() {
	text, err := os.ReadFile("testdata/decisions.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			subject := admit.New(script.Settings)
			for number, step := range script.Steps {
				Expect(describe(play(subject, step))).To(Equal(append([]string{}, step.Want...)), "step %d", number)
			}
		})
	}
})

func play(subject *admit.Controller, step step) []admit.Decision {
	switch {
	case step.Capacity != nil:
		return subject.SetCapacity(step.At, *step.Capacity)
	case step.Arrive != nil:
		step.Arrive.Arrived = step.At
		return subject.Arrive(step.At, *step.Arrive)
	case step.Done != "":
		return subject.Done(step.At, step.Done)
	case step.Started != "":
		subject.Started(step.Started)
	}
	return subject.Tick(step.At)
}

func describe(decisions []admit.Decision) []string {
	list := []string{}
	for _, decision := range decisions {
		switch decision := decision.(type) {
		case admit.Admit:
			list = append(list, "admit "+decision.ID)
		case admit.Refuse:
			list = append(list, "refuse "+decision.ID+": "+decision.Refusal.Error())
		}
	}
	return list
}
