package ctrl

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// submittedChange returns the change that another process submits instead of a
// command text. It may only deploy a configuration, evacuate or restore a zone, block a
// request that crashes endpoints or end such a block.
func (control *Control) submittedChange(command *wire.Command) (*wire.Change, error) {
	change := proto.CloneOf(command.GetChange())
	switch {
	case change.GetBlock() != nil:
		change.Text = "block request " + change.GetBlock().GetRequestId()
	case change.GetDeployment() != nil:
		change.Text = fmt.Sprintf("deployment version %d", change.GetDeployment().GetVersion())
	case change.GetEvacuation() != nil:
		change.Text = orderWord(change.GetEvacuation().GetActive()) + " zone " + change.GetEvacuation().GetZone()
	case change.GetDrop().GetWhat() == "block":
		change.Text = "unblock request " + change.GetDrop().GetName()
	default:
		return nil, &state.RefusedError{Code: state.CodeInvalid, Message: "another process may only deploy a configuration, evacuate or restore a zone, block a request or end a block"}
	}
	change.CommandId, change.At = command.GetId(), int64(control.clock.Now())
	return change, nil
}
