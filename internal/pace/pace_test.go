package pace_test

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/pace"
)

func TestPace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Pace")
}

// script is a sequence of reads and the paces after the last one.
type script struct {
	Name  string      `json:"name"`
	Reads [][]float64 `json:"reads"`
	Want  []float64   `json:"want"`
	Slow  []int       `json:"slow"`
}

var _ = Describe("the paces of ranks", func() {
	text, err := os.ReadFile("testdata/paces.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			ranks := pace.Ranks{}
			for _, read := range script.Reads {
				ranks = ranks.WithRead(read)
			}
			Expect(ranks.Paces()).To(Equal(script.Want))
			Expect(ranks.Slow()).To(Equal(script.Slow))
		})
	}
})
