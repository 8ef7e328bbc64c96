package crash_test

import (
	"encoding/json"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// partRequest is a request with the shared parts of its prompt.
type partRequest struct {
	Fingerprint uint64   `json:"fingerprint"`
	Parts       []uint64 `json:"parts"`
	// Begun is set if the answer had begun before a crash.
	Begun bool `json:"begun"`
}

func (request partRequest) request() crash.Request {
	return crash.Request{Fingerprint: request.Fingerprint, Parts: request.Parts}
}

// partStep is an event about prompt parts and the expected state after it.
type partStep struct {
	At       clock.Millis  `json:"at"`
	Event    string        `json:"event"`
	Endpoint string        `json:"endpoint"`
	Requests []partRequest `json:"requests"`
	Part     uint64        `json:"part"`
	// BegunAt is the time of a begin; the time of the step if it is 0.
	BegunAt clock.Millis `json:"begunAt"`
	// Granted is the expected answer to each request that asks for a probe.
	Granted []bool `json:"granted"`
	Expect  []struct {
		partRequest
		Treatment string       `json:"treatment"`
		Part      uint64       `json:"part"`
		Until     clock.Millis `json:"until"`
	} `json:"expect"`
}

type partScript struct {
	Name  string     `json:"name"`
	Steps []partStep `json:"steps"`
}

var treatments = map[crash.Treatment]string{
	crash.Normal: "normal", crash.Quarantine: "normal", crash.Wait: "wait", crash.Block: "block", crash.Probe: "probe",
}

// apply carries out a step and returns the next core.
func (step partStep) apply(core crash.Core, number int) crash.Core {
	switch step.Event {
	case "crash":
		record := crash.Crash{Endpoint: step.Endpoint, Incarnation: 1, At: step.At}
		for _, suspect := range step.Requests {
			record.Suspects = append(record.Suspects, crash.Suspect{Request: suspect.request(), Begun: suspect.Begun})
		}
		core, _ = core.Step(crash.Crashed{Crash: record}, step.At)
	case "begun":
		at := step.BegunAt
		if at == 0 {
			at = step.At
		}
		core, _ = core.Step(crash.Begun{Part: step.Part, At: at}, step.At)
	case "survived":
		core, _ = core.Step(crash.Survived{Part: step.Part, At: step.At}, step.At)
	case "alive":
		core, _ = core.Step(crash.Announced{Endpoint: step.Endpoint, Incarnation: 1}, step.At)
	case "probe":
		for at, request := range step.Requests {
			next, granted := core.WithProbe(request.request(), step.At)
			Expect(granted).To(Equal(step.Granted[at]), "step %d, probe %d", number, at)
			core = next
		}
	default:
		core, _ = core.Step(crash.Tick{}, step.At)
	}
	return core
}

// Guards against prompt parts that crash one endpoint after the other, and against
// sound requests that are refused for a part that they share with a deadly prompt.
var _ = Describe("suspicion of prompt parts", func() {
	text, err := os.ReadFile("testdata/parts.json")
	if err != nil {
		panic(err)
	}
	var scripts []partScript
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			core := crash.Core{}
			for number, step := range script.Steps {
				core = step.apply(core, number)
				for at, want := range step.Expect {
					decision := core.Decide(want.request(), step.At)
					Expect(treatments[decision.Treatment]).To(Equal(want.Treatment), "step %d, request %d", number, at)
					if want.Part > 0 {
						Expect(decision.Part).To(Equal(want.Part), "step %d, request %d", number, at)
					}
					if want.Until > 0 {
						Expect(decision.Until).To(Equal(want.Until), "step %d, request %d", number, at)
					}
				}
			}
		})
	}
})

// Guards against evidence that is lost or counted twice on its way between processes
// whose clocks differ, and against messages that go round for ever.
var _ = It("merges evidence to the same decisions in any process", func() {
	now := clock.Minute
	first, second := crash.Core{}, crash.Core{}
	sound, deadly := crash.Request{Fingerprint: 1, Parts: []uint64{10}}, crash.Request{Fingerprint: 2, Parts: []uint64{10, 66}}
	record := crash.Crash{Endpoint: "e1", Incarnation: 1, At: now, Suspects: []crash.Suspect{{Request: deadly, RequestID: "r2", Customer: "clinic"}}}
	first, _ = first.Step(crash.Crashed{Crash: record}, now)
	first, _ = first.Step(crash.Begun{Part: 10, At: now - clock.Second}, now)
	const skew = clock.Hour
	merge := func(into crash.Core, message []crash.Event, at clock.Millis) crash.Core {
		for _, input := range message {
			into, _ = into.Step(input, at)
		}
		return into
	}
	evidence := func(core crash.Core, at clock.Millis) *wire.Evidence {
		message := &wire.Evidence{Now: int64(at)}
		core.AddTo(message, 0)
		return message
	}
	message := evidence(first, now)
	second = merge(second, crash.Events(message, now+skew), now+skew)
	later := now + 2*clock.Second
	for _, request := range []crash.Request{sound, deadly} {
		here, there := first.Decide(request, later), second.Decide(request, later+skew)
		Expect(there.Treatment).To(Equal(here.Treatment))
		Expect(there.Crashes).To(Equal(here.Crashes))
	}
	Expect(first.Decide(deadly, later).Treatment).To(Equal(crash.Block))
	Expect(first.Decide(sound, later).Treatment).To(Equal(crash.Normal))
	revisions := []uint64{first.Revision(), second.Revision()}
	first = merge(first, crash.Events(evidence(second, now+skew), now), now)
	second = merge(second, crash.Events(message, now+skew), now+skew)
	Expect([]uint64{first.Revision(), second.Revision()}).To(Equal(revisions))
})
