package entry

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/front"
	"github.com/hibiscuslug/hibiscuslug/internal/ledger"
	"github.com/hibiscuslug/hibiscuslug/internal/tables"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// maxRows is the maximum number of rows in one entry VM's answer, which must fit in
// a message of 4 MiB: a row of show requests takes about 300 bytes.
const maxRows = 5000

// ledgerDelay is how long to wait after the end of a request until the ledger has it.
const ledgerDelay = 20 * clock.Millis(1)

// Local answers a query from this entry VM's own state.
func (entry *Entry) Local(ctx context.Context, nodeQuery *wire.NodeQuery) (*wire.Table, error) {
	if nodeQuery.GetCancel() {
		return entry.cancelLocal(ctx, nodeQuery.GetRequestId()), nil
	}
	table, err := entry.local(ctx, nodeQuery)
	if err != nil || nodeQuery.GetText() == "" {
		return table, err
	}
	parsed, err := query.Parse(nodeQuery.GetText())
	if err != nil {
		return nil, err
	}
	if parsed.Show == nil || parsed.Show.What != nodeQuery.GetWhat() {
		return nil, errors.Newf("query text %q is not a show %s query", nodeQuery.GetText(), nodeQuery.GetWhat())
	}
	if err := parsed.Show.Select(table); err != nil {
		return nil, err
	}
	if len(table.GetRows()) > maxRows {
		table.Rows, table.Truncated = table.GetRows()[:maxRows], true
	}
	return table, nil
}

func (entry *Entry) local(ctx context.Context, nodeQuery *wire.NodeQuery) (*wire.Table, error) {
	switch nodeQuery.GetWhat() {
	case "requests":
		return entry.requests(), nil
	case "engines":
		return entry.engines(), nil
	case "endpoints":
		return entry.endpoints(), nil
	case "nodes":
		return entry.nodes(), nil
	case "explain":
		return entry.explainLocal(ctx, nodeQuery.GetRequestId()), nil
	}
	if table, ok := tables.Config(nodeQuery.GetWhat(), entry.view, entry.clock.Now()); ok {
		return table, nil
	}
	return nil, errors.Newf("an entry VM cannot show %q", nodeQuery.GetWhat())
}

// cancelLocal cancels a request and waits up to cancelTimeout for its end.
func (entry *Entry) cancelLocal(ctx context.Context, id string) *wire.Table {
	table := tables.New("requests")
	done, ok := entry.flights.cancel(id)
	if !ok {
		return table
	}
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	select {
	case <-done:
		// The ledger records the end just after the router returns.
		_ = entry.clock.Sleep(ctx, ledgerDelay)
	case <-ctx.Done():
	}
	if record, ok := entry.ledger.Find(id); ok {
		tables.Add(table, entry.request(record)...)
	}
	return table
}

// requests lists this entry VM's requests, newest first.
func (entry *Entry) requests() *wire.Table {
	table := tables.New("requests")
	all := entry.ledger.All()
	slices.SortFunc(all, func(first, second ledger.Entry) int {
		return cmp.Or(cmp.Compare(second.Call.Arrived, first.Call.Arrived), cmp.Compare(second.Call.ID, first.Call.ID))
	})
	for _, record := range all {
		tables.Add(table, entry.request(record)...)
	}
	return table
}

func (entry *Entry) request(record ledger.Entry) []string {
	end := record.Ended
	if record.State != ledger.Done {
		end = entry.clock.Now()
	}
	var last ledger.Attempt
	if len(record.Attempts) > 0 {
		last = record.Attempts[len(record.Attempts)-1]
	}
	target := record.Call.Model
	if target == "" {
		target = record.Call.Service
	}
	return []string{
		record.Call.ID, entry.settings.Node.Name, record.Call.Customer.GetName(), tables.Word(record.Call.Tier),
		query.Number(record.Call.Priority), tables.Word(record.Call.Kind), target, record.State,
		query.Time(record.Call.Arrived), (end - record.Call.Arrived).String(), waitTime(record, end).String(),
		query.Number(len(record.Attempts)), last.Endpoint, last.Engine, outcomeText(record.State == ledger.Done, record.Outcome),
		query.Number(record.Events), record.Error,
	}
}

// waitTime returns the time that a request spent before its first attempt and in the
// queues of endpoint processes.
func waitTime(record ledger.Entry, end clock.Millis) clock.Millis {
	if len(record.Attempts) == 0 {
		return end - record.Call.Arrived
	}
	total := record.Attempts[0].Started - record.Call.Arrived
	for _, attempt := range record.Attempts {
		total += attempt.Queued
	}
	return total
}

func outcomeText(ended bool, value wire.Outcome) string {
	if !ended {
		return ""
	}
	return front.OutcomeName(value)
}

func (entry *Entry) engines() *wire.Table {
	table := tables.New("engines")
	now := entry.clock.Now()
	for _, endpoint := range entry.members.Role(wire.NodeRole_NODE_ROLE_ENDPOINT) {
		for _, engine := range endpoint.GetEngines() {
			load := engine.GetLoad()
			models := append(slices.Clone(engine.GetModels()), engine.GetService())
			tables.Add(table, engine.GetName(), tables.Word(engine.GetKind()), endpoint.GetNode(), endpoint.GetZone(),
				tables.Word(endpoint.GetState()), strings.Trim(strings.Join(models, ","), ","), query.Number(load.GetRunning()),
				query.Number(load.GetWaiting()), query.Number(load.GetSlots()), entry.members.SinceAnnouncement(endpoint.GetNode(), now).String())
		}
	}
	return table
}

func (entry *Entry) endpoints() *wire.Table {
	table := tables.New("endpoints")
	now, config := entry.clock.Now(), entry.view.State()
	for _, endpoint := range entry.members.Role(wire.NodeRole_NODE_ROLE_ENDPOINT) {
		var running, waiting, slots uint32
		for _, engine := range endpoint.GetEngines() {
			running += engine.GetLoad().GetRunning()
			waiting += engine.GetLoad().GetWaiting()
			slots += engine.GetLoad().GetSlots()
		}
		drained := "no"
		if config.Drained(endpoint.GetNode()) {
			drained = "yes"
		}
		tables.Add(table, endpoint.GetNode(), endpoint.GetZone(), endpoint.GetAddress(), tables.Word(endpoint.GetState()), drained,
			query.Number(len(endpoint.GetEngines())), query.Number(running), query.Number(waiting), query.Number(slots),
			entry.members.SinceAnnouncement(endpoint.GetNode(), now).String())
	}
	return table
}

// nodes lists the processes that this entry VM knows by their announcements, itself first.
func (entry *Entry) nodes() *wire.Table {
	table := tables.New("nodes")
	now := entry.clock.Now()
	tables.Add(table, tables.Node(entry.announcement(), 0)...)
	for _, role := range []wire.NodeRole{wire.NodeRole_NODE_ROLE_ENTRY, wire.NodeRole_NODE_ROLE_ENDPOINT, wire.NodeRole_NODE_ROLE_CONTROL} {
		for _, node := range entry.members.Role(role) {
			if node.GetNode() != entry.settings.Node.Name {
				tables.Add(table, tables.Node(node, entry.members.SinceAnnouncement(node.GetNode(), now))...)
			}
		}
	}
	return table
}
