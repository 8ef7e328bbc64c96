package shed_test

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/shed"
	"github.com/hibiscuslug/hibiscuslug/internal/wait"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestShed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Shed")
}

// script is a load on one pool of slots that begins the most urgent of what waits.
type script struct {
	Name      string       `json:"name"`
	Slots     int          `json:"slots"`
	Duration  clock.Millis `json:"duration"`
	Objective clock.Millis `json:"objective"`
	Length    clock.Millis `json:"length"`
	Levels    []struct {
		Urgency int `json:"urgency"`
		// Share is the usual demand as a share of the slots.
		Share float64 `json:"share"`
	} `json:"levels"`
	Bursts []struct {
		Urgency int          `json:"urgency"`
		Factor  float64      `json:"factor"`
		Begin   clock.Millis `json:"from"`
		End     clock.Millis `json:"to"`
	} `json:"bursts"`
}

const (
	tick = 10
	// ranks is the number of endpoints that the slots belong to.
	ranks = 32
	seeds = 5
)

type stream struct {
	urgency      int
	arrived, end clock.Millis
}

type outcome struct{ offered, onTime, late, refused int }

func (counts outcome) shareOnTime() float64 { return float64(counts.onTime) / float64(counts.offered) }
func (counts outcome) shareServed() float64 {
	return float64(counts.onTime+counts.late) / float64(counts.offered)
}

// rate returns the streams of a level that arrive in a millisecond.
func (script script) rate(urgency int, share float64, now clock.Millis) float64 {
	rate := share * float64(script.Slots) / float64(script.Duration)
	for _, burst := range script.Bursts {
		if burst.Urgency == urgency && now >= burst.Begin && now < burst.End {
			rate *= burst.Factor
		}
	}
	return rate
}

// pool is the state of the slots and what callers of each urgency got.
type pool struct {
	script           script
	random           *rand.Rand
	estimate         wait.Estimate
	demand           shed.Demand
	running, waiting []stream
	results          map[int]outcome
}

// play returns what callers of each urgency get. Without a reserve, the present wait for
// a slot decides alone.
func play(script script, withReserve bool, seed uint64) map[int]outcome {
	pool := &pool{
		script: script, random: rand.New(rand.NewPCG(seed, 1)), estimate: wait.Estimate{}.WithDuration(script.Duration), results: map[int]outcome{},
	}
	for now := clock.Millis(0); now < script.Length; now += tick {
		pool.running = slices.DeleteFunc(pool.running, func(ended stream) bool { return ended.end <= now })
		pool.measure(now)
		for _, level := range script.Levels {
			for expected := script.rate(level.Urgency, level.Share, now) * tick; pool.random.Float64() < expected; expected-- {
				pool.arrive(level.Urgency, withReserve, now)
			}
		}
		pool.begin(now)
	}
	return pool.results
}

func (pool *pool) measure(now clock.Millis) {
	var uses []shed.Use
	for _, list := range [][]stream{pool.running, pool.waiting} {
		for _, flow := range list {
			uses = append(uses, shed.Use{Level: flow.urgency, Streams: 1})
		}
	}
	pool.demand = pool.demand.With(uses, pool.script.Duration, now)
}

func (pool *pool) arrive(urgency int, withReserve bool, now clock.Millis) {
	counts := pool.results[urgency]
	counts.offered++
	occupied := float64(len(pool.running) + len(pool.waiting))
	if withReserve {
		occupied += float64(pool.demand.Reserved(urgency))
	}
	if pool.estimate.Admits(int(occupied/ranks), pool.script.Slots/ranks, pool.script.Objective, urgency) {
		pool.waiting = append(pool.waiting, stream{urgency: urgency, arrived: now})
	} else {
		counts.refused++
	}
	pool.results[urgency] = counts
}

// begin starts the most urgent streams that wait.
func (pool *pool) begin(now clock.Millis) {
	slices.SortStableFunc(pool.waiting, func(first, second stream) int { return first.urgency - second.urgency })
	for len(pool.waiting) > 0 && len(pool.running) < pool.script.Slots {
		begun := pool.waiting[0]
		pool.waiting = pool.waiting[1:]
		begun.end = now + pool.script.Duration/2 + clock.Millis(pool.random.Int64N(int64(pool.script.Duration)))
		pool.running = append(pool.running, begun)
		counts := pool.results[begun.urgency]
		if now-begun.arrived <= pool.script.Objective {
			counts.onTime++
		} else {
			counts.late++
		}
		pool.results[begun.urgency] = counts
	}
}

