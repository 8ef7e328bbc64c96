package outage_test

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/outage"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestOutage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Outage")
}

const (
	// arrivalInterval is the time between arrivals, arrivalPeriod the time in which
	// callers arrive.
	arrivalInterval = 20 * clock.Millis(1)
	arrivalPeriod   = 8 * clock.Second
	// retries is the number of retries of a refused caller. It waits at most its
	// remaining time divided by retryDivisor before each.
	retries      = 1
	retryDivisor = 3
	// abandonObjectives is when a caller abandons a stream that has not begun, in
	// latency objectives.
	abandonObjectives = 4
)

// script is an outage of a group of ranks.
type script struct {
	Name      string       `json:"name"`
	Outage    clock.Millis `json:"outage"`
	Timeout   clock.Millis `json:"timeout"`
	Objective clock.Millis `json:"objective"`
	// Broken is the number of streams that break when the outage starts.
	Broken int `json:"broken"`
}

// outcome counts the results of callers.
type outcome struct {
	served, lost int
	// heldThenRefused is the number of times that a request was held and then refused.
	heldThenRefused int
	// longestHold is the longest time that a request was held.
	longestHold clock.Millis
}

// play simulates callers that arrive during and after an outage.
func play(script script, decide func(age, callerWait clock.Millis) clock.Millis) outcome {
	counts := outcome{}
	for range script.Broken {
		// A stream that broke when the outage started; its caller retries at once, for
		// the last time.
		if script.serves(0, script.Timeout/2, 1, decide, &counts) {
			counts.served++
		} else {
			counts.lost++
		}
	}
	for arrival := clock.Millis(0); arrival < arrivalPeriod; arrival += arrivalInterval {
		if script.serves(arrival, arrival+script.Timeout, retries+1, decide, &counts) {
			counts.served++
		} else {
			counts.lost++
		}
	}
	return counts
}

// serves simulates the attempts of one caller and reports whether it is served.
func (script script) serves(now, deadline clock.Millis, attempts int, decide func(age, callerWait clock.Millis) clock.Millis, counts *outcome) bool {
	for range attempts {
		if now >= script.Outage {
			return now < deadline
		}
		if wait := decide(now, deadline-now); wait > 0 {
			until := min(now+wait, now+abandonObjectives*script.Objective, deadline)
			counts.longestHold = max(counts.longestHold, min(until, script.Outage)-now)
			if script.Outage <= until {
				return true
			}
			counts.heldThenRefused++
			now = until
		}
		now += min(outage.StallRetryAfter, (deadline-now)/retryDivisor)
	}
	return false
}

var _ = Describe("an outage of a group of ranks", func() {
	text, err := os.ReadFile("testdata/outages.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		// Guards against callers that retry after the given delay, are refused again and
		// do not try a third time.
		It("serves more callers when retries are held: "+script.Name, func() {
			refusing := play(script, func(_, _ clock.Millis) clock.Millis { return 0 })
			holding := play(script, func(age, callerWait clock.Millis) clock.Millis {
				return outage.StallWait(age, callerWait, script.Timeout, script.Objective)
			})
			GinkgoWriter.Printf("refusing %+v holding %+v\n", refusing, holding)
			Expect(holding.served).To(BeNumerically(">=", refusing.served))
			Expect(refusing.lost == script.Broken || holding.served > refusing.served).To(BeTrue())
			// Most of the held requests are served.
			Expect(holding.heldThenRefused).To(BeNumerically("<=", holding.served-refusing.served))
			Expect(holding.longestHold).To(BeNumerically("<", abandonObjectives*script.Objective))
		})
	}

	It("refuses the first attempt of a caller without holding it", func() {
		Expect(outage.StallWait(2500, 8000, 8000, 500)).To(BeZero())
		Expect(outage.StallWait(2500, 5300, 8000, 500)).To(BeNumerically(">", 0))
	})

	It("refuses all callers without holding them while the group cannot have recovered yet", func() {
		Expect(outage.StallWait(0, 5300, 8000, 500)).To(BeZero())
	})

	It("leaves a caller most of its time for another attempt", func() {
		Expect(outage.StallWait(2500, 800, 8000, 500)).To(Equal(clock.Millis(400)))
		Expect(outage.StartWait(1500, 1000)).To(Equal(clock.Millis(333)))
		Expect(outage.StartWait(1500, 8000)).To(Equal(clock.Millis(1500)))
	})

	// Guards against sending work to a group that has stopped without reporting it,
	// which happened when a node was frozen.
	It("detects from its streams that a group makes no progress", func() {
		Expect(outage.IsSilent(5, 1000)).To(BeTrue())
		Expect(outage.IsSilent(5, 300)).To(BeFalse())
		Expect(outage.IsSilent(1, 1000)).To(BeFalse())
	})
})
