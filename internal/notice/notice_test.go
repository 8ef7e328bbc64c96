package notice_test

import (
	"encoding/json"
	"math"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/notice"
	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestNotice(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Notice")
}

// start is the instant that the times of scripts are relative to.
const start = 10 * clock.Hour

// step is a notice, a check of the state, or both.
type step struct {
	At clock.Millis `json:"at"`
	// Observed is the time of the observation if it is not At.
	Observed    *clock.Millis `json:"observed"`
	Incarnation uint64        `json:"incarnation"`
	Told        bool          `json:"told"`
	Leaving     bool          `json:"leaving"`
	Pause       clock.Millis  `json:"pause"`
	Pace        float64       `json:"pace"`
	// Want names what counts; Revision is that of the table; Untold is set if nothing is
	// left to be told.
	Want     *string `json:"want"`
	Revision *uint64 `json:"revision"`
	Untold   bool    `json:"untold"`
}

// play applies a step to a table and checks the result.
func (step step) play(table notice.Table) notice.Table {
	now := start + step.At
	given := notice.Notice{Endpoint: quota.Endpoint{ID: "e1", Incarnation: max(step.Incarnation, 1)}, Leaving: step.Leaving, Pace: step.Pace, At: now}
	if step.Observed != nil {
		given.At = start + *step.Observed
	}
	if step.Pause > 0 {
		given.PauseEnd = now + step.Pause
	}
	if step.Told {
		table = table.With(given)
	} else {
		table = table.WithOwn(given)
	}
	if step.Want != nil {
		Expect(describe(table.State(given.Endpoint, now))).To(Equal(*step.Want), "at %d", step.At)
	}
	if step.Revision != nil {
		Expect(table.Revision()).To(Equal(*step.Revision), "at %d", step.At)
	}
	if step.Untold {
		Expect(table.Since(0, now)).To(BeEmpty())
		Expect(table.Expired(now).States(now)).To(BeEmpty())
	}
	return table
}

func describe(state notice.State) string {
	var words []string
	for word, holds := range map[string]bool{"leaving": state.Leaving, "own": state.OwnPause > 0, "slow": state.Pace > 0} {
		if holds {
			words = append(words, word)
		}
	}
	if state.ToldPause > 0 {
		words = append(words, "told")
	}
	return strings.Join(words, " ")
}

// Guards against requests to an endpoint that wants none, and against notices that
// outlive their end, their start of the endpoint, or go round between processes.
var _ = Describe("notices", func() {
	text, err := os.ReadFile("testdata/scripts.json")
	if err != nil {
		panic(err)
	}
	var scripts []struct {
		Name  string `json:"name"`
		Steps []step `json:"steps"`
	}
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			table := notice.Table{}
			for _, step := range script.Steps {
				table = step.play(table)
			}
		})
	}
})

// Guards against a process with another clock, and against values of a faulty process
// that take an endpoint out of use.
var _ = It("survives encoding between processes and bounds implausible values", func() {
	endpoint := quota.Endpoint{ID: "e1", Incarnation: 7}
	sent := notice.Notice{Endpoint: endpoint, Leaving: true, PauseEnd: start + 2000, Pace: 1.5, At: start - 100}
	got := notice.FromMessage(sent.Message(start), 500_000)
	Expect(got).To(Equal(notice.Notice{Endpoint: endpoint, Leaving: true, PauseEnd: 502_000, Pace: 1.5, At: 499_900}))
	wild := notice.FromMessage(&wire.EndpointNotice{Endpoint: "e1", Pause: math.MaxInt64, Pace: math.Inf(1), At: math.MaxInt64}, start)
	Expect(wild).To(Equal(notice.Notice{Endpoint: quota.Endpoint{ID: "e1"}, PauseEnd: start + notice.MaxPause, Pace: 1, At: start}))
	Expect(notice.FromMessage(&wire.EndpointNotice{Endpoint: "e1", Pause: -5, Pace: math.NaN()}, start)).To(Equal(
		notice.Notice{Endpoint: quota.Endpoint{ID: "e1"}, At: start}))
	Expect(notice.Slow(endpoint, math.NaN(), start).Pace).To(Equal(1.0))
})

// Guards against processes that disagree for good because one has got the notices in
// parts.
var _ = It("tells what has changed since a revision and all of it from the start", func() {
	table := notice.Table{}
	for _, id := range []string{"e1", "e2", "e3"} {
		table = table.WithOwn(notice.Notice{Endpoint: quota.Endpoint{ID: id}, Leaving: true, At: start})
	}
	Expect(table.Since(0, start)).To(HaveLen(3))
	Expect(table.Since(2, start)).To(HaveLen(1))
	Expect(table.Since(3, start)).To(BeEmpty())
	copied := notice.Table{}
	for _, told := range table.Since(0, start) {
		copied = copied.With(told)
	}
	Expect(copied.States(start)).To(Equal(table.States(start)))
})
