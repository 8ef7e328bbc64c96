package endpt

import (
	"context"
	"slices"
	"sync"

	"github.com/hibiscuslug/hibiscuslug/internal/engine"
	"github.com/hibiscuslug/hibiscuslug/internal/span"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// attempt is one attempt with its buffered answers. Answers are kept until the
// attempt is swept, so that an entry VM can reattach on a new connection.
type attempt struct {
	request *wire.Attempt
	clock   *clock.Clock
	arrived clock.Millis

	// mu guards the fields below. It is a leaf lock.
	mu    sync.Mutex
	state wire.AttemptState
	// answers are those from the sequence number first on; those before sent were sent
	// on a stream.
	answers     []*wire.Answer
	first, sent uint64
	// held counts the bytes of answers, unsent of those that no stream has sent.
	held, unsent int64
	memory       *memory
	changed      chan struct{}
	// stopped is closed once a running attempt is not wanted any more.
	stopped  <-chan struct{}
	attached int
	// idleSince is when the last stream detached.
	idleSince clock.Millis
	cancel    context.CancelFunc
	started   clock.Millis
	produced  uint64
	tracer    *span.Tracer
	hop       *span.Hop
	// delivered is set once the last answer was sent on a stream.
	delivered bool
}

func newAttempt(request *wire.Attempt, ticker *clock.Clock) *attempt {
	now := ticker.Now()
	return &attempt{
		request: request, clock: ticker, arrived: now, idleSince: now,
		state: wire.AttemptState_ATTEMPT_STATE_QUEUED, changed: make(chan struct{}),
	}
}

// withTracer makes the attempt record its trace spans.
func (run *attempt) withTracer(tracer *span.Tracer) *attempt {
	run.tracer = tracer
	return run
}

// withMemory makes the attempt count the bytes that it holds.
func (run *attempt) withMemory(memory *memory) *attempt {
	run.memory = memory
	return run
}

// Head records the status and headers of the engine's answer.
func (run *attempt) Head(status int, contentType string, headers []*wire.Header) {
	run.add(&wire.Answer{Kind: wire.AnswerKind_ANSWER_KIND_HEAD, Status: uint32(status), ContentType: contentType, Headers: headers})
}

// Data records a batch of events or a body chunk of the engine's answer. It waits while
// the attempt holds as much as it may, and returns an error once the attempt is not wanted
// any more or its answer cannot be kept.
func (run *attempt) Data(events [][]byte) error {
	answer := &wire.Answer{Kind: wire.AnswerKind_ANSWER_KIND_DATA, Events: events}
	run.mu.Lock()
	defer run.mu.Unlock()
	if err := run.awaitRoom(answerBytes(answer)); err != nil {
		return err
	}
	run.addLocked(answer)
	return nil
}

func (run *attempt) add(answer *wire.Answer) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.addLocked(answer)
}

func (run *attempt) addLocked(answer *wire.Answer) {
	answer.RequestId = run.request.GetRequestId()
	answer.Attempt = run.request.GetAttempt()
	answer.Sequence = run.nextLocked()
	run.answers = append(run.answers, answer)
	run.hold(answerBytes(answer))
	run.produced += uint64(len(answer.GetEvents()))
	run.wakeLocked()
}

// nextLocked returns the sequence number of the next answer.
func (run *attempt) nextLocked() uint64 { return run.first + uint64(len(run.answers)) }

// wakeLocked wakes the streams that wait for a change of the attempt.
func (run *attempt) wakeLocked() {
	close(run.changed)
	run.changed = make(chan struct{})
}

