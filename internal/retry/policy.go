package retry

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

const (
	// maxStarted bounds the attempts of one request that may have run.
	maxStarted = 3
	// hedgeFactor times the usual time to the first event is what counts as slow.
	hedgeFactor = 4
	leastHedge  = 1 * clock.Second
	// learned is the weight of a new time in the usual time.
	learned = 0.05
)

// Policy is the retry state of an entry VM. It is an immutable value.
type Policy struct {
	Budget   Budget
	Detector Detector
	// usual is the mean time to the first event of recent requests.
	usual float64
}

// NewPolicy returns the policy of an entry VM that has just started.
func NewPolicy() Policy { return Policy{Budget: NewBudget()} }

// End tells how an attempt ended, as far as it matters here.
type End int

// Ends of an attempt.
const (
	Succeeded End = iota
	// Failed is an engine that broke off, answered a server error or is gone.
	Failed
	// Lost is an engine whose endpoint process answers nothing any more.
	Lost
	// Neutral is an attempt that was refused, cancelled or failed by its own fault.
	Neutral
)

// WithEnd notes the end of an attempt on an engine.
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

// WithRetry pays for one more attempt of a request with attempts that may have
// run, or returns false when it may not be repeated.
func (policy Policy) WithRetry(started int) (Policy, bool) {
	if started >= maxStarted {
		return policy, false
	}
	budget, ok := policy.Budget.WithRetry()
	policy.Budget = budget
	return policy, ok
}

// WithFirst learns the time to the first event of a request.
func (policy Policy) WithFirst(span clock.Millis) Policy {
	if policy.usual == 0 {
		policy.usual = float64(span)
	}
	policy.usual += learned * (float64(span) - policy.usual)
	return policy
}

// HedgeAfter returns the time without a first event after which an attempt may
// be raced. There is none before any request has shown the usual time.
func (policy Policy) HedgeAfter() (clock.Millis, bool) {
	return max(leastHedge, clock.Millis(hedgeFactor*policy.usual)), policy.usual > 0
}
