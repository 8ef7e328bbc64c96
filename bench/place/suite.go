// Package place measures the placement decision in virtual time against plain
// alternatives on the same seeded work.
package place

import (
	"slices"
	"strconv"

	"github.com/hibiscuslug/hibiscuslug/internal/figure"
)

const (
	// span is long enough for some 17,000 requests on 12 engines.
	span = 300_000.0
	// shortSpan gives as many requests on the larger fleets.
	shortSpan = 30_000.0
	seeds     = 3
)

// random sends each request to any engine.
func random(model *model, _ *job, known []int) (int, bool) {
	return known[model.random.IntN(len(known))], true
}

// roundRobin goes through the engines in turn at each entry VM.
func roundRobin(model *model, request *job, known []int) (int, bool) {
	model.next[request.entry]++
	return known[(model.next[request.entry]+request.entry)%len(known)], true
}

// leastReported takes the engine with the least reported load.
func leastReported(model *model, _ *job, known []int) (int, bool) {
	best, least, ties := known[0], uint32(1<<31), 0
	for _, at := range known {
		load := model.engines[at].reported
		work := load.GetRunning() + load.GetWaiting()
		switch {
		case work < least:
			best, least, ties = at, work, 1
		case work == least:
			ties++
			if model.random.IntN(ties) == 0 {
				best = at
			}
		}
	}
	return best, true
}

// decided runs the project's decision.
func decided(model *model, request *job, known []int) (int, bool) {
	choice, _ := model.placer.Choose(model.request(request), model.candidates(request.entry, known), clockOf(model), request.tried)
	at, _ := strconv.Atoi(choice.Candidate.Engine.GetName()[len("engine"):])
	return at, choice.Queue
}

// queued runs the decision, but the endpoint process queues every attempt.
func queued(model *model, request *job, known []int) (int, bool) {
	at, _ := decided(model, request, known)
	return at, true
}

// plainDecided runs the decision without prefix affinity.
func plainDecided(model *model, request *job, known []int) (int, bool) {
	blind := *request
	blind.prefix = 0
	return decided(model, &blind, known)
}

func p99(values []float64) float64 {
	ordered := slices.Clone(values)
	slices.Sort(ordered)
	return ordered[len(ordered)*99/100]
}

func imbalance(model *model) float64 {
	most, sum := 0.0, 0.0
	for _, engine := range model.engines {
		most = max(most, engine.busy)
		sum += engine.busy
	}
	return most / (sum / float64(len(model.engines)))
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
	var ours, rivals, ratios, refusals, queuing []float64
	for seed := report.Seed; seed < report.Seed+seeds; seed++ {
		mine := run(seed, 12, 18, decided, false)
		best := min(p99(run(seed, 12, 18, random, false).firstTokens),
			p99(run(seed, 12, 18, roundRobin, false).firstTokens),
			p99(run(seed, 12, 18, leastReported, false).firstTokens))
		ours, rivals = append(ours, p99(mine.firstTokens)), append(rivals, best)
		ratios = append(ratios, p99(mine.firstTokens)/best)
		queuing = append(queuing, p99(run(seed, 12, 18, queued, false).firstTokens)/best)
		refusals = append(refusals, float64(mine.refusals)/float64(mine.placed))
	}
	report.Add("place.p99", figure.Median(ours...), "ms")
	report.Add("place.plainP99", figure.Median(rivals...), "ms")
	report.Add("place.p99Ratio", figure.Median(ratios...), "ratio")
	report.Add("place.p99RatioQueued", figure.Median(queuing...), "ratio")
	report.Add("place.refusals", figure.Median(refusals...), "perRequest")
	measurePrefix(report)
	measureImbalance(report)
	return nil
}

func measurePrefix(report *figure.Report) {
	var with, without, slower []float64
	for seed := report.Seed; seed < report.Seed+seeds; seed++ {
		mine, plain := run(seed, 12, 18, decided, true), run(seed, 12, 18, plainDecided, true)
		with = append(with, float64(mine.hits)/float64(mine.lookups))
		without = append(without, float64(plain.hits)/float64(plain.lookups))
		slower = append(slower, p99(mine.firstTokens)/p99(plain.firstTokens))
	}
	report.Add("place.prefixHit", figure.Median(with...), "share")
	report.Add("place.prefixHitPlain", figure.Median(without...), "share")
	report.Add("place.prefixP99Ratio", figure.Median(slower...), "ratio")
}

func measureImbalance(report *figure.Report) {
	for _, size := range []struct{ engines, entries int }{{12, 18}, {100, 11}, {364, 11}} {
		var ours, plain []float64
		for seed := report.Seed; seed < report.Seed+seeds; seed++ {
			ours = append(ours, imbalance(run(seed, size.engines, size.entries, decided, false)))
			plain = append(plain, imbalance(run(seed, size.engines, size.entries, random, false)))
		}
		suffix := strconv.Itoa(size.engines)
		report.Add("place.imbalance"+suffix, figure.Median(ours...), "ratio")
		report.Add("place.imbalanceRandom"+suffix, figure.Median(plain...), "ratio")
	}
}
