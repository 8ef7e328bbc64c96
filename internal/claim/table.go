// Package claim records non-idempotent work, so that it runs at most once. The
// table is pure and deterministic: every control VM applies the same steps in
// the order of the replicated log.
package claim

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// Remembered is how long a key is known after its claim last changed.
	Remembered = 24 * clock.Hour
	// MaxBody is the largest answer body that is recorded, in bytes.
	MaxBody = 64 << 10
)

type key struct {
	customer string
	key      string
}

// change is one entry of the queue of keys by the time of their last change.
type change struct {
	key key
	at  int64
}

// Table holds claims by customer and idempotency key. It is not safe for
// concurrent use.
type Table struct {
	claims map[key]*wire.ClaimOp
	// changes lists keys in the order in which their claims changed. An entry
	// whose time differs from the claim's was overtaken by a later change.
	changes []change
	// now is the largest time that any step carried. It never goes back, so
	// that a step of a leader with a slow clock revives no forgotten key.
	now int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{claims: map[key]*wire.ClaimOp{}}
}

// Apply takes one step and returns its result.
func (table *Table) Apply(op *wire.ClaimOp) *wire.ClaimReply {
	if op.GetLookup() {
		return table.Lookup(op)
	}
	table.advance(op.GetAt())
	held, ok := table.claims[keyOf(op)]
	switch {
	case op.GetAnswer() != nil:
		return table.settle(held, op)
	case op.GetRelease():
		return table.release(held, op)
	case !ok:
		return table.grant(op)
	case held.GetRelease():
		return table.reclaim(held, op)
	case !bytes.Equal(held.GetBodyHash(), op.GetBodyHash()):
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_OTHER_BODY}
	case held.GetAnswer() == nil && (same(held, op) || replaces(held, op)):
		return table.grant(op)
	}
	return reply(held)
}

// Lookup returns what a claim would find, without changing the table.
func (table *Table) Lookup(op *wire.ClaimOp) *wire.ClaimReply {
	held, ok := table.claims[keyOf(op)]
	switch {
	case !ok:
		return &wire.ClaimReply{}
	case held.GetRelease():
		return reply(held)
	case !bytes.Equal(held.GetBodyHash(), op.GetBodyHash()):
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_OTHER_BODY}
	}
	return reply(held)
}

// Peek returns the result of a step that would change nothing, so that a
// leader can answer it without a record in the log.
func (table *Table) Peek(op *wire.ClaimOp) (*wire.ClaimReply, bool) {
	held, ok := table.claims[keyOf(op)]
	switch {
	case op.GetLookup():
		return table.Lookup(op), true
	case !ok || held.GetRelease():
		return nil, false
	case held.GetAnswer() != nil:
		return table.Lookup(op), true
	case op.GetAnswer() != nil || op.GetRelease() || replaces(held, op):
		return nil, false
	}
	return table.Lookup(op), !same(held, op)
}

// grant makes the step's attempt the holder. A repeated step is granted again
// with the holder's first endpoint, so that one attempt never runs at two.
func (table *Table) grant(op *wire.ClaimOp) *wire.ClaimReply {
	held, ok := table.claims[keyOf(op)]
	if ok && same(held, op) && !held.GetRelease() {
		if held.GetIncarnation() != op.GetIncarnation() || held.GetEndpoint() != op.GetEndpoint() {
			return reply(held)
		}
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_GRANTED}
	}
	table.put(proto.CloneOf(op))
	return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_GRANTED}
}

// reclaim grants a released key, but not to a late copy of the step whose
// attempt gave it up.
func (table *Table) reclaim(held, op *wire.ClaimOp) *wire.ClaimReply {
	if same(held, op) {
		return reply(held)
	}
	return table.grant(op)
}

// settle records the holder's outcome. The first outcome stays for ever.
func (table *Table) settle(held, op *wire.ClaimOp) *wire.ClaimReply {
	if held == nil {
		return &wire.ClaimReply{}
	}
	if held.GetAnswer() != nil || held.GetRelease() || !same(held, op) {
		return reply(held)
	}
	settled := proto.CloneOf(held)
	settled.Answer = Recorded(op.GetAnswer())
	table.put(settled)
	return reply(settled)
}

