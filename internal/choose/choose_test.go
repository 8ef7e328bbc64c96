package choose_test

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/choose"
)

func TestChoose(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Choose")
}

type script struct {
	Name       string `json:"name"`
	Candidates []struct {
		ID    string `json:"id"`
		Work  int    `json:"work"`
		Slots int    `json:"slots"`
		Local bool   `json:"local"`
		Avoid bool   `json:"avoid"`
		Cold  bool   `json:"cold"`
	} `json:"candidates"`
	// Want lists the ids that 100 choices must give, each at least once.
	Want []string `json:"want"`
}

var _ = Describe("the choice of an endpoint", func() {
	text, err := os.ReadFile("testdata/choices.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			var list []choose.Candidate
			for _, given := range script.Candidates {
				list = append(list, choose.Candidate(given))
			}
			random := rand.New(rand.NewPCG(1, 1))
			chosen := map[string]bool{}
			for range 100 {
				id := ""
				if at := choose.Best(list, random); at >= 0 {
					id = list[at].ID
				}
				chosen[id] = true
			}
			Expect(chosen).To(HaveLen(len(script.Want)))
			for _, id := range script.Want {
				Expect(chosen).To(HaveKey(id))
			}
		})
	}
})
