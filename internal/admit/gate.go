// Package admit is the admission control of an entry VM: it decides when a request
// is sent to an engine and when it is refused early. It does no I/O and reads no
// clock: the caller passes the time and the events, and carries out the decisions
// that are returned.
package admit

import (
	"fmt"

	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// paidDepth is the maximum number of paid requests at the engines for each slot.
	// Further ones wait at the entry VM, where a refusal costs no engine time.
	paidDepth = 4
	// freeDepthQuarters is the number of requests at the engines below which free
	// ones are admitted, in quarters of the slots. The quarter beyond the slots waits
	// at the engines to fill gaps.
	freeDepthQuarters = 5
	// grantInterval is the time between divisions of the free capacity among the
	// entry VMs, which all see the same load reports.
	grantInterval = 250 * clock.Millis(1)
	// serviceWindow is the time constant of the average rate of admitted free work.
	serviceWindow = 5 * clock.Second
	// estimatePercent scales the estimated wait, because reports lag and later
	// arrivals may run first.
	estimatePercent = 130
	// minRetryAfter is the minimum wait before a retry that a refused caller is given.
	minRetryAfter = clock.Second
)

// Capacity is an entry VM's view of a pool of engines.
type Capacity struct {
	Slots int
	// Others is the number of requests from other entry VMs at the engines.
	Others int
	// WaitingPaid is the number of paid requests that wait at the engines.
	WaitingPaid int
	// PaidAhead and Backlog are the predicted events of the waiting paid work and of
	// all work at the engines.
	PaidAhead uint64
	Backlog   uint64
	// Rate is the number of events per second that the engines produce with all
	// slots in use; 0 if unknown.
	Rate float64
	// Entries is the number of entry VMs that share the engines.
	Entries int
}

// Settings limit the requests that wait at an entry VM.
type Settings struct {
	MaxWaiting     int
	MaxPerCustomer int
}

// DefaultSettings returns the default settings of an entry VM.
func DefaultSettings() Settings { return Settings{MaxWaiting: 4096, MaxPerCustomer: 1024} }

// Decision is one of Admit and Refuse.
type Decision interface {
	sealed()
}

// Admit sends a request to an engine.
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
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter clock.Millis
}

// Error returns the reason and the time to wait before a retry.
func (refusal *RefusalError) Error() string {
	return fmt.Sprintf("%s; try again in %s", refusal.Reason, refusal.RetryAfter)
}

// Reason states why a request was refused.
type Reason string

// Reasons.
const (
	Late         Reason = "request cannot start within its caller's time"
	Expired      Reason = "request waited as long as its caller allows"
	Full         Reason = "too many requests wait at this entry VM"
	CustomerFull Reason = "too many requests of this customer wait at this entry VM"
	Displaced    Reason = "too many requests wait at this entry VM and paid or more urgent work came"
)

// Gate is the admission control for one pool of engines at an entry VM.
type Gate struct {
	settings Settings
	capacity Capacity
	waiting  *queue.WaitList
	// sent holds the admitted requests that have not ended; sentByTier and
	// sentByCustomer are their numbers.
	sent           map[string]queue.Item
	sentByTier     [2]int
	sentByCustomer map[string]int
	// pending holds the sums of the requests without a first event, by tier and
	// customer.
	pending [2]map[string]*pendingWork
	// grant is the number of free requests that may still be admitted before grantEnd.
	grant    int
	grantEnd clock.Millis
	// served is the exponentially decayed sum of admitted free events, as of servedAt.
	served   float64
	servedAt clock.Millis
	// backlogSince is the time since when free work has been waiting; 0 if none waits.
	backlogSince clock.Millis
}

// pendingWork is the work of a customer that has no first event yet.
type pendingWork struct {
	weight float64
	events float64
	count  int
}

// New returns a gate with unknown capacity.
func New(settings Settings) *Gate {
	return &Gate{
		settings: settings, waiting: queue.NewWaitList(), sent: map[string]queue.Item{}, sentByCustomer: map[string]int{},
		pending: [2]map[string]*pendingWork{{}, {}},
	}
}

// Waiting returns the number of requests that wait for admission.
func (gate *Gate) Waiting() int { return gate.waiting.Len() }

// SetCapacity updates the capacity from new load reports of the engines.
func (gate *Gate) SetCapacity(now clock.Millis, capacity Capacity) []Decision {
	gate.capacity = capacity
	return gate.Tick(now)
}

// Arrive adds a request, or refuses it if it cannot start before its deadline or
// too many wait.
func (gate *Gate) Arrive(now clock.Millis, item queue.Item) []Decision {
	if item.Tier != wire.Tier_TIER_PAID {
		item.Tier = wire.Tier_TIER_FREE
	}
	item.Size = max(item.Size, 1)
	wait := gate.estimate(now, item) * estimatePercent / 100
	if item.Deadline != 0 && now+wait > item.Deadline {
		return []Decision{refuse(item.ID, Late, now+wait-item.Deadline)}
	}
	if gate.waiting.OfCustomer(item.Customer) >= gate.settings.MaxPerCustomer {
		return []Decision{refuse(item.ID, CustomerFull, wait)}
	}
	var decisions []Decision
	if gate.waiting.Len() >= gate.settings.MaxWaiting {
		displaced, ok := gate.waiting.Displace(item.Tier, item.Priority)
		if !ok {
			return []Decision{refuse(item.ID, Full, wait)}
		}
		gate.removePending(displaced)
		decisions = append(decisions, refuse(displaced.ID, Displaced, wait))
	}
	gate.waiting.Add(item)
	gate.addPending(item)
	return append(decisions, gate.Tick(now)...)
}