// release gives up the holder's claim. The key is kept without its work, so
// that a late copy of the claim is not granted.
func (table *Table) release(held, op *wire.ClaimOp) *wire.ClaimReply {
	if held == nil {
		return &wire.ClaimReply{}
	}
	if held.GetAnswer() != nil || held.GetRelease() || !same(held, op) {
		return reply(held)
	}
	released := proto.CloneOf(held)
	released.Release = true
	table.put(released)
	return reply(released)
}

// Recorded returns the form in which an answer is kept: a body above MaxBody is left out.
func Recorded(answer *wire.ClaimAnswer) *wire.ClaimAnswer {
	kept := proto.CloneOf(answer)
	if len(kept.GetBody()) > MaxBody {
		kept.Body, kept.BodyOmitted = nil, true
	}
	return kept
}

func (table *Table) put(held *wire.ClaimOp) {
	held.At = table.now
	at := keyOf(held)
	table.claims[at] = held
	table.changes = append(table.changes, change{key: at, at: held.GetAt()})
}

// advance moves the table's time and forgets the keys whose time has passed.
func (table *Table) advance(at int64) {
	table.now = max(table.now, at)
	passed := 0
	for passed < len(table.changes) && table.changes[passed].at+int64(Remembered) <= table.now {
		oldest := table.changes[passed]
		if held, ok := table.claims[oldest.key]; ok && held.GetAt() == oldest.at {
			delete(table.claims, oldest.key)
		}
		passed++
	}
	table.changes = table.changes[passed:]
}

// Len returns the number of keys known.
func (table *Table) Len() int { return len(table.claims) }

func keyOf(op *wire.ClaimOp) key {
	return key{customer: op.GetCustomer(), key: op.GetKey()}
}

func same(held, op *wire.ClaimOp) bool {
	return held.GetRequestId() == op.GetRequestId() && held.GetAttempt() == op.GetAttempt()
}

// replaces tells whether a step takes over from the holder with a later attempt.
func replaces(held, op *wire.ClaimOp) bool {
	return op.GetReplacesRequestId() == held.GetRequestId() && op.GetReplacesAttempt() == held.GetAttempt() &&
		op.GetAttempt() > held.GetAttempt()
}

func reply(held *wire.ClaimOp) *wire.ClaimReply {
	answer := &wire.ClaimReply{State: State(held), Answer: held.GetAnswer()}
	holder := proto.CloneOf(held)
	holder.Answer = nil
	answer.Holder = holder
	return answer
}

// State returns where a recorded claim stands.
func State(held *wire.ClaimOp) wire.ClaimState {
	switch {
	case held.GetRelease():
		return wire.ClaimState_CLAIM_STATE_RELEASED
	case held.GetAnswer() == nil:
		return wire.ClaimState_CLAIM_STATE_RUNNING
	case held.GetAnswer().GetOutcome() == wire.Outcome_OUTCOME_UNKNOWN:
		return wire.ClaimState_CLAIM_STATE_UNKNOWN
	}
	return wire.ClaimState_CLAIM_STATE_DONE
}

// Snapshot returns the table's time, as a step without a key, and then all
// claims from the oldest change to the latest.
func (table *Table) Snapshot() []*wire.ClaimOp {
	list := make([]*wire.ClaimOp, 1, len(table.claims)+1)
	list[0] = &wire.ClaimOp{At: table.now}
	seen := make(map[key]bool, len(table.claims))
	for _, changed := range table.changes {
		held, ok := table.claims[changed.key]
		if !ok || held.GetAt() != changed.at || seen[changed.key] {
			continue
		}
		seen[changed.key] = true
		list = append(list, held)
	}
	return list
}

// Restore returns a table with the contents of a snapshot.
func Restore(claims []*wire.ClaimOp) *Table {
	table := NewTable()
	for _, held := range claims {
		table.now = max(table.now, held.GetAt())
		if held.GetRequestId() == "" {
			continue
		}
		at := keyOf(held)
		table.claims[at] = held
		table.changes = append(table.changes, change{key: at, at: held.GetAt()})
	}
	return table
}
