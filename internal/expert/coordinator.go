package expert

import (
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// resendAfter is the time after which an order without effect is sent again.
	resendAfter = 100 * clock.Millis(1)
	// holdLimit is how long a hold may last before it is released: ranks that
	// reached the step wait for the others meanwhile.
	holdLimit = 2 * clock.Second
	// refreshEvery is the time between queries of every gate.
	refreshEvery = 500 * clock.Millis(1)
	// holdLead is how many steps ahead of the last known one a hold is set. At
	// 33 ms a step it covers the age of the statuses and the way of the order to
	// all ranks, so that in the common case the map is agreed before any rank
	// has to wait.
	holdLead = 48
	// pauseAfterRelease keeps a group with a slow rank from holding again at once.
	pauseAfterRelease = 5 * clock.Second
)

// Send is an order for the gate of a rank.
type Send struct {
	Rank  int
	Order Order
}

// Coordinator drives the gates of one group to the newest map. It runs beside
// rank 0: without that rank the group runs no step in any case. The rule that
// keeps steps whole is unanimity: a map is activated only after every gate of
// the group holds the same step, and a new coordinator first hears from every
// gate, which then ignores its predecessor.
type Coordinator struct {
	number   Number
	statuses []Status
	// heard tells which gates have promised this coordinator's ballot.
	heard []bool
	// target is the newest epoch wanted by control.
	target uint64
	// current is the map that a group with no joined rank starts with.
	current uint64
	// holding is the switch that gates are asked to hold.
	holding Switch
	// agreed is the switch that every gate held; it is never taken back.
	agreed Switch
	since  clock.Millis
	quiet  clock.Millis
	sent   []sentOrder
	// asked is when the gates were last queried.
	asked clock.Millis
	// lost counts the ranks that were restarted while this coordinator ran.
	lost int
}

type sentOrder struct {
	order Order
	at    clock.Millis
}

// NewCoordinator returns a coordinator with a ballot higher than those of its
// predecessors. Current is the group's newest map that control knows in force.
func NewCoordinator(ranks int, ballot, current uint64) *Coordinator {
	return &Coordinator{
		number: Number{Ballot: ballot}, current: current, target: current,
		statuses: make([]Status, ranks), heard: make([]bool, ranks), sent: make([]sentOrder, ranks),
	}
}

// Want takes an epoch that control has accepted. An older one changes nothing.
func (coordinator *Coordinator) Want(epoch uint64) {
	coordinator.target = max(coordinator.target, epoch)
}

// Target returns the newest epoch wanted.
func (coordinator *Coordinator) Target() uint64 { return coordinator.target }

// Lost returns how many restarts of ranks were seen.
func (coordinator *Coordinator) Lost() int { return coordinator.lost }

// Hear takes a gate's status.
func (coordinator *Coordinator) Hear(status Status) {
	if status.Promised.Ballot != coordinator.number.Ballot {
		return
	}
	old := coordinator.statuses[status.Rank]
	if coordinator.heard[status.Rank] && (status.Life < old.Life || (status.Life == old.Life && outdated(status, old))) {
		return
	}
	if coordinator.heard[status.Rank] && status.Life > old.Life {
		coordinator.lost++
	}
	coordinator.heard[status.Rank] = true
	coordinator.statuses[status.Rank] = status
	// A predecessor may have agreed a switch that some gates have heard of.
	if status.Next.Epoch > coordinator.agreed.Epoch {
		coordinator.agreed = status.Next
	}
}

// outdated tells whether a status was overtaken by a later one.
func outdated(status, known Status) bool {
	return status.Promised.Before(known.Promised) || status.Step < known.Step
}

// Tick returns the orders to send now.
func (coordinator *Coordinator) Tick(now clock.Millis) []Send {
	if slices.Contains(coordinator.heard, false) {
		return coordinator.query(now)
	}
	coordinator.advance(now)
	sends := coordinator.refresh(now)
	for rank := range coordinator.statuses {
		if order := coordinator.next(rank); order != nil {
			sends = coordinator.send(sends, rank, order, now)
		}
	}
	return sends
}

func (coordinator *Coordinator) query(now clock.Millis) []Send {
	var sends []Send
	for rank, heard := range coordinator.heard {
		if !heard {
			sends = coordinator.send(sends, rank, Query{Number: coordinator.number}, now)
		}
	}
	return sends
}

