package quota

import (
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
	// used holds the number of the last slot that was used, by endpoint.
	used map[Endpoint]int64
}

// NewShare returns the share of a gateway whose slots begin at a phase from 0 to 1.
func NewShare(phase float64) *Share { return &Share{phase: phase, used: map[Endpoint]int64{}} }

// Take reports whether this gateway, one of the given number, may send a request to an
// endpoint now. Without a known number of gateways it may not.
func (share *Share) Take(limit Limit, gateways int, now clock.Millis) bool {
	if gateways <= 0 || limit.Rate <= 0 {
		return false
	}
	interval := float64(gateways) * float64(clock.Second) / limit.Rate
	position := float64(now)/interval - share.phase
	slot := int64(position)
	if (position-float64(slot))*interval >= float64(slotTime) {
		return false
	}
	if last, ok := share.used[limit.Endpoint]; ok && last == slot {
		return false
	}
	share.used[limit.Endpoint] = slot
	return true
}
