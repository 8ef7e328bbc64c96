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

// script is a history and the predictions expected from it.
type script struct {
	Name  string `json:"name"`
	Learn []struct {
		sizes.Traits
		Size  uint32 `json:"size"`
		Times int    `json:"times"`
	} `json:"learn"`
	Predict []struct {
		sizes.Traits
		Min uint32 `json:"least"`
		Max uint32 `json:"most"`
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
			for _, sample := range script.Learn {
				for range max(sample.Times, 1) {
					subject.Learn(sample.Traits, sample.Size)
				}
			}
			for number, prediction := range script.Predict {
				Expect(subject.Predict(prediction.Traits)).To(And(BeNumerically(">=", prediction.Min), BeNumerically("<=", prediction.Max)), "prediction %d", number)
			}
		})
	}
})
