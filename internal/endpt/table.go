package endpt

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/engine"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// keepAnswers is how long a finished or abandoned attempt can be attached to again.
	keepAnswers = 30 * clock.Second
	// keepUndelivered is how long the answer of non-idempotent work is kept
	// when no entry VM has taken it yet: a resend is its only way to the caller.
	keepUndelivered = 10 * clock.Minute
)

var (
	errFenced = errors.New("attempt was fenced before it started")
	errSwept  = errors.New("attempt has run earlier and its answer is no longer kept")
)

// table holds the attempts that this incarnation has seen or fenced. Of those
// that must never start again it remembers the hash of the id for as long as
// the process lives, about 20 bytes each. Two ids with the same 64-bit hash
// would cost the second one its run, never run one twice.
type table struct {
	// mu guards the fields below. Lock order: table before lane before attempt.
	mu       sync.Mutex
	attempts map[string]*attempt
	// ran and fenced hold hashes of ids whose attempts were swept.
	ran    map[uint64]struct{}
	fenced map[uint64]struct{}
}

func newTable() *table {
	return &table{attempts: map[string]*attempt{}, ran: map[uint64]struct{}{}, fenced: map[uint64]struct{}{}}
}

// admit adds an attempt, or returns the one with the same id and false.
func (table *table) admit(run *attempt) (*attempt, bool) {
	id := engine.ID(run.request.GetRequestId(), run.request.GetAttempt())
	table.mu.Lock()
	defer table.mu.Unlock()
	if old, ok := table.findLocked(id, run); ok {
		return old, false
	}
	table.attempts[id] = run
	return run, true
}

func (table *table) find(requestID string, number uint32, ticker *clock.Clock) (*attempt, bool) {
	run := newAttempt(&wire.Attempt{RequestId: requestID, Attempt: number}, ticker)
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.findLocked(engine.ID(requestID, number), run)
}

// findLocked returns an attempt. One that was swept is made again from what
// is remembered of it, in the value given.
func (table *table) findLocked(id string, blank *attempt) (*attempt, bool) {
	if run, ok := table.attempts[id]; ok {
		return run, true
	}
	hash := xxhash.Sum64String(id)
	if _, ok := table.ran[hash]; ok {
		blank.finish(engine.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errSwept}, nil)
		return blank, true
	}
	if _, ok := table.fenced[hash]; ok {
		blank.fence()
		return blank, true
	}
	return nil, false
}

// fence refuses an attempt that was never seen, and returns the one that was.
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
		state, due := run.due(now)
		if !due {
			continue
		}
		switch state {
		case wire.AttemptState_ATTEMPT_STATE_FINISHED:
			if !run.request.GetIdempotent() {
				table.ran[xxhash.Sum64String(id)] = struct{}{}
			}
			delete(table.attempts, id)
		case wire.AttemptState_ATTEMPT_STATE_FENCED:
			table.fenced[xxhash.Sum64String(id)] = struct{}{}
			delete(table.attempts, id)
		default:
			abandoned = append(abandoned, run)
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
