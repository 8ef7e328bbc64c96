package crash_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestCrash(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Crash")
}

// step is an event and the expected state after it.
type step struct {
	At          clock.Millis `json:"at"`
	Event       string       `json:"event"`
	Endpoint    string       `json:"endpoint"`
	Incarnation uint64       `json:"incarnation"`
	Alone       uint64       `json:"alone"`
	Suspects    []uint64     `json:"suspects"`
	// Begun are the suspects whose answers had begun.
	Begun []uint64 `json:"begun"`
	// IDs are the ids of the suspects; r and the fingerprint if there are none.
	IDs        []string          `json:"ids"`
	Treatments map[string]string `json:"verdicts"`
	Proposed   []string          `json:"proposed"`
}

type script struct {
	Name  string `json:"name"`
	Steps []step `json:"steps"`
}

func (step step) event() crash.Event {
	record := crash.Crash{Endpoint: step.Endpoint, Incarnation: step.Incarnation, At: step.At, QuarantinedFingerprint: step.Alone}
	for at, fingerprint := range step.Suspects {
		id := fmt.Sprint("r", fingerprint)
		if at < len(step.IDs) {
			id = step.IDs[at]
		}
		record.Suspects = append(record.Suspects, crash.Suspect{
			Request: crash.Request{Fingerprint: fingerprint}, RequestID: id, Begun: slices.Contains(step.Begun, fingerprint),
		})
	}
	switch step.Event {
	case "crash":
		return crash.Crashed{Crash: record}
	case "silent":
		return crash.Silent{Crash: record}
	case "seen":
		return crash.Announced{Endpoint: step.Endpoint, Incarnation: step.Incarnation}
	case "cleared":
		return crash.Cleared{Fingerprint: step.Suspects[0], At: step.At}
	case "blocked":
		return crash.Blocked{Fingerprint: step.Suspects[0], Until: step.At + clock.Minute}
	case "ended":
		return crash.Ended{Fingerprint: step.Suspects[0]}
	}
	return crash.Tick{}
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
			core := crash.Core{}
			for number, step := range script.Steps {
				next, actions := core.Step(step.event(), step.At)
				core = next
				var proposed []string
				for _, action := range actions {
					if proposal, ok := action.(crash.Propose); ok {
						proposed = append(proposed, proposal.Suspect.RequestID)
					}
				}
				Expect(proposed).To(ConsistOf(step.Proposed), "step %d", number)
				for fingerprint, want := range step.Treatments {
					value, err := strconv.ParseUint(fingerprint, 10, 64)
					Expect(err).NotTo(HaveOccurred())
					Expect(names[core.Decide(crash.Request{Fingerprint: value}, step.At).Treatment]).To(Equal(want), "step %d, request %s", number, fingerprint)
				}
			}
		})
	}
})
