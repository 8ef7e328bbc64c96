package gate

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/answer"
	"github.com/hibiscuslug/hibiscuslug/internal/choose"
	"github.com/hibiscuslug/hibiscuslug/internal/conns"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/shed"
	"github.com/hibiscuslug/hibiscuslug/internal/task"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// maxBufferedResponse is the largest response, in bytes, that is buffered completely
// before it is forwarded; a larger one is streamed to the caller.
const maxBufferedResponse = 1 << 20

// bufferedResponse is a complete response of an endpoint.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to one endpoint and forwards the response.
func (forwarder *forwarder) attempt(ctx context.Context, endpoint roster.Record) (result, error) {
	gateway := forwarder.gateway
	if gateway.clock.Now() >= forwarder.deadline {
		// The context does not show this at once after the machine was suspended: its
		// timers do not count that time.
		return notSent, errors.New("the deadline passed before the request was sent")
	}
	if forwarder.permittedAt > 0 && gateway.clock.Now()-forwarder.permittedAt > permitLifetime || forwarder.hasExpired() {
		return notSent, errors.New("the permit expired before the request was sent")
	}
	forwarder.begun, forwarder.survived, forwarder.brokeStale, forwarder.limit, forwarder.readAt = false, false, false, nil, 0
	forwarder.begin(endpoint.ID)
	defer forwarder.finish(endpoint.ID)
	defer gateway.countUse(forwarder.call)()
	sent := gateway.clock.Now()
	// A faulty endpoint may write an earlier refusal once more. On the connection of that
	// refusal it would be taken for the response to the same request, sent again.
	fresh := forwarder.route.Kind == plan.NonIdempotent || forwarder.refusedBy[endpoint.ID]
	exchange, err := forwarder.send(ctx, endpoint, fresh)
	if errors.Is(err, conns.ErrStale) && (forwarder.route.Repeatable() || errors.Is(err, conns.ErrNotSent)) && ctx.Err() == nil {
		if err := forwarder.permitResend(ctx, endpoint, err); err != nil {
			return notSent, err
		}
		exchange, err = forwarder.send(ctx, endpoint, true)
	}
	if errors.IsAny(err, errClosed, errEvacuated) {
		gateway.recordResult(endpoint, notRun)
		return notSent, err
	}
	if err != nil {
		ended := unknown
		if errors.Is(err, conns.ErrNotSent) {
			ended = notSent
		}
		if ctx.Err() == nil && !errors.Is(err, conns.ErrExpired) {
			gateway.recordResult(endpoint, ended)
			gateway.recordUnreachable(endpoint, err)
		}
		return ended, err
	}
	facts := gateway.settings.Dialect.Answer(exchange.Response.Header)
	forwarder.limit = facts.Limit
	gateway.board.Answered(endpointKey(endpoint), facts.Limit, sent)
	gateway.recordCold(endpoint, facts.Cold, sent)
	gateway.observe(endpoint, exchange.Response.StatusCode, facts)
	ended, complete, err := forwarder.readResponse(ctx, endpoint, exchange.Response)
	if ended == notRun {
		forwarder.refusedBy[endpoint.ID] = true
	}
	if forwarder.readAt > 0 {
		gateway.recordResponse(forwarder.service, endpoint, forwarder.readAt-sent)
	}
	exchange.Close(complete, facts.Idle)
	if ctx.Err() == nil || ended == delivered {
		gateway.recordResult(endpoint, ended)
	}
	return ended, err
}

// permitResend records that a reused connection failed, and returns an error if the
// request may not be sent again on a new one. If no byte was sent on the first, the
// request did not run and its permit is still unused.
func (forwarder *forwarder) permitResend(ctx context.Context, endpoint roster.Record, failure error) error {
	if errors.Is(failure, conns.ErrNotSent) {
		return nil
	}
	// The endpoint may have run what was sent on the connection that broke.
	forwarder.mayHaveRun, forwarder.brokeStale = true, true
	if !forwarder.permitAgain(ctx, endpoint) {
		return errors.Wrap(failure, "no permit to send the request again")
	}
	return nil
}

