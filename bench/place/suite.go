// Package place benchmarks the placement policy in virtual time against baseline
// policies on the same seeded workload.
package place

import (
	"slices"
	"strconv"

	"github.com/hibiscuslug/hibiscuslug/internal/figure"
)

const (
	// span covers about 17,000 requests on 12 engines.
	span = 300_000.0
	// shortSpan covers about as many requests on the larger fleets.
	shortSpan = 30_000.0
	seeds     = 3
)

// random selects an engine at random.
func random(model *model, _ *job, visible []int) (int, bool) {
	return visible[model.random.IntN(len(visible))], true
}

// roundRobin selects the engines in turn, independently at each entry VM.
func roundRobin(model *model, request *job, visible []int) (int, bool) {
	model.next[request.entry]++
	return visible[(model.next[request.entry]+request.entry)%len(visible)], true
}

// leastReported selects the engine with the lowest reported load.
func leastReported(model *model, _ *job, visible []int) (int, bool) {
	best, minLoad, ties := visible[0], uint32(1<<31), 0
	for _, at := range visible {
		load := model.engines[at].reported
		work := load.GetRunning() + load.GetWaiting()
		switch {
		case work < minLoad:
			best, minLoad, ties = at, work, 1
		case work == minLoad:
			ties++
			if model.random.IntN(ties) == 0 {
				best = at
			}
		}
	}
	return best, true
}

// placer selects an engine with package place.
func placer(model *model, request *job, visible []int) (int, bool) {
	choice, _ := model.placer.Choose(model.request(request), model.candidates(request.entry, visible), clockOf(model), request.tried)
	at, _ := strconv.Atoi(choice.Candidate.Engine.GetName()[len("engine"):])
	return at, choice.Queue
}

// placerQueued is placer, except that the endpoint process queues every attempt.
func placerQueued(model *model, request *job, visible []int) (int, bool) {
	at, _ := placer(model, request, visible)
	return at, true
}

// placerWithoutPrefix is placer without prefix affinity.
func placerWithoutPrefix(model *model, request *job, visible []int) (int, bool) {
	withoutPrefix := *request
	withoutPrefix.prefix = 0
	return placer(model, &withoutPrefix, visible)
}

func p99(values []float64) float64 {
	ordered := slices.Clone(values)
	slices.Sort(ordered)
	return ordered[len(ordered)*99/100]
}

// imbalance returns the load of the most loaded engine relative to the mean.
func imbalance(model *model) float64 {
	maxLoad, sum := 0.0, 0.0
	for _, engine := range model.engines {
		maxLoad = max(maxLoad, engine.loadIntegral)
		sum += engine.loadIntegral
	}
	return maxLoad / (sum / float64(len(model.engines)))
}

func run(seed uint64, engines, entries int, pick choose, withPrefix bool) *model {
	built := newModel(seed, engines, entries, pick, withPrefix)
	if engines > 12 {
		built.simulate(shortSpan)
		return built
	}
	built.simulate(span)
	return built
}

// Run measures placement and reports the median of three seeds.
func Run(report *figure.Report) error {
	var p99s, baselineP99s, ratios, refusals, queuedRatios []float64
	for seed := report.Seed; seed < report.Seed+seeds; seed++ {
		measured := run(seed, 12, 18, placer, false)
		best := min(p99(run(seed, 12, 18, random, false).firstTokens),
			p99(run(seed, 12, 18, roundRobin, false).firstTokens),
			p99(run(seed, 12, 18, leastReported, false).firstTokens))
		p99s, baselineP99s = append(p99s, p99(measured.firstTokens)), append(baselineP99s, best)
		ratios = append(ratios, p99(measured.firstTokens)/best)
		queuedRatios = append(queuedRatios, p99(run(seed, 12, 18, placerQueued, false).firstTokens)/best)
		refusals = append(refusals, float64(measured.refusals)/float64(measured.placed))
	}
	report.Add("place.p99", figure.Median(p99s...), "ms")
	report.Add("place.plainP99", figure.Median(baselineP99s...), "ms")
	report.Add("place.p99Ratio", figure.Median(ratios...), "ratio")
	report.Add("place.p99RatioQueued", figure.Median(queuedRatios...), "ratio")
	report.Add("place.refusals", figure.Median(refusals...), "perRequest")
	measurePrefix(report)
	measureImbalance(report)
	return nil
}

func measurePrefix(report *figure.Report) {
	var with, without, latencyRatios []float64
	for seed := report.Seed; seed < report.Seed+seeds; seed++ {
		measured, baseline := run(seed, 12, 18, placer, true), run(seed, 12, 18, placerWithoutPrefix, true)
		with = append(with, float64(measured.hits)/float64(measured.lookups))
		without = append(without, float64(baseline.hits)/float64(baseline.lookups))
		latencyRatios = append(latencyRatios, p99(measured.firstTokens)/p99(baseline.firstTokens))
	}
	report.Add("place.prefixHit", figure.Median(with...), "share")
	report.Add("place.prefixHitPlain", figure.Median(without...), "share")
	report.Add("place.prefixP99Ratio", figure.Median(latencyRatios...), "ratio")
}

func measureImbalance(report *figure.Report) {
	for _, size := range []struct{ engines, entries int }{{12, 18}, {100, 11}, {364, 11}} {
		var imbalances, randomImbalances []float64
		for seed := report.Seed; seed < report.Seed+seeds; seed++ {
			imbalances = append(imbalances, imbalance(run(seed, size.engines, size.entries, placer, false)))
			randomImbalances = append(randomImbalances, imbalance(run(seed, size.engines, size.entries, random, false)))
		}
		suffix := strconv.Itoa(size.engines)
		report.Add("place.imbalance"+suffix, figure.Median(imbalances...), "ratio")
		report.Add("place.imbalanceRandom"+suffix, figure.Median(randomImbalances...), "ratio")
	}
}
