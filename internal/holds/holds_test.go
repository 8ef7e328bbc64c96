package holds_test

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/holds"
)

func TestHolds(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Holds")
}

// script is a sequence of bytes taken, or given back where negative. Taken says what each
// of them was answered.
type script struct {
	Name    string  `json:"name"`
	Limit   int64   `json:"limit"`
	Changes []int64 `json:"changes"`
	Taken   []bool  `json:"taken"`
	Held    int64   `json:"held"`
}

var _ = Describe("a budget", func() {
	text, err := os.ReadFile("testdata/takes.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			budget := holds.New(script.Limit)
			for at, change := range script.Changes {
				taken := true
				if change < 0 {
					budget.Give(-change)
				} else {
					taken = budget.Take(change)
				}
				Expect(taken).To(Equal(script.Taken[at]), "change %d", at)
			}
			Expect(budget.Held()).To(Equal(script.Held))
		})
	}
})

// Guards against two requests that both take the last bytes.
var _ = It("stays under its limit when many take at the same time", func() {
	const limit = 100
	budget := holds.New(limit)
	var takers conc.WaitGroup
	for range 8 {
		takers.Go(func() {
			for range 1000 {
				if budget.Take(30) {
					Expect(budget.Held()).To(BeNumerically("<=", limit))
					budget.Give(30)
				}
			}
		})
	}
	takers.Wait()
	Expect(budget.Held()).To(BeZero())
})
