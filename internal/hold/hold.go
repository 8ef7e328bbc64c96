// Package hold decides whether a request waits at a gateway for what is
// expected back soon, or is refused at once and told when to return. It is pure.
//
// It answers two loads: the restart of all processes, when gateways run before
// a control leader is elected, and a group of ranks that takes no work for some
// seconds. In both, callers that are refused return at the same moment, and
// most return only once.
package hold

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

const (
	// ComeBack is when a caller may return to a group that has stalled. A rank
	// takes seconds to come back, and callers wait a third of their time at most.
	ComeBack = 2700 * clock.Millis(1)
	// StartBack is when a caller may return to a process that got no
	// configuration while the caller waited; an election takes about as long.
	StartBack = clock.Second

	// startParts is the part of its time that a caller is kept before it is told
	// to return; as much again passes before it does, and the rest is for its
	// last try. A caller that has returned is kept for one of returnedParts.
	startParts    = 3
	returnedParts = 2
	// objectives is how many latency objectives a request waits for a group.
	// Callers leave a stream that has not begun after four.
	objectives = 3.7
	// freshParts, of which a caller that has spent less than one has not been
	// refused before: callers wait a third of their time before they return.
	freshParts = 4
	// leastOutage is how long a group is away before anybody waits for it: a rank
	// that restarts needs seconds, and the group forms after it.
	leastOutage = 2500 * clock.Millis(1)
	// silence is how long all streams of a group may pause before it counts as
	// stalled. Passes take 230 ms at most after a shift of popularity.
	silence = 700 * clock.Millis(1)
	// leastStreams is how many streams must pause: a single one may wait for its
	// own engine.
	leastStreams = 2
)

// Starting returns how long a request may wait at a process that has no
// configuration yet, from the longest wait and the time that its caller gives it.
func Starting(limit, patience clock.Millis) clock.Millis {
	return min(limit, patience/startParts)
}

// Stalled returns how long a request may wait for a group that has shown no
// progress for a time: from that, the time that the caller gives it, the route's
// timeout and the route's objective. It is 0 for a caller with all of its time,
// which is told to return, and while the group cannot be back. One that has
// returned waits, because it is unlikely to return again.
func Stalled(age, patience, timeout, objective clock.Millis) clock.Millis {
	if age < leastOutage || !HasReturned(patience, timeout) {
		return 0
	}
	return min(clock.Millis(objectives*float64(objective)), patience/returnedParts)
}

// HasReturned tells from a caller's time and its route's timeout that the caller
// has been refused before.
func HasReturned(patience, timeout clock.Millis) bool { return timeout-patience >= timeout/freshParts }

// IsSilent tells whether a group makes no progress: from the streams that have
// begun there and the time since the last event of any of them.
func IsSilent(streams int, quiet clock.Millis) bool {
	return streams >= leastStreams && quiet > silence
}
