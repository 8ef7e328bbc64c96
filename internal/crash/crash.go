// Package crash finds the requests, and the parts of their prompts, that crash
// endpoints. From the crashes that entry VMs and gateways report it derives which
// requests run as usual, which run alone on an endpoint, which may be sent as a
// probe, and which are blocked. It has no I/O and reads no clock. Used by the entry,
// gateway and control processes.
package crash

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Request holds what identifies a request as the cause of a crash.
type Request struct {
	// Fingerprint is the same for every resend of the request.
	Fingerprint uint64
	// Parts are the hashes of the parts of its prompt that other requests may share,
	// in order.
	Parts []uint64
}

// Fingerprint returns a hash of a request's customer, method, path and body.
func Fingerprint(customer, method, path string, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{customer, "\x00", method, "\x00", path, "\x00"} {
		// A write to a digest never returns an error.
		_, _ = digest.WriteString(part)
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

const (
	// SuspectTime is how long after the begin of its answer a request is still a suspect of
	// a crash of its endpoint.
	SuspectTime = clock.Second
	// SurvivalTime is how long an answer must have gone on to exonerate the parts of its
	// prompt for crashes of endpoints whose answers had begun.
	SurvivalTime = 500 * clock.Millis(1)
)

// Suspect is a request that was running on an endpoint when it crashed, and whose
// answer had not begun more than SuspectTime before, as far as is known.
type Suspect struct {
	Request
	RequestID string
	Customer  string
	// Begun is set when the answer had begun. Streams that move from one crashed endpoint to
	// another are such suspects again and again, so it weighs less.
	Begun bool
}

// Crash is the loss of one incarnation of an endpoint process with requests
// running on it. Entry VMs report their own requests; reports are merged.
type Crash struct {
	Endpoint    string
	Incarnation uint64
	At          clock.Millis
	// QuarantinedFingerprint is the fingerprint of the request that ran alone in
	// quarantine; zero when none did.
	QuarantinedFingerprint uint64
	// Retracted is set when the incarnation announced itself after the reported crash.
	Retracted bool
	Suspects  []Suspect
}

// crashKey identifies a crash across reports.
type crashKey struct {
	endpoint    string
	incarnation uint64
}

func (crash Crash) key() crashKey { return crashKey{crash.Endpoint, crash.Incarnation} }

func (crash Crash) has(fingerprint uint64) bool {
	return slices.ContainsFunc(crash.Suspects, func(suspect Suspect) bool { return suspect.Fingerprint == fingerprint })
}

// merged combines two reports of the same crash.
func (crash Crash) merged(other Crash) Crash {
	crash.At = min(crash.At, other.At)
	crash.QuarantinedFingerprint = max(crash.QuarantinedFingerprint, other.QuarantinedFingerprint)
	crash.Retracted = crash.Retracted || other.Retracted
	suspects := slices.Clone(crash.Suspects)
	for _, suspect := range other.Suspects {
		at := slices.IndexFunc(suspects, func(known Suspect) bool { return known.Fingerprint == suspect.Fingerprint })
		switch {
		case at < 0:
			suspects = append(suspects, suspect)
		case !suspect.Begun:
			suspects[at].Begun = false
		}
	}
	crash.Suspects = suspects
	return crash
}

// Event is one of Crashed, Silent, Announced, Cleared, Blocked, Ended, Begun, Survived,
// Recorded and Tick.
type Event interface{ event() }

// Crashed reports a crash, detected by this or another entry VM.
type Crashed struct{ Crash Crash }

// Silent reports an endpoint that no longer answers. It counts as a crash when
// the endpoint returns as another incarnation.
type Silent struct{ Crash Crash }

// Announced reports an announcement of an endpoint process.
type Announced struct {
	Endpoint    string
	Incarnation uint64
}

// Cleared reports that a request was answered completely, or ran to its end in quarantine.
type Cleared struct {
	Fingerprint uint64
	At          clock.Millis
}

// Blocked reports a block that is in force in the configuration.
type Blocked struct {
	Fingerprint uint64
	Until       clock.Millis
}

// Ended reports that a block was removed from the configuration.
type Ended struct{ Fingerprint uint64 }

// Begun reports that an answer to a request with a prompt part began.
type Begun struct {
	Part uint64
	At   clock.Millis
}

// Survived reports that an answer to a request with a prompt part went on for SurvivalTime
// or to its end.
type Survived struct {
	Part uint64
	At   clock.Millis
}

// Recorded reports all blocks for crashes that the configuration holds.
type Recorded struct{ Records []Record }

// Tick reports that time has passed.
type Tick struct{}

func (Crashed) event()   {}
func (Silent) event()    {}
func (Announced) event() {}
func (Cleared) event()   {}
func (Blocked) event()   {}
func (Ended) event()     {}
func (Begun) event()     {}
func (Survived) event()  {}
func (Recorded) event()  {}
func (Tick) event()      {}

// Action is one of Share and Propose.
type Action interface{ action() }

// Share asks to report a crash to the other entry VMs.
type Share struct{ Crash Crash }

// Propose asks the control VMs for a block.
type Propose struct {
	Suspect Suspect
	Crashes int
	Until   clock.Millis
	// Latest is when the last of the crashes was detected.
	Latest clock.Millis
}

func (Share) action()   {}
func (Propose) action() {}
