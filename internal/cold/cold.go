// Package cold decides which endpoints count as cold, from their heartbeats and answers
// and from what happened since. It does no I/O and reads no clock. Gateways use it.
package cold

import (
	"maps"

	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// lifetime is how long an observation is kept. An endpoint without a heartbeat for that
// long has expired from the roster.
const lifetime = 5 * clock.Minute

// statement is what an endpoint stated in an answer: it is cold until the given time. It
// is as new as at.
type statement struct {
	at, until clock.Millis
}

// Table holds what a gateway observed of endpoints beside their heartbeats. It is an
// immutable value; the zero value is empty.
type Table struct {
	statements map[quota.Endpoint]statement
	// failures holds when an endpoint could last not be reached, ended when the latest
	// evacuation of a zone ended.
	failures map[quota.Endpoint]clock.Millis
	ended    map[string]clock.Millis
}

// Key identifies the start of an endpoint that a record describes.
func Key(record roster.Record) quota.Endpoint {
	return quota.Endpoint{ID: record.ID, Incarnation: uint64(record.Born)}
}

// WithAnswer records how long an endpoint stays cold by its answer to a request that was
// sent at the given time.
func (table Table) WithAnswer(endpoint quota.Endpoint, remaining, sent, now clock.Millis) Table {
	next := statement{at: now, until: now + remaining}
	if remaining == 0 {
		// The answer may have waited while the endpoint became cold.
		next.at = sent
	}
	if old, ok := table.statements[endpoint]; ok && next.at < old.at {
		return table
	}
	statements := map[quota.Endpoint]statement{endpoint: next}
	for key, old := range table.statements {
		if key != endpoint && now-old.at < lifetime {
			statements[key] = old
		}
	}
	table.statements = statements
	return table
}

// WithFailure records that an endpoint could not be reached.
func (table Table) WithFailure(endpoint quota.Endpoint, now clock.Millis) Table {
	failures := map[quota.Endpoint]clock.Millis{endpoint: now}
	for key, at := range table.failures {
		if key != endpoint && now-at < lifetime {
			failures[key] = at
		}
	}
	table.failures = failures
	return table
}

// WithEnded records that the evacuation of a zone ended.
func (table Table) WithEnded(zone string, now clock.Millis) Table {
	ended := maps.Clone(table.ended)
	if ended == nil {
		ended = map[string]clock.Millis{}
	}
	ended[zone] = max(ended[zone], now)
	table.ended = ended
	return table
}

// State is whether an endpoint counts as cold.
type State struct {
	IsCold bool
	// Until is the time at which it no longer does; zero until the next heartbeat.
	Until clock.Millis
	// Reason says why: heartbeat, answer, start, unreachable or evacuation.
	Reason string
}

// State returns whether an endpoint counts as cold. coldTime is the time for which
// endpoints of its service are cold after their start.
func (table Table) State(record roster.Record, coldTime, now clock.Millis) State {
	key := Key(record)
	// Only a heartbeat received later shows what became of the endpoint meanwhile.
	if at, ok := table.failures[key]; ok && record.ReceivedAt <= at {
		return State{IsCold: true, Reason: "unreachable"}
	}
	if at, ok := table.ended[record.Zone]; ok && (record.ReceivedAt <= at || record.ColdUnstated && now < at+coldTime) {
		return State{IsCold: true, Reason: "evacuation"}
	}
	if stated, ok := table.statements[key]; ok && stated.at >= record.ReceivedAt {
		return State{IsCold: now < stated.until, Until: stated.until, Reason: "answer"}
	}
	if record.ColdUnstated {
		until := record.FirstAt + coldTime
		return State{IsCold: now < until, Until: until, Reason: "start"}
	}
	return State{IsCold: now < record.ColdUntil, Until: record.ColdUntil, Reason: "heartbeat"}
}
