// Package choose picks the endpoint for a request. It is pure.
package choose

import "math/rand/v2"

// Candidate is an endpoint that may run the request.
type Candidate struct {
	ID string
	// Work is the number of requests there, as far as this gateway knows.
	Work  int
	Slots int
	// Local is set when the endpoint is in the gateway's availability zone.
	Local bool
	// Avoid is set for an endpoint that failed lately or is silent.
	Avoid bool
	// Cold is set while the endpoint is slow after its start.
	Cold bool
}

// coldPenalty counts a cold endpoint as if it had this share of its slots taken.
const coldPenalty = 0.5

// choices is how many candidates are compared. Gateways see loads that are a few
// hundred milliseconds old; if all of them took the least loaded of all
// endpoints, they would fill it before anyone sees it.
const choices = 3

// Best returns the index of the least loaded of a few candidates, or -1 when
// there is none. Endpoints to avoid are taken only when there are no others.
func Best(candidates []Candidate, random *rand.Rand) int {
	drawn := draw(candidates, random)
	best := -1
	for _, at := range drawn {
		// The order is random, so equal candidates are equally likely.
		if best < 0 || compare(candidates[at], candidates[best]) < 0 {
			best = at
		}
	}
	return best
}

// draw returns the indexes of some candidates in random order, of those not to
// be avoided if there are any.
func draw(candidates []Candidate, random *rand.Rand) []int {
	var good, all []int
	for _, at := range random.Perm(len(candidates)) {
		all = append(all, at)
		if !candidates[at].Avoid {
			good = append(good, at)
		}
	}
	if len(good) > 0 {
		all = good
	}
	return all[:min(choices, len(all))]
}

func compare(first, second Candidate) int {
	if first.Avoid != second.Avoid {
		return order(second.Avoid)
	}
	switch left, right := first.fill(), second.fill(); {
	case left < right:
		return -1
	case left > right:
		return 1
	}
	if first.Local != second.Local {
		return order(first.Local)
	}
	return 0
}

func order(before bool) int {
	if before {
		return -1
	}
	return 1
}

// fill is the share of the slots that is taken.
func (candidate Candidate) fill() float64 {
	fill := float64(candidate.Work) / float64(max(candidate.Slots, 1))
	if candidate.Cold {
		fill += coldPenalty
	}
	return fill
}
