package retry

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

// buckets is the resolution of a window.
const buckets = 20

// Window bounds repeated requests in every span of a given length to a share
// of the requests in it and some more. It is not safe for concurrent use.
type Window struct {
	ratio float64
	span  clock.Millis

	requests, repeats [buckets]int
	// last is the number of the newest bucket, counted from the clock's start.
	last int64
}

// NewWindow returns an empty window.
func NewWindow(ratio float64, span clock.Millis) *Window { return &Window{ratio: ratio, span: span} }

// Request notes the first attempt of a request.
func (window *Window) Request(now clock.Millis) {
	window.requests[window.at(now)]++
}

// Repeat notes one more attempt, or returns false when the window does not
// allow it. The slack is what is allowed beside the share.
func (window *Window) Repeat(now clock.Millis, slack float64) bool {
	at := window.at(now)
	requests, repeats := 0, 0
	for bucket := range buckets {
		requests += window.requests[bucket]
		repeats += window.repeats[bucket]
	}
	if float64(repeats+1) > window.ratio*float64(requests)+slack {
		return false
	}
	window.repeats[at]++
	return true
}

// at returns the bucket of an instant and empties those that have passed.
func (window *Window) at(now clock.Millis) int64 {
	current := int64(now * buckets / window.span)
	if current-window.last >= buckets {
		window.requests, window.repeats = [buckets]int{}, [buckets]int{}
		window.last = current
	}
	for window.last < current {
		window.last++
		window.requests[window.last%buckets], window.repeats[window.last%buckets] = 0, 0
	}
	return window.last % buckets
}
