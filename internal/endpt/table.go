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
	// answerRetention is how long an attempt without an attached stream is kept, so
	// that an entry VM can reattach.
	answerRetention = 30 * clock.Second
	// undeliveredRetention is how long the answer of non-idempotent work is kept
	// while no entry VM has received it, because only a resend can still deliver it
	// to the caller.
	undeliveredRetention = 10 * clock.Minute
)

var (
	errFenced = errors.New("attempt was fenced before it started")
	errSwept  = errors.New("attempt ran earlier and its answer is no longer stored")
)

// table holds the attempts that this incarnation has accepted or fenced. For
// swept attempts that must never start again it keeps a hash of the id until the
// process ends, about 20 bytes each. If two ids have the same 64-bit hash, the
// second one is not run; no attempt is ever run twice.
type table struct {
	// mu guards the fields below. Lock order: table before lane before attempt.
	mu       sync.Mutex
	attempts map[string]*attempt
	// ran and fenced hold the id hashes of swept attempts that ran or were fenced.
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

// findLocked returns the attempt with an id. For a swept attempt it sets the
// recorded state on the placeholder and returns that.
func (table *table) findLocked(id string, placeholder *attempt) (*attempt, bool) {
	if run, ok := table.attempts[id]; ok {
		return run, true
	}
	hash := xxhash.Sum64String(id)
	if _, ok := table.ran[hash]; ok {
		placeholder.finish(engine.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errSwept}, nil)
		return placeholder, true
	}
	if _, ok := table.fenced[hash]; ok {
		placeholder.fence()
		return placeholder, true
	}
	return nil, false
}

// fence stores an unknown attempt as fenced and returns it; a known attempt is
// returned unchanged.
func (table *table) fence(requestID string, number uint32, ticker *clock.Clock) *attempt {
	run := newAttempt(&wire.Attempt{RequestId: requestID, Attempt: number}, ticker)
	run.fence()
	stored, _ := table.admit(run)
	return stored
}

// sweep removes ended attempts whose retention has expired and returns the
// unfinished ones that no stream has been attached to for as long.
func (table *table) sweep(now clock.Millis) []*attempt {
	table.mu.Lock()
	defer table.mu.Unlock()
	var abandoned []*attempt
	for id, run := range table.attempts {
		state, due := run.expired(now)
		if !due {
			continue
		}
		switch state {
		case wire.AttemptState_ATTEMPT_STATE_FINISHED:
			if !run.request.GetIdempotent() {
				table.ran[xxhash.Sum64String(id)] = struct{}{}
			}
			delete(table.attempts, id)
			run.release()
		case wire.AttemptState_ATTEMPT_STATE_FENCED:
			table.fenced[xxhash.Sum64String(id)] = struct{}{}
			delete(table.attempts, id)
		default:
			abandoned = append(abandoned, run)
		}
	}
	return abandoned
}

// trim drops the answers that were sent to readers of idempotent work.
func (table *table) trim() {
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, run := range table.attempts {
		run.trim()
	}
}

// detached reports whether no stream is attached to any attempt.
func (table *table) detached() bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, run := range table.attempts {
		if run.hasStream() {
			return false
		}
	}
	return true
}
