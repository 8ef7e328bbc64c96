// Package task is a caller's request as the gateway decides on it, free of how
// a deployment writes it on the wire. It is pure.
package task

import (
	"net/http"

	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Task is a request of a caller.
type Task struct {
	ID     string
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	// Header holds what is passed on to the endpoint.
	Header http.Header
	Body   []byte
	// Key is the customer's key.
	Key string
	// Patience is how long the caller will wait; 0 when it does not say.
	Patience clock.Millis
	// LastEvent is the id of the last event of the stream that the caller has;
	// empty for none.
	LastEvent string
	// PromptTokens and AnswerTokens are the size; the answer's is a maximum.
	PromptTokens int
	AnswerTokens int
	// LengthHint is the caller's estimate of the answer's tokens; 0 for none.
	LengthHint int
	Prompt     []Part
}

// Send is one attempt at an endpoint.
type Send struct {
	// Endpoint is the id that must hold the address; another one refuses.
	Endpoint string
	Address  string
	Customer string
	// Left is the time that the caller still waits.
	Left      clock.Millis
	LastEvent string
	// Urgency orders the work that waits at an endpoint, 0 first.
	Urgency int
}

// Load is what an endpoint says of its slots.
type Load struct {
	Running, Waiting, Slots int
}

// Answer is what the head of an endpoint's answer says beside its status.
type Answer struct {
	// ID is the request that the answer belongs to.
	ID string
	// Sealed is set when the answer bears the endpoint's signature.
	Sealed bool
	// NotRun is set when the endpoint states that it has not run the request.
	NotRun bool
	// Encoded marks a body that is not the endpoint's own bytes.
	Encoded bool
	Load    *Load
	// Idle is how long the endpoint keeps an idle connection; 0 when it does not say.
	Idle clock.Millis
	// Fault names the endpoint that made the answering one fail, if another did.
	Fault string
}

// Dialect translates between tasks and a deployment's HTTP headers.
type Dialect interface {
	// Task decodes a request without its body.
	Task(request *http.Request) Task
	// Request encodes the head of a request to an endpoint.
	Request(task Task, send Send) []byte
	// Answer decodes the head of an endpoint's answer.
	Answer(header http.Header) Answer
	// Refuse sets the headers of an answer of the gateway's own.
	Refuse(header http.Header, task Task, retryAfter clock.Millis)
	// Plan decodes the operator's document.
	Plan(document []byte) (*plan.Plan, error)
}
