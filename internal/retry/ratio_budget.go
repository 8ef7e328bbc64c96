package retry

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

// bucketCount is the number of buckets that the span of a budget is divided into.
const bucketCount = 20

// RatioBudget limits the retries of the gateway process in a sliding time span to a ratio of the requests
// in it plus a fixed number. It is not safe for concurrent use.
type RatioBudget struct {
	ratio float64
	span  clock.Millis

	requests, repeats [bucketCount]int
	// newest is the number of the newest bucket, counted from the clock's start.
	newest int64
}

// NewRatioBudget returns an empty budget.
func NewRatioBudget(ratio float64, span clock.Millis) *RatioBudget {
	return &RatioBudget{ratio: ratio, span: span}
}

// Request counts the first attempt of a request.
func (budget *RatioBudget) Request(now clock.Millis) {
	budget.requests[budget.advance(now)]++
}

// TakeRetry reports whether one more attempt is allowed, and counts it if so. The
// slack is the number of retries allowed on top of the ratio.
func (budget *RatioBudget) TakeRetry(now clock.Millis, slack float64) bool {
	current := budget.advance(now)
	requests, repeats := 0, 0
	for bucket := range bucketCount {
		requests += budget.requests[bucket]
		repeats += budget.repeats[bucket]
	}
	if float64(repeats+1) > budget.ratio*float64(requests)+slack {
		return false
	}
	budget.repeats[current]++
	return true
}

// advance moves the window to a time, clears the buckets that have left it, and
// returns the index of the current bucket.
func (budget *RatioBudget) advance(now clock.Millis) int64 {
	current := int64(now * bucketCount / budget.span)
	if current-budget.newest >= bucketCount {
		budget.requests, budget.repeats = [bucketCount]int{}, [bucketCount]int{}
		budget.newest = current
	}
	for budget.newest < current {
		budget.newest++
		budget.requests[budget.newest%bucketCount], budget.repeats[budget.newest%bucketCount] = 0, 0
	}
	return budget.newest % bucketCount
}
