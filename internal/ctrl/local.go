package ctrl

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/tables"
	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// localTable returns the table for a query about the configuration or about
// this process.
func (control *Control) localTable(what string) (*wire.Table, error) {
	if what == "zones" {
		return control.zones(), nil
	}
	if what == "nodes" {
		table := tables.New("nodes")
		tables.Add(table, tables.Node(control.announcement(), 0)...)
		return table, nil
	}
	if table, ok := tables.Config(what, control.view, control.clock.Now()); ok {
		return table, nil
	}
	return nil, errors.Newf("a control VM cannot show %s; send the command to an entry VM", what)
}

// show runs a show command on the local state of this control VM.
func (control *Control) show(ctx context.Context, show *query.Show) *wire.CommandReply {
	table, err := control.Local(ctx, &wire.NodeQuery{What: show.What})
	if err != nil {
		return query.Invalid(err)
	}
	if err := show.Select(table); err != nil {
		return query.Invalid(err)
	}
	return &wire.CommandReply{Table: table, Revision: control.view.State().Revision()}
}

func (control *Control) announcement() *wire.Announcement {
	node := control.settings.Node
	return &wire.Announcement{
		Node: node.Name, Role: wire.NodeRole_NODE_ROLE_CONTROL, Address: control.advertised(), Zone: node.Zone, Region: node.Region,
		State: wire.NodeState_NODE_STATE_SERVING, Revision: control.view.State().Revision(), RevisionAge: int64(control.view.Age()),
	}
}

// View returns the view of the configuration in force here.
func (control *Control) View() *feed.View { return control.view }
