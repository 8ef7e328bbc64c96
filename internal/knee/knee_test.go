package knee_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/choose"
	"github.com/hibiscuslug/hibiscuslug/internal/knee"
	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestKnee(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Knee")
}

// scenario is a service in virtual time.
type scenario struct {
	Name      string       `json:"name"`
	Endpoints int          `json:"endpoints"`
	Gateways  int          `json:"gateways"`
	Slots     int          `json:"slots"`
	Rate      float64      `json:"rate"`
	Work      clock.Millis `json:"work"`
	Objective clock.Millis `json:"objective"`
	// Slow of the endpoints are Factor times slower from 8 s to 16 s.
	Slow   int     `json:"slow"`
	Factor float64 `json:"factor"`
	// Spread endpoints have speeds from 0.5 to 2.
	Spread bool `json:"spread"`
	// Knee is the number of concurrent requests above which an endpoint slows down; 0 for
	// none.
	Knee int `json:"knee"`
	// Peak is the factor of the rate from 8 s to 16 s; 0 for none.
	Peak float64 `json:"peak"`
	// MaxLate is the largest share of requests over the objective, relative to plain
	// choice.
	MaxLate float64 `json:"maxLate"`
}

func (scenario scenario) rateAt(now clock.Millis) float64 {
	if scenario.Peak > 0 && now >= slowFrom && now < slowUntil {
		return scenario.Rate * scenario.Peak
	}
	return scenario.Rate
}

const (
	seconds   = 24
	slowFrom  = 8 * clock.Second
	slowUntil = 16 * clock.Second
	// reportAge is the age of the loads of other gateways.
	reportAge = 150 * clock.Millis(1)
)

type run struct {
	endpoint, gateway int
	began, ends       clock.Millis
}

// model runs requests at endpoints that start them in order of arrival.
type model struct {
	scenario
	random *rand.Rand
	// free holds the times at which the slots of an endpoint become free.
	free    [][]clock.Millis
	running []run
	// ended holds the responses within the last window.
	ended []run
}

func (model *model) duration(at int, now clock.Millis, work int) clock.Millis {
	took := float64(model.Work) * (0.5 + model.random.ExpFloat64()/2)
	if model.Spread {
		took /= 0.5 + 1.5*float64(at)/float64(max(model.Endpoints-1, 1))
	}
	if at < model.Slow && now >= slowFrom && now < slowUntil {
		took *= model.Factor
	}
	if model.Knee > 0 && at%2 == 0 && work >= model.Knee {
		took *= float64(work+1) / float64(model.Knee)
	}
	return max(clock.Millis(took), 1)
}

func (model *model) start(at, gateway int, now clock.Millis) clock.Millis {
	slot := slices.Index(model.free[at], slices.Min(model.free[at]))
	work := 0
	for _, each := range model.running {
		if each.endpoint == at {
			work++
		}
	}
	begins := max(now, model.free[at][slot])
	ends := begins + model.duration(at, begins, work)
	model.free[at][slot] = ends
	model.running = append(model.running, run{at, gateway, now, ends})
	return ends - now
}

func (model *model) settle(now clock.Millis) {
	model.running = slices.DeleteFunc(model.running, func(each run) bool {
		if each.ends <= now {
			model.ended = append(model.ended, each)
		}
		return each.ends <= now
	})
}

func key(at int) quota.Endpoint { return quota.Endpoint{ID: fmt.Sprint("e", at), Incarnation: 1} }

// late returns the number of requests over the objective and of all requests.
func late(given scenario, estimates bool, seed uint64) (late, all int) {
	model := &model{scenario: given, random: rand.New(rand.NewPCG(seed, 1)), free: make([][]clock.Millis, given.Endpoints)}
	for at := range model.free {
		model.free[at] = make([]clock.Millis, given.Slots)
	}
	work, own := make([]int, given.Endpoints), make([][]int, given.Gateways)
	for gateway := range own {
		own[gateway] = make([]int, given.Endpoints)
	}
	var table knee.Table
	for now := clock.Millis(0); now < seconds*clock.Second; now++ {
		model.settle(now)
		if now%reportAge == 0 {
			model.ended = slices.DeleteFunc(model.ended, func(each run) bool { return now-each.ends > knee.Window })
			totals := make([]knee.Total, given.Endpoints)
			for _, each := range model.ended {
				totals[each.endpoint] = totals[each.endpoint].Plus(knee.Total{Ended: 1, Took: each.ends - each.began})
			}
			var samples []knee.Sample
			for at, total := range totals {
				samples = append(samples, knee.Sample{Endpoint: key(at), Slots: given.Slots, Total: total})
			}
			table = table.With(samples, now)
			clear(work)
			for gateway := range own {
				clear(own[gateway])
			}
			for _, each := range model.running {
				work[each.endpoint]++
			}
		}
		for arrivals := given.rateAt(now) / float64(clock.Second); arrivals > 0; arrivals-- {
			if model.random.Float64() >= arrivals {
				continue
			}
			gateway := model.random.IntN(given.Gateways)
			at := pick(given, table, work, own[gateway], estimates, model.random)
			own[gateway][at]++
			all++
			if model.start(at, gateway, now) > given.Objective {
				late++
			}
		}
	}
	return late, all
}

func pick(given scenario, table knee.Table, work, own []int, estimates bool, random *rand.Rand) int {
	var list []choose.Candidate
	for at := range given.Endpoints {
		candidate := choose.Candidate{Work: work[at] + own[at], Slots: given.Slots}
		if estimates {
			estimate := table.Of(key(at))
			candidate.Slots, candidate.Pace = estimate.Slots(given.Slots), estimate.Pace
			if table.Explores(key(at), candidate.Work, random.Float64()) {
				return at
			}
		}
		list = append(list, candidate)
	}
	return choose.Best(list, random)
}

