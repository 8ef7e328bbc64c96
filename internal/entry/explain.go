package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscuslug/hibiscuslug/internal/ledger"
	"github.com/hibiscuslug/hibiscuslug/internal/tables"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// askTimeout is the timeout for the state of a running attempt from its endpoint process.
const askTimeout = 300 * time.Millisecond

// explainLocal lists the stages of a request that this entry VM received. The table
// is empty for any other request.
func (entry *Entry) explainLocal(ctx context.Context, id string) *wire.Table {
	table := tables.New("explain")
	record, ok := entry.ledger.Find(id)
	if !ok {
		return table
	}
	now := entry.clock.Now()
	entry.explainArrival(table, record, now)
	for index, attempt := range record.Attempts {
		if attempt.Ended == 0 {
			entry.explainRunning(ctx, table, record, attempt, now)
			continue
		}
		explainEnded(table, record.Call.Arrived, record.Attempts[index])
	}
	if record.State == ledger.Done {
		tables.Add(table, "ended", (record.Ended - record.Call.Arrived).String(), "0s", entry.settings.Node.Name,
			outcomeText(true, record.Outcome), withError(fmt.Sprintf("%d events passed to the caller", record.Events), record.Error))
	}
	return table
}

func (entry *Entry) explainArrival(table *wire.Table, record ledger.Entry, now clock.Millis) {
	request, node := record.Call, entry.settings.Node.Name
	rule := "no rule matches"
	if request.Rule != "" {
		rule = "rule " + request.Rule
	}
	idempotence := "idempotent"
	if !request.Idempotent {
		idempotence = "not idempotent"
	}
	tables.Add(table, "arrived", "0s", "0s", node, "", fmt.Sprintf("%s %s from customer %s", request.Method, request.Path, request.Customer.GetName()))
	tables.Add(table, "classified", "0s", "0s", node, "", fmt.Sprintf("%s; tier %s, priority %d, kind %s, %s, predicted size %d events",
		rule, tables.Word(request.Tier), request.Priority, tables.Word(request.Kind), idempotence, request.PredictedSize))
	if len(record.Attempts) > 0 {
		tables.Add(table, "waited", "0s", (record.Attempts[0].Started - request.Arrived).String(), node, "", "until the first attempt")
		return
	}
	detail := "no attempt yet"
	if record.State == ledger.Done {
		now, detail = record.Ended, "no attempt was made"
	}
	tables.Add(table, "waited", "0s", (now - request.Arrived).String(), node, "", detail)
}

// explainRunning adds an attempt that has not ended, with its state at the endpoint
// process.
func (entry *Entry) explainRunning(ctx context.Context, table *wire.Table, record ledger.Entry, attempt ledger.Attempt, now clock.Millis) {
	state := "endpoint process does not answer"
	if endpoint, ok := entry.members.Node(attempt.Endpoint); ok {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		reply, err := wire.NewDRPCRelayClient(entry.requestPool.Conn(ctx, endpoint.GetAddress())).Ask(ctx, &wire.AskRequest{
			RequestId: record.Call.ID, Attempt: attempt.Number, Incarnation: endpoint.GetIncarnation(),
		})
		if err == nil {
			state = tables.Word(reply.GetState()) + " at the endpoint process"
		}
	}
	tables.Add(table, fmt.Sprintf("attempt %d", attempt.Number), (attempt.Started - record.Call.Arrived).String(), (now - attempt.Started).String(),
		attempt.Endpoint+"/"+attempt.Engine, "", attempt.Reason+"; "+state)
}

func explainEnded(table *wire.Table, arrived clock.Millis, attempt ledger.Attempt) {
	start, place := attempt.Started-arrived, attempt.Endpoint+"/"+attempt.Engine
	tables.Add(table, fmt.Sprintf("attempt %d", attempt.Number), start.String(), (attempt.Ended - attempt.Started).String(),
		place, outcomeText(true, attempt.Outcome), withError(attempt.Reason, attempt.Error))
	tables.Add(table, "queued", start.String(), attempt.Queued.String(), place, "", "until the engine had a free slot")
	ran := attempt.Ended - attempt.Started - attempt.Queued
	tables.Add(table, "ran", (start + attempt.Queued).String(), max(ran, 0).String(), place, "", "engine and delivery to the entry VM")
}

func withError(reason, failure string) string {
	if failure == "" {
		return reason
	}
	return reason + "; " + failure
}
