package ctrl

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// requested returns the change that an entry VM asks for. Entry VMs may block a
// request that crashes endpoints and end a block, and nothing else.
func (control *Control) requested(command *wire.Command) (*wire.Change, error) {
	change := proto.CloneOf(command.GetChange())
	switch {
	case change.GetBlock() != nil:
		change.Text = "block request " + change.GetBlock().GetRequestId()
	case change.GetDeployment() != nil:
		change.Text = fmt.Sprintf("deployment version %d", change.GetDeployment().GetVersion())
	case change.GetDrop().GetWhat() == "block":
		change.Text = "unblock request " + change.GetDrop().GetName()
	default:
		return nil, &state.RefusedError{Code: state.CodeInvalid, Message: "another process may only deploy a configuration, block a request or end a block"}
	}
	change.CommandId, change.At = command.GetId(), int64(control.clock.Now())
	return change, nil
}
