// Package wait estimates how long a request would wait for a slot at an endpoint
// and decides whether to admit it. It does no I/O and reads no clock. The gateway
// process uses it.
//
// The decision matters at peak demand, when there are more requests than the
// engines can run. A request that waits for a slot longer than its caller does is
// lost, and one that is refused at once may be retried when the peak is over.
package wait

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

const (
	// durationWeight is the weight of a new duration in the moving average, which thus
	// covers about the last 20 streams.
	durationWeight = 0.05
	// maxWaitObjectives is the longest wait for a slot, in latency objectives. The
	// rest of the objective is left for the prefill of the prompt. With a longer queue,
	// all requests that wait at peak demand are late.
	maxWaitObjectives = 0.6
	// maxUrgentWaitObjectives is the same for the most urgent customers and routes, so
	// that their work is still admitted when other work is refused.
	maxUrgentWaitObjectives = 1.2
	// maxLateWaitObjectives is the longest wait of a request that is late in any case.
	// Callers abandon a stream that has not begun after four objectives.
	maxLateWaitObjectives = 2.5
	// maxLateFill is the most work at an endpoint, in slots, with which a late request
	// is sent there: endpoints queue about as many requests as they run.
	maxLateFill = 1.8
)

// MostUrgent is the highest urgency; larger numbers are less urgent. Its work is the
// last to be refused.
const MostUrgent = 0

// Estimate is a gateway's estimate of the time for which a request occupies a slot.
// It is an immutable value; the zero value admits every request.
type Estimate struct {
	duration float64
}

// WithDuration returns the estimate updated with the time that one request took
// from its first event to its end.
func (estimate Estimate) WithDuration(took clock.Millis) Estimate {
	if estimate.duration == 0 {
		estimate.duration = float64(took)
		return estimate
	}
	estimate.duration += durationWeight * (float64(took) - estimate.duration)
	return estimate
}

// Duration returns the mean time that a request occupies a slot, or 0 if it is not known.
func (estimate Estimate) Duration() clock.Millis { return clock.Millis(estimate.duration) }

// QueueWait returns the expected wait for a slot at an endpoint that already has
// the given number of requests.
func (estimate Estimate) QueueWait(work, slots int) clock.Millis {
	ahead := work - slots + 1
	if ahead <= 0 || slots <= 0 {
		return 0
	}
	// Slots are assumed to become free at even intervals over a request's duration.
	return clock.Millis(float64(ahead) * estimate.duration / float64(slots))
}

// AdmitsLate reports whether a request that is late in any case may wait for a slot
// behind all other work, for as long as its caller does.
func (estimate Estimate) AdmitsLate(work, slots int, objective clock.Millis) bool {
	if slots > 0 && float64(work) >= maxLateFill*float64(slots) {
		return false
	}
	return float64(estimate.QueueWait(work, slots)) <= maxLateWaitObjectives*float64(objective)
}

// Admits reports whether a request may wait for a slot within its latency objective.
func (estimate Estimate) Admits(work, slots int, objective clock.Millis, urgency int) bool {
	limit := maxWaitObjectives
	if urgency <= MostUrgent {
		limit = maxUrgentWaitObjectives
	}
	return float64(estimate.QueueWait(work, slots)) <= limit*float64(objective)
}
