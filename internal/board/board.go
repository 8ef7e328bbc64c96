// Package board holds what a process knows of crashes of endpoints, its own
// observations and those of other processes, and decides by it which requests may be
// sent. Gateways and control VMs use it and exchange its evidence in their polls.
package board

import (
	"sync"

	"github.com/hibiscuslug/hibiscuslug/internal/begun"
	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Board is safe for concurrent use.
type Board struct {
	clock *clock.Clock
	log   *event.Log

	// mu guards the fields below. It is a leaf lock.
	mu   sync.Mutex
	core crash.Core
	// history holds the begins of answers that this process has seen.
	history begun.Table
	// changed is closed and replaced when the evidence changes.
	changed chan struct{}
}

// New returns a board without evidence.
func New(ticker *clock.Clock, log *event.Log) *Board {
	return &Board{clock: ticker, log: log, changed: make(chan struct{})}
}

// Step applies an event that this process has observed.
func (board *Board) Step(observed crash.Event) {
	board.mu.Lock()
	defer board.mu.Unlock()
	board.apply(observed)
}

// apply applies an event and adds what this process knows of its prompt parts. The
// caller holds mu.
func (board *Board) apply(input crash.Event) {
	before := board.core.Revision()
	next, actions := board.core.Step(input, board.clock.Now())
	board.core = next
	for _, action := range actions {
		share, ok := action.(crash.Share)
		if !ok {
			// Each process derives the same blocks from the evidence.
			continue
		}
		board.log.Write(event.CrashSuspected, "endpoint", share.Crash.Endpoint, "incarnation", share.Crash.Incarnation, "suspects", requestIDs(share.Crash),
			"age", board.clock.Now()-share.Crash.At, "alive", share.Crash.Retracted)
	}
	if board.core.Revision() == before {
		return
	}
	for _, part := range board.core.Suspicious() {
		if at, ok := board.history.At(part); ok {
			board.core, _ = board.core.Step(crash.Begun{Part: part, At: at}, board.clock.Now())
		}
	}
	close(board.changed)
	board.changed = make(chan struct{})
}

func requestIDs(record crash.Crash) []string {
	list := make([]string, len(record.Suspects))
	for at, suspect := range record.Suspects {
		list[at] = suspect.RequestID
	}
	return list
}

// Begun records that an answer to a request with the given prompt parts began.
func (board *Board) Begun(parts []uint64) {
	now := board.clock.Now()
	board.mu.Lock()
	defer board.mu.Unlock()
	for _, part := range parts {
		board.history.Put(part, now)
		if board.core.IsSuspect(part) {
			board.apply(crash.Begun{Part: part, At: now})
		}
	}
}

// Idle reports whether there is no evidence, so that every request may run as usual.
func (board *Board) Idle() bool {
	board.mu.Lock()
	defer board.mu.Unlock()
	return board.core.Idle()
}

// Decide returns how a request may run now.
func (board *Board) Decide(request crash.Request) crash.Decision {
	board.mu.Lock()
	core := board.core
	board.mu.Unlock()
	return core.Decide(request, board.clock.Now())
}

// Silent returns the endpoints that stopped answering and may have crashed.
func (board *Board) Silent() []crash.Crash {
	board.mu.Lock()
	defer board.mu.Unlock()
	return board.core.Silent()
}

// Crashes returns the crashes that are known, newest first.
func (board *Board) Crashes() []crash.Crash {
	board.mu.Lock()
	defer board.mu.Unlock()
	return board.core.Crashes()
}

// Probe grants a probe of a request, at most one at a time.
func (board *Board) Probe(request crash.Request) bool {
	board.mu.Lock()
	defer board.mu.Unlock()
	next, granted := board.core.WithProbe(request, board.clock.Now())
	board.core = next
	return granted
}

// Evidence returns the evidence if it is newer than a revision, or else nil, and a
// channel that is closed when it changes.
func (board *Board) Evidence(revision uint64) (*wire.Evidence, <-chan struct{}) {
	board.mu.Lock()
	defer board.mu.Unlock()
	if board.core.Revision() <= revision {
		return nil, board.changed
	}
	return board.core.Evidence(board.clock.Now()), board.changed
}

// Merge adds the evidence of another process.
func (board *Board) Merge(message *wire.Evidence) {
	if message == nil {
		return
	}
	board.mu.Lock()
	defer board.mu.Unlock()
	for _, input := range crash.Events(message, board.clock.Now()) {
		board.apply(input)
	}
}

// Expire drops evidence that is too old to count.
func (board *Board) Expire() { board.Step(crash.Tick{}) }
