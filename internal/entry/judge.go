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
	judgeEvery = 250 * clock.Millis(1)
	// shareLimit bounds how long a caller's answer waits until the other entry
	// VMs know of a crash, so that a resend finds them informed.
	shareLimit = 300 * time.Millisecond
	// justSent is how long an attempt without a sign of having begun counts as
	// running: the message that it began may have been lost in the crash.
	justSent = clock.Second
	// maxReports bounds the crashes in a digest.
	maxReports = 64
)

// judge keeps the suspicions of this entry VM and shares them with the others.
type judge struct {
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

func newJudge(entry *Entry) *judge {
	return &judge{
		entry: entry, flights: map[post]map[*route.Flight]struct{}{},
		blocks: map[uint64]*wire.Block{}, wanted: map[string]*wire.Command{},
	}
}

// Verdict tells how a request may run.
func (judge *judge) Verdict(request call.Call) blame.Verdict {
	config := judge.entry.view.State()
	judge.mu.Lock()
	core := judge.core
	judge.mu.Unlock()
	if core.Idle() && len(config.Blocks()) == 0 {
		return blame.Verdict{}
	}
	fingerprint, now := request.Fingerprint(), judge.entry.clock.Now()
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
func (judge *judge) Begin(flight *route.Flight) {
	at := placeOf(flight)
	judge.mu.Lock()
	defer judge.mu.Unlock()
	if judge.flights[at] == nil {
		judge.flights[at] = map[*route.Flight]struct{}{}
	}
	judge.flights[at][flight] = struct{}{}
}

// End notes that an attempt is over.
func (judge *judge) End(flight *route.Flight) {
	at := placeOf(flight)
	judge.mu.Lock()
	defer judge.mu.Unlock()
	delete(judge.flights[at], flight)
	if len(judge.flights[at]) == 0 {
		delete(judge.flights, at)
	}
}

func placeOf(flight *route.Flight) post {
	return post{flight.Candidate.Endpoint, flight.Candidate.Incarnation}
}

// Crashed suspects the requests that ran on a crashed endpoint process and
// returns when the other entry VMs know of it.
func (judge *judge) Crashed(flight *route.Flight) {
	if known, ok := judge.entry.members.Node(flight.Candidate.Endpoint); ok &&
		known.GetIncarnation() == flight.Candidate.Incarnation && known.GetState() == wire.NodeState_NODE_STATE_LEAVING {
		// It reached its shutdown limit with requests running.
		return
	}
	judge.step(blame.Crashed{Crash: judge.crash(flight)})
}

// Silent notes the requests on an endpoint that answers nothing.
func (judge *judge) Silent(flight *route.Flight) {
	judge.step(blame.Silent{Crash: judge.crash(flight)})
}

// Cleared notes that a request ran to its end in quarantine.
func (judge *judge) Cleared(request call.Call) {
	judge.step(blame.Cleared{Fingerprint: request.Fingerprint(), At: judge.entry.clock.Now()})
}

// crash describes the loss of a flight's endpoint process, with all of this
// entry VM's requests that ran there.
func (judge *judge) crash(flight *route.Flight) blame.Crash {
	now, at := judge.entry.clock.Now(), placeOf(flight)
	crash := blame.Crash{Endpoint: at.endpoint, Incarnation: at.incarnation, At: now}
	suspects := []*route.Flight{}
	if judge.ran(flight, now) {
		suspects = append(suspects, flight)
	}
	judge.mu.Lock()
	defer judge.mu.Unlock()
	for other := range judge.flights[at] {
		if other != flight && judge.ran(other, now) {
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

func (judge *judge) ran(flight *route.Flight, now clock.Millis) bool {
	// Detection takes up to the silence limit after the crash.
	return flight.Begun() || now-flight.Sent < justSent+judge.entry.settings.Entry.SilenceLimit
}

// step takes an event through the core and does what follows from it.
func (judge *judge) step(taken blame.Event) {
	judge.sharing.Lock()
	defer judge.sharing.Unlock()
	now := judge.entry.clock.Now()
	judge.mu.Lock()
	next, actions := judge.core.Step(taken, now)
	judge.core = next
	judge.mu.Unlock()
	for _, action := range actions {
		switch action := action.(type) {
		case blame.Share:
			judge.entry.log.Write(event.CrashSuspected, "endpoint", action.Crash.Endpoint, "suspects", len(action.Crash.Suspects), "alone", action.Crash.Alone, "alive", action.Crash.Alive)
			judge.share(action.Crash)
		case blame.Propose:
			judge.entry.log.Write(event.RequestBlocked, "request", action.Suspect.RequestID, "crashes", action.Crashes)
			judge.propose(action)
		}
	}
}

// share tells all known entry VMs of a crash at once. Those that miss it learn
// of it by the exchange of digests.
func (judge *judge) share(crash blame.Crash) {
	ctx, cancel := context.WithTimeout(context.Background(), shareLimit)
	defer cancel()
	var sending conc.WaitGroup
	digest := &wire.Digest{Crashes: []*wire.CrashReport{reportOf(crash)}}
	for _, peer := range judge.entry.members.Role(wire.NodeRole_NODE_ROLE_ENTRY) {
		if peer.GetNode() == judge.entry.settings.Node.Name {
			continue
		}
		sending.Go(func() {
			// An error means that the peer learns of the crash later.
			_, _ = wire.NewDRPCMemberClient(judge.entry.pool.Conn(ctx, peer.GetAddress())).Exchange(ctx, digest)
		})
	}
	sending.Wait()
}

// run follows the time and the configuration until the context ends.
func (judge *judge) run(ctx context.Context) {
	for judge.entry.clock.Sleep(ctx, judgeEvery) == nil {
		judge.follow()
		judge.step(blame.Tick{})
		judge.sendWanted(ctx)
	}
}

// seen takes an announcement of an endpoint process.
func (judge *judge) seen(announcement *wire.Announcement) {
	judge.mu.Lock()
	idle := judge.core.Idle()
	judge.mu.Unlock()
	if !idle {
		// Sharing must not hold up the answer to the announcement.
		judge.work.Go(func() {
			judge.step(blame.Seen{Endpoint: announcement.GetNode(), Incarnation: announcement.GetIncarnation()})
		})
	}
}

// absorb takes what another entry VM knows.
func (judge *judge) absorb(digest *wire.Digest) {
	for _, cleared := range digest.GetCleared() {
		judge.heard(blame.Cleared{Fingerprint: cleared.GetFingerprint(), At: clock.Millis(cleared.GetAt())})
	}
	for _, report := range digest.GetCrashes() {
		judge.heard(blame.Crashed{Crash: crashOf(report)})
	}
}

// heard takes an event that others know already, so that nothing is shared.
func (judge *judge) heard(taken blame.Event) {
	judge.mu.Lock()
	next, actions := judge.core.Step(taken, judge.entry.clock.Now())
	judge.core = next
	judge.mu.Unlock()
	for _, action := range actions {
		if proposal, ok := action.(blame.Propose); ok {
			judge.propose(proposal)
		}
	}
}

// describe adds what this entry VM knows to a digest.
func (judge *judge) describe(digest *wire.Digest) *wire.Digest {
	judge.mu.Lock()
	core := judge.core
	judge.mu.Unlock()
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
