package expert

import (
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// resendAfter is the time after which an order that has had no effect is
	// sent again.
	resendAfter = 100 * clock.Millis(1)
	// holdTimeout is the maximum duration of a hold before it is released. Ranks
	// that have reached the step wait for the others meanwhile.
	holdTimeout = 2 * clock.Second
	// refreshInterval is the time between queries to all gates.
	refreshInterval = 500 * clock.Millis(1)
	// holdLead is the distance from the latest reported step to the step of a
	// hold. At 33 ms a step it covers the age of the statuses and the delivery
	// of the order to all ranks, so that normally the switch is agreed before
	// any rank has to wait.
	holdLead = 48
	// pauseAfterRelease is the minimum time between an unsuccessful hold and
	// the next one, so that a slow rank does not make the group wait all the
	// time.
	pauseAfterRelease = 5 * clock.Second
)

// Send is an order addressed to the gate of a rank.
type Send struct {
	Rank  int
	Order Order
}

// Coordinator drives the gates of one group to the newest map. Only bench/expert
// uses it; in production, coord.Coordinator switches the maps. It runs next to rank
// 0, because the group runs no step without that rank anyway. A map is
// activated only after every gate of the group holds the same step, so that no
// step mixes maps. A new coordinator first gets a promise from every gate,
// which then ignores the predecessor.
type Coordinator struct {
	number   Number
	statuses []Status
	// hasPromised marks the gates that have promised to accept this
	// coordinator's ballot.
	hasPromised []bool
	// target is the newest epoch that control has accepted.
	target uint64
	// current is the epoch of the map with which a group without joined ranks
	// starts.
	current uint64
	// holding is the switch that gates are ordered to hold.
	holding Switch
	// agreed is the switch that every gate held. It is never revoked.
	agreed        Switch
	holdStartedAt clock.Millis
	nextHoldAt    clock.Millis
	sent          []sentOrder
	// queriedAt is when the gates were last queried.
	queriedAt clock.Millis
	// restarts counts the restarts of ranks since this coordinator started.
	restarts int
}

type sentOrder struct {
	order Order
	at    clock.Millis
}

// NewCoordinator returns a coordinator. Its ballot must be higher than those of
// its predecessors. Current is the epoch of the newest map that control has
// recorded as in force.
func NewCoordinator(ranks int, ballot, current uint64) *Coordinator {
	return &Coordinator{
		number: Number{Ballot: ballot}, current: current, target: current,
		statuses: make([]Status, ranks), hasPromised: make([]bool, ranks), sent: make([]sentOrder, ranks),
	}
}

// SetTarget sets the epoch to switch to. An epoch older than the present target
// is ignored.
func (coordinator *Coordinator) SetTarget(epoch uint64) {
	coordinator.target = max(coordinator.target, epoch)
}

// Target returns the newest epoch set.
func (coordinator *Coordinator) Target() uint64 { return coordinator.target }

// Restarts returns the number of restarts of ranks since the coordinator
// started.
func (coordinator *Coordinator) Restarts() int { return coordinator.restarts }

// HandleStatus records a gate's status.
func (coordinator *Coordinator) HandleStatus(status Status) {
	if status.Promised.Ballot != coordinator.number.Ballot {
		return
	}
	old := coordinator.statuses[status.Rank]
	if coordinator.hasPromised[status.Rank] && (status.Incarnation < old.Incarnation || (status.Incarnation == old.Incarnation && isOutdated(status, old))) {
		return
	}
	if coordinator.hasPromised[status.Rank] && status.Incarnation > old.Incarnation {
		coordinator.restarts++
	}
	coordinator.hasPromised[status.Rank] = true
	coordinator.statuses[status.Rank] = status
	// A predecessor may have agreed on a switch that only some gates have
	// received.
	if status.Next.Epoch > coordinator.agreed.Epoch {
		coordinator.agreed = status.Next
	}
}

// isOutdated reports whether a status is older than the latest one.
func isOutdated(status, latest Status) bool {
	return status.Promised.Before(latest.Promised) || status.Step < latest.Step
}

// Tick returns the orders to send now.
func (coordinator *Coordinator) Tick(now clock.Millis) []Send {
	if slices.Contains(coordinator.hasPromised, false) {
		return coordinator.requestPromises(now)
	}
	coordinator.advance(now)
	sends := coordinator.refresh(now)
	for rank := range coordinator.statuses {
		if order := coordinator.nextOrder(rank); order != nil {
			sends = coordinator.send(sends, rank, order, now)
		}
	}
	return sends
}

// requestPromises queries the gates that have not yet promised to accept the ballot.
func (coordinator *Coordinator) requestPromises(now clock.Millis) []Send {
	var sends []Send
	for rank, promised := range coordinator.hasPromised {
		if !promised {
			sends = coordinator.send(sends, rank, Query{Number: coordinator.number}, now)
		}
	}
	return sends
}

// refresh queries all gates at intervals to learn of steps and restarts.
func (coordinator *Coordinator) refresh(now clock.Millis) []Send {
	if now-coordinator.queriedAt < refreshInterval {
		return nil
	}
	coordinator.queriedAt = now
	sends := make([]Send, 0, 2*len(coordinator.statuses))
	for rank := range coordinator.statuses {
		sends = append(sends, Send{Rank: rank, Order: Query{Number: coordinator.number}})
	}
	return sends
}