func load() []script {
	text, err := os.ReadFile("testdata/loads.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	return scripts
}

var _ = Describe("slots kept for more urgent streams", func() {
	for _, script := range load() {
		// Guards against a burst of less urgent streams at the expense of more urgent ones,
		// and against a reserve that leaves slots idle or starves the less urgent.
		It("serves the more urgent no worse than others: "+script.Name, func() {
			for seed := range uint64(seeds) {
				plain, reserved := play(script, false, seed), play(script, true, seed)
				GinkgoWriter.Printf("seed %d: %+v %+v\n", seed, plain, reserved)
				if len(script.Levels) == 1 {
					Expect(reserved).To(Equal(plain), "seed %d", seed)
					continue
				}
				served, servedPlain, offered := 0, 0, 0
				for at, level := range script.Levels {
					counts := reserved[level.Urgency]
					served, offered = served+counts.onTime+counts.late, offered+counts.offered
					servedPlain += plain[level.Urgency].onTime + plain[level.Urgency].late
					for _, other := range script.Levels[at+1:] {
						Expect(reserved[other.Urgency].shareServed()-counts.shareServed()).To(BeNumerically("<=", 0.05), "seed %d: %d before %d", seed, other.Urgency, level.Urgency)
						Expect(reserved[other.Urgency].shareOnTime()-counts.shareOnTime()).To(BeNumerically("<=", 0.15), "seed %d: %d before %d", seed, other.Urgency, level.Urgency)
					}
				}
				most := script.Levels[0].Urgency
				Expect(reserved[most].onTime).To(BeNumerically(">=", plain[most].onTime-plain[most].offered/100), "seed %d", seed)
				for _, level := range script.Levels {
					Expect(reserved[level.Urgency].shareServed()).To(BeNumerically(">=", float64(served)/float64(offered)/4), "seed %d: %d", seed, level.Urgency)
				}
				Expect(served).To(BeNumerically(">=", servedPlain*95/100), "seed %d", seed)
			}
		})
	}

	// Guards against routes of different priority that are served alike because all
	// customers have the same priority, and against late requests that go before others.
	It("orders by customer, then late ones last, then by route", func() {
		type request struct {
			urgency, step int
			late          bool
		}
		ordered := []request{{0, 2, false}, {0, 0, true}, {1, 0, false}, {1, 1, false}, {1, 2, false}, {1, 0, true}, {2, 0, false}, {2, 2, false}, {2, 0, true}}
		for at, first := range ordered {
			for _, second := range ordered[at+1:] {
				Expect(shed.Order(first.urgency, first.step, first.late)).To(BeNumerically("<", shed.Order(second.urgency, second.step, second.late)), "%+v and %+v", first, second)
			}
		}
		Expect(shed.Order(7, 0, false)).To(Equal(9))
		Expect(shed.Level(0, 2)).To(BeNumerically("<", shed.Level(1, 0)))
		Expect(shed.Level(1, 0)).To(BeNumerically("<", shed.Level(1, 2)))
		Expect(shed.Level(1, 9)).To(BeNumerically("<", shed.Level(2, 0)))
	})

	// Guards against a reserve that outlives the demand that it is for.
	It("gives back what more urgent streams no longer need within the length of a stream", func() {
		demand := shed.Demand{}.With([]shed.Use{{Level: 0, Streams: 50}, {Level: 1, Streams: 20}}, 1600, 0)
		Expect(demand.Reserved(1)).To(BeZero())
		demand = demand.With([]shed.Use{{Level: 0, Streams: 10}}, 1600, 400)
		Expect(demand.Reserved(0)).To(BeZero())
		Expect(demand.Reserved(1)).To(Equal(40))
		Expect(demand.Reserved(2)).To(Equal(60))
		demand = demand.With([]shed.Use{{Level: 0, Streams: 10}}, 1600, 2100)
		Expect(demand.Reserved(2)).To(BeZero())
	})
})
