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
	pollInterval = 5 * time.Millisecond
	callLimit    = 3 * time.Second
)

// Group is a control group of real processes. Members keep their addresses and
// data folders, so that they can be restarted.
type Group struct {
	Pool    *link.Pool
	members []*groupMember
	// initial holds the --group arguments, which list the initial members.
	initial []string
	extra   []string
}

type groupMember struct {
	name    string
	address string
	data    string
	process *Process
}

// NewGroup prepares a group with data below a folder. The extra arguments are
// passed to every process. It starts no process.
func NewGroup(folder string, count int, extra ...string) (*Group, error) {
	group := &Group{Pool: link.NewPool(), extra: extra}
	for at := range count {
		if err := group.Add(filepath.Join(folder, fmt.Sprintf("control%d", at+1))); err != nil {
			return nil, err
		}
	}
	for _, member := range group.members {
		group.initial = append(group.initial, "--group", member.name+"@"+member.address)
	}
	return group, nil
}

// Add prepares one more control VM, which is not among the initial members.
func (group *Group) Add(data string) error {
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	group.members = append(group.members, &groupMember{name: filepath.Base(data), address: address, data: data})
	return nil
}

// Start starts or restarts a member.
func (group *Group) Start(at int) error {
	member := group.members[at]
	arguments := append([]string{"control", "--name", member.name, "--zone", "zone1", "--listen", member.address, "--data", member.data}, group.initial...)
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

// EmptyData removes the data folder of a member.
func (group *Group) EmptyData(at int) error { return os.RemoveAll(group.members[at].data) }

// Close kills all processes that still run.
func (group *Group) Close() error {
	var failure error
	for _, member := range group.members {
		if member.process == nil {
			continue
		}
		// The member may be paused by SIGSTOP.
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

// Rows returns a member's table of the group; each row maps columns to cells.
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

// Claim sends a claim operation to a member.
func (group *Group) Claim(at int, op *wire.ClaimOp) (*wire.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	return wire.NewDRPCClaimsClient(group.Pool.Conn(ctx, group.Address(at))).Apply(ctx, op)
}

// Watch subscribes to a member's configuration feed and returns the first item.
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

// Leader polls the given members until one of them names a leader, and returns
// the index of the leader.
func (group *Group) Leader(limit time.Duration, polled ...int) (int, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, at := range polled {
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
