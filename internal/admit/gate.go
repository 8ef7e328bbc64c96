// Package admit decides when a request leaves an entry VM for an engine, or is
// refused early. It is pure: the caller gives the time and the events, and
// carries out the decisions it gets back.
package admit

import (
	"fmt"

	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// paidDepth bounds the paid requests at the engines, in slots: beyond it
	// they wait here, where refusing them costs nothing.
	paidDepth = 4
	// freeDepth bounds all requests at the engines before free ones are let
	// in, in quarters of the slots: one quarter waits there to fill gaps.
	freeDepth = 5
	// sliceLength is the time for which the room of free work is divided
	// between the entry VMs, which see the same reports.
	sliceLength = 250 * clock.Millis(1)
	// memory is the time over which the service of free work is averaged.
	memory = 5 * clock.Second
	// caution is added to the estimate, in per cent of it: reports lag, and
	// work that came after may go first.
	caution = 130
	// leastRetry is the least time that a refused caller is told to wait.
	leastRetry = clock.Second
)

// Capacity is what an entry VM knows of the engines of a pool.
type Capacity struct {
	Slots int
	// Others counts the requests of other entry VMs at the engines.
	Others int
	// WaitingPaid counts the paid requests that wait at the engines.
	WaitingPaid int
	// PaidAhead and Backlog are the predicted events of the paid work that
	// waits, and of all work, at the engines.
	PaidAhead uint64
	Backlog   uint64
	// Rate is the events a second that the engines produce with all slots in
	// use; 0 when unknown.
	Rate float64
	// Entries is the number of entry VMs that share the engines.
	Entries int
}

// Settings bound the requests that wait at an entry VM.
type Settings struct {
	MaxWaiting     int
	MaxPerCustomer int
}

// DefaultSettings suit one entry VM.
func DefaultSettings() Settings { return Settings{MaxWaiting: 4096, MaxPerCustomer: 1024} }

// Decision is one of Admit and Refuse.
type Decision interface {
	sealed()
}

// Admit lets a request go to an engine.
type Admit struct{ ID string }

// Refuse ends a request that was never sent to an engine.
type Refuse struct {
	ID      string
	Refusal *RefusalError
}

func (Admit) sealed()  {}
func (Refuse) sealed() {}

// RefusalError is the error of a refused request.
type RefusalError struct {
	Reason Reason
	// RetryAfter is when the caller may expect room.
	RetryAfter clock.Millis
}

// Error states the reason and when to try again.
func (refusal *RefusalError) Error() string {
	return fmt.Sprintf("%s; try again in %s", refusal.Reason, refusal.RetryAfter)
}

// Reason tells why a request was refused.
type Reason string

// Reasons.
const (
	Late         Reason = "request cannot start within its caller's time"
	Expired      Reason = "request waited as long as its caller allows"
	Full         Reason = "too many requests wait at this entry VM"
	CustomerFull Reason = "too many requests of this customer wait at this entry VM"
	Displaced    Reason = "too many requests wait at this entry VM and paid or more urgent work came"
)

// Gate holds the requests of one pool of engines at an entry VM.
type Gate struct {
	settings Settings
	capacity Capacity
	line     *queue.Line
	// sent holds the admitted requests that have not ended.
	sent map[string]queue.Item
	own  [2]int
	// sentBy counts them by customer.
	sentBy map[string]int
	// pending sums, by tier and customer, the requests without a first event.
	pending [2]map[string]*share
	// grant is how many free requests may still go in this slice.
	grant    int
	sliceEnd clock.Millis
	// served is the decayed sum of the free events admitted, held since heldSince.
	served    float64
	servedAt  clock.Millis
	heldSince clock.Millis
}

// share is the work of a customer without a first event.
type share struct {
	weight float64
	events float64
	count  int
}

// New returns a gate without capacity.
func New(settings Settings) *Gate {
	return &Gate{
		settings: settings, line: queue.NewLine(), sent: map[string]queue.Item{}, sentBy: map[string]int{},
		pending: [2]map[string]*share{{}, {}},
	}
}

// Waiting returns the number of requests held.
func (gate *Gate) Waiting() int { return gate.line.Len() }

// SetCapacity takes new reports of the engines.
func (gate *Gate) SetCapacity(now clock.Millis, capacity Capacity) []Decision {
	gate.capacity = capacity
	return gate.Tick(now)
}

