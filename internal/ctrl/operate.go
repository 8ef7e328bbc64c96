package ctrl

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// codeUnavailable is the reply code for a change that cannot be made durable now.
const codeUnavailable = "unavailable"

// Execute runs an operator's command. For a change it returns once a majority
// has synced it to disk.
func (control *Control) Execute(ctx context.Context, command *wire.Command) (*wire.CommandReply, error) {
	parsed := &query.Command{}
	if command.GetChange() == nil {
		read, err := query.Parse(command.GetText())
		if err != nil {
			return query.Failure(err), nil
		}
		parsed = read
	}
	if parsed.Show != nil {
		return control.show(ctx, parsed.Show), nil
	}
	if parsed.Explain != nil || parsed.Cancel != nil {
		return query.Invalid(errors.New("a control VM does not carry requests; send the command to an entry VM")), nil
	}
	if reply := control.recordedReply(command.GetId()); reply != nil {
		return reply, nil
	}
	reply := unavailable(errNoLeader)
	control.onLeader(ctx, func(ctx context.Context) bool {
		answered := control.change(ctx, command, parsed)
		if answered != nil {
			reply = answered
		}
		return answered == nil
	}, func(ctx context.Context, address string) bool {
		// A leader that does not answer in time may be down; the command id makes a retry safe.
		ctx, cancel := context.WithTimeout(ctx, (forwardTimeouts * control.settings.Control.ElectionTimeout).Duration())
		defer cancel()
		answered, err := wire.NewDRPCOperateClient(control.pool.Conn(ctx, address)).Execute(ctx, command)
		if err != nil {
			return true
		}
		reply = answered
		return reply.GetCode() == codeUnavailable
	})
	return reply, nil
}

// recordedReply returns the reply recorded for a command id, or nil.
func (control *Control) recordedReply(id string) *wire.CommandReply {
	control.mu.Lock()
	defer control.mu.Unlock()
	result, ok := control.machine.Result(id)
	if !ok {
		return nil
	}
	return replyFor(result)
}

func replyFor(result *wire.CommandResult) *wire.CommandReply {
	return &wire.CommandReply{Revision: result.GetRevision(), Code: result.GetCode(), Error: result.GetError()}
}

// change proposes a command on the leader. It returns nil if this control VM is
// not the leader, so that the caller tries again.
func (control *Control) change(ctx context.Context, command *wire.Command, parsed *query.Command) *wire.CommandReply {
	if parsed.Add != nil || parsed.Remove != nil {
		return control.changeMember(ctx, command.GetId(), parsed)
	}
	control.changeMu.Lock()
	defer control.changeMu.Unlock()
	if reply := control.barrier(ctx); reply != nil || control.barrierTerm == 0 {
		return reply
	}
	if reply := control.recordedReply(command.GetId()); reply != nil {
		return reply
	}
	change, err := control.parse(command, parsed)
	if err != nil {
		return refusal(err)
	}
	result := control.propose(ctx, input{entry: &wire.Entry{Body: &wire.Entry_Change{Change: change}}, term: control.barrierTerm})
	if result.err != nil {
		control.barrierTerm = 0
		return failure(result)
	}
	return replyFor(result.result)
}

// barrier commits an empty entry and waits until it is applied, so that the next
// command sees the effect of all earlier changes: an alter starts from the
// current record. Within a term only this leader proposes changes, so one empty
// entry per term is enough, unless the outcome of a change is unknown. It returns
// nil on success and also when this VM is not the leader; barrierTerm is then 0.
func (control *Control) barrier(ctx context.Context) *wire.CommandReply {
	term := control.status.Load().Term
	if control.barrierTerm == term {
		return nil
	}
	control.barrierTerm = 0
	result := control.propose(ctx, input{entry: &wire.Entry{Body: &wire.Entry_Empty{Empty: true}}, term: term})
	if result.err != nil {
		return failure(result)
	}
	control.barrierTerm = term
	return nil
}

func (control *Control) parse(command *wire.Command, parsed *query.Command) (*wire.Change, error) {
	if command.GetChange() != nil {
		return control.submittedChange(command)
	}
	change, err := state.FromCommand(control.view.State(), parsed)
	if err != nil {
		return nil, err
	}
	if order := change.GetEvacuation(); order != nil {
		if err := control.checkZone(order.GetZone()); err != nil {
			return nil, err
		}
	}
	change.CommandId, change.Text, change.At = command.GetId(), query.Redact(command.GetText()), int64(control.clock.Now())
	if parsed.IfRevision != nil {
		change.IfRevision, change.Conditional = *parsed.IfRevision, true
	}
	return change, nil
}

// failure returns the reply to a failed proposal, or nil if this control VM is
// not the leader.
func failure(result outcome) *wire.CommandReply {
	if errors.Is(result.err, quorum.ErrNotLeader) {
		return nil
	}
	return unavailable(result.err)
}

func unavailable(err error) *wire.CommandReply {
	return &wire.CommandReply{Code: codeUnavailable, Error: err.Error()}
}

func refusal(err error) *wire.CommandReply {
	reply := &wire.CommandReply{Code: state.CodeInvalid, Error: err.Error()}
	if refused, ok := state.AsRefused(err); ok {
		reply.Code = refused.Code
	}
	return reply
}

// Apply commits a claim operation to the log and returns its result.
func (control *Control) Apply(ctx context.Context, op *wire.ClaimOp) (*wire.ClaimReply, error) {
	if reply, ok := control.peek(op); ok {
		return reply, nil
	}
	reply := &wire.ClaimReply{Unavailable: true}
	control.onLeader(ctx, func(ctx context.Context) bool {
		op.At = int64(control.clock.Now())
		result := control.propose(ctx, input{entry: &wire.Entry{Body: &wire.Entry_Claim{Claim: op}}})
		if errors.Is(result.err, quorum.ErrNotLeader) {
			return true
		}
		if result.err == nil {
			reply = result.claim
		}
		return false
	}, func(ctx context.Context, address string) bool {
		answered, err := wire.NewDRPCClaimsClient(control.pool.Conn(ctx, address)).Apply(ctx, op)
		if err != nil {
			// The leader may have applied the operation; only the caller can decide to retry.
			answered = &wire.ClaimReply{Unavailable: true}
		}
		reply = answered
		reply.Leader = address
		return false
	})
	return reply, nil
}
