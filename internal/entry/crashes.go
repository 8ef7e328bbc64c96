package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/dedup"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	tickInterval = 250 * clock.Millis(1)
	// shareTimeout bounds the delay of a caller's answer while a crash is sent to
	// the other entry VMs, which should know of it before the caller retries.
	shareTimeout = 300 * time.Millisecond
	// startMessageGrace is how long an attempt without a start message counts as
	// running: the message may have been lost in the crash.
	startMessageGrace = clock.Second
)

// crashTracker records which requests are suspected of crashing endpoint processes
// and exchanges crash reports with the other entry VMs.
type crashTracker struct {
	entry *Entry
	work  conc.WaitGroup

	// shareMu is held while a crash is sent to the other entry VMs. Lock order:
	// shareMu before mu.
	shareMu sync.Mutex
	// mu guards the fields below. No other lock is acquired while it is held.
	mu      sync.Mutex
	core    crash.Core
	flights map[processKey]map[*route.Flight]struct{}
	// revision and blocks are those of the configuration that was last compared.
	revision uint64
	blocks   map[uint64]*wire.Block
	// pending holds the commands that the control VMs have not accepted yet, by id.
	pending map[string]*wire.Command
}

// processKey identifies one incarnation of an endpoint process.
type processKey struct {
	endpoint    string
	incarnation uint64
}

// blockGuard refuses blocked requests before they are claimed or queued.
type blockGuard struct {
	router *route.Router
	next   *dedup.Runner
}

// Do runs a call unless its request is blocked.
func (guard blockGuard) Do(ctx context.Context, request call.Call, sink route.Sink) route.Result {
	if refusal := guard.router.Refused(request); refusal != nil {
		return *refusal
	}
	return guard.next.Do(ctx, request, sink)
}

func newCrashTracker(entry *Entry) *crashTracker {
	return &crashTracker{
		entry: entry, flights: map[processKey]map[*route.Flight]struct{}{},
		blocks: map[uint64]*wire.Block{}, pending: map[string]*wire.Command{},
	}
}

// Decide returns how a request may run: normally, alone, after a wait, or not at all.
func (tracker *crashTracker) Decide(request call.Call) crash.Decision {
	config := tracker.entry.view.State()
	tracker.mu.Lock()
	core := tracker.core
	tracker.mu.Unlock()
	if core.Idle() && len(config.Blocks()) == 0 {
		return crash.Decision{}
	}
	fingerprint, now := request.Fingerprint(), tracker.entry.clock.Now()
	decision := core.Decide(crash.Request{Fingerprint: fingerprint}, now)
	if block, ok := config.Block(fingerprint); ok && now < clock.Millis(block.GetUntil()) {
		return crash.Decision{
			Treatment: crash.Block, Until: clock.Millis(block.GetUntil()),
			Crashes: int(block.GetCrashes()), RequestID: block.GetRequestId(),
		}
	}
	return decision
}

// Begin registers an attempt that is sent.
func (tracker *crashTracker) Begin(flight *route.Flight) {
	key := processKeyOf(flight)
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.flights[key] == nil {
		tracker.flights[key] = map[*route.Flight]struct{}{}
	}
	tracker.flights[key][flight] = struct{}{}
}

// End removes an attempt that has ended.
func (tracker *crashTracker) End(flight *route.Flight) {
	key := processKeyOf(flight)
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	delete(tracker.flights[key], flight)
	if len(tracker.flights[key]) == 0 {
		delete(tracker.flights, key)
	}
}

func processKeyOf(flight *route.Flight) processKey {
	return processKey{flight.Candidate.Endpoint, flight.Candidate.Incarnation}
}

// Crashed marks the requests that ran on a crashed endpoint process as suspects
// and returns once the crash has been sent to the other entry VMs.
func (tracker *crashTracker) Crashed(flight *route.Flight) {
	if announced, ok := tracker.entry.members.Node(flight.Candidate.Endpoint); ok &&
		announced.GetIncarnation() == flight.Candidate.Incarnation && announced.GetState() == wire.NodeState_NODE_STATE_LEAVING {
		// The process reached its shutdown limit with requests running; it did not crash.
		return
	}
	tracker.step(crash.Crashed{Crash: tracker.describeCrash(flight)})
}

// Silent records the requests that run on an endpoint process that does not respond.
func (tracker *crashTracker) Silent(flight *route.Flight) {
	tracker.step(crash.Silent{Crash: tracker.describeCrash(flight)})
}

// Cleared records that a request ran to completion in quarantine.
func (tracker *crashTracker) Cleared(request call.Call) {
	tracker.step(crash.Cleared{Fingerprint: request.Fingerprint(), At: tracker.entry.clock.Now()})
}

