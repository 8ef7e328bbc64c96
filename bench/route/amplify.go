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
	// requestCount is the number of client requests of one run.
	requestCount = 60_000
	// meanArrivalGap is the mean time between two arrivals, in milliseconds.
	meanArrivalGap = 1.0
	serviceTime    = 50 * clock.Millis(1)
	// baselineAttempts is the maximum number of attempts, including the first, that
	// the baseline makes for a request.
	baselineAttempts = 3
)

// workload describes which engines fail how often.
type workload struct {
	name string
	// failureShare returns the share of attempts that fail on an engine.
	failureShare func(engine int) float64
}

// amplification compares the retry policy with a baseline that always retries, on
// the same seeded workload in virtual time.
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

// amplify returns the attempts sent and the requests answered per arrival, as the
// median of the seeds.
func amplify(report *figure.Report, load workload, baseline bool) (sent, answered float64) {
	var ratios, shares []float64
	for seed := report.Seed; seed < report.Seed+seeds; seed++ {
		run := newSimulation(seed, load, baseline)
		run.play()
		ratios = append(ratios, float64(run.sent)/requestCount)
		shares = append(shares, float64(run.answered)/requestCount)
	}
	report.Note("%s, plain %t, seeds %d to %d: sent %v, answered %v", load.name, baseline, report.Seed, report.Seed+seeds-1, ratios, shares)
	return figure.Median(ratios...), figure.Median(shares...)
}

// simulation is one run in virtual time.
type simulation struct {
	random   *rand.Rand
	load     workload
	baseline bool
	policies []retry.Policy
	names    []string
	events   events
	order    int
	sent     int
	answered int
}

// event is the arrival of a request, with a negative engine, or the end of an
// attempt.
type event struct {
	at    clock.Millis
	order int
	entry int
	// started is the number of attempts started so far.
	started int
	engine  int
}

func newSimulation(seed uint64, load workload, baseline bool) *simulation {
	run := &simulation{random: rand.New(rand.NewPCG(seed, 0)), load: load, baseline: baseline}
	for range amplifyEntries {
		run.policies = append(run.policies, retry.NewPolicy())
	}
	for engine := range amplifyEngines {
		run.names = append(run.names, strconv.Itoa(engine))
	}
	at := 0.0
	for range requestCount {
		at += run.random.ExpFloat64() * meanArrivalGap
		run.push(event{at: clock.Millis(at) + 1, entry: run.random.IntN(amplifyEntries), engine: -1})
	}
	return run
}

func (run *simulation) push(next event) {
	run.order++
	next.order = run.order
	heap.Push(&run.events, next)
}

func (run *simulation) play() {
	for len(run.events) > 0 {
		next, _ := heap.Pop(&run.events).(event)
		if next.engine < 0 || run.finishAttempt(next) {
			run.send(next)
		}
	}
}

// finishAttempt handles the end of an attempt and reports whether the request is
// retried.
func (run *simulation) finishAttempt(next event) bool {
	failed := run.random.Float64() < run.load.failureShare(next.engine)
	end := retry.Succeeded
	if failed {
		end = retry.Failed
	} else {
		run.answered++
	}
	policy := run.policies[next.entry].WithEnd(run.names[next.engine], end, next.at)
	retried := failed && next.started < baselineAttempts
	if failed && !run.baseline {
		policy, retried = policy.WithRetry(next.started)
	}
	run.policies[next.entry] = policy
	return retried
}

func (run *simulation) send(next event) {
	usable := run.names
	if !run.baseline {
		usable = run.policies[next.entry].Detector.Usable(run.names, next.at)
	}
	others := slices.DeleteFunc(slices.Clone(usable), func(name string) bool { return next.engine >= 0 && name == run.names[next.engine] })
	if len(others) == 0 {
		others = usable
	}
	name := others[run.random.IntN(len(others))]
	next.engine = slices.Index(run.names, name)
	next.started++
	next.at += serviceTime
	run.sent++
	run.policies[next.entry].Detector = run.policies[next.entry].Detector.WithSent(name, next.at-serviceTime)
	run.push(next)
}

// events is a heap ordered by time, then by order of creation.
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
