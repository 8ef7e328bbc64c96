package route

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/hibiscuslug/hibiscuslug/internal/figure"
	"github.com/hibiscuslug/hibiscuslug/internal/retry"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	amplifyEntries = 6
	amplifyEngines = 12
	// arrivals is the number of callers' requests of one run.
	arrivals     = 60_000
	meanGap      = 1.0
	serviceSpan  = 50 * clock.Millis(1)
	plainRetries = 3
)

// workload is which engines fail how often.
type workload struct {
	name string
	// fails is the share of its requests that an engine fails.
	fails func(engine int) float64
}

// amplification compares the retry policy with one that always retries, on the
// same seeded workload in virtual time.
func amplification(report *figure.Report) {
	half := workload{"half of the engines fail every request", func(engine int) float64 { return float64(engine % 2) }}
	every := workload{"every engine fails half of its requests", func(int) float64 { return 0.5 }}
	sent, answered := amplify(report, half, false)
	report.Add("retry.amplification", sent, "ratio")
	report.Add("retry.answered", answered, "share")
	sent, answered = amplify(report, half, true)
	report.Add("retry.amplificationPlain", sent, "ratio")
	report.Add("retry.answeredPlain", answered, "share")
	sent, answered = amplify(report, every, false)
	report.Add("retry.amplificationFlaky", sent, "ratio")
	report.Add("retry.answeredFlaky", answered, "share")
	sent, answered = amplify(report, every, true)
	report.Add("retry.amplificationFlakyPlain", sent, "ratio")
	report.Add("retry.answeredFlakyPlain", answered, "share")
}

func amplify(report *figure.Report, load workload, plain bool) (sent, answered float64) {
	var ratios, shares []float64
	for seed := report.Seed; seed < report.Seed+seeds; seed++ {
		run := newFleet(seed, load, plain)
		run.play()
		ratios = append(ratios, float64(run.sent)/arrivals)
		shares = append(shares, float64(run.answered)/arrivals)
	}
	report.Note("%s, plain %t, seeds %d to %d: sent %v, answered %v", load.name, plain, report.Seed, report.Seed+seeds-1, ratios, shares)
	return figure.Median(ratios...), figure.Median(shares...)
}

// fleet is a run in virtual time.
type fleet struct {
	random   *rand.Rand
	load     workload
	plain    bool
	policies []retry.Policy
	names    []string
	events   events
	order    int
	sent     int
	answered int
}

// event is the arrival of a request, with no engine yet, or an attempt's end.
type event struct {
	at      clock.Millis
	order   int
	entry   int
	started int
	engine  int
}

func newFleet(seed uint64, load workload, plain bool) *fleet {
	run := &fleet{random: rand.New(rand.NewPCG(seed, 0)), load: load, plain: plain}
	for range amplifyEntries {
		run.policies = append(run.policies, retry.NewPolicy())
	}
	for engine := range amplifyEngines {
		run.names = append(run.names, strconv.Itoa(engine))
	}
	at := 0.0
	for range arrivals {
		at += run.random.ExpFloat64() * meanGap
		run.push(event{at: clock.Millis(at) + 1, entry: run.random.IntN(amplifyEntries), engine: -1})
	}
	return run
}

func (run *fleet) push(next event) {
	run.order++
	next.order = run.order
	heap.Push(&run.events, next)
}

func (run *fleet) play() {
	for len(run.events) > 0 {
		next, _ := heap.Pop(&run.events).(event)
		if next.engine < 0 || run.ended(next) {
			run.send(next)
		}
	}
}

// ended takes the end of an attempt and tells whether the request is sent again.
func (run *fleet) ended(next event) bool {
	failed := run.random.Float64() < run.load.fails(next.engine)
	end := retry.Succeeded
	if failed {
		end = retry.Failed
	} else {
		run.answered++
	}
	policy := run.policies[next.entry].WithEnd(run.names[next.engine], end, next.at)
	again := failed && next.started < plainRetries
	if failed && !run.plain {
		policy, again = policy.WithRetry(next.started)
	}
	run.policies[next.entry] = policy
	return again
}

func (run *fleet) send(next event) {
	usable := run.names
	if !run.plain {
		usable = run.policies[next.entry].Detector.Usable(run.names, next.at)
	}
	fresh := slices.DeleteFunc(slices.Clone(usable), func(name string) bool { return next.engine >= 0 && name == run.names[next.engine] })
	if len(fresh) == 0 {
		fresh = usable
	}
	name := fresh[run.random.IntN(len(fresh))]
	next.engine = slices.Index(run.names, name)
	next.started++
	next.at += serviceSpan
	run.sent++
	run.policies[next.entry].Detector = run.policies[next.entry].Detector.WithSent(name, next.at-serviceSpan)
	run.push(next)
}

// events is a heap by time, then by the order in which they were made.
type events []event

func (list events) Len() int { return len(list) }

func (list events) Less(first, second int) bool {
	if list[first].at != list[second].at {
		return list[first].at < list[second].at
	}
	return list[first].order < list[second].order
}

func (list events) Swap(first, second int) { list[first], list[second] = list[second], list[first] }

func (list *events) Push(value any) {
	added, _ := value.(event)
	*list = append(*list, added)
}

func (list *events) Pop() any {
	last := len(*list) - 1
	removed := (*list)[last]
	*list = (*list)[:last]
	return removed
}
