// Package call defines a caller's classified request as an immutable value.
package call

import (
	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Call is one request of a caller after classification.
type Call struct {
	ID          string
	Customer    *wire.Customer
	Tier        wire.Tier
	Priority    int32
	Kind        wire.Kind
	Service     string
	Model       string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Stream      bool
	Idempotent  bool
	// Key is the caller's idempotency key.
	Key string
	// KeyOptional allows a non-idempotent request without an idempotency key.
	KeyOptional bool
	// PredictedSize is the predicted number of stream events. A rule may set it;
	// otherwise it is 0 until package sizes predicts it.
	PredictedSize uint32
	// OutputLimit is the caller's limit on the number of stream events; 0 for none.
	OutputLimit uint32
	Arrived     clock.Millis
	// Deadline is the end of the caller's wait for the first event.
	Deadline clock.Millis
	// PrefixHash is the hash of the prompt's start, for prefix-cache affinity.
	PrefixHash  uint64
	Traceparent string
	// Headers are the request headers forwarded to a plain service.
	Headers []*wire.Header
	// Rule is the name of the rule that matched; empty for none.
	Rule string
}

// WithPriority returns a copy of the call with another priority.
func (call Call) WithPriority(priority int32) Call {
	call.Priority = priority
	return call
}

// Fingerprint returns a hash of the customer, method, path and body. It is the same
// when the caller resends the request.
func (call Call) Fingerprint() uint64 {
	return crash.Fingerprint(call.Customer.GetName(), call.Method, call.Path, call.Body)
}