// begin moves the attempt from queued to running, unless it was fenced.
func (run *attempt) begin(ctx context.Context, cancel context.CancelFunc) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.state != wire.AttemptState_ATTEMPT_STATE_QUEUED {
		return false
	}
	run.state = wire.AttemptState_ATTEMPT_STATE_RUNNING
	run.cancel, run.stopped = cancel, ctx.Done()
	run.started = run.clock.Now()
	parent := run.request.GetTraceparent()
	run.tracer.Record(parent, "queue", run.arrived, run.started)
	run.hop = run.tracer.Start(parent, "run", span.Text("engine", run.request.GetEngine()))
	run.request.Traceparent = run.hop.Traceparent(parent)
	run.wakeLocked()
	return true
}

// finish records the last answer, unless the attempt ended or was fenced before.
func (run *attempt) finish(result engine.Result, load *wire.EngineLoad) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.state == wire.AttemptState_ATTEMPT_STATE_FINISHED || run.state == wire.AttemptState_ATTEMPT_STATE_FENCED {
		return
	}
	run.state = wire.AttemptState_ATTEMPT_STATE_FINISHED
	run.endLocked(result, load)
}

// fence refuses the attempt if it has not started, and returns its state.
func (run *attempt) fence() wire.AttemptState {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.state == wire.AttemptState_ATTEMPT_STATE_QUEUED {
		run.state = wire.AttemptState_ATTEMPT_STATE_FENCED
		run.endLocked(engine.Result{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Err: errFenced}, nil)
	}
	return run.state
}

func (run *attempt) endLocked(result engine.Result, load *wire.EngineLoad) {
	end := &wire.Answer{Kind: wire.AnswerKind_ANSWER_KIND_END, Outcome: result.Outcome, Load: load}
	if result.Err != nil {
		end.Error = result.Err.Error()
	}
	if run.started > 0 {
		end.Queued = int64(run.started - run.arrived)
	}
	run.idleSince = run.clock.Now()
	run.hop.End(result.Outcome.String(), result.Err)
	run.addLocked(end)
}

// status returns the state and the number of answers.
func (run *attempt) status() (wire.AttemptState, uint64) {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.state, run.nextLocked()
}

// answersFrom returns the answers from a sequence number on, and a channel that
// is closed at the next change of the attempt. It returns errDropped if some of them are
// no longer stored.
func (run *attempt) answersFrom(from uint64) ([]*wire.Answer, <-chan struct{}, error) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if from < run.first {
		return nil, nil, errDropped
	}
	// Another stream may drop answers meanwhile.
	return slices.Clone(run.answers[min(from-run.first, uint64(len(run.answers))):]), run.changed, nil
}

// nextChange returns a channel that is closed at the next change of the attempt.
func (run *attempt) nextChange() <-chan struct{} {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.changed
}

func (run *attempt) attach() {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.attached++
}

func (run *attempt) detach() {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.attached--
	run.idleSince = run.clock.Now()
}

// expired returns the state, and whether the attempt has had no attached stream
// for longer than its retention, so that it may be swept.
func (run *attempt) expired(now clock.Millis) (wire.AttemptState, bool) {
	run.mu.Lock()
	defer run.mu.Unlock()
	retention := answerRetention
	if run.state == wire.AttemptState_ATTEMPT_STATE_FINISHED && !run.request.GetIdempotent() && !run.delivered {
		retention = undeliveredRetention
	}
	return run.state, run.attached == 0 && run.idleSince+retention < now
}

func (run *attempt) markDelivered() {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.delivered = true
}

// stop cancels a running idempotent attempt. Non-idempotent work continues,
// because a resend of the request needs its outcome.
func (run *attempt) stop() {
	if !run.request.GetIdempotent() {
		return
	}
	run.mu.Lock()
	cancel := run.cancel
	run.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// hasStarted reports whether the attempt was passed to the engine.
func (run *attempt) hasStarted() bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.started > 0
}

// ended reports whether the attempt has finished or was fenced.
func (run *attempt) ended() bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.state == wire.AttemptState_ATTEMPT_STATE_FINISHED || run.state == wire.AttemptState_ATTEMPT_STATE_FENCED
}

// hasStream reports whether a stream is attached.
func (run *attempt) hasStream() bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.attached > 0
}
