package quota_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	coldOver  = 1.5
	coldSlack = 5
	// coldSeeds is the number of seeds of each load.
	coldSeeds = 20
)

// coldLoad is the traffic of gateways to one cold endpoint.
type coldLoad struct {
	load
	// Cut is the share of the gateways that reach no leader in the spans of Lost; the
	// leader grants to the rest.
	Cut float64 `json:"cut"`
	// Bursts are spans in which the demand is Burst.
	Bursts [][2]clock.Millis `json:"bursts"`
	Burst  float64           `json:"burst"`
	// Recounts are times and the number of gateways that all of them know from then on.
	Recounts [][2]int `json:"recounts"`
}

// coldFleet is the state of the processes that send requests to a cold endpoint.
type coldFleet struct {
	leader *quota.Buckets
	shares []*quota.Share
	// known is the number of gateways that all of them know.
	known int
}

// advance applies what happens at a time.
func (load coldLoad) advance(fleet *coldFleet, at clock.Millis, random *rand.Rand) {
	if slices.Contains(load.Changes, at) {
		fleet.leader = &quota.Buckets{}
	}
	if slices.Contains(load.Restarts, at) {
		fleet.shares[random.IntN(load.Gateways)] = quota.NewShare(random.Float64())
	}
	for _, recount := range load.Recounts {
		if at == clock.Millis(recount[0]) {
			fleet.known = recount[1]
		}
	}
}

// demandAt returns the requests a second of all gateways.
func (load coldLoad) demandAt(at clock.Millis) float64 {
	for _, span := range load.Bursts {
		if at >= span[0] && at < span[1] {
			return load.Burst
		}
	}
	return load.Demand
}

// play returns the times at which the endpoint received requests: after each permit,
// delayed by up to the lifetime of a permit.
func (load coldLoad) play(random *rand.Rand) []clock.Millis {
	limit := quota.NewCold(quota.Endpoint{ID: "e1", Incarnation: 1}, load.Rate, coldOver, coldSlack)
	fleet := &coldFleet{leader: &quota.Buckets{}, known: load.Gateways}
	for range load.Gateways {
		fleet.shares = append(fleet.shares, quota.NewShare(random.Float64()))
	}
	const start = clock.Hour
	var received []clock.Millis
	for at := range playedTime {
		now := start + at
		load.advance(fleet, at, random)
		if random.Float64() >= load.demandAt(at)/float64(clock.Second) {
			continue
		}
		number := 0
		if random.Float64() >= load.Skew {
			number = random.IntN(load.Gateways)
		}
		var granted bool
		if load.isLost(at) && float64(number) < load.Cut*float64(load.Gateways) {
			granted = fleet.shares[number].Take(limit, fleet.known, now)
		} else {
			granted, _ = fleet.leader.Take(limit, random.IntN(2) == 0, now)
		}
		if granted {
			received = append(received, now+clock.Millis(random.Int64N(int64(quota.ColdPermitLifetime)+1)))
		}
	}
	slices.Sort(received)
	return received
}

// Guards against a sum of all gateways that crashes a cold endpoint, whatever becomes of
// the leader, of gateways and of permits that are used late.
var _ = Describe("requests to a cold endpoint", func() {
	text, err := os.ReadFile("testdata/cold.json")
	if err != nil {
		panic(err)
	}
	var loads []coldLoad
	if err := json.Unmarshal(text, &loads); err != nil {
		panic(err)
	}
	for _, load := range loads {
		It(load.Name, func() {
			for seed := range uint64(coldSeeds) {
				received := load.play(rand.New(rand.NewPCG(seed, 2)))
				Expect(float64(most(received, clock.Second))).To(BeNumerically("<=", load.Rate*coldOver+coldSlack), "seed %d", seed)
				whole := load.Rate * float64(playedTime) / float64(clock.Second)
				Expect(float64(len(received))).To(BeNumerically(">=", load.Used*whole), "seed %d", seed)
			}
		})
	}
})

