package queue

import (
	"math/rand/v2"

	"github.com/hibiscuslug/hibiscuslug/internal/figure"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	burstLength = 60 * second
	holLength   = 300 * second
	// warmUp is left out of the figures.
	warmUp = 5 * second
	// inTime is the goal for the first event.
	inTime = 1 * second
	// seeds is the number of runs of which the median is reported.
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
		customers(seed, add)
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

// play runs jobs with the project's policies or the plain ones.
func play(seed uint64, plain bool, jobs []*job, until float64) *world {
	played := newWorld(seed, plain)
	played.run(jobs, until)
	return played
}

// burst sets paid demand that swings against free demand of five times capacity.
func burst(report *figure.Report, seed uint64, add func(string, float64)) {
	random := rand.New(rand.NewPCG(seed, 1))
	paid := arrivals{
		tier: wire.Tier_TIER_PAID, prefix: "p", custom: names("paid", 8), patience: 10 * second,
		rate: func(at float64) float64 { return capacity() * swing(at) }, peak: 1.2 * capacity(),
	}.generate(random, burstLength)
	free := arrivals{
		tier: wire.Tier_TIER_FREE, prefix: "f", custom: names("free", 8), patience: 60 * second,
		rate: steady(5 * capacity()), peak: 5 * capacity(),
	}.generate(random, burstLength)
	alone, both, plain := merge(paid), merge(paid, free), merge(paid, free)
	play(seed, false, alone, burstLength+10*second)
	mixed := play(seed, false, both, burstLength)
	play(seed, true, plain, burstLength)
	paidOnly := func(job *job) bool { return job.tier == wire.Tier_TIER_PAID }
	add("burst.paidGoodput", 100*goodput(both, paidOnly)/goodput(alone, paidOnly))
	add("burst.paidP99", p99(firsts(both, paidOnly)))
	add("burst.paidAloneP99", p99(firsts(alone, paidOnly)))
	add("burst.fifoPaidP99", p99(firsts(plain, paidOnly)))
	whole := capacity() * meanSize * burstLength / second
	left := whole - float64(mixed.events[wire.Tier_TIER_PAID])
	add("burst.freeFill", 100*float64(mixed.events[wire.Tier_TIER_FREE])/left)
	report.Note("burst seed %d: alone %.2f %% in time; %v", seed, 100*goodput(alone, paidOnly), mixed.counts)
}

// customers sets one large paid customer, with three times capacity, beside
// small ones with a fifth of it.
func customers(seed uint64, add func(string, float64)) {
	random := rand.New(rand.NewPCG(seed, 2))
	small := arrivals{
		tier: wire.Tier_TIER_PAID, prefix: "s", custom: names("small", 7), patience: 10 * second,
		rate: steady(0.2 * capacity()), peak: 0.2 * capacity(),
	}.generate(random, burstLength)
	large := arrivals{
		tier: wire.Tier_TIER_PAID, prefix: "l", custom: names("large", 1), patience: 10 * second,
		rate: steady(3 * capacity()), peak: 3 * capacity(),
	}.generate(random, burstLength)
	isSmall := func(job *job) bool { return job.customer != "large0" }
	alone, beside, plain := merge(small), merge(small, large), merge(small, large)
	play(seed, false, alone, burstLength)
	play(seed, false, beside, burstLength)
	play(seed, true, plain, burstLength)
	base := p99(firsts(alone, isSmall))
	add("burst.smallCustomerRatio", p99(firsts(beside, isSmall))/base)
	add("burst.fifoSmallCustomerRatio", p99(firsts(plain, isSmall))/base)
}

// headOfLine mixes in 3 % of requests 50 times longer, at 80 % load.
func headOfLine(report *figure.Report, seed uint64, add func(string, float64)) {
	random := rand.New(rand.NewPCG(seed, 3))
	mixedSize := meanSize * (1 - longShare + longShare*longRatio)
	rate := 0.8 * engines * second / engineTime(mixedSize)
	work := arrivals{
		tier: wire.Tier_TIER_PAID, prefix: "h", custom: names("paid", 8), patience: 60 * second,
		rate: steady(rate), peak: rate, long: longShare,
	}.generate(random, holLength)
	var shortWork []*job
	for _, job := range work {
		if !job.long {
			shortWork = append(shortWork, job)
		}
	}
	// Requests that arrive late have time to end.
	const end = holLength + 200*second
	alone, both, plain := merge(shortWork), merge(work), merge(work)
	play(seed, false, alone, end)
	mixed := play(seed, false, both, end)
	play(seed, true, plain, end)
	short := func(job *job) bool { return !job.long }
	add("hol.shortP99", p99(wholes(both, short)))
	add("hol.shortAloneP99", p99(wholes(alone, short)))
	add("hol.fifoShortP99", p99(wholes(plain, short)))
	add("hol.shortFirstP99", p99(firsts(both, short)))
	add("hol.shortAloneFirstP99", p99(firsts(alone, short)))
	add("hol.fifoShortFirstP99", p99(firsts(plain, short)))
	slowdowns := slowdown(both, plain)
	add("hol.longSlowdownMean", mean(slowdowns))
	add("hol.longSlowdownP99", p99(slowdowns))
	report.Note("hol seed %d: %d requests, %d long; %v", seed, len(both), len(slowdowns), mixed.counts)
}

// goodput is the share of the jobs whose first event came in time.
func goodput(jobs []*job, wanted func(*job) bool) float64 {
	all, good := 0, 0
	for _, job := range jobs {
		if !wanted(job) || job.at < warmUp {
			continue
		}
		all++
		if job.first > 0 && job.first-job.at <= inTime {
			good++
		}
	}
	return float64(good) / float64(all)
}

// firsts returns the times to the first event. A job without one counts with
// the time that its caller would have waited.
func firsts(jobs []*job, wanted func(*job) bool) []float64 {
	return spans(jobs, wanted, func(job *job) float64 { return job.first })
}

// wholes returns the times to the last event.
func wholes(jobs []*job, wanted func(*job) bool) []float64 {
	return spans(jobs, wanted, func(job *job) float64 { return job.finished })
}

func spans(jobs []*job, wanted func(*job) bool, end func(*job) float64) []float64 {
	var list []float64
	for _, job := range jobs {
		if !wanted(job) || job.at < warmUp {
			continue
		}
		span := job.patience
		if at := end(job); at > 0 {
			span = at - job.at
		}
		list = append(list, span)
	}
	return list
}

// slowdown compares the long jobs' times with theirs under the plain policy.
func slowdown(jobs, plain []*job) []float64 {
	var list []float64
	for at, job := range jobs {
		if job.long && job.at >= warmUp && job.finished > 0 && plain[at].finished > 0 {
			list = append(list, (job.finished-job.at)/(plain[at].finished-plain[at].at))
		}
	}
	return list
}
