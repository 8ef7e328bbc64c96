package procs

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	pollEvery = 5 * time.Millisecond
	callLimit = 3 * time.Second
)

// Group is a group of control VMs as real processes, with fixed addresses and
// data folders so that members can be restarted.
type Group struct {
	Pool    *link.Pool
	members []*groupMember
	first   []string
	extra   []string
}

type groupMember struct {
	name    string
	address string
	data    string
	process *Process
}

// NewGroup prepares a group below a folder; extra arguments go to every
// process. No process runs before Start.
func NewGroup(folder string, count int, extra ...string) (*Group, error) {
	group := &Group{Pool: link.NewPool(), extra: extra}
	for at := range count {
		if err := group.Add(filepath.Join(folder, fmt.Sprintf("control%d", at+1))); err != nil {
			return nil, err
		}
	}
	for _, member := range group.members {
		group.first = append(group.first, "--group", member.name+"@"+member.address)
	}
	return group, nil
}

// Add prepares one more control VM, which is not in the list of the first group.
func (group *Group) Add(data string) error {
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	group.members = append(group.members, &groupMember{name: filepath.Base(data), address: address, data: data})
	return nil
}

// Start starts a member, or starts it again.
func (group *Group) Start(at int) error {
	member := group.members[at]
	arguments := append([]string{"control", "--name", member.name, "--zone", "zone1", "--listen", member.address, "--data", member.data}, group.first...)
	process, err := Start(member.name, "hibiscuslug", append(arguments, group.extra...)...)
	member.process = process
	return err
}

// StartAll starts every member.
func (group *Group) StartAll() error {
	for at := range group.members {
		if err := group.Start(at); err != nil {
			return err
		}
	}
	return nil
}

// Name returns a member's name.
func (group *Group) Name(at int) string { return group.members[at].name }

// Address returns a member's address.
func (group *Group) Address(at int) string { return group.members[at].address }

// Process returns a member's process.
func (group *Group) Process(at int) *Process { return group.members[at].process }

// EmptyData removes a member's data folder.
func (group *Group) EmptyData(at int) error { return os.RemoveAll(group.members[at].data) }

// Close ends all processes that still run.
func (group *Group) Close() error {
	var failure error
	for _, member := range group.members {
		if member.process == nil {
			continue
		}
		// A stopped process cannot end before it is continued.
		_ = member.process.Signal(syscall.SIGCONT)
		failure = errors.CombineErrors(failure, member.process.Kill())
	}
	return errors.CombineErrors(failure, group.Pool.Close())
}

// Execute sends a command to a member.
func (group *Group) Execute(at int, id, text string) (*wire.CommandReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	return wire.NewDRPCOperateClient(group.Pool.Conn(ctx, group.Address(at))).Execute(ctx, &wire.Command{Id: id, Text: text})
}

// Rows returns what a member knows of the group, by column.
func (group *Group) Rows(at int) ([]map[string]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	table, err := wire.NewDRPCOperateClient(group.Pool.Conn(ctx, group.Address(at))).Local(ctx, &wire.NodeQuery{What: "control"})
	if err != nil {
		return nil, err
	}
	var rows []map[string]string
	for _, row := range table.GetRows() {
		cells := map[string]string{}
		for column, name := range table.GetColumns() {
			cells[name] = row.GetCells()[column]
		}
		rows = append(rows, cells)
	}
	return rows, nil
}

// Claim sends one step of a claim to a member.
func (group *Group) Claim(at int, op *wire.ClaimOp) (*wire.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	return wire.NewDRPCClaimsClient(group.Pool.Conn(ctx, group.Address(at))).Apply(ctx, op)
}

// Watch returns the first item of a member's configuration feed.
func (group *Group) Watch(at int) (*wire.FeedItem, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	stream, err := wire.NewDRPCFeedClient(group.Pool.Conn(ctx, group.Address(at))).Watch(ctx, &wire.WatchRequest{Node: "watcher"})
	if err != nil {
		return nil, err
	}
	item, err := stream.Recv()
	return item, errors.CombineErrors(err, stream.Close())
}

// Leader waits until a member that is asked names a leader, and returns it.
func (group *Group) Leader(limit time.Duration, asked ...int) (int, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollEvery) {
		for _, at := range asked {
			rows, err := group.Rows(at)
			if err != nil {
				continue
			}
			for _, row := range rows {
				if row["role"] == "leader" {
					return group.index(row["name"]), nil
				}
			}
		}
	}
	return 0, errors.Newf("no leader within %s", limit)
}

func (group *Group) index(name string) int {
	for at, member := range group.members {
		if member.name == name {
			return at
		}
	}
	return -1
}
