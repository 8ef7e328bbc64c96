package quota

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// slotTime is how long a gateway may use a slot of its share. A slot that is not used
// is lost, since the unused slots of all gateways at once would exceed the limit.
const slotTime = clock.Second

// Share is a gateway's own part of the limits, for the time in which it reaches no
// control leader: slots at equal intervals, in each of which it may send one request.
// Gateways have their slots at different times. It is not safe for concurrent use.
type Share struct {
	// phase is where in its interval the gateway's slots begin, from 0 to 1.
	phase float64
	// used holds the last slot that was used, by limit.
	used map[bucketKey]slot
	// firstAt is when the share was first asked; see mayUse.
	firstAt clock.Millis
}

// slot is the number of a slot and the time at which it was used.
type slot struct {
	number int64
	at     clock.Millis
}

// NewShare returns the share of a gateway whose slots begin at a phase from 0 to 1.
func NewShare(phase float64) *Share { return &Share{phase: phase, used: map[bucketKey]slot{}} }

// Take reports whether this gateway, one of the given number, may send a request to an
// endpoint now. Without a known number of gateways it may not.
func (share *Share) Take(limit Limit, gateways int, now clock.Millis) bool {
	return share.TakeAll([]Limit{limit}, gateways, now)
}

// TakeAll is Take for an endpoint with several limits, all of which must allow the
// request.
func (share *Share) TakeAll(limits []Limit, gateways int, now clock.Millis) bool {
	if share.firstAt == 0 {
		share.firstAt = now
	}
	for _, limit := range limits {
		if !share.mayUse(limit, gateways, now) {
			return false
		}
	}
	for _, limit := range limits {
		number, _ := share.position(limit, gateways, now)
		share.used[limit.key()] = slot{number: number, at: now}
	}
	return true
}

// position returns the number of the current slot and the time since it began.
func (share *Share) position(limit Limit, gateways int, now clock.Millis) (int64, clock.Millis) {
	interval := float64(gateways) * float64(clock.Second) / limit.ownRate(gateways)
	phase := share.phase
	if limit.Cold {
		// A zone returns cold at once; one slot at a time serves more requests than all
		// slots at the same time.
		phase += float64(xxhash.Sum64String(limit.Endpoint.ID)) / math.MaxUint64
	}
	position := float64(now)/interval - phase
	// Shortly after the start of a machine the position is negative.
	number := math.Floor(position)
	return int64(number), clock.Millis((position - number) * interval)
}

// mayUse reports whether the current slot of a limit may be used.
func (share *Share) mayUse(limit Limit, gateways int, now clock.Millis) bool {
	if gateways <= 0 || limit.ownRate(gateways) <= 0 {
		return false
	}
	number, since := share.position(limit, gateways, now)
	last, ok := share.used[limit.key()]
	if ok && last.number == number {
		return false
	}
	if !limit.Cold {
		return since < slotTime
	}
	// A gateway that has started again does not know which slots it had used. When the
	// number of gateways changes, so do the numbers of the slots.
	interval := clock.Millis(float64(gateways) * float64(clock.Second) / limit.ownRate(gateways))
	return since < coldSlotTime && now-share.firstAt >= coldSpan && (!ok || now-last.at >= interval-coldSlotTime)
}

// Wait returns the time until a gateway may use a slot of its own at an endpoint with
// the given limits.
func (share *Share) Wait(limits []Limit, gateways int, now clock.Millis) clock.Millis {
	wait := slotTime
	for _, limit := range limits {
		if !limit.Cold {
			continue
		}
		rate := limit.ownRate(gateways)
		if gateways <= 0 || rate <= 0 {
			return maxPermitWait
		}
		_, since := share.position(limit, gateways, now)
		interval := float64(gateways) * float64(clock.Second) / rate
		wait = max(wait, clock.Millis(min(interval-float64(since), float64(maxPermitWait))))
	}
	return wait
}