// send appends an order to sends, unless the same order was sent to the rank
// recently.
func (coordinator *Coordinator) send(sends []Send, rank int, order Order, now clock.Millis) []Send {
	last := coordinator.sent[rank]
	if last.order == order && now-last.at < resendAfter {
		return sends
	}
	coordinator.sent[rank] = sentOrder{order: order, at: now}
	return append(sends, Send{Rank: rank, Order: order})
}

// advance starts, agrees or completes a switch, depending on the statuses.
func (coordinator *Coordinator) advance(now clock.Millis) {
	switch {
	case coordinator.agreed.Epoch != 0:
		if coordinator.all(func(status Status) bool { return status.Joined && status.Epoch >= coordinator.agreed.Epoch }) {
			coordinator.current, coordinator.agreed, coordinator.holding = coordinator.agreed.Epoch, Switch{}, Switch{}
		}
	case coordinator.holding.Epoch != 0:
		coordinator.checkHold(now)
	case now >= coordinator.nextHoldAt && coordinator.target > coordinator.runningEpoch() && coordinator.all(coordinator.preparedFor):
		coordinator.number.Round++
		coordinator.holding = Switch{Epoch: coordinator.target, Step: coordinator.maxStep() + holdLead}
		coordinator.holdStartedAt = now
	}
}

// checkHold agrees on the switch once every gate holds it. It releases the hold
// if a gate was too late or holdTimeout is over.
func (coordinator *Coordinator) checkHold(now clock.Millis) {
	held := func(status Status) bool { return status.Joined && status.Held == coordinator.holding }
	if coordinator.all(held) {
		coordinator.number.Round++
		coordinator.agreed = coordinator.holding
		return
	}
	late := slices.ContainsFunc(coordinator.statuses, func(status Status) bool {
		return !status.Joined || (status.Step >= coordinator.holding.Step && status.Held != coordinator.holding)
	})
	if late || now-coordinator.holdStartedAt > holdTimeout {
		coordinator.number.Round++
		coordinator.holding = Switch{}
		coordinator.nextHoldAt = now + pauseAfterRelease
	}
}

func (coordinator *Coordinator) all(test func(Status) bool) bool {
	return !slices.ContainsFunc(coordinator.statuses, func(status Status) bool { return !test(status) })
}

func (coordinator *Coordinator) preparedFor(status Status) bool {
	return status.Joined && slices.Contains(status.Loaded, coordinator.target)
}

// runningEpoch returns the newest epoch that joined ranks run, or current if no
// rank has joined.
func (coordinator *Coordinator) runningEpoch() uint64 {
	running := uint64(0)
	for _, status := range coordinator.statuses {
		if status.Joined {
			running = max(running, status.Epoch)
		}
	}
	if running == 0 {
		return coordinator.current
	}
	return running
}

func (coordinator *Coordinator) maxStep() uint64 {
	step := uint64(0)
	for _, status := range coordinator.statuses {
		step = max(step, status.Step)
	}
	return step
}

// nextOrder returns the order that a rank needs now, or nil.
func (coordinator *Coordinator) nextOrder(rank int) Order {
	status := coordinator.statuses[rank]
	switch {
	case !status.Joined:
		return coordinator.admit(status)
	case coordinator.agreed.Epoch != 0:
		if status.Epoch < coordinator.agreed.Epoch && status.Next != coordinator.agreed {
			return Activate{Number: coordinator.number, Switch: coordinator.agreed}
		}
	case coordinator.holding.Epoch != 0:
		if status.Held != coordinator.holding {
			return Hold{Number: coordinator.number, Switch: coordinator.holding}
		}
	case status.Held.Epoch != 0 && status.Next.Epoch == 0:
		return Release{Number: coordinator.number}
	case coordinator.target > status.Epoch && !slices.Contains(status.Loaded, coordinator.target):
		return Prepare{Number: coordinator.number, Epoch: coordinator.target}
	}
	return nil
}

// admit returns the next order for a restarted rank: it loads the maps it
// needs, then joins at the step in which the others wait.
func (coordinator *Coordinator) admit(status Status) Order {
	now := Switch{Epoch: coordinator.runningEpoch(), Step: coordinator.waitingStep()}
	next := coordinator.agreed
	if next.Epoch != 0 && now.Epoch >= next.Epoch {
		next = Switch{}
	}
	for _, epoch := range []uint64{now.Epoch, next.Epoch} {
		if epoch != 0 && !slices.Contains(status.Loaded, epoch) {
			return Prepare{Number: coordinator.number, Epoch: epoch}
		}
	}
	return Join{Number: coordinator.number, Incarnation: status.Incarnation, Now: now, Next: next}
}

// waitingStep returns the latest step of the joined ranks. They cannot complete
// it without the missing rank.
func (coordinator *Coordinator) waitingStep() uint64 {
	step := uint64(0)
	for _, status := range coordinator.statuses {
		if status.Joined {
			step = max(step, status.Step)
		}
	}
	return step
}
