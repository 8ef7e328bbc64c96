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
		ID    string  `json:"id"`
		Work  int     `json:"work"`
		Slots int     `json:"slots"`
		Local bool    `json:"local"`
		Avoid bool    `json:"avoid"`
		Cold  bool    `json:"cold"`
		Pace  float64 `json:"pace"`
	} `json:"candidates"`
	// Want lists the ids of the endpoints chosen in 100 calls, each at least once.
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

// Guards against choices that change although no endpoint is slow.
var _ = It("chooses as without a pace where no endpoint is slow", func() {
	random := rand.New(rand.NewPCG(2, 2))
	for seed := range uint64(500) {
		var plain, paced []choose.Candidate
		for range 1 + random.IntN(8) {
			candidate := choose.Candidate{
				Work: random.IntN(20), Slots: random.IntN(12), Local: random.IntN(2) == 0, Avoid: random.IntN(3) == 0, Cold: random.IntN(4) == 0,
			}
			plain = append(plain, candidate)
			candidate.Pace = random.Float64()
			paced = append(paced, candidate)
		}
		first, second := rand.New(rand.NewPCG(seed, 3)), rand.New(rand.NewPCG(seed, 3))
		Expect(choose.Best(paced, first)).To(Equal(choose.Best(plain, second)), "seed %d", seed)
	}
})

// imbalanceOf simulates gateways with stale load reports, and returns the ratio of the
// highest load to the mean load, averaged over time.
func imbalanceOf(pick func([]choose.Candidate, *rand.Rand) int) float64 {
	const endpoints, rate, duration, reportInterval = 63, 4, 300, 30
	random := rand.New(rand.NewPCG(5, 5))
	now, reported := make([]int, endpoints), make([]int, endpoints)
	leaving := map[int][]int{}
	meanRatio := 0.0
	for tick := range 2000 {
		for _, at := range leaving[tick] {
			now[at]--
		}
		if tick%reportInterval == 0 {
			copy(reported, now)
		}
		for range rate {
			list := make([]choose.Candidate, endpoints)
			for at := range list {
				list[at] = choose.Candidate{Work: reported[at], Slots: 10}
			}
			at := pick(list, random)
			now[at]++
			leaving[tick+duration] = append(leaving[tick+duration], at)
		}
		if tick > duration {
			highest, sum := 0, 0
			for _, work := range now {
				highest, sum = max(highest, work), sum+work
			}
			meanRatio += float64(highest*endpoints) / float64(sum) / float64(2000-duration-1)
		}
	}
	return meanRatio
}

// Guards against many gateways choosing the same endpoint because stale reports show
// it to all of them as the least loaded.
var _ = It("balances load better from stale reports than choosing the least loaded endpoint does", func() {
	leastLoaded := func(list []choose.Candidate, random *rand.Rand) int {
		best := 0
		for _, at := range random.Perm(len(list)) {
			if list[at].Work < list[best].Work {
				best = at
			}
		}
		return best
	}
	baseline, sampled := imbalanceOf(leastLoaded), imbalanceOf(choose.Best)
	GinkgoWriter.Println("highest load relative to the mean:", baseline, sampled)
	Expect(sampled).To(BeNumerically("<", baseline))
})
