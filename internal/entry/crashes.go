package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/blame"
	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/once"
	"github.com/hibiscuslug/hibiscuslug/internal/route"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	shareEvery = 250 * clock.Millis(1)
	// shareLimit bounds how long a caller's answer waits until the other entry
	// VMs know of a crash, so that a resend finds them informed.
	shareLimit = 300 * time.Millisecond
	// justSent is how long an attempt without a sign of having begun counts as
	// running: the message that it began may have been lost in the crash.
	justSent = clock.Second
	// maxReports bounds the crashes in a digest.
	maxReports = 64
)

// crashTracker keeps the suspicions of this entry VM and shares them with the others.
type crashTracker struct {
	entry *Entry
	work  conc.WaitGroup

	// sharing is held while a crash is being shared. It comes before mu.
	sharing sync.Mutex
	// mu guards the fields below. It is a leaf lock.
	mu       sync.Mutex
	core     blame.Core
	flights  map[post]map[*route.Flight]struct{}
	revision uint64
	blocks   map[uint64]*wire.Block
	wanted   map[string]*wire.Command
}

// post is one incarnation of an endpoint process.
type post struct {
	endpoint    string
	incarnation uint64
}

// guard refuses blocked requests before anything else is done for them.
type guard struct {
	router *route.Router
	next   *once.Once
}

// Do runs a call unless it is blocked.
func (guard guard) Do(ctx context.Context, request call.Call, sink route.Sink) route.Result {
	if refusal := guard.router.Refused(request); refusal != nil {
		return *refusal
	}
	return guard.next.Do(ctx, request, sink)
}

func newCrashTracker(entry *Entry) *crashTracker {
	return &crashTracker{
		entry: entry, flights: map[post]map[*route.Flight]struct{}{},
		blocks: map[uint64]*wire.Block{}, wanted: map[string]*wire.Command{},
	}
}

// Verdict tells how a request may run.
func (tracker *crashTracker) Verdict(request call.Call) blame.Verdict {
	config := tracker.entry.view.State()
	tracker.mu.Lock()
	core := tracker.core
	tracker.mu.Unlock()
	if core.Idle() && len(config.Blocks()) == 0 {
		return blame.Verdict{}
	}
	fingerprint, now := request.Fingerprint(), tracker.entry.clock.Now()
	verdict := core.Verdict(fingerprint, now)
	if block, ok := config.Block(fingerprint); ok && now < clock.Millis(block.GetUntil()) {
		return blame.Verdict{
			Standing: blame.Refuse, Until: clock.Millis(block.GetUntil()),
			Crashes: int(block.GetCrashes()), RequestID: block.GetRequestId(),
		}
	}
	return verdict
}

// Begin notes an attempt that is sent.
func (tracker *crashTracker) Begin(flight *route.Flight) {
	at := placeOf(flight)
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.flights[at] == nil {
		tracker.flights[at] = map[*route.Flight]struct{}{}
	}
	tracker.flights[at][flight] = struct{}{}
}

// End notes that an attempt is over.
func (tracker *crashTracker) End(flight *route.Flight) {
	at := placeOf(flight)
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	delete(tracker.flights[at], flight)
	if len(tracker.flights[at]) == 0 {
		delete(tracker.flights, at)
	}
}

func placeOf(flight *route.Flight) post {
	return post{flight.Candidate.Endpoint, flight.Candidate.Incarnation}
}

// Crashed suspects the requests that ran on a crashed endpoint process and
// returns when the other entry VMs know of it.
func (tracker *crashTracker) Crashed(flight *route.Flight) {
	if known, ok := tracker.entry.members.Node(flight.Candidate.Endpoint); ok &&
		known.GetIncarnation() == flight.Candidate.Incarnation && known.GetState() == wire.NodeState_NODE_STATE_LEAVING {
		// It reached its shutdown limit with requests running.
		return
	}
	tracker.step(blame.Crashed{Crash: tracker.crash(flight)})
}

// Silent notes the requests on an endpoint that answers nothing.
func (tracker *crashTracker) Silent(flight *route.Flight) {
	tracker.step(blame.Silent{Crash: tracker.crash(flight)})
}

// Cleared notes that a request ran to its end in quarantine.
func (tracker *crashTracker) Cleared(request call.Call) {
	tracker.step(blame.Cleared{Fingerprint: request.Fingerprint(), At: tracker.entry.clock.Now()})
}

