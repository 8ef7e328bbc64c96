package expert

import (
	"slices"
)

// Gate controls the steps of one rank. It is immutable; the With... methods
// return a changed copy.
type Gate struct {
	status Status
	// loading is the epoch whose experts are being loaded; 0 for none.
	loading uint64
}

// NewGate returns the gate of a rank that has just started. The rank runs no
// step until the coordinator lets it join.
func NewGate(rank int, incarnation uint64) Gate {
	return Gate{status: Status{Rank: rank, Incarnation: incarnation}}
}

// Status returns the gate's status.
func (gate Gate) Status() Status { return gate.status }

// Loading returns the epoch that the rank has to load now; 0 for none.
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

// Begin returns the epoch of the map for the next step, and reports whether the rank
// may begin that step.
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

// WithStep records that the group has completed a step.
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

// WithOrder carries out an order. An order with a number below the promised one
// is ignored.
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

// hold sets the hold unless the rank may have begun the step. The status shows
// whether it did.
func (gate *Gate) hold(wanted Switch) {
	status := &gate.status
	if status.Joined && status.Step < wanted.Step && status.Next.Epoch == 0 && slices.Contains(status.Loaded, wanted.Epoch) {
		status.Held = wanted
	}
}

// activate requires a hold of the same switch: only then is it certain that the
// rank has not begun the step with the old map.
func (gate *Gate) activate(wanted Switch) {
	if gate.status.Joined && gate.status.Held == wanted {
		gate.status.Next = wanted
	}
}

// join requires the experts of the present map and of the agreed one.
func (gate *Gate) join(order Join) {
	status := &gate.status
	ready := slices.Contains(status.Loaded, order.Now.Epoch) && (order.Next.Epoch == 0 || slices.Contains(status.Loaded, order.Next.Epoch))
	if status.Joined || !ready || order.Incarnation != status.Incarnation {
		return
	}
	status.Joined, status.Epoch, status.Step = true, order.Now.Epoch, order.Now.Step
	status.Next, status.Held = order.Next, order.Next
}
