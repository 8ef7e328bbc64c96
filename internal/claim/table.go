// Package claim records non-idempotent requests by idempotency key, so that each
// runs at most once. The table does no I/O and is deterministic: every control VM
// applies the same operations in the order of the replicated log.
package claim

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// Retention is how long a key is kept after its claim last changed.
	Retention = 24 * clock.Hour
	// MaxBody is the maximum size of a recorded answer body, in bytes.
	MaxBody = 64 << 10
)

type claimKey struct {
	customer string
	key      string
}

// change is an entry of the expiry queue: a key and the time of its change.
type change struct {
	key claimKey
	at  int64
}

// Table holds claims by customer and idempotency key. A wire.ClaimOp is both an
// operation and the stored record of a claim: the operation that was granted, with
// the answer or the release added later. It is not safe for concurrent use.
type Table struct {
	claims map[claimKey]*wire.ClaimOp
	// changes lists keys in the order in which their claims changed. An entry
	// whose time differs from the claim's is outdated by a later change.
	changes []change
	// now is the latest time of any operation. It never decreases, so that an
	// operation from a leader with a slow clock cannot revive an expired key.
	now int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{claims: map[claimKey]*wire.ClaimOp{}}
}

// Apply executes an operation and returns its result.
func (table *Table) Apply(op *wire.ClaimOp) *wire.ClaimReply {
	if op.GetLookup() {
		return table.Lookup(op)
	}
	table.advance(op.GetAt())
	current, ok := table.claims[keyOf(op)]
	switch {
	case op.GetAnswer() != nil:
		return table.complete(current, op)
	case op.GetRelease():
		return table.release(current, op)
	case !ok:
		return table.grant(op)
	case current.GetRelease():
		return table.reclaim(current, op)
	case !bytes.Equal(current.GetBodyHash(), op.GetBodyHash()):
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_OTHER_BODY}
	case current.GetAnswer() == nil && (sameAttempt(current, op) || replaces(current, op)):
		return table.grant(op)
	}
	return reply(current)
}

// Lookup returns the current state of a claim without changing the table.
func (table *Table) Lookup(op *wire.ClaimOp) *wire.ClaimReply {
	current, ok := table.claims[keyOf(op)]
	switch {
	case !ok:
		return &wire.ClaimReply{}
	case current.GetRelease():
		return reply(current)
	case !bytes.Equal(current.GetBodyHash(), op.GetBodyHash()):
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_OTHER_BODY}
	}
	return reply(current)
}

// Peek returns the result of an operation that would not change the table, so
// that a leader can answer it without appending to the log, and reports whether
// there is one. If not, the operation must be applied.
func (table *Table) Peek(op *wire.ClaimOp) (*wire.ClaimReply, bool) {
	current, ok := table.claims[keyOf(op)]
	switch {
	case op.GetLookup():
		return table.Lookup(op), true
	case !ok || current.GetRelease():
		return nil, false
	case current.GetAnswer() != nil:
		return table.Lookup(op), true
	case op.GetAnswer() != nil || op.GetRelease() || replaces(current, op):
		return nil, false
	}
	return table.Lookup(op), !sameAttempt(current, op)
}

// grant makes the operation's attempt the holder. A repeated operation is granted
// again only for the same endpoint and incarnation, so that one attempt never
// runs on two endpoints.
func (table *Table) grant(op *wire.ClaimOp) *wire.ClaimReply {
	current, ok := table.claims[keyOf(op)]
	if ok && sameAttempt(current, op) && !current.GetRelease() {
		if current.GetIncarnation() != op.GetIncarnation() || current.GetEndpoint() != op.GetEndpoint() {
			return reply(current)
		}
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_GRANTED}
	}
	table.put(proto.CloneOf(op))
	return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_GRANTED}
}

// reclaim grants a released key, except to a delayed copy of the operation whose
// attempt released it.
func (table *Table) reclaim(current, op *wire.ClaimOp) *wire.ClaimReply {
	if sameAttempt(current, op) {
		return reply(current)
	}
	return table.grant(op)
}

// complete records the holder's outcome. The first recorded outcome is final.
func (table *Table) complete(current, op *wire.ClaimOp) *wire.ClaimReply {
	if current == nil {
		return &wire.ClaimReply{}
	}
	if current.GetAnswer() != nil || current.GetRelease() || !sameAttempt(current, op) {
		return reply(current)
	}
	completed := proto.CloneOf(current)
	completed.Answer = StoredAnswer(op.GetAnswer())
	table.put(completed)
	return reply(completed)
}

