package endpt

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

const (
	rateBucket  = 100 * clock.Millis(1)
	rateBuckets = 20
)

// rate counts events over the last two seconds, and the slots in use meanwhile.
type rate struct {
	events  [rateBuckets]uint64
	slots   [rateBuckets]uint64
	current clock.Millis
}

// add counts events, and the slots that are in use, at an instant.
func (rate *rate) add(now clock.Millis, events, slots uint64) {
	rate.advance(now)
	at := rate.current % rateBuckets
	rate.events[at] += events
	rate.slots[at] = max(rate.slots[at], slots)
}

// advance empties the buckets that are too old.
func (rate *rate) advance(now clock.Millis) {
	bucket := now / rateBucket
	for at := max(rate.current+1, bucket-rateBuckets+1); at <= bucket; at++ {
		rate.events[at%rateBuckets], rate.slots[at%rateBuckets] = 0, 0
	}
	rate.current = max(rate.current, bucket)
}

// perSecond returns the events produced a second.
func (rate *rate) perSecond(now clock.Millis) uint32 {
	rate.advance(now)
	total := uint64(0)
	for _, events := range rate.events {
		total += events
	}
	return uint32(total * uint64(clock.Second) / uint64(rateBucket*rateBuckets))
}

// pace returns the milliseconds between the events of one stream, or 0 when unknown.
func (rate *rate) pace() float64 {
	events, slots := uint64(0), uint64(0)
	for at := range rate.events {
		events += rate.events[at]
		slots += rate.slots[at]
	}
	if events == 0 {
		return 0
	}
	return float64(slots) * float64(rateBucket) / float64(events)
}
