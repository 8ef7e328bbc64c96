package sizes_test

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/sizes"
)

func TestSizes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Sizes")
}

// script is a history and the predictions that must follow from it.
type script struct {
	Name  string `json:"name"`
	Learn []struct {
		sizes.Traits
		Size  uint32 `json:"size"`
		Times int    `json:"times"`
	} `json:"learn"`
	Predict []struct {
		sizes.Traits
		Least uint32 `json:"least"`
		Most  uint32 `json:"most"`
	} `json:"predict"`
}

var _ = Describe("predicted sizes", func() {
	text, err := os.ReadFile("testdata/predictions.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			subject := sizes.New()
			for _, seen := range script.Learn {
				for range max(seen.Times, 1) {
					subject.Learn(seen.Traits, seen.Size)
				}
			}
			for number, asked := range script.Predict {
				Expect(subject.Predict(asked.Traits)).To(And(BeNumerically(">=", asked.Least), BeNumerically("<=", asked.Most)), "prediction %d", number)
			}
		})
	}
})
