package endpt

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const quarantinePollInterval = 10 * clock.Millis(1)

var errQuarantine = errors.New("endpoint is quarantined for a request suspected of crashing endpoints")

// quarantine reserves an endpoint for one attempt that may crash it. The attempt
// starts after all attempts accepted before it have ended, and no other attempt
// is accepted until it has ended.
type quarantine struct {
	// mu is held for reading while an attempt is accepted and queued, so that no
	// attempt is accepted while a holder is set. It is taken before all other locks.
	mu     sync.RWMutex
	holder *attempt
}

// accept queues a new attempt, or returns the existing one with the same id.
func (endpoint *Endpoint) accept(request *wire.Attempt) (*attempt, error) {
	if run, ok := endpoint.table.find(request.GetRequestId(), request.GetAttempt(), endpoint.clock); ok && request.GetIncarnation() == endpoint.incarnation {
		return run, nil
	}
	if request.GetAlone() {
		return endpoint.acceptAlone(request)
	}
	endpoint.quarantine.mu.RLock()
	defer endpoint.quarantine.mu.RUnlock()
	if err := endpoint.checkAcceptable(request); err != nil {
		return nil, err
	}
	if endpoint.quarantine.holder != nil {
		return nil, errQuarantine
	}
	run, added := endpoint.table.admit(newAttempt(request, endpoint.clock).withTracer(endpoint.tracer).withMemory(endpoint.memory))
	if added {
		endpoint.lanes[request.GetEngine()].submit(run)
	}
	return run, nil
}

// acceptAlone accepts an attempt that must run with no other on the endpoint.
func (endpoint *Endpoint) acceptAlone(request *wire.Attempt) (*attempt, error) {
	endpoint.quarantine.mu.Lock()
	defer endpoint.quarantine.mu.Unlock()
	if err := endpoint.checkAcceptable(request); err != nil {
		return nil, err
	}
	if endpoint.quarantine.holder != nil {
		return nil, errQuarantine
	}
	run, added := endpoint.table.admit(newAttempt(request, endpoint.clock).withTracer(endpoint.tracer).withMemory(endpoint.memory))
	if added {
		endpoint.quarantine.holder = run
		endpoint.runs.Go(func() { endpoint.isolate(run) })
	}
	return run, nil
}

// isolate starts the holder of the quarantine once the endpoint is idle, and
// ends the quarantine when the holder has ended.
func (endpoint *Endpoint) isolate(run *attempt) {
	submitted := false
	for !run.ended() {
		if !submitted && endpoint.idle() {
			submitted = true
			endpoint.lanes[run.request.GetEngine()].submit(run)
		}
		// The end of the holder closes the channel; the end of attempts on other
		// lanes is found by polling.
		_, _ = waitChange(endpoint.background, run.nextChange(), quarantinePollInterval)
		if endpoint.background.Err() != nil {
			return
		}
	}
	endpoint.quarantine.mu.Lock()
	defer endpoint.quarantine.mu.Unlock()
	endpoint.quarantine.holder = nil
}

// idle reports whether no attempt is queued or running on any engine.
func (endpoint *Endpoint) idle() bool {
	for _, lane := range endpoint.lanes {
		if !lane.idle() {
			return false
		}
	}
	return true
}
