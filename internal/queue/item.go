// Package queue decides which work an engine runs. It is pure: the caller
// gives the time and the events, and carries out the decisions it gets back.
package queue

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Item is one attempt.
type Item struct {
	ID       string
	Customer string
	Tier     wire.Tier
	Priority int32
	Weight   uint32
	// Size is the predicted size in stream events.
	Size    uint32
	Arrived clock.Millis
	// Deadline is when the caller gives up waiting for the first event; 0 for none.
	Deadline clock.Millis
	// Counted tells whether the answer is a stream whose events tell its size.
	Counted bool
	// Fixed work is never paused or cancelled once it runs.
	Fixed bool
}

// Decision is one of Start, Pause, Resume, Cancel and Refuse. Decisions must
// be carried out in the order in which they are returned.
type Decision interface {
	sealed()
}

// Start runs a waiting attempt.
type Start struct{ ID string }

// Pause stops a running attempt at its next event; the engine keeps its state.
type Pause struct{ ID string }

// Resume continues a paused attempt.
type Resume struct{ ID string }

// Cancel ends a started attempt that cannot be kept paused.
type Cancel struct{ ID string }

// Refuse ends an attempt that never started.
type Refuse struct {
	ID     string
	Reason Reason
	// RetryAfter is when the caller may expect room.
	RetryAfter clock.Millis
}

func (Start) sealed()  {}
func (Pause) sealed()  {}
func (Resume) sealed() {}
func (Cancel) sealed() {}
func (Refuse) sealed() {}

// Reason tells why an attempt was refused.
type Reason string

// Reasons.
const (
	Full         Reason = "queue is full"
	CustomerFull Reason = "customer has too many requests waiting"
	Displaced    Reason = "queue is full and paid or more urgent work came"
	Expired      Reason = "request waited as long as its caller allows"
)

// entry is an item with its progress.
type entry struct {
	Item
	sequence uint64
	long     bool
	// predicted is the size at arrival.
	predicted uint32
	produced  uint32
	// begun tells whether the attempt was ever started; pausedAt is 0 unless it is paused.
	begun    bool
	started  clock.Millis
	pausedAt clock.Millis
	paused   clock.Millis
	// resumed is when it last got a slot.
	resumed clock.Millis
	// key orders the entries of a flow: the instant at which it arrived, put
	// back by its expected duration, so that short work goes first and long
	// work ages past later arrivals.
	key clock.Millis
	// due is when the entry goes first in its band.
	due clock.Millis
	// charged is what its account has paid for it.
	charged uint32

	flowIndex, dueIndex, expiryIndex int
}

// remaining returns the predicted events not yet produced, at least one.
func (entry *entry) remaining() uint32 {
	if entry.Size <= entry.produced {
		return 1
	}
	return entry.Size - entry.produced
}

// delay returns how long a running entry waited and was paused.
func (entry *entry) delay() clock.Millis {
	return entry.started - entry.Arrived + entry.paused
}

// ran returns how long the entry has run, without pauses.
func (entry *entry) ran(now clock.Millis) clock.Millis {
	end := now
	if entry.pausedAt != 0 {
		end = entry.pausedAt
	}
	return end - entry.started - entry.paused
}
