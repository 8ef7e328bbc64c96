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
	// The sizes of short requests are uniformly distributed from minSize to the
	// same distance above meanSize, in events.
	meanSize = 32
	minSize  = 16
	// longRatio is the ratio of the sizes of long and short requests.
	longRatio = 50
	longShare = 0.03
	// longHighLimitShare and shortHighLimitShare are the shares of the long and
	// of the short requests that set a high limit on their output.
	longHighLimitShare  = 0.5
	shortHighLimitShare = 0.05
	// normalLimit and highLimit are the output limits that clients set, in events.
	normalLimit, highLimit = 4096, 16384
	// second is one second in milliseconds.
	second = 1000.0
)

// capacity returns the short requests per second that the engines can run in full
// batches.
func capacity() float64 { return engines * second / engineTime(meanSize) }

// arrivals describes the requests that arrive for one tier.
type arrivals struct {
	tier      wire.Tier
	prefix    string
	customers []string
	patience  float64
	// rate returns the requests per second at an instant in milliseconds; peak is
	// its maximum.
	rate func(at float64) float64
	peak float64
	// long is the share of long requests.
	long float64
}

// generate returns the jobs that arrive until an instant. Arrivals are a Poisson
// process at the peak rate, thinned to the rate of the instant.
func (arrivals arrivals) generate(random *rand.Rand, until float64) []*job {
	var jobs []*job
	for at := 0.0; ; {
		at += random.ExpFloat64() * second / arrivals.peak
		if at > until {
			return jobs
		}
		chosen, customer := random.Float64(), arrivals.customers[random.IntN(len(arrivals.customers))]
		generated := arrivals.job(random, customer, at)
		if chosen < arrivals.rate(at)/arrivals.peak {
			generated.id = fmt.Sprintf("%s%d", arrivals.prefix, len(jobs))
			jobs = append(jobs, generated)
		}
	}
}

func (arrivals arrivals) job(random *rand.Rand, customer string, at float64) *job {
	size := uint32(minSize + random.IntN(2*(meanSize-minSize)+1))
	generated := &job{customer: customer, tier: arrivals.tier, arrived: at, patience: arrivals.patience, size: size}
	generated.long = random.Float64() < arrivals.long
	draw := random.Float64()
	limit := uint32(normalLimit)
	if generated.long {
		generated.size *= longRatio
		draw *= shortHighLimitShare / longHighLimitShare
	}
	if draw < shortHighLimitShare {
		limit = highLimit
	}
	generated.traits = sizes.Traits{Kind: wire.Kind_KIND_MODEL, Customer: customer, Model: "guide", Prompt: 400, Limit: limit}
	return generated
}

func names(prefix string, count int) []string {
	list := make([]string, count)
	for at := range list {
		list[at] = fmt.Sprint(prefix, at)
	}
	return list
}

func constantRate(rate float64) func(float64) float64 { return func(float64) float64 { return rate } }

// paidDemand returns the paid demand as a share of the capacity: 20 % for 4 s, a
// ramp to 120 % within 2 s, 120 % for 2 s, and a ramp down within 2 s.
func paidDemand(at float64) float64 {
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

// merge returns copies of the jobs of several streams, ordered by arrival. Each
// run needs copies of its own, since a run writes to its jobs.
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
		case first.arrived < second.arrived:
			return -1
		case first.arrived > second.arrived:
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
