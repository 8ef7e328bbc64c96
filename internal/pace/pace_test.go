package pace_test

import (
	"encoding/json"
	"math"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/pace"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestPace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Pace")
}

const (
	// engines make up the group, events is the length of a stream.
	engines = 40
	events  = 24
	// firstEvent is the objective of the first event, leaves when a caller that
	// has none gives up, comesBack when a refused one returns, once.
	firstEvent = 500 * clock.Millis(1)
	leaves     = 4 * firstEvent
	comesBack  = 2200 * clock.Millis(1)
	period     = 13 * clock.Second
	length     = 3 * period
	// expertShare is the part of a pass that the busiest rank decides.
	expertShare = 0.85
	late        = 0.5
)

// script is a load on a group of ranks.
type script struct {
	Name            string `json:"name"`
	Slots           int    `json:"slots"`
	Step, PerStream float64
	Stride          float64
	Objective       clock.Millis
	// Calm and Shifted are the load of the busiest rank over the mean, Every and
	// Lasts when and how long popularity is shifted.
	Calm, Shifted float64
	Every, Lasts  clock.Millis
	// Crest is the highest demand against what full engines carry.
	Crest float64
}

func (script script) cost() pace.Cost {
	return pace.Cost{Step: script.Step, PerStream: script.PerStream}
}

// pass is how long a pass takes.
func (script script) pass(now clock.Millis, streams float64) float64 {
	skew := script.Calm
	if now%script.Every < script.Lasts {
		skew = script.Shifted
	}
	return script.Stride * (script.Step + script.PerStream*streams) * (1 - expertShare + expertShare*skew)
}

type caller struct {
	came, began, last clock.Millis
	left              int
	paused            bool
	back              bool
}

type outcome struct{ onTime, late, lost int }

func (got outcome) credit() float64 { return float64(got.onTime) + late*float64(got.late) }

// group runs streams pass by pass, in virtual time.
type group struct {
	script           script
	limits           bool
	pace             pace.Pace
	running, waiting []*caller
	away             []*caller
	got              outcome
}

func play(script script, limits bool) outcome {
	group := &group{script: script, limits: limits}
	full := float64(engines*script.Slots) / (events * script.pass(script.Lasts, float64(script.Slots)))
	arrivals := 0.0
	for now := clock.Millis(0); now < length || len(group.running) > 0; {
		streams := float64(len(group.running)) / engines
		took := script.pass(now, streams)
		now += clock.Millis(took)
		group.events(now, streams)
		if now < length {
			wave := 0.55 + 0.45*math.Sin(2*math.Pi*float64(now)/float64(period))
			arrivals += took * full * script.Crest * wave
		}
		for ; arrivals >= 1; arrivals-- {
			group.admit(&caller{came: now}, now)
		}
		group.returning(now)
		group.start(now)
	}
	return group.got
}

// events gives every running stream one event.
func (group *group) events(now clock.Millis, streams float64) {
	kept := group.running[:0]
	for _, one := range group.running {
		pause := now - one.last
		group.pace = group.pace.WithPause(now, pause, group.script.Objective, streams, group.script.cost())
		one.paused = one.paused || pause > group.script.Objective
		one.last = now
		if one.left--; one.left > 0 {
			kept = append(kept, one)
			continue
		}
		if one.paused || one.back || one.began-one.came > firstEvent {
			group.got.late++
		} else {
			group.got.onTime++
		}
	}
	group.running = kept
}

// admit takes a caller in, or tells it to return once.
func (group *group) admit(one *caller, now clock.Millis) {
	limit := float64(group.script.Slots)
	if group.limits {
		limit = group.pace.Limit(now, group.script.Objective, group.script.Slots, group.script.cost())
	}
	work := float64(len(group.running)+len(group.waiting)) / engines
	if !one.back && work >= limit && group.limits {
		one.back, one.began = true, now+comesBack
		group.away = append(group.away, one)
		return
	}
	group.waiting = append(group.waiting, one)
}

func (group *group) returning(now clock.Millis) {
	kept := group.away[:0]
	for _, one := range group.away {
		if one.began > now {
			kept = append(kept, one)
			continue
		}
		one.came = now
		group.admit(one, now)
	}
	group.away = kept
}

// start gives free slots to those that wait.
func (group *group) start(now clock.Millis) {
	kept := group.waiting[:0]
	for _, one := range group.waiting {
		switch {
		case now-one.came > leaves:
			group.got.lost++
		case len(group.running) < engines*group.script.Slots:
			one.began, one.last, one.left = now, now, events
			group.running = append(group.running, one)
		default:
			kept = append(kept, one)
		}
	}
	group.waiting = kept
}

var _ = Describe("a limit on the streams of a group whose popularity shifts", func() {
	text, err := os.ReadFile("testdata/loads.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		// Guards against a full group in which every shift makes every stream late
		// (npwfa-doors-grown scale-2: pauses of 165 to 178 ms for 150 ms).
		It("gives callers no less: "+script.Name, func() {
			plain, limited := play(script, false), play(script, true)
			GinkgoWriter.Printf("plain %+v %.0f limited %+v %.0f\n", plain, plain.credit(), limited, limited.credit())
			Expect(limited.credit()).To(BeNumerically(">=", plain.credit()))
			Expect(limited.onTime).To(BeNumerically(">=", plain.onTime))
			Expect(limited.lost).To(BeNumerically("<=", plain.lost))
		})
	}

	It("limits nothing before it has seen a long pause", func() {
		cost := pace.Cost{Step: 4.55, PerStream: 0.905}
		Expect(pace.Pace{}.Limit(0, 150, 10, cost)).To(Equal(10.0))
		slow := pace.Pace{}.WithPause(1000, 175, 150, 10, cost)
		Expect(slow.Limit(1500, 150, 10, cost)).To(BeNumerically("~", 7.2, 0.1))
		Expect(slow.Limit(20_000, 150, 10, cost)).To(Equal(10.0))
		By("a group that stood still tells nothing")
		Expect(pace.Pace{}.WithPause(1000, 2000, 150, 10, cost).Limit(1500, 150, 10, cost)).To(Equal(10.0))
		By("most slots are used in any case")
		Expect(pace.Pace{}.WithPause(1000, 400, 150, 10, cost).Limit(1500, 150, 10, cost)).To(Equal(7.0))
	})
})
