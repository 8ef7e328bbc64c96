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
	buckets map[Endpoint]bucket
}

// Take reports whether an endpoint with the given limit may get a request, or after
// which time it may.
func (buckets *Buckets) Take(limit Limit, isUrgent bool, now clock.Millis) (bool, clock.Millis) {
	if buckets.buckets == nil {
		buckets.buckets = map[Endpoint]bucket{}
	}
	size := max(1, limit.Rate*float64(burst)/float64(clock.Second))
	current, ok := buckets.buckets[limit.Endpoint]
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
	granted := current.level >= needed
	wait := clock.Millis(0)
	if granted {
		current.level--
	} else {
		wait = maxPermitWait
		if missing := (needed - current.level) / limit.Rate * float64(clock.Second); missing < float64(maxPermitWait) {
			wait = clock.Millis(math.Ceil(missing))
		}
	}
	buckets.buckets[limit.Endpoint] = current
	return granted, wait
}

func (buckets *Buckets) drop(now clock.Millis) {
	for endpoint, old := range buckets.buckets {
		if now-old.at > idleBuckets {
			delete(buckets.buckets, endpoint)
		}
	}
}
