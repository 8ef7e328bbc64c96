package ctrl

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// peek answers a step of a claim from what this control VM has applied, where
// that cannot mislead: an outcome never changes once it is recorded, and a
// look-up of running work is repeated until it ends. That no claim exists is
// for the leader to say.
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
