// Package route carries a call through its attempts: it dispatches to the
// endpoint process in front of the chosen engine, notices silence, and tries
// again where the work may be repeated.
package route

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/blame"
	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/ledger"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/internal/retry"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Sink takes the parts of the answer for the caller, in order and once each.
type Sink interface {
	Head(status int, contentType string)
	// Data returns an error when the caller has gone.
	Data(events [][]byte) error
}

// Result is how a call ended.
type Result struct {
	Outcome wire.Outcome
	Err     error
}

// HeaderSink is a Sink that also takes the headers of a plain service's answer.
type HeaderSink interface {
	Headers(headers []*wire.Header)
}

// Source lists the engines that may be used now.
type Source interface {
	Candidates() []place.Candidate
	// Begin and End count this entry VM's own requests on an engine.
	Begin(candidate place.Candidate)
	End(candidate place.Candidate, load *wire.EngineLoad)
	// Gone takes an endpoint process out that refuses connections.
	Gone(candidate place.Candidate)
}

// Flight is an attempt as the crash tracker sees it.
type Flight struct {
	Candidate place.Candidate
	Request   call.Call
	Alone     bool
	Sent      clock.Millis
	// Begun tells whether the attempt has left the endpoint process's queue.
	Begun func() bool
}

// CrashTracker keeps requests that crash endpoints from running on more of them.
type CrashTracker interface {
	Verdict(request call.Call) blame.Verdict
	Begin(flight *Flight)
	End(flight *Flight)
	// Crashed returns when the other entry VMs have been told.
	Crashed(flight *Flight)
	Silent(flight *Flight)
	Cleared(request call.Call)
}

// Settings of a router.
type Settings struct {
	Node         string
	SilenceLimit clock.Millis
}

// Router carries calls.
type Router struct {
	settings Settings
	pool     *link.Pool
	placer   *place.Placer
	source   Source
	crashes  CrashTracker
	ledger   *ledger.Ledger
	clock    *clock.Clock
	log      *event.Log
	room     *room

	// mu guards the fields below. It is a leaf lock.
	mu     sync.Mutex
	policy retry.Policy
	// alone counts the attempts in quarantine.
	alone int
}

// New returns a router.
func New(settings Settings, pool *link.Pool, placer *place.Placer, source Source, crashes CrashTracker, book *ledger.Ledger, ticker *clock.Clock, log *event.Log) *Router {
	return &Router{
		settings: settings, pool: pool, placer: placer, source: source, crashes: crashes, ledger: book,
		clock: ticker, log: log, room: newRoom(ticker.Now()), policy: retry.NewPolicy(),
	}
}

var (
	errNoEngine = errors.New("no engine can run this request now")
	errSilent   = errors.New("endpoint made no progress")
	errFull     = errors.New("engine has no room")
	errDeadline = errors.New("request waited as long as its tier allows")
)

// Do runs a call and passes its answer to the sink.
func (router *Router) Do(ctx context.Context, request call.Call, sink Sink) Result {
	return newDispatch(router, request, sink).run(ctx)
}

// change replaces the retry policy.
func (router *Router) change(next func(retry.Policy) retry.Policy) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.policy = next(router.policy)
}

// payRetry takes one more attempt from the retry budget.
func (router *Router) payRetry(started int) bool {
	router.mu.Lock()
	defer router.mu.Unlock()
	next, ok := router.policy.WithRetry(started)
	router.policy = next
	return ok
}

// healthy leaves out the engines that fail, unless none would be left.
func (router *Router) healthy(candidates []place.Candidate) []place.Candidate {
	router.mu.Lock()
	defer router.mu.Unlock()
	if router.policy.Detector.Quiet() {
		return candidates
	}
	names := make([]string, len(candidates))
	for at, candidate := range candidates {
		names[at] = healthKey(candidate)
	}
	usable := router.policy.Detector.Usable(names, router.clock.Now())
	kept := make([]place.Candidate, 0, len(usable))
	for at, candidate := range candidates {
		if slices.Contains(usable, names[at]) {
			kept = append(kept, candidate)
		}
	}
	return kept
}

// enterQuarantine takes one of the few quarantines that this entry VM may use
// at a time: each keeps an endpoint from other work.
func (router *Router) enterQuarantine(endpoints int) bool {
	router.mu.Lock()
	defer router.mu.Unlock()
	if router.alone >= max(1, endpoints/quarantineShare) {
		return false
	}
	router.alone++
	return true
}

func (router *Router) leaveQuarantine() {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.alone--
}
