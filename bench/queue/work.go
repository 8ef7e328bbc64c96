package queue

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/internal/sizes"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// Sizes of short requests are spread evenly around meanSize, in events.
	meanSize  = 32
	leastSize = 16
	// longRatio is how many times longer long requests are.
	longRatio = 50
	longShare = 0.03
	// Of the long requests, toldLong announce themselves by a high limit on
	// their output; so do falseLong of the short ones.
	toldLong  = 0.5
	falseLong = 0.05
	// usualLimit and highLimit are the callers' limits on output, in events.
	usualLimit, highLimit = 4096, 16384
	// second is in milliseconds.
	second = 1000.0
)

// capacity is the short requests a second that the engines run in full batches.
func capacity() float64 { return engines * second / engineTime(meanSize) }

// arrivals is a stream of requests of one tier.
type arrivals struct {
	tier     wire.Tier
	prefix   string
	custom   []string
	patience float64
	// rate is in requests a second, at an instant in milliseconds.
	rate func(at float64) float64
	peak float64
	long float64
}

// generate makes the jobs of a stream of arrivals, a Poisson process.
func (arrivals arrivals) generate(random *rand.Rand, until float64) []*job {
	var jobs []*job
	for at := 0.0; ; {
		at += random.ExpFloat64() * second / arrivals.peak
		if at > until {
			return jobs
		}
		chosen, customer := random.Float64(), arrivals.custom[random.IntN(len(arrivals.custom))]
		made := arrivals.job(random, customer, at)
		if chosen < arrivals.rate(at)/arrivals.peak {
			made.id = fmt.Sprintf("%s%d", arrivals.prefix, len(jobs))
			jobs = append(jobs, made)
		}
	}
}

func (arrivals arrivals) job(random *rand.Rand, customer string, at float64) *job {
	size := uint32(leastSize + random.IntN(2*(meanSize-leastSize)+1))
	made := &job{customer: customer, tier: arrivals.tier, at: at, patience: arrivals.patience, size: size}
	made.long = random.Float64() < arrivals.long
	told := random.Float64()
	limit := uint32(usualLimit)
	if made.long {
		made.size *= longRatio
		told *= falseLong / toldLong
	}
	if told < falseLong {
		limit = highLimit
	}
	made.traits = sizes.Traits{Kind: wire.Kind_KIND_MODEL, Customer: customer, Model: "guide", Prompt: 400, Limit: limit}
	return made
}

func names(prefix string, count int) []string {
	list := make([]string, count)
	for at := range list {
		list[at] = fmt.Sprint(prefix, at)
	}
	return list
}

func steady(rate float64) func(float64) float64 { return func(float64) float64 { return rate } }

// swing is paid demand in parts of capacity: 20 % for 4 s, up to 120 % within
// 2 s, 120 % for 2 s, and down again within 2 s.
func swing(at float64) float64 {
	const low, high = 0.2, 1.2
	switch at = math.Mod(at, 10*second); {
	case at < 4*second:
		return low
	case at < 6*second:
		return low + (high-low)*(at-4*second)/(2*second)
	case at < 8*second:
		return high
	default:
		return high - (high-low)*(at-8*second)/(2*second)
	}
}

// merge orders the jobs of several streams by arrival. Each run needs jobs of
// its own, since a run writes to them.
func merge(streams ...[]*job) []*job {
	var all []*job
	for _, stream := range streams {
		for _, original := range stream {
			copied := *original
			all = append(all, &copied)
		}
	}
	slices.SortStableFunc(all, func(first, second *job) int {
		switch {
		case first.at < second.at:
			return -1
		case first.at > second.at:
			return 1
		}
		return 0
	})
	return all
}

// p99 returns the 99th percentile of values, or 0 when there are none.
func p99(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	ordered := slices.Sorted(slices.Values(values))
	return ordered[min(len(ordered)-1, int(math.Ceil(0.99*float64(len(ordered))))-1)]
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(len(values), 1))
}
