package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const forwardLimit = 3 * time.Second

// Execute answers a query, or forwards a change to control.
func (entry *Entry) Execute(ctx context.Context, command *wire.Command) (*wire.CommandReply, error) {
	parsed, err := query.Parse(command.GetText())
	if err != nil {
		return query.Failure(err), nil
	}
	if parsed.Show != nil {
		table, err := entry.Local(ctx, &wire.NodeQuery{What: parsed.Show.What})
		if err != nil {
			return query.Invalid(err), nil
		}
		return &wire.CommandReply{Table: table, Revision: entry.view.State().Revision()}, nil
	}
	return entry.forward(ctx, command)
}

func (entry *Entry) forward(ctx context.Context, command *wire.Command) (*wire.CommandReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardLimit)
	defer cancel()
	failure := errors.New("no control VM is set")
	for _, address := range entry.settings.Entry.Control {
		reply, err := wire.NewDRPCOperateClient(entry.pool.Conn(ctx, address)).Execute(ctx, command)
		if err == nil {
			return reply, nil
		}
		failure = err
	}
	return &wire.CommandReply{Code: "unavailable", Error: failure.Error()}, nil
}

// Local answers a query about what this entry VM knows.
func (entry *Entry) Local(_ context.Context, asked *wire.NodeQuery) (*wire.Table, error) {
	switch asked.GetWhat() {
	case "nodes":
		return entry.nodes(), nil
	case "customers":
		return entry.customers(), nil
	}
	return nil, errors.Newf("show %s is not known", asked.GetWhat())
}

func (entry *Entry) nodes() *wire.Table {
	table := &wire.Table{Columns: []string{"node", "role", "zone", "address", "state", "revision", "age"}}
	nodes := entry.members.Role(wire.NodeRole_NODE_ROLE_ENDPOINT)
	for _, node := range append(nodes, entry.peers()...) {
		table.Rows = append(table.Rows, &wire.Row{Cells: []string{
			node.GetNode(), node.GetRole().String(), node.GetZone(), node.GetAddress(), node.GetState().String(),
			strconv.FormatUint(node.GetRevision(), 10), (time.Duration(node.GetRevisionAge()) * time.Millisecond).String(),
		}})
	}
	return table
}

func (entry *Entry) customers() *wire.Table {
	table := &wire.Table{Columns: []string{"name", "tier", "priority", "weight"}}
	for _, customer := range entry.view.State().Customers() {
		table.Rows = append(table.Rows, &wire.Row{Cells: []string{
			customer.GetName(), customer.GetTier(), strconv.Itoa(int(customer.GetPriority())), strconv.Itoa(int(customer.GetWeight())),
		}})
	}
	return table
}
