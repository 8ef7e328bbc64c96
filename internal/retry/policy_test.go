package retry_test

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/retry"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Retry")
}

// step is an event that occurs a number of times, and the expected state after it.
type step struct {
	At     clock.Millis `json:"at"`
	Event  string       `json:"event"`
	Engine string       `json:"engine"`
	Times  int          `json:"times"`
	// Granted is the number of retries that must be allowed.
	Granted int      `json:"granted"`
	Started int      `json:"started"`
	Usable  []string `json:"usable"`
}

type script struct {
	Name  string `json:"name"`
	Steps []step `json:"steps"`
}

func apply(policy retry.Policy, step step) (retry.Policy, bool) {
	switch step.Event {
	case "sent":
		policy.Detector = policy.Detector.WithSent(step.Engine, step.At)
	case "ok":
		return policy.WithEnd(step.Engine, retry.Succeeded, step.At), false
	case "fail":
		return policy.WithEnd(step.Engine, retry.Failed, step.At), false
	case "neutral":
		return policy.WithEnd(step.Engine, retry.Neutral, step.At), false
	case "retry":
		return policy.WithRetry(step.Started)
	}
	return policy, false
}

// Guards against retries that add load to a failing fleet, against avoiding all
// engines at once, and against probing many engines at once.
var _ = Describe("the policy", func() {
	text, err := os.ReadFile("testdata/policy.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			policy := retry.NewPolicy()
			for number, step := range script.Steps {
				granted := 0
				for range max(step.Times, 1) {
					next, ok := apply(policy, step)
					policy = next
					if ok {
						granted++
					}
				}
				Expect(granted).To(Equal(step.Granted), "step %d", number)
				Expect(policy.Detector.Usable([]string{"a", "b", "c"}, step.At)).To(Equal(step.Usable), "step %d", number)
			}
		})
	}
})
