// Package quota keeps the sum of all gateways within the limits that endpoints name.
// Limits are observed in answers and shared by all processes; the control leader
// grants each request to a limited endpoint. A gateway without a leader uses its own
// share. The package does no I/O and reads no clock. Gateways and control VMs use it.
package quota

import (
	"maps"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// minLifetime and maxLifetime bound how long a limit holds after the last answer that
	// named it.
	minLifetime = 15 * clock.Second
	maxLifetime = clock.Minute
	// answersPerLifetime is the number of answers, at the named rate, within which a limit
	// is named again or has ended.
	answersPerLifetime = 3
	// refreshInterval is the time after which an unchanged limit is shared again, so that
	// it does not expire at processes that get no answers of the endpoint.
	refreshInterval = 5 * clock.Second
)

// Endpoint is one start of an endpoint.
type Endpoint struct {
	ID          string
	Incarnation uint64
}

// Limit is what an endpoint last stated of the requests that it takes.
type Limit struct {
	Endpoint Endpoint
	// Rate is the number of requests a second from all gateways together.
	Rate float64
	// Lifted is set when the latest answer named no limit.
	Lifted bool
	// At is the time of the answer.
	At clock.Millis
	// Cold is set when the endpoint named no limit but is cold; see NewCold. Burst is then
	// the number of requests that it may get at once, and Half the number in any second
	// from the gateways that reach the leader, and as many from those that do not.
	Cold        bool
	Burst, Half float64
}

// Holds reports whether the limit must be kept to.
func (limit Limit) Holds(now clock.Millis) bool {
	return !limit.Lifted && now-limit.At < limit.lifetime()
}

func (limit Limit) lifetime() clock.Millis {
	if limit.Rate*float64(maxLifetime) <= answersPerLifetime*float64(clock.Second) {
		return maxLifetime
	}
	return max(minLifetime, clock.Millis(answersPerLifetime*float64(clock.Second)/limit.Rate))
}

// entry is a limit and the revision of the table in which it was last shared.
type entry struct {
	Limit
	sharedAt clock.Millis
	revision uint64
}

// Table holds the limits by endpoint. It is an immutable value; the zero value is
// empty.
type Table struct {
	entries  map[Endpoint]entry
	revision uint64
}

// With merges what an endpoint stated. The latest answer counts.
func (table Table) With(limit Limit) Table {
	old, known := table.entries[limit.Endpoint]
	if known && limit.At <= old.At || !known && limit.Lifted {
		return table
	}
	next := entry{Limit: limit, sharedAt: old.sharedAt, revision: old.revision}
	isNews := !known || old.Rate != limit.Rate || old.Lifted != limit.Lifted || limit.At-old.sharedAt >= refreshInterval
	if isNews {
		table.revision++
		next.sharedAt, next.revision = limit.At, table.revision
	}
	table.entries = maps.Clone(table.entries)
	if table.entries == nil {
		table.entries = map[Endpoint]entry{}
	}
	table.entries[limit.Endpoint] = next
	return table
}

// WithUnlimited records an answer that named no limit, to a request that was sent at
// the given time. An answer that may be older than the latest naming is ignored.
func (table Table) WithUnlimited(endpoint Endpoint, sent, now clock.Millis) Table {
	old, known := table.entries[endpoint]
	if !known || old.Lifted || sent <= old.At {
		return table
	}
	return table.With(Limit{Endpoint: endpoint, Lifted: true, At: now})
}

// Expired returns the table without limits that no longer hold, once they need not be
// shared any more.
func (table Table) Expired(now clock.Millis) Table {
	next := maps.Clone(table.entries)
	maps.DeleteFunc(next, func(_ Endpoint, old entry) bool { return now-old.At >= 2*maxLifetime })
	table.entries = next
	return table
}

// Limit returns the limit of an endpoint if it holds.
func (table Table) Limit(endpoint Endpoint, now clock.Millis) (Limit, bool) {
	known, ok := table.entries[endpoint]
	if !ok || !known.Holds(now) {
		return Limit{}, false
	}
	return known.Limit, true
}

// Revision returns the number of changes that other processes need to know.
func (table Table) Revision() uint64 { return table.revision }

// Since returns the limits that changed after a revision.
func (table Table) Since(revision uint64) []Limit {
	var list []Limit
	for _, known := range table.entries {
		if known.revision > revision {
			list = append(list, known.Limit)
		}
	}
	return list
}
