package expert

import (
	"slices"
)

// Gate stands before one rank. It is an immutable value: With… methods return
// the next one.
type Gate struct {
	status Status
	// loading is the epoch whose experts are being loaded; zero when none.
	loading uint64
}

// NewGate returns the gate of a rank that has just started. It runs no step
// until the coordinator lets it join.
func NewGate(rank int, life uint64) Gate {
	return Gate{status: Status{Rank: rank, Life: life}}
}

// Status returns what the gate reports.
func (gate Gate) Status() Status { return gate.status }

// Loading returns the epoch that the rank has to load now; zero when none.
func (gate Gate) Loading() uint64 { return gate.loading }

// WithLoaded records that the experts of an epoch are loaded.
func (gate Gate) WithLoaded(epoch uint64) Gate {
	if gate.loading == epoch {
		gate.loading = 0
	}
	if !slices.Contains(gate.status.Loaded, epoch) {
		gate.status.Loaded = append(slices.Clone(gate.status.Loaded), epoch)
	}
	return gate
}

// Begin returns the epoch to run the next step with, or false when the rank
// has to wait.
func (gate Gate) Begin() (uint64, bool) {
	status := gate.status
	switch {
	case !status.Joined:
		return 0, false
	case status.Next.Epoch != 0 && status.Step >= status.Next.Step:
		return status.Next.Epoch, true
	case status.Held.Epoch != 0 && status.Step >= status.Held.Step:
		return 0, false
	}
	return status.Epoch, true
}

// WithStep records that a step was completed by the group.
func (gate Gate) WithStep() Gate {
	status := &gate.status
	if status.Next.Epoch != 0 && status.Step >= status.Next.Step {
		old := status.Epoch
		status.Epoch, status.Next, status.Held = status.Next.Epoch, Switch{}, Switch{}
		status.Loaded = slices.DeleteFunc(slices.Clone(status.Loaded), func(epoch uint64) bool { return epoch == old })
	}
	status.Step++
	return gate
}

// WithOrder carries out an order. An order older than one seen changes nothing.
func (gate Gate) WithOrder(order Order) Gate {
	number := order.number()
	if number.Before(gate.status.Promised) {
		return gate
	}
	gate.status.Promised = number
	switch order := order.(type) {
	case Query:
	case Prepare:
		gate.prepare(order.Epoch)
	case Hold:
		gate.hold(order.Switch)
	case Activate:
		gate.activate(order.Switch)
	case Release:
		if gate.status.Next.Epoch == 0 {
			gate.status.Held = Switch{}
		}
	case Join:
		gate.join(order)
	}
	return gate
}

func (gate *Gate) prepare(epoch uint64) {
	if !slices.Contains(gate.status.Loaded, epoch) {
		gate.loading = epoch
	}
}

// hold is refused, which the status shows, when the rank may have begun the step.
func (gate *Gate) hold(wanted Switch) {
	status := &gate.status
	if status.Joined && status.Step < wanted.Step && status.Next.Epoch == 0 && slices.Contains(status.Loaded, wanted.Epoch) {
		status.Held = wanted
	}
}

// activate needs the hold of the same switch: only then has the rank not begun
// the step with the old map.
func (gate *Gate) activate(wanted Switch) {
	if gate.status.Joined && gate.status.Held == wanted {
		gate.status.Next = wanted
	}
}

// join needs the experts of the present and of the agreed map.
func (gate *Gate) join(order Join) {
	status := &gate.status
	ready := slices.Contains(status.Loaded, order.Now.Epoch) && (order.Next.Epoch == 0 || slices.Contains(status.Loaded, order.Next.Epoch))
	if status.Joined || !ready || order.Life != status.Life {
		return
	}
	status.Joined, status.Epoch, status.Step = true, order.Now.Epoch, order.Now.Step
	status.Next, status.Held = order.Next, order.Next
}
