// Package evict decides whether a process may hold more for its callers, and which
// connections it closes to make room. It does no I/O and reads no clock.
package evict

import (
	"cmp"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// smallParts is the number of small holders that fill the bound.
	smallParts = 256
	// reserveParts gives the part of the bound, 1/reserveParts, that only small holders may
	// use, so that large ones whose requests run leave room for ordinary requests.
	reserveParts = 4
	// marginParts gives the part of the bound, 1/marginParts, that is freed beyond the need,
	// so that a crowd does not cause a decision for each of its bytes.
	marginParts = 16
)

// Holder is a connection for which the process holds memory.
type Holder struct {
	ID uint64
	// Held is the number of bytes held.
	Held int64
	// Peak is the largest number of bytes held for the current request.
	Peak int64
	// Since is when the connection last made progress: when its current request began to
	// arrive or, on an idle connection, when the last one ended.
	Since clock.Millis
	// Running is set while a request that arrived completely is processed. Such a
	// connection is not closed.
	Running bool
}

// Limits bound what a process holds; 0 for no bound.
type Limits struct {
	Bytes int64
	// Connections is the number of connections at one address.
	Connections int
}

// Decision is Admit, Close or Refuse.
type Decision interface{ decision() }

// Admit grants what was asked for.
type Admit struct{}

// Close grants what was asked for once the connections with these IDs are closed.
type Close struct{ IDs []uint64 }

// Refuse grants nothing: what is held belongs to requests that run, or to connections that
// hold less or have made progress more recently than the one that asks.
type Refuse struct{}

func (Admit) decision()  {}
func (Close) decision()  {}
func (Refuse) decision() {}

// Bytes decides whether the holder with the ID asker may hold more bytes.
func Bytes(limits Limits, holders []Holder, asker uint64, more int64, now clock.Millis) Decision {
	if limits.Bytes <= 0 {
		return Admit{}
	}
	var held, size int64
	for at := range holders {
		held += holders[at].Held
		if holders[at].ID == asker {
			size = max(holders[at].Held+more, holders[at].Peak)
		}
	}
	room := Room(limits, size)
	if held+more <= room {
		return Admit{}
	}
	candidates := byWeight(holders, asker, more, now)
	margin, freed, enough := room/marginParts, int64(0), held+more-room
	var closed []uint64
	for _, candidate := range candidates {
		if candidate.ID == asker || freed >= enough+margin {
			break
		}
		freed += candidate.Held
		closed = append(closed, candidate.ID)
	}
	if freed < enough {
		return Refuse{}
	}
	return Close{IDs: closed}
}

// Room returns the number of bytes of the bound that a holder may use whose largest size is
// the given one.
func Room(limits Limits, size int64) int64 {
	if size <= limits.Bytes/smallParts {
		return limits.Bytes
	}
	return limits.Bytes - limits.Bytes/reserveParts
}

// Connection decides whether a new connection may be accepted beside the holders at the
// same address.
func Connection(limits Limits, holders []Holder, now clock.Millis) Decision {
	if limits.Connections <= 0 || len(holders) < limits.Connections {
		return Admit{}
	}
	candidates := byWeight(holders, 0, 0, now)
	count := len(holders) - limits.Connections + 1
	if len(candidates) < count {
		return Refuse{}
	}
	var closed []uint64
	for _, candidate := range candidates[:min(len(candidates), count+limits.Connections/marginParts)] {
		closed = append(closed, candidate.ID)
	}
	return Close{IDs: closed}
}

// byWeight returns the holders that may be closed. Those that have held most bytes for
// the longest time without progress come first.
func byWeight(holders []Holder, asker uint64, more int64, now clock.Millis) []Holder {
	candidates := make([]Holder, 0, len(holders))
	for _, holder := range holders {
		if holder.ID == asker && asker > 0 {
			holder.Held += more
		}
		if !holder.Running {
			candidates = append(candidates, holder)
		}
	}
	slices.SortFunc(candidates, func(first, second Holder) int {
		return cmp.Compare(second.weight(now), first.weight(now))
	})
	return candidates
}

// weight is the product of the bytes held and the time without progress.
func (holder Holder) weight(now clock.Millis) float64 {
	return float64(holder.Held) * float64(max(now-holder.Since, 0)+1)
}
