package endpt

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// progressInterval is the time between progress messages on a stream without answers.
const progressInterval = 500 * clock.Millis(1)

var (
	errIncarnation = errors.New("attempt is for another incarnation of this endpoint process")
	errLeaving     = errors.New("endpoint is draining or shutting down and accepts no new work")
	errNoEngine    = errors.New("endpoint has no engine of this name")
	errFull        = errors.New("engine has no free slot")
)

// Run queues an attempt and streams its answers. A repeated message attaches to
// the existing attempt.
func (endpoint *Endpoint) Run(request *wire.Attempt, stream wire.DRPCRelay_RunStream) error {
	run, err := endpoint.accept(request)
	if err != nil {
		return endpoint.refuse(request, err, stream)
	}
	return endpoint.stream(stream.Context(), run, 0, stream)
}

// refuse fences the attempt, so that a delayed copy of the message does not
// start it. If an earlier copy started the attempt, its answers are streamed.
func (endpoint *Endpoint) refuse(request *wire.Attempt, reason error, stream wire.DRPCRelay_RunStream) error {
	if errors.Is(reason, errFull) {
		// These refusals are frequent under load, so no fence is stored for them.
		// An entry VM sends an attempt once, so no copy of it can follow.
		return stream.Send(endpoint.fullAnswer(request))
	}
	run := endpoint.table.fence(request.GetRequestId(), request.GetAttempt(), endpoint.clock)
	if state, _ := run.status(); state != wire.AttemptState_ATTEMPT_STATE_FENCED {
		return endpoint.stream(stream.Context(), run, 0, stream)
	}
	return stream.Send(notRunAnswer(request, reason))
}

// checkAcceptable returns the reason why a new attempt must be refused, or nil.
func (endpoint *Endpoint) checkAcceptable(request *wire.Attempt) error {
	if request.GetIncarnation() != endpoint.incarnation {
		return errIncarnation
	}
	if _, ok := endpoint.lanes[request.GetEngine()]; !ok {
		return errNoEngine
	}
	if endpoint.leaving.Load() || endpoint.view.State().Drained(endpoint.settings.Node.Name) {
		return errLeaving
	}
	if request.GetRefuseIfFull() && request.GetIdempotent() && endpoint.lanes[request.GetEngine()].full(request.GetTier()) {
		return errFull
	}
	return nil
}

// fullAnswer returns the refusal of an attempt for lack of a free slot, with the
// engine's load.
func (endpoint *Endpoint) fullAnswer(request *wire.Attempt) *wire.Answer {
	answer := notRunAnswer(request, errFull)
	answer.Full, answer.Load = true, endpoint.lanes[request.GetEngine()].info().GetLoad()
	return answer
}

// notRunAnswer returns the refusal of an attempt that was never queued.
func notRunAnswer(request *wire.Attempt, reason error) *wire.Answer {
	return &wire.Answer{
		RequestId: request.GetRequestId(), Attempt: request.GetAttempt(),
		Kind: wire.AnswerKind_ANSWER_KIND_END, Outcome: wire.Outcome_OUTCOME_NOT_RUN, Error: reason.Error(),
	}
}

// Resume streams an attempt's answers again, from a sequence number on.
func (endpoint *Endpoint) Resume(request *wire.ResumeRequest, stream wire.DRPCRelay_ResumeStream) error {
	run, ok := endpoint.table.find(request.GetRequestId(), request.GetAttempt(), endpoint.clock)
	if !ok || request.GetIncarnation() != endpoint.incarnation {
		return errors.Newf("attempt %d of request %s is unknown to this incarnation of the endpoint process", request.GetAttempt(), request.GetRequestId())
	}
	return endpoint.stream(stream.Context(), run, request.GetFromSequence(), stream)
}

func (endpoint *Endpoint) stream(ctx context.Context, run *attempt, from uint64, stream sender) error {
	run.attach()
	defer run.detach()
	startSent := false
	for {
		answers, changed, err := run.answersFrom(from)
		if err != nil {
			return err
		}
		if !startSent && run.hasStarted() {
			startSent = true
			if err := stream.Send(progressAnswer(run, from)); err != nil {
				return err
			}
		}
		if err := sendAll(stream, answers); err != nil {
			return err
		}
		run.markSent(from + uint64(len(answers)))
		if count := len(answers); count > 0 && answers[count-1].GetKind() == wire.AnswerKind_ANSWER_KIND_END {
			run.markDelivered()
			return nil
		}
		from += uint64(len(answers))
		timedOut, err := waitChange(ctx, changed, progressInterval)
		if err != nil {
			return err
		}
		if timedOut {
			if err := stream.Send(progressAnswer(run, from)); err != nil {
				return err
			}
		}
	}
}

// waitChange waits for a change of an attempt and reports whether the span
// elapsed without one.
func waitChange(ctx context.Context, changed <-chan struct{}, span clock.Millis) (bool, error) {
	idle, cancel := context.WithTimeout(ctx, span.Duration())
	defer cancel()
	select {
	case <-changed:
		return false, nil
	case <-idle.Done():
		return true, ctx.Err()
	}
}

func progressAnswer(run *attempt, from uint64) *wire.Answer {
	return &wire.Answer{
		RequestId: run.request.GetRequestId(), Attempt: run.request.GetAttempt(),
		Sequence: from, Kind: wire.AnswerKind_ANSWER_KIND_PROGRESS, Started: run.hasStarted(),
	}
}

// Ask returns the state of an attempt and fences the attempt on request.
func (endpoint *Endpoint) Ask(_ context.Context, request *wire.AskRequest) (*wire.AskReply, error) {
	if request.GetIncarnation() != endpoint.incarnation {
		return &wire.AskReply{State: wire.AttemptState_ATTEMPT_STATE_OTHER_INCARNATION, Node: endpoint.settings.Node.Name}, nil
	}
	run, ok := endpoint.table.find(request.GetRequestId(), request.GetAttempt(), endpoint.clock)
	if !ok && !request.GetFence() {
		return &wire.AskReply{State: wire.AttemptState_ATTEMPT_STATE_NEVER_SEEN, Node: endpoint.settings.Node.Name}, nil
	}
	if !ok {
		run = endpoint.table.fence(request.GetRequestId(), request.GetAttempt(), endpoint.clock)
	}
	if request.GetFence() && run.fence() == wire.AttemptState_ATTEMPT_STATE_FENCED {
		endpoint.withdraw(run)
	}
	state, next := run.status()
	return &wire.AskReply{State: state, NextSequence: next, Node: endpoint.settings.Node.Name}, nil
}

// Cancel fences a queued attempt and stops a running one, unless its work is
// non-idempotent.
func (endpoint *Endpoint) Cancel(_ context.Context, request *wire.CancelRequest) (*wire.CancelReply, error) {
	run, ok := endpoint.table.find(request.GetRequestId(), request.GetAttempt(), endpoint.clock)
	if !ok {
		return &wire.CancelReply{State: wire.AttemptState_ATTEMPT_STATE_NEVER_SEEN}, nil
	}
	endpoint.stopAttempt(run)
	state, _ := run.status()
	return &wire.CancelReply{State: state}, nil
}

func (endpoint *Endpoint) stopAttempt(run *attempt) {
	if run.fence() == wire.AttemptState_ATTEMPT_STATE_FENCED {
		endpoint.withdraw(run)
		return
	}
	run.stop()
}

func (endpoint *Endpoint) withdraw(run *attempt) {
	if lane, ok := endpoint.lanes[run.request.GetEngine()]; ok {
		lane.withdraw(run)
	}
}