var _ = Describe("a service in virtual time", func() {
	text, err := os.ReadFile("testdata/scenarios.json")
	if err != nil {
		panic(err)
	}
	var scenarios []scenario
	if err := json.Unmarshal(text, &scenarios); err != nil {
		panic(err)
	}
	for _, scenario := range scenarios {
		// Guards against estimates that send more requests to slow endpoints, or make equal
		// ones unequal, than plain choice does.
		It(scenario.Name, func() {
			plain, estimated, all := 0, 0, 0
			for seed := range uint64(3) {
				count, _ := late(scenario, false, seed)
				plain += count
				count, sum := late(scenario, true, seed)
				estimated, all = estimated+count, all+sum
			}
			fmt.Fprintf(GinkgoWriter, "%-60s late: plain %d, estimated %d of %d\n", scenario.Name, plain, estimated, all)
			Expect(float64(estimated)).To(BeNumerically("<=", scenario.MaxLate*float64(plain)+0.0005*float64(all)))
		})
	}
})

// Guards against endpoints that are told apart by the noise of few or many samples.
var _ = It("gives equal endpoints equal estimates", func() {
	for _, perWindow := range []int{3, 9, 22, 200} {
		random := rand.New(rand.NewPCG(7, uint64(perWindow)))
		uneven, seen := 0, 0
		for range 40 {
			var table knee.Table
			for now := clock.Second; now < 30*clock.Second; now += knee.Window {
				var samples []knee.Sample
				for at := range 7 {
					total := knee.Total{}
					for range perWindow {
						total = total.Plus(knee.Total{Ended: 1, Took: clock.Millis(20 + 20*random.ExpFloat64())})
					}
					samples = append(samples, knee.Sample{Endpoint: key(at), Slots: 6, Total: total})
				}
				table = table.With(samples, now)
				for at := range 7 {
					seen++
					if estimate := table.Of(key(at)); estimate.Pace > 0 || estimate.Slots(6) != 6 {
						uneven++
					}
				}
			}
		}
		Expect(float64(uneven)/float64(seen)).To(BeNumerically("<", 0.01), "%d responses in a window", perWindow)
	}
})

// steady returns a table after some seconds of the given mean times.
func steady(table knee.Table, from, until clock.Millis, ended int, times ...clock.Millis) knee.Table {
	for now := from; now < until; now += reportAge {
		var samples []knee.Sample
		for at, took := range times {
			samples = append(samples, knee.Sample{Endpoint: key(at), Slots: 6, Total: knee.Total{Ended: ended, Took: took * clock.Millis(ended)}})
		}
		table = table.With(samples, now)
	}
	return table
}

// Guards against one endpoint that is singled out when all slow down, against one that is
// not found, and against one that stays slow after it has recovered or started again.
var _ = It("finds the slow one, and none when all are slow", func() {
	table := steady(knee.Table{}, 0, 10*clock.Second, 40, 30, 30, 30)
	Expect(table.Of(key(0)).Pace).To(BeZero())
	Expect(steady(table, 10*clock.Second, 14*clock.Second, 40, 90, 90, 90).Of(key(0)).Pace).To(BeZero())
	slow := steady(table, 10*clock.Second, 14*clock.Second, 40, 90, 30, 30)
	Expect(slow.Of(key(0)).Pace).To(BeNumerically("~", 3, 0.1))
	Expect(slow.Of(key(1)).Pace).To(BeZero())
	Expect(steady(slow, 14*clock.Second, 15*clock.Second, 40, 30, 30, 30).Of(key(0)).Pace).To(BeZero())
	again := knee.Sample{Endpoint: quota.Endpoint{ID: "e0", Incarnation: 2}, Slots: 6, Total: knee.Total{Ended: 40, Took: 3600}}
	restarted := slow.With([]knee.Sample{again}, 15*clock.Second)
	Expect(restarted.Of(again.Endpoint)).To(Equal(knee.Estimate{}))
	Expect(restarted.Of(key(0))).To(Equal(knee.Estimate{}))
	Expect(slow.Of(key(1)).Slots(6)).To(Equal(6))
})

// Guards against a limit that does not follow an endpoint past its knee, one that does not
// grow back, and one that queued requests reduce below what runs at the same time.
var _ = DescribeTable("the limit of an endpoint past its knee", func(ended int, took clock.Millis, limit int) {
	// 40 responses of 30 ms in 2 s set the unloaded time.
	table := steady(knee.Table{}, 0, 10*clock.Second, 40, 30, 30, 30)
	// All are alike, so that none has a pace.
	table = steady(table, 10*clock.Second, 13*clock.Second, ended, took, took, took)
	Expect(table.Of(key(0)).Pace).To(BeZero())
	Expect(table.Of(key(0)).Slots(6)).To(Equal(limit))
	table = steady(table, 13*clock.Second, 25*clock.Second, 40, 30, 30, 30)
	Expect(table.Of(key(0)).Slots(6)).To(Equal(6))
},
	Entry("it runs two without delay and takes three times as long", 133, clock.Millis(90), 2),
	Entry("it runs all six and as many wait", 400, clock.Millis(75), 6),
	Entry("too few responses to tell", 9, clock.Millis(200), 6),
	Entry("no slower than tolerated", 200, clock.Millis(45), 6),
)
