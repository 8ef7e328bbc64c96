// Package choose selects the endpoint for a request in the gateway process. Its only
// side effect is the use of the caller's random source.
package choose

import "math/rand/v2"

// Load is the number of requests at an endpoint.
type Load struct {
	Work int
	// Late is the number of these that are late in any case and have not begun; the
	// endpoint begins others first.
	Late int
}

// Plus returns the sum of two loads.
func (load Load) Plus(other Load) Load {
	return Load{Work: load.Work + other.Work, Late: load.Late + other.Late}
}

// Ahead returns the number of requests that the endpoint begins before a new one.
func (load Load) Ahead(isLate bool) int {
	if isLate {
		return load.Work
	}
	return load.Work - load.Late
}

// Candidate is an endpoint that may run the request.
type Candidate struct {
	ID string
	// Work is the number of requests ahead at the endpoint that this gateway knows of.
	Work  int
	Slots int
	// Local is set when the endpoint is in the gateway's availability zone.
	Local bool
	// Avoid is set for an endpoint that failed recently or whose reports have stopped.
	Avoid bool
	// Cold is set while the endpoint is still slow after its start.
	Cold bool
	// Pace is the factor by which the endpoint is slower than usual; at most 1 if it is
	// not.
	Pace float64
}

// coldPenalty is the share of its slots by which a cold endpoint counts as fuller.
const coldPenalty = 0.5

// sampleSize is the number of random candidates to compare. Load reports are a few
// hundred milliseconds old: if all gateways chose the least loaded of all endpoints,
// they would overload it before the next report.
const sampleSize = 3

// Best returns the index of the least loaded of a few random candidates, or -1 if
// there are none. Endpoints to avoid are chosen only if there are no others.
func Best(candidates []Candidate, random *rand.Rand) int {
	sampled := sample(candidates, random)
	best := -1
	for _, at := range sampled {
		// The order is random, so equal candidates are equally likely.
		if best < 0 || compare(candidates[at], candidates[best]) < 0 {
			best = at
		}
	}
	return best
}

// sample returns the indexes of a random sample of the candidates, in random order. It
// omits endpoints to avoid if there are others.
func sample(candidates []Candidate, random *rand.Rand) []int {
	var preferred, all []int
	for _, at := range random.Perm(len(candidates)) {
		all = append(all, at)
		if !candidates[at].Avoid {
			preferred = append(preferred, at)
		}
	}
	if len(preferred) > 0 {
		all = preferred
	}
	return all[:min(sampleSize, len(all))]
}

// compare returns a negative number if the first candidate is better than the second,
// a positive one if it is worse, and 0 if they are equally good. Candidates from sample
// are either all to be avoided or none of them, so Avoid does not decide between those.
func compare(first, second Candidate) int {
	if first.Avoid != second.Avoid {
		return order(second.Avoid)
	}
	switch left, right := first.utilization(), second.utilization(); {
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

// utilization returns the share of the slots that is in use, plus the penalty of a
// cold endpoint. At a slow endpoint a new request takes as long as it does at a usual
// one with more work, which counts in place of its own.
func (candidate Candidate) utilization() float64 {
	work := float64(candidate.Work)
	if candidate.Pace > 1 {
		work = (work+1)*candidate.Pace - 1
	}
	used := work / float64(max(candidate.Slots, 1))
	if candidate.Cold {
		used += coldPenalty
	}
	return used
}
