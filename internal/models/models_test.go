package models_test

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuslug/hibiscuslug/internal/models"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestModels(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Models")
}

type script struct {
	Name      string          `json:"name"`
	Now       clock.Millis    `json:"now"`
	Transfers int             `json:"transfers"`
	Models    []models.Model  `json:"models"`
	Engines   []models.Engine `json:"engines"`
	// Want holds the engines whose set changes, with their new sets.
	Want map[string][]string `json:"want"`
}

var _ = Describe("the placement of models", func() {
	text, err := os.ReadFile("testdata/plans.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			got := map[string][]string{}
			for _, change := range models.New(models.Default(script.Transfers)).Plan(script.Models, script.Engines, script.Now) {
				got[change.Engine] = change.Models
			}
			Expect(got).To(Equal(script.Want))
		})
	}
})

// TestHoldingReachesNewestSet guards against lost, repeated or reordered
// instructions that leave an engine with other models than those of the newest
// set.
func TestHoldingReachesNewestSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		set := func(epoch uint64) []string { return []string{names[epoch%4], names[(epoch/2+1)%4]} }
		last := rapid.Uint64Range(1, 20).Draw(t, "last")
		holding := models.NewHolding("a")
		for range rapid.IntRange(0, 40).Draw(t, "messages") {
			epoch := rapid.Uint64Range(1, last).Draw(t, "epoch")
			holding = step(holding.WithWanted(epoch, set(epoch)), rapid.Bool().Draw(t, "ok"))
		}
		holding = holding.WithWanted(last, set(last))
		for range 20 {
			holding = step(holding, true)
		}
		for _, model := range set(last) {
			if !contains(holding.Held(), model) {
				t.Fatalf("model %s of epoch %d is not held: %v", model, last, holding.Held())
			}
		}
		if _, ok := holding.Next().(models.Nothing); !ok {
			t.Fatalf("engine still has steps to do: %v", holding.Held())
		}
	})
}

func contains(list []string, name string) bool {
	for _, held := range list {
		if held == name {
			return true
		}
	}
	return false
}

func step(holding models.Holding, ok bool) models.Holding {
	switch next := holding.Next().(type) {
	case models.Load:
		return holding.WithLoading(next.Model).WithLoaded(next.Model, ok)
	case models.Unload:
		return holding.WithUnloaded(next.Model)
	default:
		return holding
	}
}
