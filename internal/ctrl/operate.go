package ctrl

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// codeUnavailable is answered when a change can not be made durable now.
const codeUnavailable = "unavailable"

// Execute runs an operator's command.
func (control *Control) Execute(ctx context.Context, command *wire.Command) (*wire.CommandReply, error) {
	parsed, err := query.Parse(command.GetText())
	if err != nil {
		return query.Failure(err), nil
	}
	if parsed.Show != nil {
		return control.show(ctx, parsed.Show), nil
	}
	if parsed.Explain != nil || parsed.Cancel != nil {
		return query.Invalid(errors.New("a control VM does not carry requests; send the command to an entry VM")), nil
	}
	change, err := control.change(command, parsed)
	if err != nil {
		return refusal(err), nil
	}
	result, err := control.propose(change)
	if err != nil {
		return unavailable(err), nil
	}
	return &wire.CommandReply{Revision: result.GetRevision(), Code: result.GetCode(), Error: result.GetError()}, nil
}

func (control *Control) change(command *wire.Command, parsed *query.Command) (*wire.Change, error) {
	change, err := state.FromCommand(control.view.State(), parsed)
	if err != nil {
		return nil, err
	}
	change.CommandId, change.Text, change.At = command.GetId(), query.Redact(command.GetText()), int64(control.clock.Now())
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
