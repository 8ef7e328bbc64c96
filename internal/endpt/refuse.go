package endpt

import (
	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/engine"
	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

var errPreempted = errors.New("free request was cancelled to free its slot for paid work")

// refuse ends an attempt that the queue refused. The attempt stays fenced, so
// that a delayed copy of its message cannot start it.
func (run *attempt) refuse(decision queue.Refuse, load *wire.EngineLoad) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.state != wire.AttemptState_ATTEMPT_STATE_QUEUED {
		return
	}
	run.state = wire.AttemptState_ATTEMPT_STATE_FENCED
	err := errors.Newf("%s; a free slot is expected in %s", decision.Reason, decision.RetryAfter)
	run.endLocked(engine.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: err}, load)
}