// refresh queries every gate from time to time, so that steps and restarts are known.
func (coordinator *Coordinator) refresh(now clock.Millis) []Send {
	if now-coordinator.asked < refreshEvery {
		return nil
	}
	coordinator.asked = now
	sends := make([]Send, 0, 2*len(coordinator.statuses))
	for rank := range coordinator.statuses {
		sends = append(sends, Send{Rank: rank, Order: Query{Number: coordinator.number}})
	}
	return sends
}

// send repeats an order only after a while.
func (coordinator *Coordinator) send(sends []Send, rank int, order Order, now clock.Millis) []Send {
	last := coordinator.sent[rank]
	if last.order == order && now-last.at < resendAfter {
		return sends
	}
	coordinator.sent[rank] = sentOrder{order: order, at: now}
	return append(sends, Send{Rank: rank, Order: order})
}

// advance moves the group's plan on when the gates have done their part.
func (coordinator *Coordinator) advance(now clock.Millis) {
	switch {
	case coordinator.agreed.Epoch != 0:
		if coordinator.every(func(status Status) bool { return status.Joined && status.Epoch >= coordinator.agreed.Epoch }) {
			coordinator.current, coordinator.agreed, coordinator.holding = coordinator.agreed.Epoch, Switch{}, Switch{}
		}
	case coordinator.holding.Epoch != 0:
		coordinator.judgeHold(now)
	case now >= coordinator.quiet && coordinator.target > coordinator.running() && coordinator.every(coordinator.preparedFor):
		coordinator.number.Round++
		coordinator.holding = Switch{Epoch: coordinator.target, Step: coordinator.furthest() + holdLead}
		coordinator.since = now
	}
}

// judgeHold agrees the switch once every gate holds it, and gives it up when a
// gate was too late or has not answered for too long.
func (coordinator *Coordinator) judgeHold(now clock.Millis) {
	held := func(status Status) bool { return status.Joined && status.Held == coordinator.holding }
	if coordinator.every(held) {
		coordinator.number.Round++
		coordinator.agreed = coordinator.holding
		return
	}
	late := slices.ContainsFunc(coordinator.statuses, func(status Status) bool {
		return !status.Joined || (status.Step >= coordinator.holding.Step && status.Held != coordinator.holding)
	})
	if late || now-coordinator.since > holdLimit {
		coordinator.number.Round++
		coordinator.holding = Switch{}
		coordinator.quiet = now + pauseAfterRelease
	}
}

func (coordinator *Coordinator) every(test func(Status) bool) bool {
	return !slices.ContainsFunc(coordinator.statuses, func(status Status) bool { return !test(status) })
}

func (coordinator *Coordinator) preparedFor(status Status) bool {
	return status.Joined && slices.Contains(status.Loaded, coordinator.target)
}

// running returns the map that the joined ranks run, or the one to start with.
func (coordinator *Coordinator) running() uint64 {
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

func (coordinator *Coordinator) furthest() uint64 {
	step := uint64(0)
	for _, status := range coordinator.statuses {
		step = max(step, status.Step)
	}
	return step
}

// next returns the order that a rank needs now, or nil.
func (coordinator *Coordinator) next(rank int) Order {
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

// admit brings a restarted rank back: it loads the maps it needs and joins at
// the step that the others wait in.
func (coordinator *Coordinator) admit(status Status) Order {
	now := Switch{Epoch: coordinator.running(), Step: coordinator.waitingStep()}
	next := coordinator.agreed
	if next.Epoch != 0 && now.Epoch >= next.Epoch {
		next = Switch{}
	}
	for _, epoch := range []uint64{now.Epoch, next.Epoch} {
		if epoch != 0 && !slices.Contains(status.Loaded, epoch) {
			return Prepare{Number: coordinator.number, Epoch: epoch}
		}
	}
	return Join{Number: coordinator.number, Life: status.Life, Now: now, Next: next}
}

// waitingStep returns the step that the joined ranks are in: none of them can
// complete it without the rank that is missing.
func (coordinator *Coordinator) waitingStep() uint64 {
	step := uint64(0)
	for _, status := range coordinator.statuses {
		if status.Joined {
			step = max(step, status.Step)
		}
	}
	return step
}
