// Package wait predicts how long a request would wait at an endpoint that works
// on a batch, and tells whether that is worth it. It is pure.
//
// It answers the crest of a swing, when more streams are asked for than the
// engines carry. A stream that waits for a slot longer than its caller does is
// lost, and one that is refused at once may come back when the swing is over.
package wait

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

const (
	// learned is the weight of a new duration; about 20 streams decide.
	learned = 0.05
	// patience is how many latency objectives a request may wait for a slot. The
	// rest of the objective is for reading the prompt. The loads of the test show
	// that a longer queue makes everybody late at the crest.
	patience = 0.6
	// urgentPatience is that of the most urgent customers and routes, so that
	// their work is admitted when other work no longer is.
	urgentPatience = 1.2
)

// MostUrgent is the urgency of work that is admitted longest.
const MostUrgent = 0

// Estimate is what a gateway knows of the time that an endpoint works on a
// request. It is an immutable value; the zero value admits everything.
type Estimate struct {
	duration float64
}

// WithDuration returns the estimate with the time that one request took from
// its first event to its end.
func (estimate Estimate) WithDuration(took clock.Millis) Estimate {
	if estimate.duration == 0 {
		estimate.duration = float64(took)
		return estimate
	}
	estimate.duration += learned * (float64(took) - estimate.duration)
	return estimate
}

// Behind returns the wait for a slot at an endpoint that has some requests.
func (estimate Estimate) Behind(work, slots int) clock.Millis {
	ahead := work - slots + 1
	if ahead <= 0 || slots <= 0 {
		return 0
	}
	// Slots become free one after the other, evenly over a request's duration.
	return clock.Millis(float64(ahead) * estimate.duration / float64(slots))
}

// Admits tells whether a request with a latency objective may join the others.
func (estimate Estimate) Admits(work, slots int, objective clock.Millis, urgency int) bool {
	limit := patience
	if urgency <= MostUrgent {
		limit = urgentPatience
	}
	return float64(estimate.Behind(work, slots)) <= limit*float64(objective)
}
