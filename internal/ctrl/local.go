package ctrl

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/rows"
	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Local answers queries about this process alone.
func (control *Control) Local(_ context.Context, asked *wire.NodeQuery) (*wire.Table, error) {
	switch asked.GetWhat() {
	case "nodes":
		table := rows.New("nodes")
		rows.Add(table, rows.Node(control.announcement(), 0)...)
		return table, nil
	case "control":
		return control.self(), nil
	}
	if table, ok := rows.Config(asked.GetWhat(), control.view, control.clock.Now()); ok {
		return table, nil
	}
	return nil, errors.Newf("a control VM cannot show %s; send the command to an entry VM", asked.GetWhat())
}

// show answers a show command from what this control VM knows.
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
		Node: node.Name, Role: wire.NodeRole_NODE_ROLE_CONTROL, Address: control.Address(), Zone: node.Zone, Region: node.Region,
		State: wire.NodeState_NODE_STATE_SERVING, Revision: control.view.State().Revision(), RevisionAge: int64(control.view.Age()),
	}
}

// self is this control VM's row of show control.
func (control *Control) self() *wire.Table {
	table := rows.New("control")
	rows.Add(table, control.settings.Node.Name, control.Address(), "leader",
		query.Number(control.view.State().Revision()), rows.Age(control.view.Age()))
	return table
}

// View returns the configuration that is in force here.
func (control *Control) View() *feed.View { return control.view }