func refuse(id string, reason Reason, wait clock.Millis) Decision {
	return Refuse{ID: id, Refusal: &RefusalError{Reason: reason, RetryAfter: max(wait, minRetryAfter)}}
}

// Started records a request's first event.
func (gate *Gate) Started(id string) {
	if item, ok := gate.sent[id]; ok {
		gate.removePending(item)
	}
}

// Done records the end of an admitted request and decides what to do with the
// released capacity. The end of any other request changes nothing.
func (gate *Gate) Done(now clock.Millis, id string) []Decision {
	if item, ok := gate.sent[id]; ok {
		delete(gate.sent, id)
		gate.waiting.Release(id)
		gate.sentByTier[tierIndex(item.Tier)]--
		if gate.sentByCustomer[item.Customer]--; gate.sentByCustomer[item.Customer] == 0 {
			delete(gate.sentByCustomer, item.Customer)
		}
		gate.removePending(item)
		if item.Tier == wire.Tier_TIER_FREE {
			// The freed capacity goes to this entry VM, since the others have not seen
			// it in a report.
			gate.grant++
		}
	}
	return gate.Tick(now)
}

// Withdraw removes a waiting request and reports whether it was present.
func (gate *Gate) Withdraw(item queue.Item) bool {
	if !gate.waiting.Withdraw(item.ID) {
		return false
	}
	gate.removePending(item)
	return true
}

// Tick refuses the requests whose deadline has passed and admits as many as the
// capacity allows.
func (gate *Gate) Tick(now clock.Millis) []Decision {
	var decisions []Decision
	for _, item := range gate.waiting.Expire(now) {
		gate.removePending(item)
		decisions = append(decisions, refuse(item.ID, Expired, 0))
	}
	for {
		next, ok := gate.waiting.Peek(now, wire.Tier_TIER_PAID)
		if !ok || (!gate.roomForPaid() && !gate.withinShare(next)) {
			break
		}
		item, _ := gate.waiting.Take(now, wire.Tier_TIER_PAID)
		decisions = append(decisions, gate.admit(item))
	}
	gate.renewGrant(now)
	for gate.roomForFree() {
		item, ok := gate.waiting.Take(now, wire.Tier_TIER_FREE)
		if !ok {
			break
		}
		gate.grant--
		gate.recordServed(now, float64(item.Size))
		decisions = append(decisions, gate.admit(item))
	}
	gate.trackBacklog(now)
	return decisions
}

func (gate *Gate) admit(item queue.Item) Decision {
	gate.sent[item.ID] = item
	gate.sentByTier[tierIndex(item.Tier)]++
	gate.sentByCustomer[item.Customer]++
	return Admit{ID: item.ID}
}

// roomForPaid reports whether a paid request may be admitted. Before the first
// report, and while fewer paid requests than slots wait at the engines, all are
// admitted and the engines' queues order them.
func (gate *Gate) roomForPaid() bool {
	capacity := gate.capacity
	return capacity.Slots == 0 || capacity.WaitingPaid < capacity.Slots || gate.sentByTier[0] < gate.paidLimit()
}

// paidLimit returns this entry VM's share of the paid requests at the engines.
func (gate *Gate) paidLimit() int {
	return max(1, paidDepth*gate.capacity.Slots/max(gate.capacity.Entries, 1))
}

// withinShare reports whether a customer uses less than an even share of the paid
// limit. Its requests are then admitted even if other customers use up the limit.
func (gate *Gate) withinShare(item queue.Item) bool {
	return (gate.sentByCustomer[item.Customer]+1)*(len(gate.sentByCustomer)+1) <= gate.paidLimit()
}

// freeRoom returns the number of free requests that the engines can take now.
func (gate *Gate) freeRoom() int {
	return gate.capacity.Slots*freeDepthQuarters/4 - gate.capacity.Others - gate.sentByTier[0] - gate.sentByTier[1]
}

// roomForFree reports whether a free request may be admitted: no paid request waits
// here or at the engines, and both the grant and the engines have room.
func (gate *Gate) roomForFree() bool {
	if gate.waiting.Waiting(wire.Tier_TIER_PAID) > 0 {
		return false
	}
	return gate.grant > 0 && gate.freeRoom() > 0 && gate.capacity.WaitingPaid == 0
}

// renewGrant sets the grant to this entry VM's share of the free capacity, once per
// grantInterval.
func (gate *Gate) renewGrant(now clock.Millis) {
	if now < gate.grantEnd {
		return
	}
	gate.grantEnd = now + grantInterval
	entries := max(gate.capacity.Entries, 1)
	gate.grant = (max(gate.freeRoom(), 0) + entries - 1) / entries
}
