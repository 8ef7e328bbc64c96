package gate

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/conns"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/task"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// maxAnswer bounds an answer that is held until it is whole, in bytes; a longer
// one is passed on as it comes.
const maxAnswer = 1 << 20

// answer is a whole answer of an endpoint.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to one endpoint.
func (on *journey) attempt(ctx context.Context, endpoint roster.Record) (result, error) {
	gateway := on.gateway
	gateway.begin(endpoint.ID)
	defer gateway.finish(endpoint.ID)
	exchange, err := on.send(ctx, endpoint, on.route.Kind == plan.NonIdempotent)
	if errors.Is(err, conns.ErrStale) && on.route.Repeatable() && ctx.Err() == nil {
		exchange, err = on.send(ctx, endpoint, true)
	}
	if err != nil {
		ended := unknown
		if errors.Is(err, conns.ErrNotSent) {
			ended = notSent
		}
		if ctx.Err() == nil {
			gateway.judge(endpoint, ended)
		}
		return ended, err
	}
	ended, whole, err := on.take(ctx, endpoint, exchange.Response)
	facts := gateway.settings.Dialect.Answer(exchange.Response.Header)
	exchange.Close(whole, facts.Idle)
	if ctx.Err() == nil || ended == delivered {
		gateway.judge(endpoint, ended)
	}
	return ended, err
}

func (on *journey) send(ctx context.Context, endpoint roster.Record, fresh bool) (*conns.Exchange, error) {
	gateway := on.gateway
	send := task.Send{
		Endpoint: endpoint.ID, Address: endpoint.Address, Customer: on.customer, Left: on.left(),
		LastEvent: on.task.LastEvent, Urgency: on.urgency,
	}
	if on.stream != nil && on.stream.events.Last() != "" {
		send.LastEvent = on.stream.events.Last()
	}
	return gateway.conns.Do(ctx, conns.Request{
		Address: endpoint.Address, Method: on.task.Method, Head: gateway.settings.Dialect.Request(on.task, send), Body: on.task.Body,
		Fresh: fresh,
		Mine: func(header http.Header) bool {
			id := gateway.settings.Dialect.Answer(header).ID
			return id == "" || id == on.task.ID
		},
	})
}

// left is the time until the caller or the route gives up.
func (on *journey) left() clock.Millis { return max(on.due-on.gateway.clock.Now(), 1) }

// take reads an answer. It returns how the attempt ended and whether the
// answer was read to its end.
func (on *journey) take(ctx context.Context, endpoint roster.Record, response *http.Response) (result, bool, error) {
	facts := on.gateway.settings.Dialect.Answer(response.Header)
	if facts.NotRun {
		if facts.Fault != "" {
			on.gateway.stall(endpoint.Group)
		}
		return notRun, discard(response), nil
	}
	success := response.StatusCode < http.StatusMultipleChoices
	if success && (!facts.Sealed || facts.Encoded) {
		return unknown, false, errors.Newf("answer with status %d is not the endpoint's own", response.StatusCode)
	}
	if success && on.route.Kind == plan.Streaming && isEventStream(response.Header) {
		return on.relay(ctx, endpoint, response)
	}
	if on.stream != nil {
		return unknown, false, errors.Newf("status %d instead of the rest of the stream", response.StatusCode)
	}
	return on.whole(response, facts)
}

func discard(response *http.Response) bool {
	// The connection is closed when its rest cannot be read.
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswer))
	return errors.CombineErrors(err, response.Body.Close()) == nil
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// whole reads an answer to its end before any of it goes to the caller, so that
// one that breaks off can be replaced.
func (on *journey) whole(response *http.Response, facts task.Answer) (result, bool, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return unknown, false, errors.Wrap(err, "answer broke off")
	}
	if len(body) == maxAnswer {
		return on.pass(response, body)
	}
	got := &answer{status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		if !facts.Sealed {
			return unknown, true, errors.Newf("status %d without the endpoint's signature", response.StatusCode)
		}
		on.kept = got
		return failed, true, nil
	}
	on.deliver(got)
	return delivered, true, nil
}

// pass gives a long answer to the caller as it comes.
func (on *journey) pass(response *http.Response, begin []byte) (result, bool, error) {
	copyHeader(on.w.Header(), response.Header)
	on.w.WriteHeader(response.StatusCode)
	if _, err := on.w.Write(begin); err != nil {
		return callerGone, false, err
	}
	if _, err := io.Copy(on.w, response.Body); err != nil {
		on.gateway.log.Write(event.RequestEnded, "id", on.task.ID, "outcome", "brokenOff", "error", err)
		panic(http.ErrAbortHandler)
	}
	on.logAnswered(response.StatusCode)
	return delivered, true, nil
}

// deliver gives a whole answer to the caller.
func (on *journey) deliver(got *answer) {
	copyHeader(on.w.Header(), got.header)
	on.w.WriteHeader(got.status)
	if _, err := on.w.Write(got.body); err != nil {
		on.gateway.log.Write(event.RequestEnded, "id", on.task.ID, "outcome", "callerGone", "error", err)
		return
	}
	on.logAnswered(got.status)
}

func (on *journey) logAnswered(status int) {
	now := on.gateway.clock.Now()
	on.gateway.answered.Add(kindNames[on.route.Kind] + ".answered")
	firstByte, longestPause := now-on.arrived, clock.Millis(0)
	if on.stream == nil {
		on.gateway.first.Record(kindNames[on.route.Kind], int64(firstByte))
	} else {
		firstByte, longestPause = on.stream.began-on.arrived, on.stream.gap
		on.gateway.gaps.Record(kindNames[on.route.Kind], int64(longestPause))
	}
	on.gateway.log.Write(event.RequestEnded, "id", on.task.ID, "outcome", "answered", "status", status, "customer", on.customer,
		"route", on.route.Name, "version", on.version, "runs", on.runs+1, "unrun", on.unrun,
		"firstByte", firstByte, "longestPause", longestPause, "took", now-on.arrived)
}

// connectionHeaders concern the endpoint's connection only.
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

// begin and finish count the work at an endpoint.
func (gateway *Gateway) begin(id string) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.work[id]++
}

func (gateway *Gateway) finish(id string) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if gateway.work[id]--; gateway.work[id] <= 0 {
		delete(gateway.work, id)
	}
}
