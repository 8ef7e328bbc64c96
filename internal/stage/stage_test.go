package stage_test

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/stage"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestStage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Stage")
}

// script is a sequence of measurements and the decision after them.
type script struct {
	Name       string       `json:"name"`
	Ranks      int          `json:"ranks"`
	Spare      int          `json:"spare"`
	CopyMillis float64      `json:"copyMillis"`
	MaxPause   clock.Millis `json:"maxPause"`
	Skew       float64      `json:"skew"`
	Now        clock.Millis `json:"now"`
	Events     []scripted   `json:"events"`
	Want       decision     `json:"want"`
}

// scripted is one measurement: the set field says which.
type scripted struct {
	At    clock.Millis `json:"at"`
	InUse *int         `json:"inUse"`
	Pass  float64      `json:"pass"`
	// Distance is that of a read from the loads.
	Distance float64    `json:"distance"`
	Stage    *madeStage `json:"stage"`
	Repeat   int        `json:"repeat"`
}

type madeStage struct {
	Took     clock.Millis `json:"took"`
	Prepared clock.Millis `json:"prepared"`
	Copies   int          `json:"copies"`
}

type decision struct {
	None     bool `json:"none"`
	PerRank  int  `json:"perRank"`
	PerLayer int  `json:"perLayer"`
	// MinGain and MaxGain bound the gain required of a copy.
	MinGain float64 `json:"minGain"`
	MaxGain float64 `json:"maxGain"`
	// Planned is the skew of a planned map, Copies what a rank copies for it.
	Planned float64 `json:"planned"`
	Copies  int     `json:"copies"`
	Worth   bool    `json:"worth"`
}

var _ = Describe("the size of a stage", func() {
	text, err := os.ReadFile("testdata/stages.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			group := stage.NewGroup(plan.Engine{
				RequestSlots: 10, Layers: 12, Spare: script.Spare, ExpertShare: 0.85, CopyMillis: script.CopyMillis,
			}).WithMaxPause(script.MaxPause)
			for _, event := range script.Events {
				for range max(event.Repeat, 1) {
					group = with(group, event, script)
				}
			}
			settings, ok := group.Settings(script.Skew, script.Now)
			Expect(ok).To(Equal(!script.Want.None))
			if !ok {
				return
			}
			Expect(settings.PerRankAll).To(Equal(script.Want.PerRank))
			Expect(settings.PerRank).To(Equal(script.Want.PerLayer))
			Expect(settings.MinGain).To(And(BeNumerically(">=", script.Want.MinGain), BeNumerically("<=", script.Want.MaxGain)))
			if script.Want.Copies > 0 {
				Expect(group.IsWorth(script.Skew, script.Want.Planned, script.Want.Copies, script.Now)).To(Equal(script.Want.Worth))
			}
		})
	}
})

func with(group stage.Group, event scripted, script script) stage.Group {
	switch {
	case event.InUse != nil:
		return group.WithDemand(*event.InUse, script.Ranks, event.At)
	case event.Pass > 0:
		return group.WithPass(event.Pass, script.Skew, event.At)
	case event.Distance > 0:
		group, _ = group.WithDistance(event.Distance, event.At)
		return group
	case event.Stage != nil:
		return group.WithStage(event.Stage.Took, event.Stage.Prepared, event.Stage.Copies)
	}
	return group
}
