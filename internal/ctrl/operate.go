package ctrl

import (
	"context"

	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// codeUnavailable is answered when a change can not be made durable now.
const codeUnavailable = "unavailable"

// Execute runs an operator's command.
func (control *Control) Execute(_ context.Context, command *wire.Command) (*wire.CommandReply, error) {
	if command.GetChange() != nil {
		return control.asked(command), nil
	}
	parsed, err := query.Parse(command.GetText())
	if err != nil {
		return query.Failure(err), nil
	}
	change, err := control.change(command, parsed)
	if err != nil {
		return refusal(err), nil
	}
	return control.accept(change), nil
}

// accept makes a change durable and tells what became of it.
func (control *Control) accept(change *wire.Change) *wire.CommandReply {
	result, err := control.propose(change)
	if err != nil {
		return unavailable(err)
	}
	return &wire.CommandReply{Revision: result.GetRevision(), Code: result.GetCode(), Error: result.GetError()}
}

func (control *Control) change(command *wire.Command, parsed *query.Command) (*wire.Change, error) {
	change, err := state.FromCommand(control.view.State(), parsed)
	if err != nil {
		return nil, err
	}
	change.CommandId, change.Text, change.At = command.GetId(), command.GetText(), int64(control.clock.Now())
	if parsed.IfRevision != nil {
		change.IfRevision = *parsed.IfRevision
	}
	return change, nil
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

// Local answers queries about this process alone.
func (control *Control) Local(context.Context, *wire.NodeQuery) (*wire.Table, error) {
	return &wire.Table{}, nil
}
