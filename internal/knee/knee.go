// Package knee estimates how fast an endpoint of a service without engines answers and
// how many concurrent requests it handles well, from the responses of the last seconds.
// It does no I/O and reads no clock. The gateway process uses it.
package knee

import (
	"math"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// Window is the time for which a response counts in a Total.
	Window = 2 * clock.Second
	// settleTime is how long a start is not judged after it is first seen. Totals are
	// reported by endpoint, not by start, so those of an earlier start count until the
	// window and the lifetime of a report (1 s) have passed.
	settleTime = Window + clock.Second
	// updateInterval is the least time between updates; reports are no more frequent.
	updateInterval = 100 * clock.Millis(1)
	// noise is the number of standard errors of a mean that a difference must exceed to
	// count. The times of requests are taken to vary by as much as their mean.
	noise = 3
	// recoveryNoise is the same for the return of a slow endpoint to its usual pace, where
	// an error costs less: the endpoint is found slow again.
	recoveryNoise = 1.5
	// tolerance is the ratio of times up to which endpoints are equal, with any number of
	// responses.
	tolerance = 1.3
	// slowdown is the ratio of the time of a response to the unloaded time up to which an
	// endpoint handles its work well.
	slowdown = 1.5
	// minEnded is the number of responses in a window from which an unloaded time is taken.
	minEnded = 10
	// paceHalfLife is the time in which the logarithm of a pace halves unless responses
	// confirm it.
	paceHalfLife = 5 * clock.Second
	// fallWeight and riseWeight are the shares by which the unloaded time follows the mean
	// of a window that is shorter or longer. A minimum would follow the noise instead.
	fallWeight, riseWeight = 0.2, 0.02
	// growth is the part of the stated slots that a limit regains in a second.
	growth = 0.1
	// exploreRate is the mean number of requests a second, from all gateways together, that a
	// slow endpoint gets to find out whether it still is slow.
	exploreRate = 1
	// maxExploreShare bounds the share of the requests of a service that explore one
	// endpoint.
	maxExploreShare = 0.1
)

// Total is the number of complete responses of an endpoint within the last Window and the
// sum of their times.
type Total struct {
	Ended int
	Took  clock.Millis
}

// Plus returns the sum of two totals.
func (total Total) Plus(other Total) Total {
	return Total{Ended: total.Ended + other.Ended, Took: total.Took + other.Took}
}

func (total Total) mean() float64 { return float64(total.Took) / float64(max(total.Ended, 1)) }

// Sample is what all gateways together know of one start of an endpoint.
type Sample struct {
	Endpoint quota.Endpoint
	Slots    int
	Total    Total
}

// Estimate is what is known of one start of an endpoint. The zero value knows nothing.
type Estimate struct {
	// Unloaded is the time of a response without other load in milliseconds; 0 while it is
	// not known.
	Unloaded float64
	// Limit is the number of concurrent requests that the endpoint handles well; it is at
	// most the stated slots, and 0 while nothing is known.
	Limit float64
	// Pace is the factor by which the endpoint answers slower than the others of its
	// service; 0 if it does not.
	Pace float64
	// Samples is the number of responses in the latest window.
	Samples int
}

// Slots returns the number of concurrent requests by which the work at the endpoint is
// divided. The limit of a slow endpoint is not used, because its pace counts already.
func (estimate Estimate) Slots(stated int) int {
	if estimate.Limit == 0 || estimate.Pace > 0 {
		return stated
	}
	return min(stated, max(1, int(math.Round(estimate.Limit))))
}

type entry struct {
	Estimate
	since clock.Millis
	// windowAt is the start of the window that is next taken into the unloaded time.
	windowAt clock.Millis
}

// Table holds the estimates of the endpoints of one service. It is an immutable value; the
// zero value knows nothing.
type Table struct {
	entries map[quota.Endpoint]entry
	at      clock.Millis
	// rate is the number of responses a second of all endpoints.
	rate float64
}

// IsDue reports whether new samples are taken.
func (table Table) IsDue(now clock.Millis) bool {
	return table.entries == nil || now-table.at >= updateInterval
}

// With returns the table updated with samples of all endpoints of the service. Starts
// without a sample are forgotten.
func (table Table) With(samples []Sample, now clock.Millis) Table {
	next := Table{entries: make(map[quota.Endpoint]entry, len(samples)), at: now}
	elapsed := min(now-table.at, clock.Second)
	ended := 0
	for _, sample := range samples {
		ended += sample.Total.Ended
		known, ok := table.entries[sample.Endpoint]
		if !ok {
			known = entry{since: now, windowAt: now}
		}
		if now-known.since >= settleTime {
			known = known.with(sample, usual(samples, sample.Endpoint), now, elapsed)
		}
		next.entries[sample.Endpoint] = known
	}
	next.rate = float64(ended) / (float64(Window) / float64(clock.Second))
	return next
}

