package limits_test

import (
	"encoding/json"
	"math"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/limits"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestLimits(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Limits")
}

const (
	// engines is the number of engines in the group, events the length of a stream.
	engines = 40
	events  = 24
	// firstEvent is the objective of the first event, abandonAfter is when a caller
	// without a first event leaves, and retryDelay is when a refused caller retries,
	// once.
	firstEvent   = 500 * clock.Millis(1)
	abandonAfter = 4 * firstEvent
	retryDelay   = 2200 * clock.Millis(1)
	period       = 13 * clock.Second
	length       = 3 * period
	// expertShare is the part of a pass that grows with the load of the busiest rank.
	expertShare = 0.85
	// lateCredit is the credit of a late answer; one on time counts 1.
	lateCredit = 0.5
)

// script is a load on a group of ranks.
type script struct {
	Name            string  `json:"name"`
	Slots           int     `json:"slots"`
	TokenStepMillis float64 `json:"step"`
	PerStreamMillis float64 `json:"perStream"`
	// Stride is the number of token steps in a pass.
	Stride    float64
	Objective clock.Millis
	// CalmSkew and ShiftedSkew are the ratio of the busiest rank's load to the mean,
	// without and with shifted popularity. A shift starts every ShiftInterval and
	// lasts ShiftDuration.
	CalmSkew      float64      `json:"calm"`
	ShiftedSkew   float64      `json:"shifted"`
	ShiftInterval clock.Millis `json:"every"`
	ShiftDuration clock.Millis `json:"lasts"`
	// PeakDemand is the highest demand as a multiple of the group's capacity.
	PeakDemand float64 `json:"crest"`
}

func (script script) cost() limits.Cost {
	return limits.Cost{TokenStepMillis: script.TokenStepMillis, PerStreamMillis: script.PerStreamMillis}
}

// pass returns how long a pass takes.
func (script script) pass(now clock.Millis, streams float64) float64 {
	skew := script.CalmSkew
	if now%script.ShiftInterval < script.ShiftDuration {
		skew = script.ShiftedSkew
	}
	return script.Stride * (script.TokenStepMillis + script.PerStreamMillis*streams) * (1 - expertShare + expertShare*skew)
}

type callerState struct {
	arrived, began, last clock.Millis
	left                 int
	paused               bool
	retried              bool
}

type outcome struct{ onTime, late, lost int }

func (counts outcome) credit() float64 {
	return float64(counts.onTime) + lateCredit*float64(counts.late)
}

// group simulates a group of engines that runs streams pass by pass.
type group struct {
	script           script
	limits           bool
	limiter          limits.Limiter
	running, waiting []*callerState
	refused          []*callerState
	counts           outcome
}

func play(script script, limited bool) outcome {
	group := &group{script: script, limits: limited}
	full := float64(engines*script.Slots) / (events * script.pass(script.ShiftDuration, float64(script.Slots)))
	arrivals := 0.0
	for now := clock.Millis(0); now < length || len(group.running) > 0; {
		streams := float64(len(group.running)) / engines
		duration := script.pass(now, streams)
		now += clock.Millis(duration)
		group.produce(now, streams)
		if now < length {
			wave := 0.55 + 0.45*math.Sin(2*math.Pi*float64(now)/float64(period))
			arrivals += duration * full * script.PeakDemand * wave
		}
		for ; arrivals >= 1; arrivals-- {
			group.admit(&callerState{arrived: now}, now)
		}
		group.retry(now)
		group.start(now)
	}
	return group.counts
}

// produce adds one event to every running stream.
func (group *group) produce(now clock.Millis, streams float64) {
	kept := group.running[:0]
	for _, caller := range group.running {
		pause := now - caller.last
		group.limiter = group.limiter.WithPause(now, pause, group.script.Objective, streams, group.script.cost())
		caller.paused = caller.paused || pause > group.script.Objective
		caller.last = now
		if caller.left--; caller.left > 0 {
			kept = append(kept, caller)
			continue
		}
		if caller.paused || caller.retried || caller.began-caller.arrived > firstEvent {
			group.counts.late++
		} else {
			group.counts.onTime++
		}
	}
	group.running = kept
}

// admit queues a caller, or refuses it once.
func (group *group) admit(caller *callerState, now clock.Millis) {
	limit := float64(group.script.Slots)
	if group.limits {
		limit = group.limiter.Limit(now, group.script.Objective, group.script.Slots, group.script.cost())
	}
	work := float64(len(group.running)+len(group.waiting)) / engines
	if !caller.retried && work >= limit && group.limits {
		caller.retried, caller.began = true, now+retryDelay
		group.refused = append(group.refused, caller)
		return
	}
	group.waiting = append(group.waiting, caller)
}

func (group *group) retry(now clock.Millis) {
	kept := group.refused[:0]
	for _, caller := range group.refused {
		if caller.began > now {
			kept = append(kept, caller)
			continue
		}
		caller.arrived = now
		group.admit(caller, now)
	}
	group.refused = kept
}

// start assigns free slots to waiting callers and drops those that leave.
func (group *group) start(now clock.Millis) {
	kept := group.waiting[:0]
	for _, caller := range group.waiting {
		switch {
		case now-caller.arrived > abandonAfter:
			group.counts.lost++
		case len(group.running) < engines*group.script.Slots:
			caller.began, caller.last, caller.left = now, now, events
			group.running = append(group.running, caller)
		default:
			kept = append(kept, caller)
		}
	}
	group.waiting = kept
}

var _ = Describe("a limit on the streams of a group whose expert popularity shifts", func() {
	text, err := os.ReadFile("testdata/loads.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		// Guards against a full group in which every popularity shift makes every stream
		// late: pauses were 165 to 178 ms with an objective of 150 ms.
		It("serves callers at least as well with a limit as without: "+script.Name, func() {
			plain, limited := play(script, false), play(script, true)
			GinkgoWriter.Printf("plain %+v %.0f limited %+v %.0f\n", plain, plain.credit(), limited, limited.credit())
			Expect(limited.credit()).To(BeNumerically(">=", plain.credit()))
			Expect(limited.onTime).To(BeNumerically(">=", plain.onTime))
			Expect(limited.lost).To(BeNumerically("<=", plain.lost))
		})
	}

	It("sets no limit before a long pause", func() {
		cost := limits.Cost{TokenStepMillis: 4.55, PerStreamMillis: 0.905}
		Expect(limits.Limiter{}.Limit(0, 150, 10, cost)).To(Equal(10.0))
		slow := limits.Limiter{}.WithPause(1000, 175, 150, 10, cost)
		Expect(slow.Limit(1500, 150, 10, cost)).To(BeNumerically("~", 7.2, 0.1))
		Expect(slow.Limit(20_000, 150, 10, cost)).To(Equal(10.0))
		By("ignoring the pause of a group that stopped")
		Expect(limits.Limiter{}.WithPause(1000, 2000, 150, 10, cost).Limit(1500, 150, 10, cost)).To(Equal(10.0))
		By("allowing the minimum share of the slots in any case")
		Expect(limits.Limiter{}.WithPause(1000, 400, 150, 10, cost).Limit(1500, 150, 10, cost)).To(Equal(7.0))
	})
})
