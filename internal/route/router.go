// Package route runs the attempts of a call: it sends each one to the endpoint
// process in front of the chosen engine, detects endpoints that stop answering,
// and retries where the work may be repeated. Used by the entry process.
package route

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/ledger"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/internal/retry"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Sink receives the parts of the answer for the caller, in order and once each.
type Sink interface {
	Head(status int, contentType string)
	// Data returns an error when the caller has disconnected.
	Data(events [][]byte) error
}

// Result is the outcome of a call or an attempt.
type Result struct {
	Outcome wire.Outcome
	Err     error
}

// HeaderSink is a Sink that also receives the headers of a plain service's answer.
type HeaderSink interface {
	Headers(headers []*wire.Header)
}

// Source lists the engines that may be used now.
type Source interface {
	Candidates() []place.Candidate
	// Begin and End count this entry VM's own requests on an engine.
	Begin(candidate place.Candidate)
	End(candidate place.Candidate, load *wire.EngineLoad)
	// Gone removes an endpoint process that refuses connections.
	Gone(candidate place.Candidate)
}

// Flight is an attempt in flight, for the crash tracker.
type Flight struct {
	Candidate place.Candidate
	Request   call.Call
	// Alone is set when the attempt runs in quarantine.
	Alone bool
	// Sent is when the attempt was sent.
	Sent clock.Millis
	// Begun reports whether the attempt has left the endpoint process's queue.
	Begun func() bool
}

// CrashTracker keeps requests that crash endpoints from crashing more of them.
type CrashTracker interface {
	Decide(request call.Call) crash.Decision
	Begin(flight *Flight)
	End(flight *Flight)
	// Crashed records a crash of the attempt's endpoint process. It returns
	// after the other entry VMs were informed.
	Crashed(flight *Flight)
	// Silent records that the attempt's endpoint process stopped answering.
	Silent(flight *Flight)
	// Cleared records that a request ran to its end in quarantine.
	Cleared(request call.Call)
}

// Settings are the settings of a router.
type Settings struct {
	Node string
	// SilenceLimit is the time without an answer after which an endpoint
	// process is taken to have stopped answering.
	SilenceLimit clock.Millis
}

// Router sends calls to engines.
type Router struct {
	settings Settings
	pool     *link.Pool
	placer   *place.Placer
	source   Source
	crashes  CrashTracker
	ledger   *ledger.Ledger
	clock    *clock.Clock
	log      *event.Log
	waitlist *waitlist

	// mu guards the fields below. No other lock is acquired while it is held.
	mu     sync.Mutex
	policy retry.Policy
	// quarantined counts the attempts that run in quarantine.
	quarantined int
}

// New returns a router.
func New(settings Settings, pool *link.Pool, placer *place.Placer, source Source, crashes CrashTracker, book *ledger.Ledger, ticker *clock.Clock, log *event.Log) *Router {
	return &Router{
		settings: settings, pool: pool, placer: placer, source: source, crashes: crashes, ledger: book,
		clock: ticker, log: log, waitlist: newWaitlist(ticker.Now()), policy: retry.NewPolicy(),
	}
}

var (
	errNoEngine   = errors.New("no engine can run this request now")
	errNoProgress = errors.New("endpoint made no progress")
	errFull       = errors.New("engine has no room")
	errDeadline   = errors.New("request waited as long as its tier allows")
)

// Do runs a call and writes its answer to the sink.
func (router *Router) Do(ctx context.Context, request call.Call, sink Sink) Result {
	return newDispatch(router, request, sink).run(ctx)
}

// updatePolicy replaces the retry policy by the result of next.
func (router *Router) updatePolicy(next func(retry.Policy) retry.Policy) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.policy = next(router.policy)
}

// spendRetry takes one attempt from the retry budget, and reports whether the
// budget allows it.
func (router *Router) spendRetry(started int) bool {
	router.mu.Lock()
	defer router.mu.Unlock()
	next, ok := router.policy.WithRetry(started)
	router.policy = next
	return ok
}

// healthy leaves out the engines that keep failing, unless none would be left.
func (router *Router) healthy(candidates []place.Candidate) []place.Candidate {
	router.mu.Lock()
	defer router.mu.Unlock()
	if router.policy.Detector.AllHealthy() {
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

// enterQuarantine reserves a quarantine for an attempt, and reports whether one
// was free. Their number is limited because each keeps an endpoint from other
// work.
func (router *Router) enterQuarantine(endpoints int) bool {
	router.mu.Lock()
	defer router.mu.Unlock()
	if router.quarantined >= max(1, endpoints/quarantineDivisor) {
		return false
	}
	router.quarantined++
	return true
}

func (router *Router) leaveQuarantine() {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.quarantined--
}