func (forwarder *forwarder) send(ctx context.Context, endpoint roster.Record, fresh bool) (*conns.Exchange, error) {
	gateway := forwarder.gateway
	send := task.Send{
		Endpoint: endpoint.ID, Address: endpoint.Address, Customer: forwarder.customer, Left: forwarder.remaining(),
		LastEvent: forwarder.task.LastEvent, Urgency: forwarder.sentUrgency(),
	}
	if forwarder.stream != nil && forwarder.stream.events.LastID() != "" {
		send.LastEvent = forwarder.stream.events.LastID()
	}
	return gateway.conns.Do(ctx, conns.Request{
		Address: endpoint.Address, Method: forwarder.task.Method, Head: gateway.settings.Dialect.Request(forwarder.task, send), Body: forwarder.task.Body,
		Fresh: fresh, ExpiresAt: forwarder.coldUntil,
		Owner: func(header http.Header) conns.Owner {
			return ownerOf(gateway.settings.Dialect.Answer(header).ID, forwarder.task.ID)
		},
		Allowed: func() error { return gateway.mayGet(endpoint) },
	})
}

// ownerOf tells whose response it is that names an id, of a request with the id own.
func ownerOf(id, own string) conns.Owner {
	switch id {
	case own:
		return conns.Own
	case "":
		return conns.Unnamed
	}
	return conns.Other
}

// remaining returns the time until the request's deadline, at least 1 ms.
func (forwarder *forwarder) remaining() clock.Millis {
	return max(forwarder.deadline-forwarder.gateway.clock.Now(), 1)
}

// readResponse reads a response. It returns the result of the attempt and whether
// the response was read to its end.
func (forwarder *forwarder) readResponse(ctx context.Context, endpoint roster.Record, response *http.Response) (result, bool, error) {
	facts := forwarder.gateway.settings.Dialect.Answer(response.Header)
	if facts.NotRun {
		if facts.Fault != "" {
			forwarder.gateway.markStalled(endpoint.Group)
		}
		return notRun, discard(response), nil
	}
	success := response.StatusCode < http.StatusMultipleChoices
	if success && (!facts.Sealed || facts.Encoded) {
		return unknown, false, errors.Newf("response with status %d lacks the endpoint's signature or is encoded", response.StatusCode)
	}
	if success && forwarder.route.Kind == plan.Streaming && isEventStream(response.Header) {
		return forwarder.relay(ctx, endpoint, response)
	}
	if forwarder.stream != nil {
		return unknown, false, errors.Newf("status %d instead of the continuation of the stream", response.StatusCode)
	}
	if answer.PromisesNotRun(response.StatusCode) {
		return dropPromise(response, facts)
	}
	return forwarder.bufferResponse(response, facts)
}

// dropPromise reads a response whose status promises that the request did not run, although
// the endpoint does not state that. The request may have run, so the caller must not get it.
func dropPromise(response *http.Response, facts task.Answer) (result, bool, error) {
	failure := errors.Newf("status %d without the endpoint's statement that the request did not run", response.StatusCode)
	if isWhole := discard(response); !isWhole || !facts.Sealed {
		return unknown, isWhole, failure
	}
	return failed, true, failure
}

// discard reads the rest of a response, so that its connection can be reused. It
// reports whether the body was read to its end, which a body that goes on and on is
// not.
func discard(response *http.Response) bool {
	size, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedResponse))
	if err != nil || size == maxBufferedResponse {
		return false
	}
	return response.Body.Close() == nil
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// bufferResponse buffers the complete response before any of it goes to the caller, so
// that the request can be retried when the response is truncated.
func (forwarder *forwarder) bufferResponse(response *http.Response, facts task.Answer) (result, bool, error) {
	body, err := forwarder.readHeld(forwarder.gateway, response.Body, maxBufferedResponse)
	if errors.Is(err, errHeld) && response.StatusCode < http.StatusInternalServerError {
		return forwarder.passThrough(response, body)
	}
	if err != nil {
		forwarder.giveBack(forwarder.gateway, body)
		return unknown, false, errors.Wrap(err, "read response body")
	}
	if len(body) == maxBufferedResponse {
		return forwarder.passThrough(response, body)
	}
	buffered := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		if !facts.Sealed {
			forwarder.giveBack(forwarder.gateway, body)
			return unknown, true, errors.Newf("response with status %d lacks the endpoint's signature", response.StatusCode)
		}
		forwarder.endpointError = buffered
		return failed, true, nil
	}
	if response.StatusCode < http.StatusMultipleChoices {
		forwarder.readAt = forwarder.gateway.clock.Now()
		forwarder.recordBegun()
		forwarder.recordCompleted()
	}
	forwarder.deliver(buffered)
	return delivered, true, nil
}

