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

// Best returns the index of the least loaded candidate, or -1 when there is
// none. Endpoints to avoid are taken only when there are no others.
func Best(candidates []Candidate, random *rand.Rand) int {
	best, ties := -1, 0
	for at, candidate := range candidates {
		if best < 0 {
			best, ties = at, 1
			continue
		}
		switch order := compare(candidate, candidates[best]); {
		case order < 0:
			best, ties = at, 1
		case order == 0:
			// Each of several equal candidates is as likely as the others, so
			// that gateways which see the same loads do not choose the same one.
			ties++
			if random.IntN(ties) == 0 {
				best = at
			}
		}
	}
	return best
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
