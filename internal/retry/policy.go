package retry

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

const (
	// maxStarted bounds the attempts of one request that may have run.
	maxStarted = 3
	// hedgeFactor times the mean time to the first event is the delay after
	// which an attempt counts as slow.
	hedgeFactor   = 4
	minHedgeDelay = 1 * clock.Second
	// firstHedgeShare divides the patience of a caller while no time to a first event
	// is known. The rest is left for the second attempt.
	firstHedgeShare = 4
	// meanWeight is the weight of a new value in the moving average of the time
	// to the first event.
	meanWeight = 0.05
)

// Policy is the retry state of an entry VM. It is an immutable value.
type Policy struct {
	Budget   Budget
	Detector Detector
	// meanFirstEvent is the moving average of the time to the first event, in
	// milliseconds. It may be 0: engines may answer within a millisecond.
	meanFirstEvent float64
	// isMeasured is set once there was a first event.
	isMeasured bool
}

// NewPolicy returns the policy of an entry VM that has just started.
func NewPolicy() Policy { return Policy{Budget: NewBudget()} }

// End classifies the end of an attempt for the budget and the detector.
type End int

// Ends of an attempt.
const (
	Succeeded End = iota
	// Failed means that the engine closed the connection early, answered with a server error or
	// could not be reached.
	Failed
	// Lost means that the engine's endpoint process no longer answers.
	Lost
	// Neutral means that the attempt was refused, cancelled or failed because of
	// the request itself.
	Neutral
)

// WithEnd records the end of an attempt on an engine.
func (policy Policy) WithEnd(engine string, end End, now clock.Millis) Policy {
	switch end {
	case Succeeded:
		policy.Budget = policy.Budget.WithSuccess()
		policy.Detector = policy.Detector.WithSuccess(engine)
	case Lost:
		policy.Detector = policy.Detector.WithFailure(engine, now).WithFailure(engine, now)
	case Failed:
		policy.Detector = policy.Detector.WithFailure(engine, now)
	default:
		policy.Detector = policy.Detector.WithNeutral(engine)
	}
	return policy
}

// WithRetry takes a retry from the budget for a request of which the given
// number of attempts may have run, and reports whether the request may be
// retried.
func (policy Policy) WithRetry(started int) (Policy, bool) {
	if started >= maxStarted {
		return policy, false
	}
	budget, ok := policy.Budget.WithRetry()
	policy.Budget = budget
	return policy, ok
}

// WithFirstEvent records the time to the first event of a request.
func (policy Policy) WithFirstEvent(elapsed clock.Millis) Policy {
	if !policy.isMeasured {
		policy.meanFirstEvent, policy.isMeasured = float64(elapsed), true
	}
	policy.meanFirstEvent += meanWeight * (float64(elapsed) - policy.meanFirstEvent)
	return policy
}

// HedgeAfter returns the time without a first event after which an attempt may be
// hedged, for a caller with the given patience, and reports whether it follows from
// measured times.
func (policy Policy) HedgeAfter(patience clock.Millis) (delay clock.Millis, isMeasured bool) {
	if !policy.isMeasured {
		return max(minHedgeDelay, patience/firstHedgeShare), false
	}
	return max(minHedgeDelay, clock.Millis(hedgeFactor*policy.meanFirstEvent)), true
}
