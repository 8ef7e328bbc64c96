package evict_test

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/evict"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestEvict(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Evict")
}

// script is a state of a process, what is asked for and the decision about it.
type script struct {
	Name        string         `json:"name"`
	Bytes       int64          `json:"bytes"`
	Connections int            `json:"connections"`
	Holders     []evict.Holder `json:"holders"`
	// Asker asks for More bytes; without one, a new connection is asked for.
	Asker uint64       `json:"asker"`
	More  int64        `json:"more"`
	Now   clock.Millis `json:"now"`
	// Decision is admit, refuse or close.
	Decision string   `json:"decision"`
	Closed   []uint64 `json:"closed"`
}

func (script script) decide() evict.Decision {
	limits := evict.Limits{Bytes: script.Bytes, Connections: script.Connections}
	if script.Asker == 0 {
		return evict.Connection(limits, script.Holders, script.Now)
	}
	return evict.Bytes(limits, script.Holders, script.Asker, script.More, script.Now)
}

var _ = Describe("a decision", func() {
	text, err := os.ReadFile("testdata/decisions.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			switch decision := script.decide().(type) {
			case evict.Admit:
				Expect(script.Decision).To(Equal("admit"))
			case evict.Refuse:
				Expect(script.Decision).To(Equal("refuse"))
			case evict.Close:
				Expect(script.Decision).To(Equal("close"))
				Expect(decision.IDs).To(Equal(script.Closed))
			}
		})
	}
})

// Guards against a crowd of any make-up that keeps an ordinary request out while there is
// something that may be closed.
var _ = It("admits a small request beside a crowd of stalled ones", func() {
	const bound = 1 << 20
	for _, size := range []int64{bound / 256, bound / 64, bound / 8} {
		var holders []evict.Holder
		for id := uint64(2); int64(len(holders)+1)*size <= bound; id++ {
			holders = append(holders, evict.Holder{ID: id, Held: size})
		}
		holders = append(holders, evict.Holder{ID: 1, Held: 1000, Since: 9999})
		decision := evict.Bytes(evict.Limits{Bytes: bound}, holders, 1, bound/512, 10_000)
		closed, ok := decision.(evict.Close)
		Expect(ok).To(BeTrue(), "holders of %d bytes", size)
		Expect(closed.IDs).NotTo(ContainElement(uint64(1)))
	}
})

// Guards against large requests that run and leave no room for ordinary ones.
var _ = It("keeps a part of the bound for small requests", func() {
	const bound = 1 << 20
	limits, holders := evict.Limits{Bytes: bound}, []evict.Holder{{ID: 1}, {ID: 2}}
	for id := uint64(3); ; id++ {
		holders = append(holders, evict.Holder{ID: id, Running: true})
		if _, admitted := evict.Bytes(limits, holders, id, bound/16, 0).(evict.Admit); !admitted {
			holders = holders[:len(holders)-1]
			break
		}
		holders[len(holders)-1].Held = bound / 16
	}
	Expect(evict.Bytes(limits, holders, 1, bound/16, 0)).To(Equal(evict.Refuse{}))
	Expect(evict.Bytes(limits, holders, 2, bound/256, 0)).To(Equal(evict.Admit{}))
})