// Arrive takes a request.
func (gate *Gate) Arrive(now clock.Millis, item queue.Item) []Decision {
	if item.Tier != wire.Tier_TIER_PAID {
		item.Tier = wire.Tier_TIER_FREE
	}
	item.Size = max(item.Size, 1)
	wait := gate.estimate(now, item) * caution / 100
	if item.Deadline != 0 && now+wait > item.Deadline {
		return []Decision{refuse(item.ID, Late, now+wait-item.Deadline)}
	}
	if gate.line.OfCustomer(item.Customer) >= gate.settings.MaxPerCustomer {
		return []Decision{refuse(item.ID, CustomerFull, wait)}
	}
	var decisions []Decision
	if gate.line.Len() >= gate.settings.MaxWaiting {
		worst, ok := gate.line.Displace(item.Tier, item.Priority)
		if !ok {
			return []Decision{refuse(item.ID, Full, wait)}
		}
		gate.forget(worst)
		decisions = append(decisions, refuse(worst.ID, Displaced, wait))
	}
	gate.line.Add(item)
	gate.remember(item)
	return append(decisions, gate.Tick(now)...)
}

func refuse(id string, reason Reason, wait clock.Millis) Decision {
	return Refuse{ID: id, Refusal: &RefusalError{Reason: reason, RetryAfter: max(wait, leastRetry)}}
}

// Started records a request's first event.
func (gate *Gate) Started(id string) {
	if item, ok := gate.sent[id]; ok {
		gate.forget(item)
	}
}

// Done records that an admitted request ended, or that a waiting one is given up.
func (gate *Gate) Done(now clock.Millis, id string) []Decision {
	if item, ok := gate.sent[id]; ok {
		delete(gate.sent, id)
		gate.line.Release(id)
		gate.own[side(item.Tier)]--
		if gate.sentBy[item.Customer]--; gate.sentBy[item.Customer] == 0 {
			delete(gate.sentBy, item.Customer)
		}
		gate.forget(item)
		if item.Tier == wire.Tier_TIER_FREE {
			// Its room is this entry VM's own; the others did not see it free.
			gate.grant++
		}
	}
	return gate.Tick(now)
}

// Withdraw gives up a request that is held, and tells whether it was.
func (gate *Gate) Withdraw(item queue.Item) bool {
	if !gate.line.Withdraw(item.ID) {
		return false
	}
	gate.forget(item)
	return true
}

// Tick refuses what waited too long and admits what has room.
func (gate *Gate) Tick(now clock.Millis) []Decision {
	var decisions []Decision
	for _, item := range gate.line.Expire(now) {
		gate.forget(item)
		decisions = append(decisions, refuse(item.ID, Expired, 0))
	}
	for {
		next, ok := gate.line.Peek(now, wire.Tier_TIER_PAID)
		if !ok || (!gate.roomForPaid() && !gate.withinShare(next)) {
			break
		}
		item, _ := gate.line.Take(now, wire.Tier_TIER_PAID)
		decisions = append(decisions, gate.admit(item))
	}
	gate.slice(now)
	for gate.roomForFree() {
		item, ok := gate.line.Take(now, wire.Tier_TIER_FREE)
		if !ok {
			break
		}
		gate.grant--
		gate.serve(now, float64(item.Size))
		decisions = append(decisions, gate.admit(item))
	}
	gate.watchHeld(now)
	return decisions
}

func (gate *Gate) admit(item queue.Item) Decision {
	gate.sent[item.ID] = item
	gate.own[side(item.Tier)]++
	gate.sentBy[item.Customer]++
	return Admit{ID: item.ID}
}

// roomForPaid tells whether a paid request may go. Before the first report, and
// while few wait there, the engines' own queues decide.
func (gate *Gate) roomForPaid() bool {
	capacity := gate.capacity
	return capacity.Slots == 0 || capacity.WaitingPaid < capacity.Slots || gate.own[0] < gate.paidLimit()
}

// paidLimit is this entry VM's part of the paid requests at the engines.
func (gate *Gate) paidLimit() int {
	return max(1, paidDepth*gate.capacity.Slots/max(gate.capacity.Entries, 1))
}

// withinShare tells whether a customer has less than an even part of the paid
// limit in use, so that another customer that uses it up does not hold it back.
func (gate *Gate) withinShare(item queue.Item) bool {
	return (gate.sentBy[item.Customer]+1)*(len(gate.sentBy)+1) <= gate.paidLimit()
}

// room returns how many free requests the engines could take now.
func (gate *Gate) room() int {
	return gate.capacity.Slots*freeDepth/4 - gate.capacity.Others - gate.own[0] - gate.own[1]
}

// roomForFree tells whether a free request may go: nothing paid waits, here or
// at the engines, and there is room.
func (gate *Gate) roomForFree() bool {
	if gate.line.Waiting(wire.Tier_TIER_PAID) > 0 {
		return false
	}
	return gate.grant > 0 && gate.room() > 0 && gate.capacity.WaitingPaid == 0
}

// slice divides the room between the entry VMs, once for each slice of time.
func (gate *Gate) slice(now clock.Millis) {
	if now < gate.sliceEnd {
		return
	}
	gate.sliceEnd = now + sliceLength
	entries := max(gate.capacity.Entries, 1)
	gate.grant = (max(gate.room(), 0) + entries - 1) / entries
}