// Guards against a zone that returns cold at once, meets a burst and crashes, while a
// third of the gateways reach no leader and leaders change.
var _ = It("keeps every endpoint of a cold zone within the bound in a burst", func() {
	const (
		gateways, endpoints = 72, 21
		rate                = 23
		// demand is the requests a second in a burst.
		demand = 552
		span   = 20 * clock.Second
	)
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 3))
		shares, limits := make([]*quota.Share, gateways), make([]quota.Limit, endpoints)
		for number := range shares {
			shares[number] = quota.NewShare(random.Float64())
		}
		for number := range limits {
			limits[number] = quota.NewCold(quota.Endpoint{ID: fmt.Sprint("e", number), Incarnation: 1}, rate, coldOver, coldSlack)
		}
		leader, received := &quota.Buckets{}, map[string][]clock.Millis{}
		for at := range span {
			now := clock.Hour + at
			if at%(3*clock.Second) == 0 {
				leader = &quota.Buckets{}
			}
			if random.Float64() >= float64(demand)/float64(clock.Second) {
				continue
			}
			random.Shuffle(endpoints, func(one, other int) { limits[one], limits[other] = limits[other], limits[one] })
			number := random.IntN(gateways)
			endpoint, _ := quota.First(limits, func(group []quota.Limit) (bool, clock.Millis) {
				if number < gateways/3 {
					return shares[number].TakeAll(group, gateways, now), clock.Second
				}
				return leader.TakeAll(group, true, now)
			})
			if endpoint != "" {
				received[endpoint] = append(received[endpoint], now+clock.Millis(random.Int64N(int64(quota.ColdPermitLifetime)+1)))
			}
		}
		Expect(received).To(HaveLen(endpoints))
		for endpoint, times := range received {
			slices.Sort(times)
			Expect(float64(most(times, clock.Second))).To(BeNumerically("<=", rate*coldOver+coldSlack), "seed %d, %s", seed, endpoint)
		}
	}
})

// Guards against a whole zone that uses the same instant at all of its cold endpoints, so
// that a gateway without a leader has either all of its slots or none.
var _ = It("spreads a gateway's own slots at different endpoints over time", func() {
	share := quota.NewShare(0.25)
	const gateways, endpoints = 72, 21
	limits := make([]quota.Limit, endpoints)
	for number := range limits {
		limits[number] = quota.NewCold(quota.Endpoint{ID: string(rune('a' + number)), Incarnation: 1}, 23, coldOver, coldSlack)
	}
	seconds := map[clock.Millis]bool{}
	for now := clock.Hour; now < clock.Hour+clock.Minute; now += 10 {
		for _, limit := range limits {
			if share.Take(limit, gateways, now) {
				seconds[now/clock.Second] = true
			}
		}
	}
	Expect(len(seconds)).To(BeNumerically(">=", 10))
})

// Guards against a request to an endpoint that is cold and names a limit which uses only
// one of the two permits.
var _ = It("takes all permits of an endpoint or none", func() {
	cold := quota.NewCold(quota.Endpoint{ID: "e1"}, 23, coldOver, coldSlack)
	named := quota.Limit{Endpoint: cold.Endpoint, Rate: 1}
	buckets := &quota.Buckets{}
	now := clock.Hour
	take := func(limits ...quota.Limit) bool {
		granted, _ := buckets.TakeAll(limits, true, now)
		return granted
	}
	Expect(take(cold, named)).To(BeFalse())
	now += clock.Second
	Expect(take(cold, named)).To(BeTrue())
	// The named limit allows one a second; refusals leave the other bucket as it is.
	refused := 0
	for !take(cold, named) && refused < 20 {
		refused++
	}
	Expect(refused).To(Equal(20))
	Expect(take(cold)).To(BeTrue())
	share := quota.NewShare(0)
	Expect(share.TakeAll([]quota.Limit{cold, {Endpoint: cold.Endpoint}}, 1, now)).To(BeFalse())
})

// Guards against a limit of a cold endpoint that changes on its way to the leader.
var _ = It("keeps rate and bucket of a cold endpoint between processes", func() {
	cold := quota.NewCold(quota.Endpoint{ID: "e1", Incarnation: 3}, 23, coldOver, coldSlack)
	got := quota.FromMessage(cold.Message(0), 0)
	Expect([]any{got.Endpoint, got.Rate, got.Burst, got.Cold}).To(Equal([]any{cold.Endpoint, cold.Rate, cold.Burst, true}))
})
