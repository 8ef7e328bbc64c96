package agent

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

const (
	// answersKept is the number of latest answers that set the timeout.
	answersKept = 8
	// timeoutFactor times the slowest of the latest answers is the timeout of a send.
	timeoutFactor = 4
	// initialTimeout applies before the first answer.
	initialTimeout = 50 * clock.Millis(1)
	minTimeout     = 10 * clock.Millis(1)
	maxTimeout     = 150 * clock.Millis(1)
)

// latency holds the times that an engine took for its latest answers. It is an
// immutable value.
type latency struct {
	latest [answersKept]clock.Millis
	// count is the number of answers so far.
	count int
}

// with returns the latency with the time of another answer.
func (latency latency) with(took clock.Millis) latency {
	latency.latest[latency.count%answersKept] = took
	latency.count++
	return latency
}

// timeout returns how long to wait for an answer before an order is sent again.
func (latency latency) timeout() clock.Millis {
	if latency.count == 0 {
		return initialTimeout
	}
	slowest := clock.Millis(0)
	for _, took := range latency.latest {
		slowest = max(slowest, took)
	}
	return min(max(timeoutFactor*slowest, minTimeout), maxTimeout)
}
