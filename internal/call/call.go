// Package call holds a caller's classified request as an immutable value.
package call

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Call is one request of a caller.
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
	// KeyOptional lets non-idempotent work run without a key.
	KeyOptional bool
	// PredictedSize is in stream events.
	PredictedSize uint32
	Arrived       clock.Millis
	// Deadline is when the caller gives up waiting for the first event.
	Deadline clock.Millis
	// PrefixHash identifies the start of the prompt, for prefix-cache affinity.
	PrefixHash  uint64
	Traceparent string
	// Headers are those that a plain service gets.
	Headers []*wire.Header
	Rule    string
}

// WithPriority returns the call at another priority.
func (call Call) WithPriority(priority int32) Call {
	call.Priority = priority
	return call
}

// Fingerprint identifies what the call asks for, across resends.
func (call Call) Fingerprint() uint64 {
	digest := xxhash.New()
	for _, part := range []string{call.Customer.GetName(), "\x00", call.Method, "\x00", call.Path, "\x00"} {
		// A digest's writes cannot fail.
		_, _ = digest.WriteString(part)
	}
	_, _ = digest.Write(call.Body)
	return digest.Sum64()
}
