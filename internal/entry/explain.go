package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscuslug/hibiscuslug/internal/ledger"
	"github.com/hibiscuslug/hibiscuslug/internal/rows"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// askLimit bounds the question to the endpoint process of a running attempt.
const askLimit = 300 * time.Millisecond

// explainLocal tells the way of a request that this entry VM took. The table
// is empty for any other.
func (entry *Entry) explainLocal(ctx context.Context, id string) *wire.Table {
	table := rows.New("explain")
	known, ok := entry.ledger.Find(id)
	if !ok {
		return table
	}
	now := entry.clock.Now()
	entry.explainArrival(table, known, now)
	for at, attempt := range known.Attempts {
		if attempt.Ended == 0 {
			entry.explainOpen(ctx, table, known, attempt, now)
			continue
		}
		explainEnded(table, known.Call.Arrived, known.Attempts[at])
	}
	if known.State == ledger.Done {
		rows.Add(table, "ended", (known.Ended - known.Call.Arrived).String(), "0s", entry.settings.Node.Name,
			outcome(true, known.Outcome), because(fmt.Sprintf("%d events passed to the caller", known.Events), known.Error))
	}
	return table
}

func (entry *Entry) explainArrival(table *wire.Table, known ledger.Entry, now clock.Millis) {
	request, node := known.Call, entry.settings.Node.Name
	rule := "no rule matches"
	if request.Rule != "" {
		rule = "rule " + request.Rule
	}
	repeat := "idempotent"
	if !request.Idempotent {
		repeat = "not idempotent"
	}
	rows.Add(table, "arrived", "0s", "0s", node, "", fmt.Sprintf("%s %s from customer %s", request.Method, request.Path, request.Customer.GetName()))
	rows.Add(table, "classified", "0s", "0s", node, "", fmt.Sprintf("%s; tier %s, priority %d, kind %s, %s, predicted size %d events",
		rule, rows.Word(request.Tier), request.Priority, rows.Word(request.Kind), repeat, request.PredictedSize))
	if len(known.Attempts) > 0 {
		rows.Add(table, "waited", "0s", (known.Attempts[0].Started - request.Arrived).String(), node, "", "until the first attempt")
		return
	}
	why := "no attempt yet"
	if known.State == ledger.Done {
		now, why = known.Ended, "no attempt was made"
	}
	rows.Add(table, "waited", "0s", (now - request.Arrived).String(), node, "", why)
}

// explainOpen tells of an attempt that has not ended, with what the endpoint
// process says of it.
func (entry *Entry) explainOpen(ctx context.Context, table *wire.Table, known ledger.Entry, attempt ledger.Attempt, now clock.Millis) {
	state := "endpoint process does not answer"
	if endpoint, ok := entry.members.Node(attempt.Endpoint); ok {
		ctx, cancel := context.WithTimeout(ctx, askLimit)
		defer cancel()
		reply, err := wire.NewDRPCRelayClient(entry.relays.Conn(ctx, endpoint.GetAddress())).Ask(ctx, &wire.AskRequest{
			RequestId: known.Call.ID, Attempt: attempt.Number, Incarnation: endpoint.GetIncarnation(),
		})
		if err == nil {
			state = rows.Word(reply.GetState()) + " at the endpoint process"
		}
	}
	rows.Add(table, fmt.Sprintf("attempt %d", attempt.Number), (attempt.Started - known.Call.Arrived).String(), (now - attempt.Started).String(),
		attempt.Endpoint+"/"+attempt.Engine, "", attempt.Reason+"; "+state)
}

func explainEnded(table *wire.Table, arrived clock.Millis, attempt ledger.Attempt) {
	start, place := attempt.Started-arrived, attempt.Endpoint+"/"+attempt.Engine
	rows.Add(table, fmt.Sprintf("attempt %d", attempt.Number), start.String(), (attempt.Ended - attempt.Started).String(),
		place, outcome(true, attempt.Outcome), because(attempt.Reason, attempt.Error))
	rows.Add(table, "queued", start.String(), attempt.Queued.String(), place, "", "until the engine had a free slot")
	ran := attempt.Ended - attempt.Started - attempt.Queued
	rows.Add(table, "ran", (start + attempt.Queued).String(), max(ran, 0).String(), place, "", "engine and delivery to the entry VM")
}

func because(reason, failure string) string {
	if failure == "" {
		return reason
	}
	return reason + "; " + failure
}
