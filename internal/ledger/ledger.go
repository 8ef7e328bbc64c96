// Package ledger remembers the recent requests of an entry VM, for
// `show requests` and `explain request`.
package ledger

import (
	"sync"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Attempt is one try at a request.
type Attempt struct {
	Number   uint32
	Endpoint string
	Engine   string
	Reason   string
	Started  clock.Millis
	Ended    clock.Millis
	Outcome  wire.Outcome
	Error    string
	// Queued is the time in the endpoint process's queue.
	Queued clock.Millis
}

// Entry is what is known of one request.
type Entry struct {
	Call     call.Call
	State    string
	Attempts []Attempt
	Ended    clock.Millis
	Outcome  wire.Outcome
	Error    string
	Events   uint64
}

// States of a request.
const (
	Waiting = "waiting"
	Running = "running"
	Done    = "done"
)

// Ledger holds the requests in flight and the latest finished ones.
type Ledger struct {
	limit int

	// mu guards the fields below. It is a leaf lock.
	mu      sync.Mutex
	entries map[string]*Entry
	// finished lists the ids of finished requests, oldest first.
	finished []string
}

// New returns a ledger that keeps a number of finished requests.
func New(limit int) *Ledger {
	return &Ledger{limit: limit, entries: map[string]*Entry{}}
}

// Begin records a request that came in.
func (ledger *Ledger) Begin(request call.Call) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	request.Body = nil
	ledger.entries[request.ID] = &Entry{Call: request, State: Waiting}
}

// Try records the start of an attempt.
func (ledger *Ledger) Try(id string, attempt Attempt) {
	ledger.update(id, func(entry *Entry) {
		entry.State = Running
		entry.Attempts = append(entry.Attempts, attempt)
	})
}

// Tried records the end of an attempt.
func (ledger *Ledger) Tried(id string, number uint32, now, queued clock.Millis, outcome wire.Outcome, reason string) {
	ledger.update(id, func(entry *Entry) {
		for at := range entry.Attempts {
			if try := &entry.Attempts[at]; try.Number == number {
				try.Ended, try.Queued, try.Outcome, try.Error = now, queued, outcome, reason
			}
		}
	})
}

// End records how a request ended.
func (ledger *Ledger) End(id string, now clock.Millis, outcome wire.Outcome, reason string, events uint64) {
	ledger.update(id, func(entry *Entry) {
		entry.State, entry.Ended, entry.Outcome, entry.Error, entry.Events = Done, now, outcome, reason, events
		ledger.finished = append(ledger.finished, id)
	})
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	for len(ledger.finished) > ledger.limit {
		delete(ledger.entries, ledger.finished[0])
		ledger.finished = ledger.finished[1:]
	}
}

func (ledger *Ledger) update(id string, change func(*Entry)) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if entry, ok := ledger.entries[id]; ok {
		change(entry)
	}
}

// Find returns a copy of a request's entry.
func (ledger *Ledger) Find(id string) (Entry, bool) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	entry, ok := ledger.entries[id]
	if !ok {
		return Entry{}, false
	}
	return entry.copy(), true
}

// All returns copies of all entries.
func (ledger *Ledger) All() []Entry {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	list := make([]Entry, 0, len(ledger.entries))
	for _, entry := range ledger.entries {
		list = append(list, entry.copy())
	}
	return list
}

func (entry *Entry) copy() Entry {
	result := *entry
	result.Attempts = append([]Attempt(nil), entry.Attempts...)
	return result
}
