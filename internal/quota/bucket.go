package quota

import (
	"math"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// burst is the time whose requests a limited endpoint may get at once.
	burst = clock.Second
	// reservedShare is the share of a full bucket that is kept for the most urgent
	// requests.
	reservedShare = 0.5
	// maxPermitWait bounds the stated time until the next permit.
	maxPermitWait = 10 * clock.Second
	// idleBuckets is the time after which the bucket of an endpoint that gets no more
	// requests is dropped.
	idleBuckets = clock.Minute
)

type bucket struct {
	level float64
	at    clock.Millis
}

// Buckets grants requests to limited endpoints. Only one process of the fleet may
// grant; one that takes over starts with empty buckets, since it does not know what the
// one before it has granted. It is not safe for concurrent use. The zero value is empty.
type Buckets struct {
	buckets map[bucketKey]bucket
}

// bucketKey separates the two limits of an endpoint that is cold and names one.
type bucketKey struct {
	endpoint Endpoint
	cold     bool
}

func (limit Limit) key() bucketKey { return bucketKey{endpoint: limit.Endpoint, cold: limit.Cold} }

// Take reports whether an endpoint with the given limit may get a request, or after
// which time it may.
func (buckets *Buckets) Take(limit Limit, isUrgent bool, now clock.Millis) (bool, clock.Millis) {
	return buckets.TakeAll([]Limit{limit}, isUrgent, now)
}

// TakeAll is Take for an endpoint with several limits, all of which must allow the
// request.
func (buckets *Buckets) TakeAll(limits []Limit, isUrgent bool, now clock.Millis) (bool, clock.Millis) {
	isGranted, longest := true, clock.Millis(0)
	for _, limit := range limits {
		granted, wait := buckets.fill(limit, isUrgent, now)
		isGranted, longest = isGranted && granted, max(longest, wait)
	}
	if isGranted {
		for _, limit := range limits {
			current := buckets.buckets[limit.key()]
			current.level--
			buckets.buckets[limit.key()] = current
		}
	}
	return isGranted, longest
}

// fill brings the bucket of a limit up to date and reports whether a request may be
// taken from it, or after which time one may.
func (buckets *Buckets) fill(limit Limit, isUrgent bool, now clock.Millis) (bool, clock.Millis) {
	if buckets.buckets == nil {
		buckets.buckets = map[bucketKey]bucket{}
	}
	size := max(1, limit.Rate*float64(burst)/float64(clock.Second))
	if limit.Cold {
		size = limit.Burst
	}
	current, ok := buckets.buckets[limit.key()]
	if !ok {
		buckets.drop(now)
		current.at = now
	}
	current.level = min(size, current.level+limit.Rate*float64(max(now-current.at, 0))/float64(clock.Second))
	current.at = now
	needed := 1.0
	if !isUrgent {
		needed = max(1, min(size, 1+reservedShare*(size-1)))
	}
	buckets.buckets[limit.key()] = current
	if current.level >= needed {
		return true, 0
	}
	if missing := (needed - current.level) / limit.Rate * float64(clock.Second); missing < float64(maxPermitWait) {
		return false, clock.Millis(math.Ceil(missing))
	}
	return false, maxPermitWait
}

func (buckets *Buckets) drop(now clock.Millis) {
	for key, old := range buckets.buckets {
		if now-old.at > idleBuckets {
			delete(buckets.buckets, key)
		}
	}
}
