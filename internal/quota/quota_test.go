package quota_test

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Quota")
}

const (
	// boundSpan is the time in which an endpoint gets at most boundFactor times what its
	// limit allows, and boundExtra more.
	boundSpan   = 4 * clock.Second
	boundFactor = 1.5
	boundExtra  = 5
)

// load is the traffic of gateways to one limited endpoint.
type load struct {
	Name     string  `json:"name"`
	Rate     float64 `json:"rate"`
	Gateways int     `json:"gateways"`
	// Demand is the requests a second of all gateways; Skew is the share of it that comes
	// to the first of them.
	Demand float64 `json:"demand"`
	Skew   float64 `json:"skew"`
	// Lost are spans without a leader, Changes the times at which another leader takes
	// over, and Restarts those at which a gateway starts again and does not know the others.
	Lost     [][2]clock.Millis `json:"lost"`
	Changes  []clock.Millis    `json:"changes"`
	Restarts []clock.Millis    `json:"restarts"`
	// Used is the share of the limit that must be used; 0 for any.
	Used float64 `json:"used"`
}

const playedTime = 60 * clock.Second

// play returns the times at which requests were sent.
func (load load) play(random *rand.Rand) []clock.Millis {
	endpoint := quota.Endpoint{ID: "e1", Incarnation: 1}
	limit := quota.Limit{Endpoint: endpoint, Rate: load.Rate}
	leader := &quota.Buckets{}
	shares, known := make([]*quota.Share, load.Gateways), make([]int, load.Gateways)
	for number := range shares {
		shares[number], known[number] = quota.NewShare(random.Float64()), load.Gateways
	}
	const start = clock.Hour
	var sent []clock.Millis
	for at := range playedTime {
		now := start + at
		for _, change := range load.Changes {
			if at == change {
				leader = &quota.Buckets{}
			}
		}
		for _, restart := range load.Restarts {
			if at == restart {
				number := random.IntN(load.Gateways)
				shares[number], known[number] = quota.NewShare(random.Float64()), 0
			}
		}
		if random.Float64() >= load.Demand/float64(clock.Second) {
			continue
		}
		number := 0
		if random.Float64() >= load.Skew {
			number = random.IntN(load.Gateways)
		}
		var granted bool
		if load.isLost(at) {
			granted = shares[number].Take(limit, known[number], now)
		} else {
			granted, _ = leader.Take(limit, random.IntN(2) == 0, now)
		}
		if granted {
			sent = append(sent, now)
		}
	}
	return sent
}

func (load load) isLost(at clock.Millis) bool {
	for _, span := range load.Lost {
		if at >= span[0] && at < span[1] {
			return true
		}
	}
	return false
}

