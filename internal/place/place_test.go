package place_test

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestPlace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Place")
}

type candidate struct {
	Engine  string       `json:"engine"`
	Model   string       `json:"model"`
	Zone    string       `json:"zone"`
	Running uint32       `json:"running"`
	Learned clock.Millis `json:"learned"`
	Sent    uint32       `json:"sent"`
}

type script struct {
	Name       string            `json:"name"`
	Prefix     uint64            `json:"prefix"`
	Now        clock.Millis      `json:"now"`
	Candidates []candidate       `json:"candidates"`
	Tried      map[string]uint32 `json:"tried"`
	// Want is the engine expected in more than half of 100 choices; empty when
	// no engine can run the call.
	Want  string `json:"want"`
	Queue bool   `json:"queue"`
}

func build(script script) ([]place.Candidate, map[string]*wire.EngineLoad) {
	var list []place.Candidate
	for _, given := range script.Candidates {
		list = append(list, place.Candidate{
			Zone: given.Zone, LoadTime: given.Learned, Sent: given.Sent,
			Load:   &wire.EngineLoad{Slots: 8, Running: given.Running},
			Engine: &wire.EngineInfo{Name: given.Engine, Kind: wire.Kind_KIND_MODEL, Models: []string{given.Model}},
		})
	}
	tried := map[string]*wire.EngineLoad{}
	for engine, running := range script.Tried {
		tried[engine] = &wire.EngineLoad{Slots: 8, Running: running}
	}
	return list, tried
}

var _ = Describe("the choice of an engine", func() {
	text, err := os.ReadFile("testdata/choose.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			random := rand.New(rand.NewPCG(1, 1))
			placer := place.New("zone1", random.IntN)
			request := call.Call{Kind: wire.Kind_KIND_MODEL, Model: "guide-1", PrefixHash: script.Prefix}
			list, tried := build(script)
			counts := map[string]int{}
			for range 100 {
				choice, ok := placer.Choose(request, list, script.Now, tried)
				Expect(ok).To(Equal(script.Want != ""))
				if ok {
					counts[choice.Candidate.Engine.GetName()]++
					Expect(choice.Queue).To(Equal(script.Queue))
				}
			}
			if script.Want != "" {
				Expect(counts[script.Want]).To(BeNumerically(">", 50), "%v", counts)
			}
		})
	}

	// Guards against a hash that maps most prefixes or endpoints to a few names.
	It("spreads subsets evenly and moves only the keys of a removed name", func() {
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}
		before, after := map[string]int{}, 0
		for at := range 1000 {
			key := "endpoint" + strconv.Itoa(at)
			chosen := place.Subset(key, names, 3)
			for _, name := range chosen {
				before[name]++
			}
			kept := place.Subset(key, names[1:], 3)
			for _, name := range chosen {
				if name != "a" {
					Expect(kept).To(ContainElement(name))
				}
			}
			after += len(kept)
		}
		Expect(after).To(Equal(3000))
		for _, name := range names {
			Expect(before[name]).To(BeNumerically("~", 273, 60), name)
		}
	})
})