// release releases the holder's claim. The key is kept, so that a delayed copy of
// the claim is not granted.
func (table *Table) release(current, op *wire.ClaimOp) *wire.ClaimReply {
	if current == nil {
		return &wire.ClaimReply{}
	}
	if current.GetAnswer() != nil || current.GetRelease() || !sameAttempt(current, op) {
		return reply(current)
	}
	released := proto.CloneOf(current)
	released.Release = true
	table.put(released)
	return reply(released)
}

// StoredAnswer returns the form in which an answer is stored. A body larger than
// MaxBody is omitted.
func StoredAnswer(answer *wire.ClaimAnswer) *wire.ClaimAnswer {
	kept := proto.CloneOf(answer)
	if len(kept.GetBody()) > MaxBody {
		kept.Body, kept.BodyOmitted = nil, true
	}
	return kept
}

// put stores a claim and adds its change to the expiry queue.
func (table *Table) put(current *wire.ClaimOp) {
	current.At = table.now
	key := keyOf(current)
	table.claims[key] = current
	table.changes = append(table.changes, change{key: key, at: current.GetAt()})
}

// advance moves the table's time forward and deletes the expired keys.
func (table *Table) advance(at int64) {
	table.now = max(table.now, at)
	expired := 0
	for expired < len(table.changes) && table.changes[expired].at+int64(Retention) <= table.now {
		oldest := table.changes[expired]
		if current, ok := table.claims[oldest.key]; ok && current.GetAt() == oldest.at {
			delete(table.claims, oldest.key)
		}
		expired++
	}
	table.changes = table.changes[expired:]
}

// Len returns the number of keys in the table.
func (table *Table) Len() int { return len(table.claims) }

func keyOf(op *wire.ClaimOp) claimKey {
	return claimKey{customer: op.GetCustomer(), key: op.GetKey()}
}

// sameAttempt reports whether an operation comes from the attempt that holds the
// claim.
func sameAttempt(current, op *wire.ClaimOp) bool {
	return current.GetRequestId() == op.GetRequestId() && current.GetAttempt() == op.GetAttempt()
}

// replaces reports whether an operation takes over the claim from its holder for
// a later attempt.
func replaces(current, op *wire.ClaimOp) bool {
	return op.GetReplacesRequestId() == current.GetRequestId() && op.GetReplacesAttempt() == current.GetAttempt() &&
		op.GetAttempt() > current.GetAttempt()
}

// reply describes a stored claim, with its answer separate from its holder.
func reply(current *wire.ClaimOp) *wire.ClaimReply {
	reply := &wire.ClaimReply{State: State(current), Answer: current.GetAnswer()}
	holder := proto.CloneOf(current)
	holder.Answer = nil
	reply.Holder = holder
	return reply
}

// State returns the state of a recorded claim.
func State(current *wire.ClaimOp) wire.ClaimState {
	switch {
	case current.GetRelease():
		return wire.ClaimState_CLAIM_STATE_RELEASED
	case current.GetAnswer() == nil:
		return wire.ClaimState_CLAIM_STATE_RUNNING
	case current.GetAnswer().GetOutcome() == wire.Outcome_OUTCOME_UNKNOWN:
		return wire.ClaimState_CLAIM_STATE_UNKNOWN
	}
	return wire.ClaimState_CLAIM_STATE_DONE
}

// Snapshot returns the contents of the table: an operation without a key that
// carries the table's time, then all claims from the oldest change to the latest.
func (table *Table) Snapshot() []*wire.ClaimOp {
	list := make([]*wire.ClaimOp, 1, len(table.claims)+1)
	list[0] = &wire.ClaimOp{At: table.now}
	included := make(map[claimKey]bool, len(table.claims))
	for _, changed := range table.changes {
		current, ok := table.claims[changed.key]
		if !ok || current.GetAt() != changed.at || included[changed.key] {
			continue
		}
		included[changed.key] = true
		list = append(list, current)
	}
	return list
}

// Restore returns a table with the contents of a snapshot.
func Restore(claims []*wire.ClaimOp) *Table {
	table := NewTable()
	for _, current := range claims {
		table.now = max(table.now, current.GetAt())
		if current.GetRequestId() == "" {
			continue
		}
		key := keyOf(current)
		table.claims[key] = current
		table.changes = append(table.changes, change{key: key, at: current.GetAt()})
	}
	return table
}
