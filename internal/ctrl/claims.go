package ctrl

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Apply makes one step of a claim durable and returns its result.
func (control *Control) Apply(_ context.Context, op *wire.ClaimOp) (*wire.ClaimReply, error) {
	control.mu.Lock()
	defer control.mu.Unlock()
	if reply, ok := control.claims.Peek(op); ok {
		return reply, nil
	}
	op = proto.CloneOf(op)
	op.At = int64(control.clock.Now())
	entry := &wire.Entry{Index: control.index + 1, Body: &wire.Entry_Claim{Claim: op}}
	if err := control.journal.Append(entry); err != nil {
		control.log.Write(event.ProposalFailed, "error", err)
		return &wire.ClaimReply{Unavailable: true}, nil
	}
	control.index = entry.GetIndex()
	return control.claims.Apply(op), nil
}
