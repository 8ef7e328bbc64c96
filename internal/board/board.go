// Package board holds what a process knows of endpoints from their answers, crashes,
// limits and notices, its own observations and those of other processes, and decides by
// it which requests may be sent. Gateways and control VMs use it and exchange its evidence
// in their polls.
package board

import (
	"strings"
	"sync"

	"github.com/hibiscuslug/hibiscuslug/internal/begun"
	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/notice"
	"github.com/hibiscuslug/hibiscuslug/internal/quota"
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
	limits  quota.Table
	notices notice.Table
	// buckets grants requests to limited endpoints while this process is the control
	// leader.
	buckets quota.Buckets
	// changed is closed and replaced when the evidence changes.
	changed chan struct{}
}

// Revision tells how far a process has received the evidence of another one.
type Revision struct{ Crashes, Limits, Notices uint64 }

// RevisionOf returns the revision of a message; zero for none.
func RevisionOf(message *wire.Evidence) Revision {
	return Revision{Crashes: message.GetRevision(), Limits: message.GetLimitRevision(), Notices: message.GetNoticeRevision()}
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
	board.announce()
}

// announce wakes those who wait for a change. The caller holds mu.
func (board *Board) announce() {
	close(board.changed)
	board.changed = make(chan struct{})
}

// requestIDs lists the ids of the requests at a crash for the log.
func requestIDs(record crash.Crash) string {
	list := make([]string, len(record.Suspects))
	for at, suspect := range record.Suspects {
		list[at] = suspect.RequestID
	}
	return strings.Join(list, ",")
}

// Begun records that the answer to a request began.
func (board *Board) Begun(request crash.Request) {
	now := board.clock.Now()
	board.mu.Lock()
	defer board.mu.Unlock()
	for _, part := range request.Parts {
		board.history.Put(part, now)
		if board.core.IsSuspect(part) {
			board.apply(crash.Begun{Part: part, At: now})
		}
	}
}

// Survived records that the answer to a request has gone on for crash.SurvivalTime. That
// exonerates the parts of its prompt, not yet the request.
func (board *Board) Survived(request crash.Request) {
	board.mu.Lock()
	defer board.mu.Unlock()
	board.setSurvived(request.Parts)
}

// Completed records that the answer to a request, whose begin was recorded, is complete.
func (board *Board) Completed(request crash.Request) {
	board.mu.Lock()
	defer board.mu.Unlock()
	board.setSurvived(request.Parts)
	if board.core.IsSuspectRequest(request.Fingerprint) {
		board.apply(crash.Cleared{Fingerprint: request.Fingerprint, At: board.clock.Now()})
	}
}

