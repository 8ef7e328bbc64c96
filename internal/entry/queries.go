package entry

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/front"
	"github.com/hibiscuslug/hibiscuslug/internal/ledger"
	"github.com/hibiscuslug/hibiscuslug/internal/rows"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// maxRows bounds the rows of one entry VM's answer, which must fit in a
// message of 4 MiB: a row of show requests takes about 300 bytes.
const maxRows = 5000

// ledgerDelay covers the moment between the end of a request and its record.
const ledgerDelay = 20 * clock.Millis(1)

// Local answers a query about what this entry VM knows.
func (entry *Entry) Local(ctx context.Context, asked *wire.NodeQuery) (*wire.Table, error) {
	if asked.GetCancel() {
		return entry.cancelLocal(ctx, asked.GetRequestId()), nil
	}
	table, err := entry.local(ctx, asked)
	if err != nil || asked.GetText() == "" {
		return table, err
	}
	parsed, err := query.Parse(asked.GetText())
	if err != nil {
		return nil, err
	}
	if parsed.Show == nil || parsed.Show.What != asked.GetWhat() {
		return nil, errors.Newf("text %q does not show %s", asked.GetText(), asked.GetWhat())
	}
	if err := parsed.Show.Select(table); err != nil {
		return nil, err
	}
	if len(table.GetRows()) > maxRows {
		table.Rows, table.Truncated = table.GetRows()[:maxRows], true
	}
	return table, nil
}

func (entry *Entry) local(ctx context.Context, asked *wire.NodeQuery) (*wire.Table, error) {
	switch asked.GetWhat() {
	case "requests":
		return entry.requests(), nil
	case "engines":
		return entry.engines(), nil
	case "endpoints":
		return entry.endpoints(), nil
	case "nodes":
		return entry.nodes(), nil
	case "explain":
		return entry.explainLocal(ctx, asked.GetRequestId()), nil
	}
	if table, ok := rows.Config(asked.GetWhat(), entry.view, entry.clock.Now()); ok {
		return table, nil
	}
	return nil, errors.Newf("an entry VM cannot show %q", asked.GetWhat())
}

// cancelLocal cancels a request and waits for its end for a moment.
func (entry *Entry) cancelLocal(ctx context.Context, id string) *wire.Table {
	table := rows.New("requests")
	done, ok := entry.flights.cancel(id)
	if !ok {
		return table
	}
	ctx, stop := context.WithTimeout(ctx, cancelWait)
	defer stop()
	select {
	case <-done:
		// The ledger learns of the end just after the router does.
		_ = entry.clock.Sleep(ctx, ledgerDelay)
	case <-ctx.Done():
	}
	if known, ok := entry.ledger.Find(id); ok {
		rows.Add(table, entry.request(known)...)
	}
	return table
}

// requests lists the requests of this entry VM, newest first.
func (entry *Entry) requests() *wire.Table {
	table := rows.New("requests")
	all := entry.ledger.All()
	slices.SortFunc(all, func(first, second ledger.Entry) int {
		return cmp.Or(cmp.Compare(second.Call.Arrived, first.Call.Arrived), cmp.Compare(second.Call.ID, first.Call.ID))
	})
	for _, known := range all {
		rows.Add(table, entry.request(known)...)
	}
	return table
}

func (entry *Entry) request(known ledger.Entry) []string {
	end := known.Ended
	if known.State != ledger.Done {
		end = entry.clock.Now()
	}
	var last ledger.Attempt
	if len(known.Attempts) > 0 {
		last = known.Attempts[len(known.Attempts)-1]
	}
	target := known.Call.Model
	if target == "" {
		target = known.Call.Service
	}
	return []string{
		known.Call.ID, entry.settings.Node.Name, known.Call.Customer.GetName(), rows.Word(known.Call.Tier),
		query.Number(known.Call.Priority), rows.Word(known.Call.Kind), target, known.State,
		query.Time(known.Call.Arrived), (end - known.Call.Arrived).String(), waited(known, end).String(),
		query.Number(len(known.Attempts)), last.Endpoint, last.Engine, outcome(known.State == ledger.Done, known.Outcome),
		query.Number(known.Events), known.Error,
	}
}

// waited is the time before the first attempt and in endpoint processes' queues.
func waited(known ledger.Entry, end clock.Millis) clock.Millis {
	if len(known.Attempts) == 0 {
		return end - known.Call.Arrived
	}
	total := known.Attempts[0].Started - known.Call.Arrived
	for _, attempt := range known.Attempts {
		total += attempt.Queued
	}
	return total
}

func outcome(ended bool, value wire.Outcome) string {
	if !ended {
		return ""
	}
	return front.OutcomeName(value)
}

func (entry *Entry) engines() *wire.Table {
	table := rows.New("engines")
	now := entry.clock.Now()
	for _, endpoint := range entry.members.Role(wire.NodeRole_NODE_ROLE_ENDPOINT) {
		for _, engine := range endpoint.GetEngines() {
			load := engine.GetLoad()
			models := append(slices.Clone(engine.GetModels()), engine.GetService())
			rows.Add(table, engine.GetName(), rows.Word(engine.GetKind()), endpoint.GetNode(), endpoint.GetZone(),
				rows.Word(endpoint.GetState()), strings.Trim(strings.Join(models, ","), ","), query.Number(load.GetRunning()),
				query.Number(load.GetWaiting()), query.Number(load.GetSlots()), entry.members.SinceAnnouncement(endpoint.GetNode(), now).String())
		}
	}
	return table
}

func (entry *Entry) endpoints() *wire.Table {
	table := rows.New("endpoints")
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
		rows.Add(table, endpoint.GetNode(), endpoint.GetZone(), endpoint.GetAddress(), rows.Word(endpoint.GetState()), drained,
			query.Number(len(endpoint.GetEngines())), query.Number(running), query.Number(waiting), query.Number(slots),
			entry.members.SinceAnnouncement(endpoint.GetNode(), now).String())
	}
	return table
}

// nodes lists the processes that this entry VM has heard of, itself first.
func (entry *Entry) nodes() *wire.Table {
	table := rows.New("nodes")
	now := entry.clock.Now()
	rows.Add(table, rows.Node(entry.announcement(), 0)...)
	for _, role := range []wire.NodeRole{wire.NodeRole_NODE_ROLE_ENTRY, wire.NodeRole_NODE_ROLE_ENDPOINT, wire.NodeRole_NODE_ROLE_CONTROL} {
		for _, node := range entry.members.Role(role) {
			if node.GetNode() != entry.settings.Node.Name {
				rows.Add(table, rows.Node(node, entry.members.SinceAnnouncement(node.GetNode(), now))...)
			}
		}
	}
	return table
}
