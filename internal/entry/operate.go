package entry

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/tables"
	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// forwardTimeout is the timeout for a change at one control VM. It is longer than
	// the election target of 3 s, so that a change succeeds during an election.
	forwardTimeout = 4 * time.Second
	// gatherTimeout is the timeout of a query to other entry and control VMs.
	gatherTimeout = time.Second
	// cancelTimeout bounds the wait for a canceled request to end before the
	// operator gets a reply; it is shorter than gatherTimeout.
	cancelTimeout = 500 * time.Millisecond
)

// Execute answers a query, or forwards a change to the control VMs.
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

// forward sends a change to one control VM after the other until one is available.
// All of them get the same command id, so that the change is applied once.
func (entry *Entry) forward(ctx context.Context, command *wire.Command) *wire.CommandReply {
	reply := &wire.CommandReply{Code: query.CodeUnavailable, Error: "no control VM is set; see setting --control"}
	for _, address := range entry.settings.Entry.Control {
		callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		answer, err := wire.NewDRPCOperateClient(entry.pool.Conn(callCtx, address)).Execute(callCtx, command)
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

// show answers a show query. Configuration tables come from this entry VM; the
// others are merged from all entry or control VMs.
func (entry *Entry) show(ctx context.Context, text string, show *query.Show) *wire.CommandReply {
	nodeQuery := &wire.NodeQuery{What: show.What, Text: text}
	reply := &wire.CommandReply{Revision: entry.view.State().Revision()}
	var results []*wire.Table
	switch show.What {
	case "requests", "engines", "endpoints":
		results, reply.Warnings = entry.gather(ctx, nodeQuery, entry.entryAddresses())
	case "nodes":
		results, reply.Warnings = entry.gather(ctx, nodeQuery, append(entry.entryAddresses(), entry.controlAddresses()...))
		results = append(results, entry.silentControl(results))
	case "control":
		results, reply.Warnings = entry.gather(ctx, nodeQuery, entry.controlAddresses())
		results = []*wire.Table{mostConnected(results)}
	case "zones":
		results, reply.Warnings = entry.gather(ctx, nodeQuery, entry.controlAddresses())
		results = []*wire.Table{mostHeard(results)}
	default:
		table, _ := tables.Config(show.What, entry.view, entry.clock.Now())
		results = append(results, table)
	}
	reply.Table = tables.Merge(show.What, results...)
	if show.What == "config" {
		reply.Table = results[0]
	}
	if reply.GetTable().GetTruncated() {
		reply.Warnings = append(reply.Warnings, fmt.Sprintf("some entry VMs have more than %d rows; narrow the query with a where clause", maxRows))
	}
	if err := show.Select(reply.GetTable()); err != nil {
		return query.Invalid(err)
	}
	return reply
}

// target is a process to query; the address of this entry VM is empty.
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

// gather queries all targets in parallel. Those that do not answer within
// gatherTimeout are listed in the warnings.
func (entry *Entry) gather(ctx context.Context, nodeQuery *wire.NodeQuery, targets []target) ([]*wire.Table, []string) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	results, failures := make([]*wire.Table, len(targets)), make([]error, len(targets))
	var queries conc.WaitGroup
	for index, target := range targets {
		queries.Go(func() { results[index], failures[index] = entry.queryNode(ctx, target, nodeQuery) })
	}
	queries.Wait()
	var warnings []string
	for index, target := range targets {
		if failures[index] != nil {
			warnings = append(warnings, fmt.Sprintf("%s did not answer: %s", target.name, failures[index]))
		}
	}
	return results, warnings
}

func (entry *Entry) queryNode(ctx context.Context, target target, nodeQuery *wire.NodeQuery) (*wire.Table, error) {
	if target.address == "" {
		return entry.Local(ctx, nodeQuery)
	}
	table, err := wire.NewDRPCOperateClient(entry.pool.Conn(ctx, target.address)).Local(ctx, nodeQuery)
	if err != nil {
		entry.pool.Discard(target.address)
		return nil, err
	}
	return table, nil
}

// silentControl lists the control VMs that did not answer, by address.
func (entry *Entry) silentControl(results []*wire.Table) *wire.Table {
	answered := map[string]bool{}
	for _, table := range results {
		for _, row := range table.GetRows() {
			for _, cell := range row.GetCells() {
				answered[cell] = true
			}
		}
	}
	table := tables.New("nodes")
	for _, address := range entry.settings.Entry.Control {
		if !answered[address] {
			tables.Add(table, address, "control", "", address, "silent", "", "", "")
		}
	}
	return table
}

// mostConnected returns the table of the control VM that reached the most control VMs.
func mostConnected(results []*wire.Table) *wire.Table {
	best, maxReached := &wire.Table{}, -1
	for _, table := range results {
		reached := 0
		for _, row := range table.GetRows() {
			if !slices.Contains(row.GetCells(), "unreachable") {
				reached++
			}
		}
		if table != nil && reached > maxReached {
			best, maxReached = table, reached
		}
	}
	return best
}

// mostHeard returns the zones of the control VM that hears from the most gateways.
func mostHeard(results []*wire.Table) *wire.Table {
	best, most := &wire.Table{}, -1
	for _, table := range results {
		heard := 0
		for _, row := range table.GetRows() {
			// A number that cannot be read counts as 0.
			holding, _ := strconv.Atoi(row.GetCells()[4])
			heard += holding + len(strings.FieldsFunc(row.GetCells()[5], func(char rune) bool { return char == ',' }))
		}
		if table != nil && heard > most {
			best, most = table, heard
		}
	}
	return best
}

// explain returns the stages of a request from the entry VM that received it.
func (entry *Entry) explain(ctx context.Context, id string) *wire.CommandReply {
	results, warnings := entry.gather(ctx, &wire.NodeQuery{What: "explain", RequestId: id}, entry.entryAddresses())
	for _, table := range results {
		if len(table.GetRows()) > 0 {
			return &wire.CommandReply{Table: table, Revision: entry.view.State().Revision()}
		}
	}
	return unknownRequest(id, warnings)
}

// cancelRequest cancels a request at the entry VM on which it is in flight.
func (entry *Entry) cancelRequest(ctx context.Context, id string) *wire.CommandReply {
	nodeQuery := &wire.NodeQuery{What: "requests", RequestId: id, Cancel: true}
	results, warnings := entry.gather(ctx, nodeQuery, entry.entryAddresses())
	for _, table := range results {
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