// describeCrash returns the report of the loss of a flight's endpoint process, with
// all of this entry VM's requests that may have run there.
func (tracker *crashTracker) describeCrash(flight *route.Flight) crash.Crash {
	now, key := tracker.entry.clock.Now(), processKeyOf(flight)
	record := crash.Crash{Endpoint: key.endpoint, Incarnation: key.incarnation, At: now}
	suspects := []*route.Flight{}
	if tracker.mayHaveRun(flight, now) {
		suspects = append(suspects, flight)
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for other := range tracker.flights[key] {
		if other != flight && tracker.mayHaveRun(other, now) {
			suspects = append(suspects, other)
		}
	}
	for _, suspect := range suspects {
		if suspect.Alone && suspect.Begun() {
			// The endpoint process starts such a request only when nothing else runs.
			record.QuarantinedFingerprint = suspect.Request.Fingerprint()
		}
		record.Suspects = append(record.Suspects, crash.Suspect{
			Request:   crash.Request{Fingerprint: suspect.Request.Fingerprint()},
			RequestID: suspect.Request.ID, Customer: suspect.Request.Customer.GetName(),
		})
	}
	return record
}

func (tracker *crashTracker) mayHaveRun(flight *route.Flight, now clock.Millis) bool {
	// A crash is detected up to the silence limit after it happened.
	return flight.Begun() || now-flight.Sent < startMessageGrace+tracker.entry.settings.Entry.SilenceLimit
}

// step applies an event to the core and executes the resulting actions.
func (tracker *crashTracker) step(input crash.Event) {
	tracker.shareMu.Lock()
	defer tracker.shareMu.Unlock()
	now := tracker.entry.clock.Now()
	tracker.mu.Lock()
	next, actions := tracker.core.Step(input, now)
	tracker.core = next
	tracker.mu.Unlock()
	for _, action := range actions {
		switch action := action.(type) {
		case crash.Share:
			tracker.entry.log.Write(event.CrashSuspected, "endpoint", action.Crash.Endpoint, "suspects", len(action.Crash.Suspects), "alone", action.Crash.QuarantinedFingerprint, "alive", action.Crash.Retracted)
			tracker.share(action.Crash)
		case crash.Propose:
			tracker.entry.log.Write(event.RequestBlocked, "request", action.Suspect.RequestID, "crashes", action.Crashes)
			tracker.propose(action)
		}
	}
}

// share sends a crash report to all known entry VMs in parallel. Those that miss it
// get it with the periodic digest exchange.
func (tracker *crashTracker) share(record crash.Crash) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
	defer cancel()
	var sending conc.WaitGroup
	digest := &wire.Digest{Crashes: []*wire.CrashReport{record.Message()}}
	for _, peer := range tracker.entry.members.Role(wire.NodeRole_NODE_ROLE_ENTRY) {
		if peer.GetNode() == tracker.entry.settings.Node.Name {
			continue
		}
		sending.Go(func() {
			// After an error the peer gets the report with a later digest.
			_, _ = wire.NewDRPCMemberClient(tracker.entry.pool.Conn(ctx, peer.GetAddress())).Exchange(ctx, digest)
		})
	}
	sending.Wait()
}

// run processes timeouts, configuration changes and pending commands periodically
// until ctx ends.
func (tracker *crashTracker) run(ctx context.Context) {
	for tracker.entry.clock.Sleep(ctx, tickInterval) == nil {
		tracker.syncBlocks()
		tracker.step(crash.Tick{})
		tracker.sendPending(ctx)
	}
}

// observe processes an endpoint process's announcement, which may show that the
// process restarted or is still running.
func (tracker *crashTracker) observe(announcement *wire.Announcement) {
	tracker.mu.Lock()
	idle := tracker.core.Idle()
	tracker.mu.Unlock()
	if !idle {
		// The reply to the announcement must not wait until a crash is shared.
		tracker.work.Go(func() {
			tracker.step(crash.Announced{Endpoint: announcement.GetNode(), Incarnation: announcement.GetIncarnation()})
		})
	}
}

// mergeDigest applies the crashes and clearances in another entry VM's digest.
func (tracker *crashTracker) mergeDigest(digest *wire.Digest) {
	for _, cleared := range digest.GetCleared() {
		tracker.applyRemote(crash.Cleared{Fingerprint: cleared.GetFingerprint(), At: clock.Millis(cleared.GetAt())})
	}
	for _, report := range digest.GetCrashes() {
		tracker.applyRemote(crash.Crashed{Crash: crash.FromMessage(report)})
	}
}

// applyRemote applies an event that came from another entry VM or from the
// configuration, without sending it to the other entry VMs again.
func (tracker *crashTracker) applyRemote(input crash.Event) {
	tracker.mu.Lock()
	next, actions := tracker.core.Step(input, tracker.entry.clock.Now())
	tracker.core = next
	tracker.mu.Unlock()
	for _, action := range actions {
		if proposal, ok := action.(crash.Propose); ok {
			tracker.propose(proposal)
		}
	}
}

// addCrashes adds this entry VM's crash reports and clearances to a digest.
func (tracker *crashTracker) addCrashes(digest *wire.Digest) *wire.Digest {
	tracker.mu.Lock()
	core := tracker.core
	tracker.mu.Unlock()
	if core.Idle() {
		return digest
	}
	crashes := core.Crashes()
	for _, record := range crashes[:min(len(crashes), crash.MaxSharedCrashes)] {
		digest.Crashes = append(digest.Crashes, record.Message())
	}
	for fingerprint, at := range core.Cleared() {
		digest.Cleared = append(digest.Cleared, &wire.Clearance{Fingerprint: fingerprint, At: int64(at)})
	}
	return digest
}
