// Package task defines a caller's request and an endpoint's answer as the gateway
// uses them, independent of a deployment's HTTP format.
package task

import (
	"net/http"

	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Part is a section of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Task is a caller's request.
type Task struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the header lines that are forwarded to the endpoint, encoded: a decoded
	// header of many lines takes more than ten times the memory.
	Header []byte
	Body   []byte
	// Key is the key that identifies the customer.
	Key string
	// Patience is how long the caller will wait; 0 if it does not state it.
	Patience clock.Millis
	// LastEvent is the id of the last event that the caller has received of the
	// stream; empty for none.
	LastEvent string
	// PromptTokens is the length of the prompt, AnswerTokens the maximum length of the
	// answer.
	PromptTokens int
	AnswerTokens int
	// LengthHint is the caller's estimate of the answer's length in tokens; 0 for none.
	LengthHint int
	Prompt     []Part
}

// partCost is what one part of a prompt takes, in bytes.
const partCost = 64

// Size returns the memory that the task takes without its body, in bytes.
func (task Task) Size() int64 {
	return int64(len(task.Target)+len(task.Host)+len(task.Key)+len(task.LastEvent)+len(task.Header)) + int64(len(task.Prompt))*partCost
}

// Send describes one attempt to run a task at an endpoint.
type Send struct {
	// Endpoint is the id of the endpoint expected at the address; any other refuses
	// the request.
	Endpoint string
	Address  string
	Customer string
	// Left is the time for which the caller still waits.
	Left      clock.Millis
	LastEvent string
	// Urgency orders the work that waits at an endpoint; 0 goes first.
	Urgency int
}

// Load is the use of an endpoint's slots, as the endpoint reports it.
type Load struct {
	Running, Waiting, Slots int
}

// Answer holds the header fields of an endpoint's answer.
type Answer struct {
	// ID is the id of the request that the answer belongs to.
	ID string
	// Sealed is set when the answer carries the endpoint's signature.
	Sealed bool
	// NotRun is set when the endpoint states that it has not run the request.
	NotRun bool
	// Encoded is set when the body is not the bytes that the endpoint wrote.
	Encoded bool
	Load    *Load
	// Idle is how long the endpoint keeps an idle connection open; 0 if it does not
	// state it.
	Idle clock.Millis
	// Fault names another endpoint that caused the failure; empty for none.
	Fault string
	// Limit is the number of requests a second that the endpoint takes from all gateways
	// together; nil if it names none.
	Limit *float64
	// Leaving is set when the endpoint states that it leaves.
	Leaving bool
	// Pause is the time for which the endpoint wants no requests from this gateway; 0 if
	// it states none.
	Pause clock.Millis
	// Cold is how long the endpoint stays cold; nil if it does not state it.
	Cold *clock.Millis
}

// Dialect translates between tasks and the HTTP format of a deployment.
type Dialect interface {
	// Task decodes a request without its body.
	Task(request *http.Request) Task
	// Request encodes the request line and the headers of a request to an endpoint.
	Request(task Task, send Send) []byte
	// Answer decodes the headers of an endpoint's answer.
	Answer(header http.Header) Answer
	// Refuse sets the headers of an answer that the gateway itself makes.
	Refuse(header http.Header, task Task, retryAfter clock.Millis)
	// Plan decodes the operator's plan document.
	Plan(document []byte) (*plan.Plan, error)
}
