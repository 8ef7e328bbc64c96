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
	// initial holds the arguments that list the initial members.
	initial []string
	extra   []string
	// host is the loopback network of a group that is formed from seeds, whose members all
	// listen on port and are named by address; it is empty for a group of listed members.
	host string
	port int
	// entry is an entry VM of the group, if it has one.
	entry *Process
}

type groupMember struct {
	name    string
	address string
	data    string
	process *Process
	// founds is set for a member that may form the group when its data folder is empty.
	founds bool
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

// NewSeededGroup prepares a group that three members form from seeds, and spare control VMs
// that may take the place of one of them. Every member has an availability zone of its own,
// spares those of the members in turn. It starts no process.
func NewSeededGroup(folder string, spares int, extra ...string) (*Group, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	// Groups that run at the same time have different ports, so that their members may have
	// the same addresses.
	group := &Group{Pool: link.NewPool(), extra: extra, host: "127.0.1"}
	if _, err := fmt.Sscanf(address, "127.0.0.1:%d", &group.port); err != nil {
		return nil, errors.Wrapf(err, "port of %q", address)
	}
	for at := range zoneCount + spares {
		if err := group.Add(filepath.Join(folder, fmt.Sprintf("control%d", at+1))); err != nil {
			return nil, err
		}
		group.members[at].founds = at < zoneCount
	}
	for _, member := range group.members[:zoneCount] {
		group.initial = append(group.initial, "--seed", member.address)
	}
	return group, nil
}

// Add prepares one more control VM, which is not among the initial members.
func (group *Group) Add(data string) error {
	if group.host != "" {
		address := fmt.Sprintf("%s.%d:%d", group.host, 10+len(group.members), group.port)
		group.members = append(group.members, &groupMember{name: address, address: address, data: data})
		return nil
	}
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	group.members = append(group.members, &groupMember{name: filepath.Base(data), address: address, data: data})
	return nil
}

// Start starts or restarts a member.
func (group *Group) Start(at int) error {
	process, err := Start(group.members[at].name, "hibiscuslug", group.arguments(at)...)
	group.members[at].process = process
	return err
}

// StartFull starts or restarts a member whose disk is full. It does not wait until the member
// is ready.
func (group *Group) StartFull(at int) error {
	process, err := StartFull(group.members[at].name, "hibiscuslug", group.arguments(at)...)
	group.members[at].process = process
	return err
}

func (group *Group) arguments(at int) []string {
	member, zone := group.members[at], "zone1"
	if group.host != "" {
		zone = fmt.Sprintf("zone%d", at%zoneCount+1)
	}
	arguments := append([]string{"control", "--name", member.name, "--zone", zone, "--listen", member.address, "--data", member.data}, group.initial...)
	if member.founds {
		arguments = append(arguments, "--bootstrap")
	}
	return append(arguments, group.extra...)
}

// StartAll starts every member, but no spare one.
func (group *Group) StartAll() error {
	for at, member := range group.members {
		if group.host != "" && !member.founds {
			continue
		}
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

// StartEntry starts an entry VM that knows the members of the group.
func (group *Group) StartEntry() error {
	arguments := []string{"entry", "--name", "entry", "--zone", "zone1", "--http-listen", "127.0.0.1:0"}
	for _, member := range group.members {
		arguments = append(arguments, "--control", member.address)
	}
	process, err := Start("entry", "hibiscuslug", arguments...)
	group.entry = process
	return err
}

// EmptyData removes the data folder of a member, which then only joins the group.
func (group *Group) EmptyData(at int) error {
	group.members[at].founds = false
	return os.RemoveAll(group.members[at].data)
}

// Close kills all processes that still run.
func (group *Group) Close() error {
	var failure error
	if group.entry != nil {
		failure = group.entry.Kill()
	}
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
	return group.send(group.Address(at), &wire.Command{Id: id, Text: text})
}

// ExecuteAtEntry sends a command to the entry VM.
func (group *Group) ExecuteAtEntry(id, text string) (*wire.CommandReply, error) {
	return group.send(group.entry.Address, &wire.Command{Id: id, Text: text})
}

func (group *Group) send(address string, command *wire.Command) (*wire.CommandReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	return wire.NewDRPCOperateClient(group.Pool.Conn(ctx, address)).Execute(ctx, command)
}

// Deploy stores a document as the configuration of a version, through a member.
func (group *Group) Deploy(at int, id string, version uint64, document []byte) (*wire.CommandReply, error) {
	deployment := &wire.Change{Body: &wire.Change_Deployment{Deployment: &wire.Deployment{Version: version, Document: document}}}
	return group.send(group.Address(at), &wire.Command{Id: id, Change: deployment})
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
