package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/rows"
	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// forwardLimit bounds the wait for one control VM. It is longer than the
	// target of 3 s for a new leader, so that a change waits out an election.
	forwardLimit = 4 * time.Second
	// gatherLimit bounds the wait for one entry or control VM in a query.
	gatherLimit = time.Second
	// cancelWait is how long a canceled request may take to end before the
	// answer to the operator; it is shorter than gatherLimit.
	cancelWait = 500 * time.Millisecond
)

// Execute answers a query, or forwards a change to control.
func (entry *Entry) Execute(ctx context.Context, command *wire.Command) (*wire.CommandReply, error) {
	parsed, err := query.Parse(command.GetText())
	if err != nil {
		return query.Failure(err), nil
	}
	switch {
	case parsed.Show != nil:
		return entry.show(ctx, command.GetText(), parsed.Show), nil
	case parsed.Explain != nil:
		return entry.explain(ctx, parsed.Explain.Name.Text), nil
	case parsed.Cancel != nil:
		return entry.cancelRequest(ctx, parsed.Cancel.Name.Text), nil
	}
	return entry.forward(ctx, command), nil
}

// forward tries one control VM after the other with the same command id.
func (entry *Entry) forward(ctx context.Context, command *wire.Command) *wire.CommandReply {
	reply := &wire.CommandReply{Code: query.CodeUnavailable, Error: "no control VM is set; see setting --control"}
	for _, address := range entry.settings.Entry.Control {
		limited, cancel := context.WithTimeout(ctx, forwardLimit)
		answer, err := wire.NewDRPCOperateClient(entry.pool.Conn(limited, address)).Execute(limited, command)
		cancel()
		switch {
		case err != nil:
			entry.pool.Discard(address)
			reply.Error = fmt.Sprintf("control VM %s: %s", address, err)
		case answer.GetCode() != query.CodeUnavailable:
			return answer
		default:
			reply = answer
		}
	}
	return reply
}

// show answers from this entry VM alone, or from all of them where each knows
// something else.
func (entry *Entry) show(ctx context.Context, text string, show *query.Show) *wire.CommandReply {
	asked := &wire.NodeQuery{What: show.What, Text: text}
	reply := &wire.CommandReply{Revision: entry.view.State().Revision()}
	var tables []*wire.Table
	switch show.What {
	case "requests", "engines", "endpoints":
		tables, reply.Warnings = entry.gather(ctx, asked, entry.entryAddresses())
	case "nodes":
		tables, reply.Warnings = entry.gather(ctx, asked, append(entry.entryAddresses(), entry.controlAddresses()...))
		tables = append(tables, entry.silent(tables))
	case "control":
		tables, reply.Warnings = entry.gather(ctx, asked, entry.controlAddresses())
		tables = []*wire.Table{mostReached(tables)}
	default:
		table, _ := rows.Config(show.What, entry.view, entry.clock.Now())
		tables = append(tables, table)
	}
	reply.Table = rows.Merge(show.What, tables...)
	if show.What == "config" {
		reply.Table = tables[0]
	}
	if reply.GetTable().GetTruncated() {
		reply.Warnings = append(reply.Warnings, fmt.Sprintf("some entry VMs have more than %d rows; narrow the query by where", maxRows))
	}
	if err := show.Select(reply.GetTable()); err != nil {
		return query.Invalid(err)
	}
	return reply
}

// target is a process that is asked; the address of this entry VM is empty.
type target struct{ name, address string }

func (entry *Entry) entryAddresses() []target {
	targets := []target{{name: "entry VM " + entry.settings.Node.Name}}
	for _, peer := range entry.members.Role(wire.NodeRole_NODE_ROLE_ENTRY) {
		if peer.GetNode() != entry.settings.Node.Name {
			targets = append(targets, target{name: "entry VM " + peer.GetNode(), address: peer.GetAddress()})
		}
	}
	return targets
}

