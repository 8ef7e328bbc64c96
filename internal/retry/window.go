package retry

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

// bucketCount is the number of buckets that the span of a window is divided into.
const bucketCount = 20

// Window limits the retries in a sliding time span to a ratio of the requests
// in it plus a fixed number. It is not safe for concurrent use.
type Window struct {
	ratio float64
	span  clock.Millis

	requests, repeats [bucketCount]int
	// newest is the number of the newest bucket, counted from the clock's start.
	newest int64
}

// NewWindow returns an empty window.
func NewWindow(ratio float64, span clock.Millis) *Window { return &Window{ratio: ratio, span: span} }

// Request counts the first attempt of a request.
func (window *Window) Request(now clock.Millis) {
	window.requests[window.advance(now)]++
}

// Repeat counts one more attempt, or returns false when the window does not
// allow it. The slack is the number of retries allowed on top of the ratio.
func (window *Window) Repeat(now clock.Millis, slack float64) bool {
	current := window.advance(now)
	requests, repeats := 0, 0
	for bucket := range bucketCount {
		requests += window.requests[bucket]
		repeats += window.repeats[bucket]
	}
	if float64(repeats+1) > window.ratio*float64(requests)+slack {
		return false
	}
	window.repeats[current]++
	return true
}

// advance moves the window to a time, clears the buckets that have left it, and
// returns the index of the current bucket.
func (window *Window) advance(now clock.Millis) int64 {
	current := int64(now * bucketCount / window.span)
	if current-window.newest >= bucketCount {
		window.requests, window.repeats = [bucketCount]int{}, [bucketCount]int{}
		window.newest = current
	}
	for window.newest < current {
		window.newest++
		window.requests[window.newest%bucketCount], window.repeats[window.newest%bucketCount] = 0, 0
	}
	return window.newest % bucketCount
}
