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

// spreadOf plays gateways that see loads of the past, and returns the most
// loaded endpoint against the mean, over time.
func spreadOf(pick func([]choose.Candidate, *rand.Rand) int) float64 {
	const endpoints, rate, stays, stale = 63, 4, 300, 30
	random := rand.New(rand.NewPCG(5, 5))
	now, seen := make([]int, endpoints), make([]int, endpoints)
	leaving := map[int][]int{}
	worst := 0.0
	for tick := range 2000 {
		for _, at := range leaving[tick] {
			now[at]--
		}
		if tick%stale == 0 {
			copy(seen, now)
		}
		for range rate {
			list := make([]choose.Candidate, endpoints)
			for at := range list {
				list[at] = choose.Candidate{Work: seen[at], Slots: 10}
			}
			at := pick(list, random)
			now[at]++
			leaving[tick+stays] = append(leaving[tick+stays], at)
		}
		if tick > stays {
			most, sum := 0, 0
			for _, work := range now {
				most, sum = max(most, work), sum+work
			}
			worst += float64(most*endpoints) / float64(sum) / float64(2000-stays-1)
		}
	}
	return worst
}

// Guards against many gateways that take the same endpoint because all see it
// as the least loaded (npwfa-doors-grown scale-2).
var _ = It("spreads work evenly though loads are known late, where taking the least loaded does not", func() {
	least := func(list []choose.Candidate, random *rand.Rand) int {
		best := 0
		for _, at := range random.Perm(len(list)) {
			if list[at].Work < list[best].Work {
				best = at
			}
		}
		return best
	}
	plain, few := spreadOf(least), spreadOf(choose.Best)
	GinkgoWriter.Println("most loaded against the mean:", plain, few)
	Expect(few).To(BeNumerically("<", plain))
})
