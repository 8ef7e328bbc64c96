package queue

import (
	"math/rand/v2"

	"github.com/hibiscuslug/hibiscuslug/internal/figure"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	burstDuration = 60 * second
	holDuration   = 300 * second
	// warmUp is the initial period whose requests do not count, in milliseconds.
	warmUp = 5 * second
	// goodputLimit is the longest time to the first event that counts as goodput, in
	// milliseconds.
	goodputLimit = 1 * second
	// seeds is the number of runs; their median is reported.
	seeds = 3
)

// Run measures the figures of the suite.
func Run(report *figure.Report) error {
	collected := map[string][]float64{}
	var order []string
	for run := range uint64(seeds) {
		seed := report.Seed + run
		add := func(name string, value float64) {
			if len(collected[name]) == 0 {
				order = append(order, name)
			}
			collected[name] = append(collected[name], value)
		}
		burst(report, seed, add)
		customerIsolation(seed, add)
		headOfLine(report, seed, add)
	}
	for _, name := range order {
		report.Add(name, figure.Median(collected[name]...), units[name])
	}
	return nil
}

var units = map[string]string{
	"burst.paidGoodput": "percent", "burst.paidP99": "ms", "burst.paidAloneP99": "ms", "burst.fifoPaidP99": "ms",
	"burst.freeFill": "percent", "burst.smallCustomerRatio": "ratio", "burst.fifoSmallCustomerRatio": "ratio",
	"hol.shortP99": "ms", "hol.shortAloneP99": "ms", "hol.fifoShortP99": "ms",
	"hol.shortFirstP99": "ms", "hol.shortAloneFirstP99": "ms", "hol.fifoShortFirstP99": "ms",
	"hol.longSlowdownMean": "ratio", "hol.longSlowdownP99": "ratio",
}

// play runs jobs under the measured or the baseline policies.
func play(seed uint64, baseline bool, jobs []*job, until float64) *simulation {
	simulated := newSimulation(seed, baseline)
	simulated.run(jobs, until)
	return simulated
}

// burst measures paid traffic with demand peaks next to free traffic of five times
// the capacity.
func burst(report *figure.Report, seed uint64, add func(string, float64)) {
	random := rand.New(rand.NewPCG(seed, 1))
	paid := arrivals{
		tier: wire.Tier_TIER_PAID, prefix: "p", customers: names("paid", 8), patience: 10 * second,
		rate: func(at float64) float64 { return capacity() * paidDemand(at) }, peak: 1.2 * capacity(),
	}.generate(random, burstDuration)
	free := arrivals{
		tier: wire.Tier_TIER_FREE, prefix: "f", customers: names("free", 8), patience: 60 * second,
		rate: constantRate(5 * capacity()), peak: 5 * capacity(),
	}.generate(random, burstDuration)
	alone, both, baseline := merge(paid), merge(paid, free), merge(paid, free)
	play(seed, false, alone, burstDuration+10*second)
	mixed := play(seed, false, both, burstDuration)
	play(seed, true, baseline, burstDuration)
	paidOnly := func(job *job) bool { return job.tier == wire.Tier_TIER_PAID }
	add("burst.paidGoodput", 100*goodput(both, paidOnly)/goodput(alone, paidOnly))
	add("burst.paidP99", p99(firstEventTimes(both, paidOnly)))
	add("burst.paidAloneP99", p99(firstEventTimes(alone, paidOnly)))
	add("burst.fifoPaidP99", p99(firstEventTimes(baseline, paidOnly)))
	total := capacity() * meanSize * burstDuration / second
	spare := total - float64(mixed.events[wire.Tier_TIER_PAID])
	add("burst.freeFill", 100*float64(mixed.events[wire.Tier_TIER_FREE])/spare)
	report.Note("burst seed %d: alone %.2f %% in time; %v", seed, 100*goodput(alone, paidOnly), mixed.counts)
}