// crash describes the loss of a flight's endpoint process, with all of this
// entry VM's requests that ran there.
func (tracker *crashTracker) crash(flight *route.Flight) blame.Crash {
	now, at := tracker.entry.clock.Now(), placeOf(flight)
	crash := blame.Crash{Endpoint: at.endpoint, Incarnation: at.incarnation, At: now}
	suspects := []*route.Flight{}
	if tracker.ran(flight, now) {
		suspects = append(suspects, flight)
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for other := range tracker.flights[at] {
		if other != flight && tracker.ran(other, now) {
			suspects = append(suspects, other)
		}
	}
	for _, suspect := range suspects {
		if suspect.Alone && suspect.Begun() {
			// The endpoint process starts it only when nothing else runs.
			crash.Alone = suspect.Request.Fingerprint()
		}
		crash.Suspects = append(crash.Suspects, blame.Suspect{
			Fingerprint: suspect.Request.Fingerprint(), RequestID: suspect.Request.ID, Customer: suspect.Request.Customer.GetName(),
		})
	}
	return crash
}

func (tracker *crashTracker) ran(flight *route.Flight, now clock.Millis) bool {
	// Detection takes up to the silence limit after the crash.
	return flight.Begun() || now-flight.Sent < justSent+tracker.entry.settings.Entry.SilenceLimit
}

// step takes an event through the core and does what follows from it.
func (tracker *crashTracker) step(taken blame.Event) {
	tracker.sharing.Lock()
	defer tracker.sharing.Unlock()
	now := tracker.entry.clock.Now()
	tracker.mu.Lock()
	next, actions := tracker.core.Step(taken, now)
	tracker.core = next
	tracker.mu.Unlock()
	for _, action := range actions {
		switch action := action.(type) {
		case blame.Share:
			tracker.entry.log.Write(event.CrashSuspected, "endpoint", action.Crash.Endpoint, "suspects", len(action.Crash.Suspects), "alone", action.Crash.Alone, "alive", action.Crash.Alive)
			tracker.share(action.Crash)
		case blame.Propose:
			tracker.entry.log.Write(event.RequestBlocked, "request", action.Suspect.RequestID, "crashes", action.Crashes)
			tracker.propose(action)
		}
	}
}

// share tells all known entry VMs of a crash at once. Those that miss it learn
// of it by the exchange of digests.
func (tracker *crashTracker) share(crash blame.Crash) {
	ctx, cancel := context.WithTimeout(context.Background(), shareLimit)
	defer cancel()
	var sending conc.WaitGroup
	digest := &wire.Digest{Crashes: []*wire.CrashReport{reportOf(crash)}}
	for _, peer := range tracker.entry.members.Role(wire.NodeRole_NODE_ROLE_ENTRY) {
		if peer.GetNode() == tracker.entry.settings.Node.Name {
			continue
		}
		sending.Go(func() {
			// An error means that the peer learns of the crash later.
			_, _ = wire.NewDRPCMemberClient(tracker.entry.pool.Conn(ctx, peer.GetAddress())).Exchange(ctx, digest)
		})
	}
	sending.Wait()
}

// run follows the time and the configuration until the context ends.
func (tracker *crashTracker) run(ctx context.Context) {
	for tracker.entry.clock.Sleep(ctx, shareEvery) == nil {
		tracker.follow()
		tracker.step(blame.Tick{})
		tracker.sendWanted(ctx)
	}
}

// seen takes an announcement of an endpoint process.
func (tracker *crashTracker) seen(announcement *wire.Announcement) {
	tracker.mu.Lock()
	idle := tracker.core.Idle()
	tracker.mu.Unlock()
	if !idle {
		// Sharing must not hold up the answer to the announcement.
		tracker.work.Go(func() {
			tracker.step(blame.Announced{Endpoint: announcement.GetNode(), Incarnation: announcement.GetIncarnation()})
		})
	}
}

// absorb takes what another entry VM knows.
func (tracker *crashTracker) absorb(digest *wire.Digest) {
	for _, cleared := range digest.GetCleared() {
		tracker.heard(blame.Cleared{Fingerprint: cleared.GetFingerprint(), At: clock.Millis(cleared.GetAt())})
	}
	for _, report := range digest.GetCrashes() {
		tracker.heard(blame.Crashed{Crash: crashOf(report)})
	}
}

// heard takes an event that others know already, so that nothing is shared.
func (tracker *crashTracker) heard(taken blame.Event) {
	tracker.mu.Lock()
	next, actions := tracker.core.Step(taken, tracker.entry.clock.Now())
	tracker.core = next
	tracker.mu.Unlock()
	for _, action := range actions {
		if proposal, ok := action.(blame.Propose); ok {
			tracker.propose(proposal)
		}
	}
}

// describe adds what this entry VM knows to a digest.
func (tracker *crashTracker) describe(digest *wire.Digest) *wire.Digest {
	tracker.mu.Lock()
	core := tracker.core
	tracker.mu.Unlock()
	if core.Idle() {
		return digest
	}
	crashes := core.Crashes()
	for _, crash := range crashes[:min(len(crashes), maxReports)] {
		digest.Crashes = append(digest.Crashes, reportOf(crash))
	}
	for fingerprint, at := range core.Cleared() {
		digest.Cleared = append(digest.Cleared, &wire.Clearance{Fingerprint: fingerprint, At: int64(at)})
	}
	return digest
}

func reportOf(crash blame.Crash) *wire.CrashReport {
	report := &wire.CrashReport{
		Endpoint: crash.Endpoint, Incarnation: crash.Incarnation, At: int64(crash.At), Alone: crash.Alone, Alive: crash.Alive,
	}
	for _, suspect := range crash.Suspects {
		report.Suspects = append(report.Suspects, &wire.Suspect{
			Fingerprint: suspect.Fingerprint, RequestId: suspect.RequestID, Customer: suspect.Customer,
		})
	}
	return report
}

func crashOf(report *wire.CrashReport) blame.Crash {
	crash := blame.Crash{
		Endpoint: report.GetEndpoint(), Incarnation: report.GetIncarnation(), At: clock.Millis(report.GetAt()),
		Alone: report.GetAlone(), Alive: report.GetAlive(),
	}
	for _, suspect := range report.GetSuspects() {
		crash.Suspects = append(crash.Suspects, blame.Suspect{
			Fingerprint: suspect.GetFingerprint(), RequestID: suspect.GetRequestId(), Customer: suspect.GetCustomer(),
		})
	}
	return crash
}
