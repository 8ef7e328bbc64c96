package endpt

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

const (
	rateBucketSize  = 100 * clock.Millis(1)
	rateBucketCount = 20
)

// rate counts the events of the last two seconds and the slots in use during them.
type rate struct {
	events  [rateBucketCount]uint64
	slots   [rateBucketCount]uint64
	current clock.Millis
}

// add records events and the number of slots in use at an instant.
func (rate *rate) add(now clock.Millis, events, slots uint64) {
	rate.advance(now)
	at := rate.current % rateBucketCount
	rate.events[at] += events
	rate.slots[at] = max(rate.slots[at], slots)
}

// advance clears the buckets that are older than the window.
func (rate *rate) advance(now clock.Millis) {
	bucket := now / rateBucketSize
	for at := max(rate.current+1, bucket-rateBucketCount+1); at <= bucket; at++ {
		rate.events[at%rateBucketCount], rate.slots[at%rateBucketCount] = 0, 0
	}
	rate.current = max(rate.current, bucket)
}

// perSecond returns the number of events produced per second.
func (rate *rate) perSecond(now clock.Millis) uint32 {
	rate.advance(now)
	total := uint64(0)
	for _, events := range rate.events {
		total += events
	}
	return uint32(total * uint64(clock.Second) / uint64(rateBucketSize*rateBucketCount))
}

// eventInterval returns the mean time between the events of one stream in
// milliseconds, or 0 without events.
func (rate *rate) eventInterval() float64 {
	events, slots := uint64(0), uint64(0)
	for at := range rate.events {
		events += rate.events[at]
		slots += rate.slots[at]
	}
	if events == 0 {
		return 0
	}
	return float64(slots) * float64(rateBucketSize) / float64(events)
}
