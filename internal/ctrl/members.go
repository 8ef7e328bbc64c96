package ctrl

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	whatControl = "control"
	// whatSelf queries a control VM for its own row only.
	whatSelf = "controlSelf"
	// gatherTimeout limits the wait for the row of another control VM.
	gatherTimeout   = 300 * clock.Millis(1)
	roleUnreachable = "unreachable"
)

var (
	controlKind, _ = query.KindOf(whatControl)
	controlColumns = controlKind.Table().GetColumns()
	controlTypes   = controlKind.Table().GetTypes()
)

// changeMember adds a control VM to the group or removes one.
func (control *Control) changeMember(ctx context.Context, id string, parsed *query.Command) *wire.CommandReply {
	if reply := control.recordedReply(id); reply != nil {
		return reply
	}
	target, remove := parsed.Add, false
	if target == nil {
		target, remove = parsed.Remove, true
	}
	name := target.Name.Text
	if err := checkMember(control.status.Load().Members, target.What, name, remove); err != nil {
		return refusal(err)
	}
	result := control.submit(ctx, input{event: quorum.ChangeMember{Name: name, Remove: remove, CommandID: id}})
	if result.err != nil {
		return failure(result)
	}
	return replyFor(result.result)
}

func checkMember(members []*wire.ControlMember, what, name string, remove bool) error {
	if what != whatControl {
		return &state.RefusedError{Code: state.CodeInvalid, Message: fmt.Sprintf("%q is not control; only control VMs can be added or removed", what)}
	}
	exists, otherVoters := false, 0
	for _, member := range members {
		exists = exists || member.GetName() == name
		if member.GetVoter() && member.GetName() != name {
			otherVoters++
		}
	}
	switch {
	case !remove && exists:
		return &state.RefusedError{Code: state.CodeExists, Message: fmt.Sprintf("control VM %q is in the group already", name)}
	case remove && !exists:
		return &state.RefusedError{Code: state.CodeNotFound, Message: fmt.Sprintf("control VM %q is not in the group; `show control` lists it", name)}
	case remove && otherVoters == 0:
		return &state.RefusedError{Code: state.CodeInvalid, Message: fmt.Sprintf("control VM %q is the group's last voter", name)}
	}
	return nil
}

// Local returns the table for a query about the control group, the
// configuration or this process.
func (control *Control) Local(ctx context.Context, request *wire.NodeQuery) (*wire.Table, error) {
	switch request.GetWhat() {
	case whatControl:
		return control.gather(ctx), nil
	case whatSelf:
		return &wire.Table{Columns: controlColumns, Types: controlTypes, Rows: []*wire.Row{control.row()}}, nil
	}
	return control.localTable(request.GetWhat())
}

func (control *Control) row() *wire.Row {
	status := control.status.Load()
	return &wire.Row{Cells: []string{
		control.self, control.advertised(), formatDisk(control.diskID), string(status.Role), formatNumber(status.Term),
		formatNumber(status.Last), formatNumber(status.Commit), formatNumber(control.view.State().Revision()),
	}}
}

// gather queries every control VM for its row.
func (control *Control) gather(ctx context.Context) *wire.Table {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout.Duration())
	defer cancel()
	members := control.status.Load().Members
	rows := make([]*wire.Row, len(members))
	var queries conc.WaitGroup
	for at, member := range members {
		queries.Go(func() { rows[at] = control.rowOf(ctx, member) })
	}
	queries.Wait()
	return &wire.Table{Columns: controlColumns, Types: controlTypes, Rows: rows}
}

func (control *Control) rowOf(ctx context.Context, member *wire.ControlMember) *wire.Row {
	if member.GetName() == control.self && member.GetDisk() == control.diskID {
		return control.row()
	}
	address := control.peers.address(member.GetName(), member.GetAddress())
	table, err := wire.NewDRPCOperateClient(control.pool.Conn(ctx, address)).Local(ctx, &wire.NodeQuery{What: whatSelf})
	if err == nil && len(table.GetRows()) == 1 && table.GetRows()[0].GetCells()[2] == formatDisk(member.GetDisk()) {
		return table.GetRows()[0]
	}
	return &wire.Row{Cells: []string{member.GetName(), address, formatDisk(member.GetDisk()), roleUnreachable, "", "", "", ""}}
}

func formatDisk(disk uint64) string { return strconv.FormatUint(disk, 16) }

func formatNumber(value uint64) string { return strconv.FormatUint(value, 10) }

// formatMembers formats members for the log.
func formatMembers(members []*wire.ControlMember) string {
	texts := make([]string, len(members))
	for at, member := range members {
		kind := "learner"
		if member.GetVoter() {
			kind = "voter"
		}
		texts[at] = fmt.Sprintf("%s/%s/%s", member.GetName(), formatDisk(member.GetDisk()), kind)
	}
	return strings.Join(texts, ",")
}
