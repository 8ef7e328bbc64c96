package quota

import (
	"math"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// ColdPermitLifetime is how long a permit of a cold endpoint may be used after it was
	// asked for. It is longer than the wait for the leader's answer. The rates below assume
	// that permits are used at any time within it.
	ColdPermitLifetime = 300 * clock.Millis(1)
	// coldSlotTime is how long a gateway may use a slot of its share at a cold endpoint.
	coldSlotTime = 500 * clock.Millis(1)
	// coldSpan is the time whose bound holds.
	coldSpan = clock.Second
	// coldBurstShare is the part of the leader's half that an endpoint may get at once; the
	// rest is the rate.
	coldBurstShare = 0.25
	// excessProbability is the probability that the own slots of many gateways, whose
	// phases are random, exceed their half in a given second.
	excessProbability = 1e-7
	// bisections is the number of steps in which the expected number of slots is searched.
	bisections = 50
)

// NewCold returns the limit of a cold endpoint that takes a rate of requests and may get
// rate x over + slack in any one second from all gateways together. The leader's grants
// and the gateways' own slots each stay within half of that.
func NewCold(endpoint Endpoint, rate, over, slack float64) Limit {
	limit := Limit{Endpoint: endpoint, Cold: true, Half: (rate*over + slack) / 2}
	if limit.Half < 1 {
		return limit
	}
	// A bucket of this size, filled at this rate, grants no more than Half to requests that
	// arrive within one span: those were asked for within the span and a lifetime.
	limit.Burst = max(1, coldBurstShare*limit.Half)
	limit.Rate = min(rate, (limit.Half-limit.Burst)/seconds(coldSpan+ColdPermitLifetime))
	return limit
}

// ownRate returns the rate of the own slots of a number of gateways together.
func (limit Limit) ownRate(gateways int) float64 {
	if !limit.Cold {
		return limit.Rate
	}
	// Requests that arrive within one span use slots that began within this time.
	span := seconds(coldSpan + coldSlotTime + ColdPermitLifetime)
	most := math.Floor(limit.Half)
	// Each gateway begins at most one slot more than its interval has room for. With many
	// gateways the random phases allow more than this.
	slots := max(most-float64(gateways), expected(most+1))
	return min(limit.Rate, slots/span)
}

// expected returns a mean number of independent events with which the given number
// occurs with at most excessProbability, by the Chernoff bound.
func expected(number float64) float64 {
	low, high := 0.0, number
	for range bisections {
		mean := (low + high) / 2
		if number-mean+number*math.Log(mean/number) <= math.Log(excessProbability) {
			low = mean
		} else {
			high = mean
		}
	}
	return low
}

func seconds(span clock.Millis) float64 { return float64(span) / float64(clock.Second) }

// byEndpoint groups limits that must hold together, in their order.
func byEndpoint(limits []Limit) [][]Limit {
	var groups [][]Limit
	for _, limit := range limits {
		if last := len(groups) - 1; last >= 0 && groups[last][0].Endpoint == limit.Endpoint {
			groups[last] = append(groups[last], limit)
			continue
		}
		groups = append(groups, []Limit{limit})
	}
	return groups
}

// First returns the first endpoint, of those that limits name, of which a function
// grants all limits, or otherwise the shortest wait. The limits of one endpoint follow
// each other.
func First(limits []Limit, take func([]Limit) (bool, clock.Millis)) (string, clock.Millis) {
	wait := clock.Millis(0)
	for at, group := range byEndpoint(limits) {
		granted, after := take(group)
		if granted {
			return group[0].Endpoint.ID, 0
		}
		if at == 0 || after < wait {
			wait = after
		}
	}
	return "", wait
}
