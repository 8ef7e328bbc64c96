// Package claim records non-idempotent work, so that it runs at most once. The
// table is pure and deterministic: every control VM applies the same steps in
// the order of the replicated log.
package claim

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

type key struct {
	customer string
	key      string
}

// Table holds claims by customer and idempotency key. It is not safe for
// concurrent use.
type Table struct {
	claims map[key]*wire.ClaimOp
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{claims: map[key]*wire.ClaimOp{}}
}

// Apply takes one step and returns its result.
func (table *Table) Apply(op *wire.ClaimOp) *wire.ClaimReply {
	at := key{customer: op.GetCustomer(), key: op.GetKey()}
	held, ok := table.claims[at]
	switch {
	case !ok:
		table.claims[at] = proto.CloneOf(op)
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_GRANTED}
	case !bytes.Equal(held.GetBodyHash(), op.GetBodyHash()):
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_OTHER_BODY}
	case held.GetAnswer() != nil:
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_DONE, Answer: held.GetAnswer()}
	case op.GetAnswer() != nil && same(held, op):
		held.Answer = op.GetAnswer()
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_DONE, Answer: held.GetAnswer()}
	}
	return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_RUNNING, Holder: held}
}

func same(held, op *wire.ClaimOp) bool {
	return held.GetRequestId() == op.GetRequestId() && held.GetAttempt() == op.GetAttempt()
}

// Snapshot returns all claims.
func (table *Table) Snapshot() []*wire.ClaimOp {
	list := make([]*wire.ClaimOp, 0, len(table.claims))
	for _, held := range table.claims {
		list = append(list, held)
	}
	return list
}

// Restore returns a table with the claims of a snapshot.
func Restore(claims []*wire.ClaimOp) *Table {
	table := NewTable()
	for _, held := range claims {
		table.claims[key{customer: held.GetCustomer(), key: held.GetKey()}] = held
	}
	return table
}
