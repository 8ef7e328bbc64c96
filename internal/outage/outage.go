// Package outage decides how long a gateway holds a request during a short outage
// before it refuses the request with a retry delay. It does no I/O and reads no
// clock. The gateway process uses it.
//
// Two outages matter: the restart of all processes, when gateways run before a
// control leader is elected, and a group of ranks that accepts no work for some
// seconds. In both, refused callers retry at the same moment, and most retry only
// once.
package outage

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

const (
	// StallRetryAfter is the retry delay for callers of a stalled group. A rank takes
	// seconds to recover, and callers wait at most a third of their remaining time
	// before a retry.
	StallRetryAfter = 2700 * clock.Millis(1)
	// StartRetryAfter is the retry delay for callers of a process that received no
	// configuration while they waited; a leader election takes about as long.
	StartRetryAfter = clock.Second

	// startWaitDivisor bounds the hold at startup: a request is held for at most 1/3 of
	// the time that its caller waits. As much again passes before the caller retries,
	// and the rest is left for its last attempt. retryWaitDivisor bounds the hold of a
	// request that a caller retries: at most 1/2 of the time that the caller still waits.
	startWaitDivisor = 3
	retryWaitDivisor = 2
	// maxStallObjectives is the maximum time that a request is held for a group, in
	// latency objectives. Callers abandon a stream that has not begun after four.
	maxStallObjectives = 3.7
	// firstAttemptDivisor marks a first attempt: a caller that has used less than 1/4 of
	// the route's timeout has not been refused before, since callers wait a third of
	// their time before a retry.
	firstAttemptDivisor = 4
	// minStallAge is how long a group must have been stalled before requests are held
	// for it: a rank needs seconds to restart, and the group forms only afterwards.
	minStallAge = 2500 * clock.Millis(1)
	// maxSilence is how long all streams of a group may pause before the group counts
	// as stalled. A pass takes at most 230 ms after the popularity of experts shifts.
	maxSilence = 700 * clock.Millis(1)
	// minSilentStreams is how many streams must pause: a single one may only be
	// waiting for its own engine.
	minSilentStreams = 2
)

// StartWait returns how long to hold a request at a process that has no
// configuration yet, given the maximum hold and the time that the caller waits from
// the arrival of the request on.
func StartWait(limit, callerWait clock.Millis) clock.Millis {
	return min(limit, callerWait/startWaitDivisor)
}

// StallWait returns how long to hold a request for a group that has made no progress
// for the time age, given the time that the caller waits from the arrival of the
// request on, and the route's timeout and latency objective. It returns 0 for a
// caller's first attempt, which can be retried, and while the group cannot have
// recovered yet. A retry is held, because its caller is unlikely to retry again.
func StallWait(age, callerWait, timeout, objective clock.Millis) clock.Millis {
	if age < minStallAge || !HasReturned(callerWait, timeout) {
		return 0
	}
	return min(clock.Millis(maxStallObjectives*float64(objective)), callerWait/retryWaitDivisor)
}

// HasReturned reports whether a caller has probably been refused before. It infers
// this from the time that the caller waits from the arrival of the request on: a
// shorter wait than the route's timeout counts as time already used. The gateway
// assumes a wait of one minute for a caller that states none, so on a route with a
// timeout of 80 s or more such a caller always counts as one that retries.
func HasReturned(callerWait, timeout clock.Millis) bool {
	return timeout-callerWait >= timeout/firstAttemptDivisor
}

// IsSilent reports whether a group makes no progress, given the number of streams
// that have begun there and the time since the last event of any of them.
func IsSilent(streams int, quiet clock.Millis) bool {
	return streams >= minSilentStreams && quiet > maxSilence
}
