package endpt

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const quarantinePoll = 10 * clock.Millis(1)

var errQuarantine = errors.New("endpoint is kept for one suspected request")

// quarantine keeps an endpoint for one attempt that may crash it. The attempt
// starts when everything that was accepted before has ended, and nothing is
// accepted until it has ended.
type quarantine struct {
	// mu is held for reading while an attempt is accepted and queued, so that
	// none slips in beside the holder. It comes before all other locks.
	mu     sync.RWMutex
	holder *attempt
}

// take accepts an attempt, or finds the one with the same id.
func (endpoint *Endpoint) take(request *wire.Attempt) (*attempt, error) {
	if run, ok := endpoint.table.find(request.GetRequestId(), request.GetAttempt(), endpoint.clock); ok && request.GetIncarnation() == endpoint.incarnation {
		return run, nil
	}
	if request.GetAlone() {
		return endpoint.takeAlone(request)
	}
	endpoint.quarantine.mu.RLock()
	defer endpoint.quarantine.mu.RUnlock()
	if err := endpoint.accepts(request); err != nil {
		return nil, err
	}
	if endpoint.quarantine.holder != nil {
		return nil, errQuarantine
	}
	run, added := endpoint.table.admit(newAttempt(request, endpoint.clock).traced(endpoint.tracer))
	if added {
		endpoint.lanes[request.GetEngine()].submit(run)
	}
	return run, nil
}

func (endpoint *Endpoint) takeAlone(request *wire.Attempt) (*attempt, error) {
	endpoint.quarantine.mu.Lock()
	defer endpoint.quarantine.mu.Unlock()
	if err := endpoint.accepts(request); err != nil {
		return nil, err
	}
	if endpoint.quarantine.holder != nil {
		return nil, errQuarantine
	}
	run, added := endpoint.table.admit(newAttempt(request, endpoint.clock).traced(endpoint.tracer))
	if added {
		endpoint.quarantine.holder = run
		endpoint.runs.Go(func() { endpoint.isolate(run) })
	}
	return run, nil
}

// isolate runs the holder of the quarantine when the endpoint is empty.
func (endpoint *Endpoint) isolate(run *attempt) {
	submitted := false
	for !run.over() {
		if !submitted && endpoint.empty() {
			submitted = true
			endpoint.lanes[run.request.GetEngine()].submit(run)
		}
		_, changed := run.next(0)
		// The attempt's own end wakes this up; the poll is for the other lanes.
		_, _ = waitChange(endpoint.life, changed, quarantinePoll)
		if endpoint.life.Err() != nil {
			return
		}
	}
	endpoint.quarantine.mu.Lock()
	defer endpoint.quarantine.mu.Unlock()
	endpoint.quarantine.holder = nil
}

func (endpoint *Endpoint) empty() bool {
	for _, lane := range endpoint.lanes {
		if !lane.idle() {
			return false
		}
	}
	return true
}
