package ctrl

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// peek returns the result of a claim operation from the locally applied state
// where a stale answer does no harm: a recorded outcome never changes, and a
// lookup of running work is repeated until it ends. Only the leader can tell
// that no claim exists.
func (control *Control) peek(op *wire.ClaimOp) (*wire.ClaimReply, bool) {
	control.mu.Lock()
	defer control.mu.Unlock()
	reply, ok := control.claims.Peek(op)
	if !ok {
		return nil, false
	}
	switch reply.GetState() {
	case wire.ClaimState_CLAIM_STATE_DONE, wire.ClaimState_CLAIM_STATE_UNKNOWN:
		return reply, true
	case wire.ClaimState_CLAIM_STATE_RUNNING:
		return reply, op.GetLookup()
	default:
		return nil, false
	}
}
