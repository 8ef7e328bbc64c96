// Package ledger records the recent requests of an entry VM for the commands
// `show requests` and `explain request`.
package ledger

import (
	"sync"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Attempt is one attempt to execute a request.
type Attempt struct {
	Number   uint32
	Endpoint string
	Engine   string
	Reason   string
	Started  clock.Millis
	Ended    clock.Millis
	Outcome  wire.Outcome
	Error    string
	// Queued is the time that the attempt spent in the endpoint process's queue.
	Queued clock.Millis
}

// Entry is the record of one request.
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

// Ledger holds the requests in flight and the most recently finished ones.
type Ledger struct {
	maxFinished int

	// mu guards the fields below. It is a leaf lock.
	mu      sync.Mutex
	entries map[string]*Entry
	// finished holds the IDs of finished requests, oldest first.
	finished []string
}

// New returns a ledger that keeps up to maxFinished finished requests.
func New(maxFinished int) *Ledger {
	return &Ledger{maxFinished: maxFinished, entries: map[string]*Entry{}}
}

// Begin records the arrival of a request.
func (ledger *Ledger) Begin(request call.Call) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	request.Body = nil
	ledger.entries[request.ID] = &Entry{Call: request, State: Waiting}
}

// BeginAttempt records the start of an attempt.
func (ledger *Ledger) BeginAttempt(id string, attempt Attempt) {
	ledger.update(id, func(entry *Entry) {
		entry.State = Running
		entry.Attempts = append(entry.Attempts, attempt)
	})
}

// EndAttempt records the end of an attempt.
func (ledger *Ledger) EndAttempt(id string, number uint32, now, queued clock.Millis, outcome wire.Outcome, reason string) {
	ledger.update(id, func(entry *Entry) {
		for at := range entry.Attempts {
			if attempt := &entry.Attempts[at]; attempt.Number == number {
				attempt.Ended, attempt.Queued, attempt.Outcome, attempt.Error = now, queued, outcome, reason
			}
		}
	})
}

// End records the end of a request and removes the oldest finished ones.
func (ledger *Ledger) End(id string, now clock.Millis, outcome wire.Outcome, reason string, events uint64) {
	ledger.update(id, func(entry *Entry) {
		entry.State, entry.Ended, entry.Outcome, entry.Error, entry.Events = Done, now, outcome, reason, events
		ledger.finished = append(ledger.finished, id)
	})
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	for len(ledger.finished) > ledger.maxFinished {
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