// most returns the largest number of requests in a span.
func most(sent []clock.Millis, span clock.Millis) int {
	largest, first := 0, 0
	for last, at := range sent {
		for at-sent[first] >= span {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return largest
}

// Guards against a sum of all gateways that exceeds what an endpoint takes, whatever
// becomes of the leader and however uneven the load is.
var _ = Describe("requests to a limited endpoint", func() {
	text, err := os.ReadFile("testdata/loads.json")
	if err != nil {
		panic(err)
	}
	var loads []load
	if err := json.Unmarshal(text, &loads); err != nil {
		panic(err)
	}
	for _, load := range loads {
		It(load.Name, func() {
			for seed := range uint64(40) {
				sent := load.play(rand.New(rand.NewPCG(seed, 1)))
				allowed := boundFactor*load.Rate*float64(boundSpan)/float64(clock.Second) + boundExtra
				Expect(float64(most(sent, boundSpan))).To(BeNumerically("<=", allowed), "seed %d", seed)
				whole := load.Rate * float64(playedTime) / float64(clock.Second)
				Expect(float64(len(sent))).To(BeNumerically(">=", load.Used*whole), "seed %d", seed)
			}
		})
	}
})

// Guards against a slot without a beginning: all gateways of machines that have just
// started would send at once.
var _ = It("keeps the slots of gateways apart right after their machines started", func() {
	limit, sent := quota.Limit{Endpoint: quota.Endpoint{ID: "e1"}, Rate: 0.2}, 0
	const gateways = 98
	for number := range gateways {
		if quota.NewShare(float64(number)/gateways).Take(limit, gateways, clock.Second) {
			sent++
		}
	}
	Expect(sent).To(BeNumerically("<=", 1))
})

// Guards against less urgent requests that take the permits of urgent ones.
var _ = It("keeps a part of a full bucket for the most urgent requests", func() {
	buckets := &quota.Buckets{}
	limit := quota.Limit{Endpoint: quota.Endpoint{ID: "e1"}, Rate: 10}
	now := clock.Hour
	granted, wait := buckets.Take(limit, true, now)
	Expect(granted).To(BeFalse())
	Expect(wait).To(Equal(100 * clock.Millis(1)))
	now += 10 * clock.Second
	less := 0
	for {
		if ok, _ := buckets.Take(limit, false, now); !ok {
			break
		}
		less++
	}
	urgent := 0
	for {
		if ok, _ := buckets.Take(limit, true, now); !ok {
			break
		}
		urgent++
	}
	Expect([]int{less, urgent}).To(Equal([]int{5, 5}))
})

// Guards against a limit that outlives its naming, ends too early, or is undone by an
// answer that is older than it.
var _ = Describe("a named limit", func() {
	endpoint := quota.Endpoint{ID: "e1", Incarnation: 1}
	named := func(rate float64, at clock.Millis) quota.Limit {
		return quota.Limit{Endpoint: endpoint, Rate: rate, At: at}
	}
	holds := func(table quota.Table, now clock.Millis) bool {
		_, ok := table.Limit(endpoint, now)
		return ok
	}

	It("holds for a while after the last answer that names it, longer at a low rate", func() {
		fast, slow, none := quota.Table{}.With(named(2, 1000)), quota.Table{}.With(named(0.1, 1000)), quota.Table{}.With(named(0, 1000))
		Expect([]bool{holds(fast, 15999), holds(fast, 16000)}).To(Equal([]bool{true, false}))
		Expect([]bool{holds(slow, 30999), holds(slow, 31000)}).To(Equal([]bool{true, false}))
		Expect([]bool{holds(none, 60999), holds(none, 61000)}).To(Equal([]bool{true, false}))
	})

	It("ends with an answer without it to a request that was sent later", func() {
		table := quota.Table{}.With(named(2, 1000))
		Expect(holds(table.WithUnlimited(endpoint, 1000, 2000), 2000)).To(BeTrue())
		Expect(holds(table.WithUnlimited(endpoint, 1001, 2000), 2000)).To(BeFalse())
		Expect(holds(table.WithUnlimited(endpoint, 1001, 2000).With(named(2, 1500)), 2000)).To(BeFalse())
		Expect(holds(table.WithUnlimited(endpoint, 1001, 2000).With(named(2, 2500)), 2500)).To(BeTrue())
		Expect(holds(table, 1000)).To(BeTrue())
	})

	It("does not apply to another start of the endpoint", func() {
		_, ok := quota.Table{}.With(named(2, 1000)).Limit(quota.Endpoint{ID: "e1", Incarnation: 2}, 1000)
		Expect(ok).To(BeFalse())
	})

	It("is shared when it changes and every few seconds, not with every answer", func() {
		table := quota.Table{}
		for at := clock.Second; at <= 11*clock.Second; at += 100 {
			table = table.With(named(2, at))
		}
		Expect(table.Revision()).To(Equal(uint64(3)))
		Expect(table.Since(2)).To(HaveLen(1))
		Expect(table.Since(3)).To(BeEmpty())
		table = table.With(named(3, 11*clock.Second+1))
		Expect(table.Since(3)).To(ConsistOf(named(3, 11*clock.Second+1)))
		lifted := table.WithUnlimited(endpoint, 12*clock.Second, 13*clock.Second)
		Expect(lifted.Since(4)).To(HaveLen(1))
		Expect(lifted.Expired(clock.Hour).Since(0)).To(BeEmpty())
	})
})