// customerIsolation measures small paid customers, who together send a fifth of the
// capacity, next to one large paid customer who sends three times the capacity.
func customerIsolation(seed uint64, add func(string, float64)) {
	random := rand.New(rand.NewPCG(seed, 2))
	small := arrivals{
		tier: wire.Tier_TIER_PAID, prefix: "s", customers: names("small", 7), patience: 10 * second,
		rate: constantRate(0.2 * capacity()), peak: 0.2 * capacity(),
	}.generate(random, burstDuration)
	large := arrivals{
		tier: wire.Tier_TIER_PAID, prefix: "l", customers: names("large", 1), patience: 10 * second,
		rate: constantRate(3 * capacity()), peak: 3 * capacity(),
	}.generate(random, burstDuration)
	isSmall := func(job *job) bool { return job.customer != "large0" }
	alone, beside, baseline := merge(small), merge(small, large), merge(small, large)
	play(seed, false, alone, burstDuration)
	play(seed, false, beside, burstDuration)
	play(seed, true, baseline, burstDuration)
	base := p99(firstEventTimes(alone, isSmall))
	add("burst.smallCustomerRatio", p99(firstEventTimes(beside, isSmall))/base)
	add("burst.fifoSmallCustomerRatio", p99(firstEventTimes(baseline, isSmall))/base)
}

// headOfLine measures head-of-line blocking at 80 % load, where 3 % of the requests
// are 50 times longer.
func headOfLine(report *figure.Report, seed uint64, add func(string, float64)) {
	random := rand.New(rand.NewPCG(seed, 3))
	mixedSize := meanSize * (1 - longShare + longShare*longRatio)
	rate := 0.8 * engines * second / engineTime(mixedSize)
	work := arrivals{
		tier: wire.Tier_TIER_PAID, prefix: "h", customers: names("paid", 8), patience: 60 * second,
		rate: constantRate(rate), peak: rate, long: longShare,
	}.generate(random, holDuration)
	var shortWork []*job
	for _, job := range work {
		if !job.long {
			shortWork = append(shortWork, job)
		}
	}
	// The run continues after the last arrival so that all requests can end.
	const end = holDuration + 200*second
	alone, both, baseline := merge(shortWork), merge(work), merge(work)
	play(seed, false, alone, end)
	mixed := play(seed, false, both, end)
	play(seed, true, baseline, end)
	short := func(job *job) bool { return !job.long }
	add("hol.shortP99", p99(lastEventTimes(both, short)))
	add("hol.shortAloneP99", p99(lastEventTimes(alone, short)))
	add("hol.fifoShortP99", p99(lastEventTimes(baseline, short)))
	add("hol.shortFirstP99", p99(firstEventTimes(both, short)))
	add("hol.shortAloneFirstP99", p99(firstEventTimes(alone, short)))
	add("hol.fifoShortFirstP99", p99(firstEventTimes(baseline, short)))
	slowdowns := slowdown(both, baseline)
	add("hol.longSlowdownMean", mean(slowdowns))
	add("hol.longSlowdownP99", p99(slowdowns))
	report.Note("hol seed %d: %d requests, %d long; %v", seed, len(both), len(slowdowns), mixed.counts)
}

// goodput returns the share of the wanted jobs whose first event arrived within
// goodputLimit.
func goodput(jobs []*job, wanted func(*job) bool) float64 {
	all, good := 0, 0
	for _, job := range jobs {
		if !wanted(job) || job.arrived < warmUp {
			continue
		}
		all++
		if job.firstEvent > 0 && job.firstEvent-job.arrived <= goodputLimit {
			good++
		}
	}
	return float64(good) / float64(all)
}

// firstEventTimes returns the times to the first event. A job without events
// counts with its patience, the time that its client would have waited.
func firstEventTimes(jobs []*job, wanted func(*job) bool) []float64 {
	return latencies(jobs, wanted, func(job *job) float64 { return job.firstEvent })
}

// lastEventTimes returns the times to the last event. A job that did not finish
// counts with its patience.
func lastEventTimes(jobs []*job, wanted func(*job) bool) []float64 {
	return latencies(jobs, wanted, func(job *job) float64 { return job.finished })
}

func latencies(jobs []*job, wanted func(*job) bool, end func(*job) float64) []float64 {
	var list []float64
	for _, job := range jobs {
		if !wanted(job) || job.arrived < warmUp {
			continue
		}
		span := job.patience
		if at := end(job); at > 0 {
			span = at - job.arrived
		}
		list = append(list, span)
	}
	return list
}

// slowdown returns, for each long job, its time to the last event relative to
// that under the baseline policy.
func slowdown(jobs, baseline []*job) []float64 {
	var list []float64
	for at, job := range jobs {
		if job.long && job.arrived >= warmUp && job.finished > 0 && baseline[at].finished > 0 {
			list = append(list, (job.finished-job.arrived)/(baseline[at].finished-baseline[at].arrived))
		}
	}
	return list
}
