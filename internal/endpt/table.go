package endpt

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/engine"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// keepAnswers is how long a finished or abandoned attempt can be attached to again.
const keepAnswers = 30 * clock.Second

var errFenced = errors.New("attempt was fenced before it started")

// table holds every attempt id that this incarnation has seen or fenced.
type table struct {
	// mu guards attempts. Lock order: table before lane before attempt.
	mu       sync.Mutex
	attempts map[string]*attempt
}

func newTable() *table {
	return &table{attempts: map[string]*attempt{}}
}

// admit adds an attempt, or returns the one with the same id and false.
func (table *table) admit(run *attempt) (*attempt, bool) {
	id := engine.ID(run.request.GetRequestId(), run.request.GetAttempt())
	table.mu.Lock()
	defer table.mu.Unlock()
	if old, ok := table.attempts[id]; ok {
		return old, false
	}
	table.attempts[id] = run
	return run, true
}

func (table *table) find(requestID string, number uint32) (*attempt, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	run, ok := table.attempts[engine.ID(requestID, number)]
	return run, ok
}

// fence refuses an attempt that was never seen.
func (table *table) fence(requestID string, number uint32, ticker *clock.Clock) *attempt {
	run := newAttempt(&wire.Attempt{RequestId: requestID, Attempt: number}, ticker)
	run.fence()
	stored, _ := table.admit(run)
	return stored
}

// sweep removes finished attempts nobody is attached to and returns the
// unfinished ones that were abandoned.
func (table *table) sweep(now clock.Millis) []*attempt {
	table.mu.Lock()
	defer table.mu.Unlock()
	var abandoned []*attempt
	for id, run := range table.attempts {
		if !run.abandoned(now - keepAnswers) {
			continue
		}
		switch state, _ := run.known(); state {
		case wire.AttemptState_ATTEMPT_STATE_FINISHED:
			delete(table.attempts, id)
		case wire.AttemptState_ATTEMPT_STATE_QUEUED, wire.AttemptState_ATTEMPT_STATE_RUNNING:
			abandoned = append(abandoned, run)
		default:
			// A fence stays for the life of the incarnation.
		}
	}
	return abandoned
}

// detached tells whether no stream is attached to any attempt.
func (table *table) detached() bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, run := range table.attempts {
		if run.busy() {
			return false
		}
	}
	return true
}