// usual returns the median of the mean times at the other endpoints, and the number of
// responses that it is based on; 0 if there are none.
func usual(samples []Sample, endpoint quota.Endpoint) (usual Total) {
	var others []Total
	for _, sample := range samples {
		if sample.Endpoint != endpoint && sample.Total.Ended > 0 {
			others = append(others, sample.Total)
		}
	}
	if len(others) == 0 {
		return Total{}
	}
	slices.SortFunc(others, func(first, second Total) int {
		return int(math.Copysign(1, first.mean()-second.mean()))
	})
	// Of an even number the slower one, so that of two endpoints in doubt none is slow.
	return others[len(others)/2]
}

func (known entry) with(sample Sample, usual Total, now, elapsed clock.Millis) entry {
	known.Samples = sample.Total.Ended
	known.Pace = known.pace(sample.Total, usual, elapsed)
	if sample.Total.Ended >= minEnded && now-known.windowAt >= Window {
		known.windowAt = now
		known.Unloaded = follow(known.Unloaded, sample.Total.mean())
	}
	known.Limit = known.limit(sample, elapsed)
	return known
}

func follow(unloaded, mean float64) float64 {
	switch {
	case unloaded == 0:
		return mean
	case mean < unloaded:
		return unloaded + fallWeight*(mean-unloaded)
	}
	return unloaded + riseWeight*(mean-unloaded)
}

// pace returns the factor by which the endpoint is slower than others.
func (known entry) pace(own, usual Total, elapsed clock.Millis) float64 {
	pace := max(known.Pace, 1)
	decayed := math.Exp(math.Log(pace) * math.Exp2(-float64(elapsed)/float64(paceHalfLife)))
	if own.Ended > 0 && usual.Ended > 0 && usual.Took > 0 {
		ratio := own.mean() / usual.mean()
		doubt := math.Sqrt(1/float64(own.Ended) + 1/float64(usual.Ended))
		switch {
		case ratio > max(tolerance, 1+noise*doubt):
			return ratio
		case known.Pace > 0 && ratio > math.Sqrt(pace) && ratio > tolerance:
			// Fewer responses confirm a pace than find it.
			return min(max(decayed, ratio), pace)
		case known.Pace > 0 && ratio < math.Sqrt(pace) && math.Log(pace) > recoveryNoise/math.Sqrt(float64(own.Ended)):
			return 0
		}
	}
	if decayed <= tolerance {
		return 0
	}
	return decayed
}

// limit returns the number of concurrent requests that the endpoint handles well. Past it,
// responses take longer while no more of them end, so that the responses in a second times
// the unloaded time is what the endpoint runs without delay.
func (known entry) limit(sample Sample, elapsed clock.Millis) float64 {
	slots, ended := float64(sample.Slots), float64(sample.Total.Ended)
	limit := known.Limit
	if limit == 0 || limit > slots {
		limit = slots
	}
	if known.Unloaded > 0 && ended >= minEnded && sample.Total.mean() > known.Unloaded*(slowdown+noise/math.Sqrt(ended)) {
		return min(limit, max(1, ended/float64(Window)*known.Unloaded))
	}
	return min(slots, limit+growth*slots*float64(elapsed)/float64(clock.Second))
}

// Of returns the estimate of a start of an endpoint.
func (table Table) Of(endpoint quota.Endpoint) Estimate { return table.entries[endpoint].Estimate }

// All returns the estimates of all starts.
func (table Table) All() map[quota.Endpoint]Estimate {
	all := make(map[quota.Endpoint]Estimate, len(table.entries))
	for endpoint, known := range table.entries {
		all[endpoint] = known.Estimate
	}
	return all
}

// Explores reports whether a request goes to a slow endpoint to find out whether it still
// is slow. Draw is a random number in [0, 1) for the request and endpoint. An endpoint that
// runs requests already is not explored.
func (table Table) Explores(endpoint quota.Endpoint, work int, draw float64) bool {
	if work > 0 || table.entries[endpoint].Pace == 0 {
		return false
	}
	return draw < min(maxExploreShare, exploreRate/max(table.rate, 1))
}
