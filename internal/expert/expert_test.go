package expert_test

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	model "github.com/hibiscuslug/hibiscuslug/bench/expert"
	"github.com/hibiscuslug/hibiscuslug/internal/expert"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestExpert(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Expert")
}

type script struct {
	Name   string       `json:"name"`
	Ranks  int          `json:"ranks"`
	Steps  int          `json:"steps"`
	Seeds  uint64       `json:"seeds"`
	Faults model.Faults `json:"faults"`
	// Switched is the minimum number of maps that come into force over all
	// seeds.
	Switched int `json:"switched"`
	// Violation names an injected fault that the check must detect.
	Violation string `json:"violation"`
}

var violations = map[string]model.Violation{
	"": model.None, "ignoreHold": model.IgnoreHold, "activateEarly": model.ActivateEarly,
}

const limit = 10 * clock.Hour

var _ = Describe("a rank group in lock-step", func() {
	text, err := os.ReadFile("testdata/groups.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			mixed, switched := 0, 0
			for seed := uint64(1); seed <= script.Seeds; seed++ {
				group := model.NewGroup(seed, script.Ranks, script.Faults, violations[script.Violation])
				group.Run(script.Steps, limit)
				if script.Violation == "" {
					Expect(group.Mixed).To(BeZero(), "seed %d", seed)
					Expect(group.Steps).To(Equal(script.Steps), "seed %d: the group has stopped", seed)
				}
				mixed += group.Mixed
				switched += group.Switched
			}
			Expect(switched).To(BeNumerically(">=", script.Switched))
			if script.Violation != "" {
				Expect(mixed).To(BeNumerically(">", 0), "the check does not detect the injected fault")
			}
		})
	}
})

// Guards against maps that change when a group record is encoded and decoded.
var _ = It("decodes the map that was encoded and refuses truncated ones", func() {
	plan, err := expert.NewMap(2, 2, [][]uint16{{0, 1, 2, 300}, {3, 2, 1, 0}})
	Expect(err).NotTo(HaveOccurred())
	decoded, err := expert.Decode(plan.Encode())
	Expect(err).NotTo(HaveOccurred())
	Expect(decoded).To(Equal(plan))
	Expect(decoded.WithSlot(0, 0, 2).Copies(plan)).To(Equal(1))
	encoded := plan.Encode()
	for size := range encoded {
		_, err := expert.Decode(encoded[:size])
		Expect(err).To(HaveOccurred())
	}
})

func FuzzDecode(f *testing.F) {
	plan, err := expert.NewMap(2, 1, [][]uint16{{0, 1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(plan.Encode())
	f.Fuzz(func(t *testing.T, buf []byte) {
		plan, err := expert.Decode(buf)
		if err == nil && plan.Layers() > 0 && len(plan.Slots(0)) != plan.Ranks()*plan.SlotsPerRank() {
			t.Fatalf("decoded a map with %d slots in a layer", len(plan.Slots(0)))
		}
	})
}
