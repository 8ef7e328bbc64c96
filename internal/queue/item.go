// Package queue schedules the requests of an engine. It does no I/O and reads no
// clock: the caller passes the time and the events, and carries out the decisions
// that are returned. Queue is used by the endpoint process, WaitList also by the
// admission control of the entry process.
package queue

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Item is one attempt to run a request.
type Item struct {
	ID       string
	Customer string
	Tier     wire.Tier
	Priority int32
	Weight   uint32
	// Size is the predicted size in stream events.
	Size    uint32
	Arrived clock.Millis
	// Deadline is when the caller stops waiting for the first event; 0 for none.
	Deadline clock.Millis
	// Counted is set when the answer is a stream whose size is its number of events.
	Counted bool
	// Fixed is set for work that must not be paused or cancelled once it runs.
	Fixed bool
}

// Decision is one of Start, Pause, Resume, Cancel and Refuse. The caller must carry
// out decisions in the order in which they are returned.
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
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter clock.Millis
}

func (Start) sealed()  {}
func (Pause) sealed()  {}
func (Resume) sealed() {}
func (Cancel) sealed() {}
func (Refuse) sealed() {}

// Reason states why an attempt was refused.
type Reason string

// Reasons.
const (
	Full         Reason = "queue is full"
	CustomerFull Reason = "customer has too many requests waiting"
	Displaced    Reason = "queue is full and paid or more urgent work came"
	Expired      Reason = "request waited as long as its caller allows"
)

// entry is an item with its scheduling state.
type entry struct {
	Item
	sequence uint64
	long     bool
	// predicted is the size predicted at arrival, at least minTypicalSize.
	predicted uint32
	produced  uint32
	// wasStarted is set once the attempt has run, also while it is paused.
	wasStarted bool
	started    clock.Millis
	// pausedAt is the time of the current pause, 0 for none; paused is the total
	// time of the earlier pauses.
	pausedAt clock.Millis
	paused   clock.Millis
	// resumed is when the entry last got a slot.
	resumed clock.Millis
	// orderKey orders the entries of a flow. It is the arrival time plus the
	// expected duration, so that short work goes first but long work is not
	// overtaken by later arrivals indefinitely.
	orderKey clock.Millis
	// due is the time from which the entry takes precedence in its band.
	due clock.Millis
	// charged is the number of events charged to the customer's account.
	charged uint32

	flowIndex, dueIndex, expiryIndex int
}

// remaining returns the predicted number of events still to be produced, at least one.
func (entry *entry) remaining() uint32 {
	if entry.Size <= entry.produced {
		return 1
	}
	return entry.Size - entry.produced
}

// delay returns the time that a started entry waited for its start and was paused.
func (entry *entry) delay() clock.Millis {
	return entry.started - entry.Arrived + entry.paused
}

// runTime returns the time that a started entry has run, without pauses.
func (entry *entry) runTime(now clock.Millis) clock.Millis {
	end := now
	if entry.pausedAt != 0 {
		end = entry.pausedAt
	}
	return end - entry.started - entry.paused
}
