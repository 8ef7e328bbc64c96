// Package blame finds the requests that crash endpoints. It is pure: it takes
// what entry VMs saw of crashes and tells which requests run as usual, which
// run alone on an endpoint, and which are blocked.
package blame

import (
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Suspect is a request that was running on an endpoint when it crashed.
type Suspect struct {
	// Fingerprint is the same for every resend of the request.
	Fingerprint uint64
	RequestID   string
	Customer    string
}

// Crash is the loss of one incarnation of an endpoint process with requests
// running on it. Entry VMs report their own requests; reports are merged.
type Crash struct {
	Endpoint    string
	Incarnation uint64
	At          clock.Millis
	// Alone is the fingerprint of the request that ran in quarantine, with no
	// other beside it; zero when none did.
	Alone uint64
	// Alive is set when the incarnation announced itself after all.
	Alive    bool
	Suspects []Suspect
}

// key names a crash in all reports.
type key struct {
	endpoint    string
	incarnation uint64
}

func (crash Crash) key() key { return key{crash.Endpoint, crash.Incarnation} }

func (crash Crash) has(fingerprint uint64) bool {
	return slices.ContainsFunc(crash.Suspects, func(suspect Suspect) bool { return suspect.Fingerprint == fingerprint })
}

// merged returns what two reports of the same crash tell together.
func (crash Crash) merged(other Crash) Crash {
	crash.At = min(crash.At, other.At)
	crash.Alone = max(crash.Alone, other.Alone)
	crash.Alive = crash.Alive || other.Alive
	suspects := slices.Clone(crash.Suspects)
	for _, suspect := range other.Suspects {
		if !crash.has(suspect.Fingerprint) {
			suspects = append(suspects, suspect)
		}
	}
	crash.Suspects = suspects
	return crash
}

// Event is one of Crashed, Silent, Seen, Cleared, Blocked, Ended and Tick.
type Event interface{ event() }

// Crashed reports a crash, seen here or by another entry VM.
type Crashed struct{ Crash Crash }

// Silent reports a request whose endpoint answers nothing any more. It becomes
// a crash when the endpoint comes back as another incarnation.
type Silent struct{ Crash Crash }

// Seen reports an announcement of an endpoint process.
type Seen struct {
	Endpoint    string
	Incarnation uint64
}

// Cleared reports that a request ran to its end in quarantine.
type Cleared struct {
	Fingerprint uint64
	At          clock.Millis
}

// Blocked reports a block that is in force in the configuration.
type Blocked struct {
	Fingerprint uint64
	Until       clock.Millis
}

// Ended reports that a block was taken out of the configuration.
type Ended struct{ Fingerprint uint64 }

// Tick reports that time has passed.
type Tick struct{}

func (Crashed) event() {}
func (Silent) event()  {}
func (Seen) event()    {}
func (Cleared) event() {}
func (Blocked) event() {}
func (Ended) event()   {}
func (Tick) event()    {}

// Action is one of Share and Propose.
type Action interface{ action() }

// Share tells the other entry VMs of a crash that they may not know.
type Share struct{ Crash Crash }

// Propose asks the control VMs for a block.
type Propose struct {
	Suspect Suspect
	Crashes int
	Until   clock.Millis
	// Latest is when the last of the crashes was seen.
	Latest clock.Millis
}

func (Share) action()   {}
func (Propose) action() {}