// setSurvived records that an answer with prompt parts went on. The caller holds mu.
func (board *Board) setSurvived(parts []uint64) {
	now := board.clock.Now()
	for _, part := range parts {
		if board.core.IsSuspect(part) {
			board.apply(crash.Survived{Part: part, At: now})
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

// Evidence returns the evidence that is newer than a revision, or nil if none is, and a
// channel that is closed when it changes.
func (board *Board) Evidence(since Revision) (*wire.Evidence, <-chan struct{}) {
	board.mu.Lock()
	defer board.mu.Unlock()
	hasCrashes, hasLimits := board.core.Revision() > since.Crashes, board.limits.Revision() > since.Limits
	if hasNotices := board.notices.Revision() > since.Notices; !hasCrashes && !hasLimits && !hasNotices {
		return nil, board.changed
	}
	now := board.clock.Now()
	message := &wire.Evidence{
		Revision: board.core.Revision(), LimitRevision: board.limits.Revision(), NoticeRevision: board.notices.Revision(), Now: int64(now),
	}
	if hasCrashes {
		board.core.AddTo(message, since.Crashes)
	}
	for _, limit := range board.limits.Since(since.Limits) {
		message.Limits = append(message.Limits, limit.Message(now))
	}
	for _, told := range board.notices.Since(since.Notices, now) {
		message.Notices = append(message.Notices, told.Message(now))
	}
	return message, board.changed
}

// Merge adds the evidence of another process.
func (board *Board) Merge(message *wire.Evidence) {
	if message == nil {
		return
	}
	board.mu.Lock()
	defer board.mu.Unlock()
	now := board.clock.Now()
	for _, input := range crash.Events(message, now) {
		board.apply(input)
	}
	for _, limit := range message.GetLimits() {
		board.setLimits(board.limits.With(quota.FromMessage(limit, now)))
	}
	for _, message := range message.GetNotices() {
		told := notice.FromMessage(message, now)
		board.setNotices(board.notices.With(told), told.Endpoint)
	}
}

// Noticed records what an endpoint stated of its readiness in an answer to this
// process: that it leaves, and for how long it wants no requests.
func (board *Board) Noticed(endpoint quota.Endpoint, isLeaving bool, pause clock.Millis) {
	if !isLeaving && pause <= 0 {
		return
	}
	board.mu.Lock()
	defer board.mu.Unlock()
	observed := notice.Notice{Endpoint: endpoint, Leaving: isLeaving, At: board.clock.Now()}
	if pause > 0 {
		observed.PauseEnd = observed.At + min(pause, notice.MaxPause)
	}
	board.setNotices(board.notices.WithOwn(observed), endpoint)
}

// SetPace tells all processes that an endpoint is slower than usual by a factor, for 3 s
// from now on. A pace of at most 1 ends it. Only the control leader may set it.
func (board *Board) SetPace(endpoint quota.Endpoint, pace float64) {
	board.mu.Lock()
	defer board.mu.Unlock()
	board.setNotices(board.notices.WithOwn(notice.Slow(endpoint, pace, board.clock.Now())), endpoint)
}

// Notices returns the notices that are known.
func (board *Board) Notices() notice.Table {
	board.mu.Lock()
	defer board.mu.Unlock()
	return board.notices
}

// Notice returns what counts of a start of an endpoint now.
func (board *Board) Notice(endpoint quota.Endpoint) notice.State {
	return board.Notices().State(endpoint, board.clock.Now())
}

// setNotices replaces the notices and logs what begins or ends at an endpoint. The
// caller holds mu.
func (board *Board) setNotices(next notice.Table, endpoint quota.Endpoint) {
	before := board.notices
	board.notices = next
	now := board.clock.Now()
	was, is := before.State(endpoint, now), next.State(endpoint, now)
	if is.Leaving && !was.Leaving {
		board.log.Write(event.LeavingNoticed, "endpoint", endpoint.ID, "incarnation", endpoint.Incarnation)
	}
	if is.OwnPause > 0 && was.OwnPause == 0 || is.ToldPause > 0 && was.ToldPause == 0 {
		board.log.Write(event.PauseNoticed, "endpoint", endpoint.ID, "incarnation", endpoint.Incarnation, "own", is.OwnPause > 0,
			"left", max(is.OwnPause, is.ToldPause)-now)
	}
	if is.Pace > 0 != (was.Pace > 0) {
		board.log.Write(event.PaceNoticed, "endpoint", endpoint.ID, "incarnation", endpoint.Incarnation, "pace", is.Pace)
	}
	if next.Revision() != before.Revision() {
		board.announce()
	}
}

// Answered records the limit that an endpoint named in an answer, nil for none, to a
// request that was sent at the given time.
func (board *Board) Answered(endpoint quota.Endpoint, limit *float64, sent clock.Millis) {
	board.mu.Lock()
	defer board.mu.Unlock()
	now := board.clock.Now()
	if limit == nil {
		board.setLimits(board.limits.WithUnlimited(endpoint, sent, now))
		return
	}
	board.setLimits(board.limits.With(quota.Limit{Endpoint: endpoint, Rate: *limit, At: now}))
}

// setLimits replaces the limits and logs those that differ. The caller holds mu.
func (board *Board) setLimits(next quota.Table) {
	before := board.limits
	board.limits = next
	if next.Revision() == before.Revision() {
		return
	}
	now := board.clock.Now()
	for _, limit := range next.Since(before.Revision()) {
		if old, ok := before.Limit(limit.Endpoint, now); ok == limit.Lifted || old.Rate != limit.Rate {
			board.log.Write(event.LimitChanged, "endpoint", limit.Endpoint.ID, "incarnation", limit.Endpoint.Incarnation, "limit", limit.Rate,
				"lifted", limit.Lifted, "age", now-limit.At)
		}
	}
	board.announce()
}

// Limit returns the limit of an endpoint if it names one.
func (board *Board) Limit(endpoint quota.Endpoint) (quota.Limit, bool) {
	board.mu.Lock()
	defer board.mu.Unlock()
	return board.limits.Limit(endpoint, board.clock.Now())
}

// Permit grants a request to the first endpoint that may get one, of those that a
// gateway knows as limited or cold. It returns the endpoint, or the time until one may get a
// request. Only the control leader may grant.
func (board *Board) Permit(asked []*wire.EndpointLimit, isUrgent bool) (endpoint string, wait clock.Millis) {
	board.mu.Lock()
	defer board.mu.Unlock()
	now := board.clock.Now()
	limits := make([]quota.Limit, len(asked))
	for at, message := range asked {
		limits[at] = quota.FromMessage(message, now)
		if limits[at].Cold {
			// It follows from the configuration and is not evidence.
			continue
		}
		board.setLimits(board.limits.With(limits[at]))
		if current, ok := board.limits.Limit(limits[at].Endpoint, now); ok {
			limits[at] = current
		}
	}
	return quota.First(limits, func(group []quota.Limit) (bool, clock.Millis) {
		return board.buckets.TakeAll(group, isUrgent, now)
	})
}

// Record replaces the blocks for crashes by those of the configuration.
func (board *Board) Record(blocks []*wire.CrashBlock) {
	records := make([]crash.Record, len(blocks))
	for at, block := range blocks {
		records[at] = crash.RecordFromMessage(block)
	}
	board.Step(crash.Recorded{Records: records})
}

// Unrecorded returns the blocks for crashes that the configuration lacks, and ends of
// those that it should no longer hold.
func (board *Board) Unrecorded() []crash.Record {
	board.mu.Lock()
	core := board.core
	board.mu.Unlock()
	return core.Unrecorded(board.clock.Now())
}

// Expire drops evidence that is too old to count.
func (board *Board) Expire() {
	board.Step(crash.Tick{})
	board.mu.Lock()
	defer board.mu.Unlock()
	board.limits = board.limits.Expired(board.clock.Now())
	board.notices = board.notices.Expired(board.clock.Now())
}