func (entry *Entry) controlAddresses() []target {
	var targets []target
	for _, address := range entry.settings.Entry.Control {
		targets = append(targets, target{name: "control VM " + address, address: address})
	}
	return targets
}

// gather asks all targets at once. Those that do not answer within gatherLimit
// are named in the warnings.
func (entry *Entry) gather(ctx context.Context, asked *wire.NodeQuery, targets []target) ([]*wire.Table, []string) {
	ctx, cancel := context.WithTimeout(ctx, gatherLimit)
	defer cancel()
	tables, failures := make([]*wire.Table, len(targets)), make([]error, len(targets))
	var asking conc.WaitGroup
	for at, target := range targets {
		asking.Go(func() { tables[at], failures[at] = entry.ask(ctx, target, asked) })
	}
	asking.Wait()
	var warnings []string
	for at, target := range targets {
		if failures[at] != nil {
			warnings = append(warnings, fmt.Sprintf("%s did not answer: %s", target.name, failures[at]))
		}
	}
	return tables, warnings
}

func (entry *Entry) ask(ctx context.Context, target target, asked *wire.NodeQuery) (*wire.Table, error) {
	if target.address == "" {
		return entry.Local(ctx, asked)
	}
	table, err := wire.NewDRPCOperateClient(entry.pool.Conn(ctx, target.address)).Local(ctx, asked)
	if err != nil {
		entry.pool.Discard(target.address)
		return nil, err
	}
	return table, nil
}

// silent lists the control VMs that did not answer, by their address.
func (entry *Entry) silent(tables []*wire.Table) *wire.Table {
	answered := map[string]bool{}
	for _, table := range tables {
		for _, row := range table.GetRows() {
			for _, cell := range row.GetCells() {
				answered[cell] = true
			}
		}
	}
	table := rows.New("nodes")
	for _, address := range entry.settings.Entry.Control {
		if !answered[address] {
			rows.Add(table, address, "control", "", address, "silent", "", "", "")
		}
	}
	return table
}

// mostReached returns the answer of the control VM that reached most of its group.
func mostReached(tables []*wire.Table) *wire.Table {
	best, most := &wire.Table{}, -1
	for _, table := range tables {
		reached := 0
		for _, row := range table.GetRows() {
			if !slices.Contains(row.GetCells(), "unreachable") {
				reached++
			}
		}
		if table != nil && reached > most {
			best, most = table, reached
		}
	}
	return best
}

// explain shows a request's way from the entry VM that had it.
func (entry *Entry) explain(ctx context.Context, id string) *wire.CommandReply {
	tables, warnings := entry.gather(ctx, &wire.NodeQuery{What: "explain", RequestId: id}, entry.entryAddresses())
	for _, table := range tables {
		if len(table.GetRows()) > 0 {
			return &wire.CommandReply{Table: table, Revision: entry.view.State().Revision()}
		}
	}
	return unknownRequest(id, warnings)
}

// cancelRequest cancels a request at the entry VM that has it.
func (entry *Entry) cancelRequest(ctx context.Context, id string) *wire.CommandReply {
	asked := &wire.NodeQuery{What: "requests", RequestId: id, Cancel: true}
	tables, warnings := entry.gather(ctx, asked, entry.entryAddresses())
	for _, table := range tables {
		if len(table.GetRows()) > 0 {
			return &wire.CommandReply{Table: table, Revision: entry.view.State().Revision()}
		}
	}
	if _, ok := entry.ledger.Find(id); ok {
		return query.Invalid(errors.Newf("request %s has already ended; see explain request %s", id, id))
	}
	reply := unknownRequest(id, warnings)
	reply.Error += ", or it has already ended"
	return reply
}

func unknownRequest(id string, warnings []string) *wire.CommandReply {
	return &wire.CommandReply{
		Code: query.CodeNotFound, Warnings: warnings,
		Error: fmt.Sprintf("no entry VM that answered knows request %s", id),
	}
}