// passThrough streams a large response to the caller, after the part already read.
func (forwarder *forwarder) passThrough(response *http.Response, prefix []byte) (result, bool, error) {
	copyHeader(forwarder.w.Header(), response.Header)
	forwarder.w.WriteHeader(response.StatusCode)
	if _, err := forwarder.w.Write(prefix); err != nil {
		return callerGone, false, err
	}
	forwarder.giveBack(forwarder.gateway, prefix)
	if _, err := io.Copy(forwarder.w, response.Body); err != nil {
		forwarder.gateway.log.Write(event.RequestEnded, "id", forwarder.task.ID, "outcome", "brokenOff", "error", err)
		panic(http.ErrAbortHandler)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		forwarder.recordBegun()
		forwarder.recordCompleted()
	}
	forwarder.logAnswered(response.StatusCode)
	return delivered, true, nil
}

// deliver sends a buffered response to the caller.
func (forwarder *forwarder) deliver(buffered *bufferedResponse) {
	copyHeader(forwarder.w.Header(), buffered.header)
	forwarder.w.WriteHeader(buffered.status)
	if _, err := forwarder.w.Write(buffered.body); err != nil {
		forwarder.gateway.log.Write(event.RequestEnded, "id", forwarder.task.ID, "outcome", "callerGone", "error", err)
		return
	}
	forwarder.logAnswered(buffered.status)
}

func (forwarder *forwarder) logAnswered(status int) {
	now := forwarder.gateway.clock.Now()
	forwarder.gateway.recordAnswer(forwarder.call)
	forwarder.gateway.answered.Add(kindNames[forwarder.route.Kind] + ".answered")
	firstByte, longestPause := now-forwarder.arrived, clock.Millis(0)
	if forwarder.stream == nil {
		forwarder.gateway.firstByte.Record(kindNames[forwarder.route.Kind], int64(firstByte))
	} else {
		firstByte, longestPause = forwarder.stream.began-forwarder.arrived, forwarder.stream.longestPause
		forwarder.gateway.eventGap.Record(kindNames[forwarder.route.Kind], int64(longestPause))
	}
	forwarder.gateway.log.Write(event.RequestEnded, "id", forwarder.task.ID, "outcome", "answered", "status", status, "customer", forwarder.customer,
		"route", forwarder.route.Name, "urgency", forwarder.urgency, "version", forwarder.version, "runs", forwarder.runs+1, "unrun", forwarder.notRunAttempts,
		"firstByte", firstByte, "longestPause", longestPause, "took", now-forwarder.arrived)
}

// connectionHeaders apply to the endpoint's connection only and are not forwarded.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Content-Length": true,
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !connectionHeaders[name] {
			to[name] = values
		}
	}
}

// sentUrgency returns the urgency that the endpoint gets.
func (forwarder *forwarder) sentUrgency() int {
	return shed.Order(forwarder.urgency, forwarder.route.Priority, forwarder.late)
}

// begin and finish count the requests in flight at an endpoint.
func (forwarder *forwarder) begin(id string) {
	change := choose.Load{Work: 1}
	if forwarder.late && forwarder.stream == nil {
		forwarder.waitsLate = true
		change.Late = 1
	}
	forwarder.gateway.addWork(id, change)
}

// started records that a request at an endpoint no longer waits for a slot.
func (forwarder *forwarder) started(id string) {
	if forwarder.waitsLate {
		forwarder.waitsLate = false
		forwarder.gateway.addWork(id, choose.Load{Late: -1})
	}
}

func (forwarder *forwarder) finish(id string) {
	forwarder.started(id)
	forwarder.gateway.addWork(id, choose.Load{Work: -1})
}

func (gateway *Gateway) addWork(id string, change choose.Load) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	load := gateway.work[id].Plus(change)
	if load == (choose.Load{}) {
		delete(gateway.work, id)
		return
	}
	gateway.work[id] = load
}
