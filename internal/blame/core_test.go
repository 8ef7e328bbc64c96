package blame_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/blame"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestBlame(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Blame")
}

// step is an event and the expected state after it.
type step struct {
	At          clock.Millis      `json:"at"`
	Event       string            `json:"event"`
	Endpoint    string            `json:"endpoint"`
	Incarnation uint64            `json:"incarnation"`
	Alone       uint64            `json:"alone"`
	Suspects    []uint64          `json:"suspects"`
	Verdicts    map[string]string `json:"verdicts"`
	Proposed    []string          `json:"proposed"`
}

type script struct {
	Name  string `json:"name"`
	Steps []step `json:"steps"`
}

func (step step) event() blame.Event {
	crash := blame.Crash{Endpoint: step.Endpoint, Incarnation: step.Incarnation, At: step.At, Alone: step.Alone}
	for _, fingerprint := range step.Suspects {
		crash.Suspects = append(crash.Suspects, blame.Suspect{Fingerprint: fingerprint, RequestID: fmt.Sprint("r", fingerprint)})
	}
	switch step.Event {
	case "crash":
		return blame.Crashed{Crash: crash}
	case "silent":
		return blame.Silent{Crash: crash}
	case "seen":
		return blame.Announced{Endpoint: step.Endpoint, Incarnation: step.Incarnation}
	case "cleared":
		return blame.Cleared{Fingerprint: step.Suspects[0], At: step.At}
	case "blocked":
		return blame.Blocked{Fingerprint: step.Suspects[0], Until: step.At + clock.Minute}
	case "ended":
		return blame.Ended{Fingerprint: step.Suspects[0]}
	}
	return blame.Tick{}
}

// Guards against requests that crash endpoints and are not blocked, and against
// blocking other requests that ran on the same endpoints.
var _ = Describe("suspicion", func() {
	text, err := os.ReadFile("testdata/crashes.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	names := []string{"free", "quarantine", "hold", "refuse"}
	for _, script := range scripts {
		It(script.Name, func() {
			core := blame.Core{}
			for number, step := range script.Steps {
				next, actions := core.Step(step.event(), step.At)
				core = next
				var proposed []string
				for _, action := range actions {
					if proposal, ok := action.(blame.Propose); ok {
						proposed = append(proposed, proposal.Suspect.RequestID)
					}
				}
				Expect(proposed).To(ConsistOf(step.Proposed), "step %d", number)
				for fingerprint, want := range step.Verdicts {
					value, err := strconv.ParseUint(fingerprint, 10, 64)
					Expect(err).NotTo(HaveOccurred())
					Expect(names[core.Verdict(value, step.At).Standing]).To(Equal(want), "step %d, request %s", number, fingerprint)
				}
			}
		})
	}
})
