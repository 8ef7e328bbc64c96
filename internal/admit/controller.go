// Package admit is the admission control of an entry VM: it decides when a request
// is sent to an engine and when it is refused early. It does no I/O and reads no
// clock: the caller passes the time and the events, and carries out the decisions
// that are returned. Used by the entry process.
package admit

import (
	"fmt"

	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// paidRequestsPerSlot limits the paid requests at the engines once as many of
	// them wait there as there are slots. Further ones wait at the entry VM, where a
	// refusal costs no engine time. A customer that uses less than an even share is
	// admitted beyond the limit (see withinShare).
	paidRequestsPerSlot = 4
	// freeLimitQuarters is the number of requests at the engines below which free
	// ones are admitted, in quarters of a request per slot. The quarter beyond the
	// slots waits at the engines to fill gaps.
	freeLimitQuarters = 5
	// grantInterval is the time between divisions of the free capacity among the
	// entry VMs, which all see the same load reports.
	grantInterval = 250 * clock.Millis(1)
	// serviceWindow is the time constant of the average rate of admitted free work.
	serviceWindow = 5 * clock.Second
	// waitScalePercent multiplies the estimated wait, because reports lag and later
	// arrivals may run first.
	waitScalePercent = 130
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

// Controller is the admission control for one pool of engines at an entry VM.
type Controller struct {
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

// New returns a controller with unknown capacity.
func New(settings Settings) *Controller {
	return &Controller{
		settings: settings, waiting: queue.NewWaitList(), sent: map[string]queue.Item{}, sentByCustomer: map[string]int{},
		pending: [2]map[string]*pendingWork{{}, {}},
	}
}

// Waiting returns the number of requests that wait for admission.
func (controller *Controller) Waiting() int { return controller.waiting.Len() }

// SetCapacity updates the capacity from new load reports of the engines.
func (controller *Controller) SetCapacity(now clock.Millis, capacity Capacity) []Decision {
	controller.capacity = capacity
	return controller.Tick(now)
}

// Arrive adds a request, or refuses it if it cannot start before its deadline or
// too many wait.
func (controller *Controller) Arrive(now clock.Millis, item queue.Item) []Decision {
	if item.Tier != wire.Tier_TIER_PAID {
		item.Tier = wire.Tier_TIER_FREE
	}
	item.Size = max(item.Size, 1)
	wait := controller.estimate(now, item) * waitScalePercent / 100
	if item.Deadline != 0 && now+wait > item.Deadline {
		return []Decision{refuse(item.ID, Late, now+wait-item.Deadline)}
	}
	if controller.waiting.OfCustomer(item.Customer) >= controller.settings.MaxPerCustomer {
		return []Decision{refuse(item.ID, CustomerFull, wait)}
	}
	var decisions []Decision
	if controller.waiting.Len() >= controller.settings.MaxWaiting {
		displaced, ok := controller.waiting.Displace(item.Tier, item.Priority)
		if !ok {
			return []Decision{refuse(item.ID, Full, wait)}
		}
		controller.removePending(displaced)
		decisions = append(decisions, refuse(displaced.ID, Displaced, wait))
	}
	controller.waiting.Add(item)
	controller.addPending(item)
	return append(decisions, controller.Tick(now)...)
}

func refuse(id string, reason Reason, wait clock.Millis) Decision {
	return Refuse{ID: id, Refusal: &RefusalError{Reason: reason, RetryAfter: max(wait, minRetryAfter)}}
}

// Started records a request's first event.
func (controller *Controller) Started(id string) {
	if item, ok := controller.sent[id]; ok {
		controller.removePending(item)
	}
}

// Done records the end of an admitted request and decides what to do with the
// released capacity. For any other request it only does the work of Tick.
func (controller *Controller) Done(now clock.Millis, id string) []Decision {
	if item, ok := controller.sent[id]; ok {
		delete(controller.sent, id)
		controller.waiting.Release(id)
		controller.sentByTier[tierIndex(item.Tier)]--
		if controller.sentByCustomer[item.Customer]--; controller.sentByCustomer[item.Customer] == 0 {
			delete(controller.sentByCustomer, item.Customer)
		}
		controller.removePending(item)
		if item.Tier == wire.Tier_TIER_FREE {
			// The freed capacity goes to this entry VM, since the others have not seen
			// it in a report.
			controller.grant++
		}
	}
	return controller.Tick(now)
}

// Withdraw removes a waiting request and reports whether it was present.
func (controller *Controller) Withdraw(item queue.Item) bool {
	if !controller.waiting.Withdraw(item.ID) {
		return false
	}
	controller.removePending(item)
	return true
}

// Tick refuses the requests whose deadline has passed and admits as many as the
// capacity allows.
func (controller *Controller) Tick(now clock.Millis) []Decision {
	var decisions []Decision
	for _, item := range controller.waiting.Expire(now) {
		controller.removePending(item)
		decisions = append(decisions, refuse(item.ID, Expired, 0))
	}
	for {
		next, ok := controller.waiting.Peek(now, wire.Tier_TIER_PAID)
		if !ok || (!controller.roomForPaid() && !controller.withinShare(next)) {
			break
		}
		item, _ := controller.waiting.Take(now, wire.Tier_TIER_PAID)
		decisions = append(decisions, controller.admit(item))
	}
	controller.renewGrant(now)
	for controller.roomForFree() {
		item, ok := controller.waiting.Take(now, wire.Tier_TIER_FREE)
		if !ok {
			break
		}
		controller.grant--
		controller.recordServed(now, float64(item.Size))
		decisions = append(decisions, controller.admit(item))
	}
	controller.trackBacklog(now)
	return decisions
}

func (controller *Controller) admit(item queue.Item) Decision {
	controller.sent[item.ID] = item
	controller.sentByTier[tierIndex(item.Tier)]++
	controller.sentByCustomer[item.Customer]++
	return Admit{ID: item.ID}
}

// roomForPaid reports whether a paid request may be admitted. Before the first
// report, and while fewer paid requests than slots wait at the engines, all are
// admitted and the engines' queues order them.
func (controller *Controller) roomForPaid() bool {
	capacity := controller.capacity
	return capacity.Slots == 0 || capacity.WaitingPaid < capacity.Slots || controller.sentByTier[0] < controller.paidLimit()
}

// paidLimit returns this entry VM's share of the limit on paid requests at the
// engines, at least one.
func (controller *Controller) paidLimit() int {
	return max(1, paidRequestsPerSlot*controller.capacity.Slots/max(controller.capacity.Entries, 1))
}

// withinShare reports whether a customer uses less than an even share of the paid
// limit. Its requests are then admitted even if other customers use up the limit.
func (controller *Controller) withinShare(item queue.Item) bool {
	return (controller.sentByCustomer[item.Customer]+1)*(len(controller.sentByCustomer)+1) <= controller.paidLimit()
}

// freeRoom returns the number of free requests that the engines can take now.
func (controller *Controller) freeRoom() int {
	return controller.capacity.Slots*freeLimitQuarters/4 - controller.capacity.Others - controller.sentByTier[0] - controller.sentByTier[1]
}

// roomForFree reports whether a free request may be admitted: no paid request waits
// here or at the engines, and both the grant and the engines have room.
func (controller *Controller) roomForFree() bool {
	if controller.waiting.Waiting(wire.Tier_TIER_PAID) > 0 {
		return false
	}
	return controller.grant > 0 && controller.freeRoom() > 0 && controller.capacity.WaitingPaid == 0
}

// renewGrant sets the grant to this entry VM's share of the free capacity, once per
// grantInterval.
func (controller *Controller) renewGrant(now clock.Millis) {
	if now < controller.grantEnd {
		return
	}
	controller.grantEnd = now + grantInterval
	entries := max(controller.capacity.Entries, 1)
	controller.grant = (max(controller.freeRoom(), 0) + entries - 1) / entries
}
