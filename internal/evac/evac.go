// Package evac follows how far orders about the evacuation of zones have spread to
// gateways. It does no I/O and reads no clock. Control VMs use it.
package evac

import (
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// gatewayLifetime is the time after its last poll for which a gateway counts. It is
	// longer than partitions and restarts, so that a gateway without contact is named.
	gatewayLifetime = clock.Minute
	// followTime is the time for which the spread of an order is followed. A leader that
	// starts reports no older ones.
	followTime = clock.Minute
)

// Action is something to log about an order. Its variants are Held and Late.
type Action interface{ isAction() }

// Held reports that all gateways hold an order.
type Held struct {
	Order    *wire.Evacuation
	Gateways int
	Took     clock.Millis
}

// Late reports the gateways that do not hold an order after the limit.
type Late struct {
	Order   *wire.Evacuation
	Missing []string
	Age     clock.Millis
}

func (Held) isAction() {}
func (Late) isAction() {}

// gateway is what a gateway last reported.
type gateway struct {
	revision uint64
	at       clock.Millis
}

// progress tells which actions were returned for an order.
type progress struct {
	revision       uint64
	isHeld, isLate bool
}

// Spread is what a control VM knows of the revisions that gateways hold. It is not
// safe for concurrent use.
type Spread struct {
	limit    clock.Millis
	gateways map[string]gateway
	// followed holds the progress of the latest order about each zone.
	followed map[string]progress
}

// New returns the spread before any gateway has polled. Gateways must hold an order
// within the limit.
func New(limit clock.Millis) *Spread {
	return &Spread{limit: limit, gateways: map[string]gateway{}, followed: map[string]progress{}}
}

// Polled records the revision that a gateway held when it polled.
func (spread *Spread) Polled(name string, revision uint64, now clock.Millis) {
	spread.gateways[name] = gateway{revision: revision, at: now}
}

// Holders returns the number of gateways that hold a revision, and those that do not.
func (spread *Spread) Holders(revision uint64, now clock.Millis) (int, []string) {
	var missing []string
	for name, known := range spread.gateways {
		switch {
		case now-known.at > gatewayLifetime:
			delete(spread.gateways, name)
		case known.revision < revision:
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return len(spread.gateways) - len(missing), missing
}

// Check returns what is new about the spread of the latest orders. It returns Held and
// Late at most once for each order.
func (spread *Spread) Check(orders []*wire.Evacuation, now clock.Millis) []Action {
	var actions []Action
	for _, order := range orders {
		age := max(now-clock.Millis(order.GetAt()), 0)
		if age > followTime {
			continue
		}
		followed := spread.followed[order.GetZone()]
		if followed.revision != order.GetRevision() {
			followed = progress{revision: order.GetRevision()}
		}
		holding, missing := spread.Holders(order.GetRevision(), now)
		switch {
		case len(missing) == 0 && holding > 0 && !followed.isHeld:
			followed.isHeld = true
			actions = append(actions, Held{Order: order, Gateways: holding, Took: age})
		case len(missing) > 0 && age >= spread.limit && !followed.isLate && !followed.isHeld:
			followed.isLate = true
			actions = append(actions, Late{Order: order, Missing: missing, Age: age})
		}
		spread.followed[order.GetZone()] = followed
	}
	return actions
}
