package crash

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// MaxSharedCrashes is the maximum number of crashes in a message, newest first.
const MaxSharedCrashes = 64

// Message encodes a crash.
func (crash Crash) Message() *wire.CrashReport {
	report := &wire.CrashReport{
		Endpoint: crash.Endpoint, Incarnation: crash.Incarnation, At: int64(crash.At), Alone: crash.QuarantinedFingerprint, Alive: crash.Retracted,
	}
	for _, suspect := range crash.Suspects {
		report.Suspects = append(report.Suspects, &wire.Suspect{
			Fingerprint: suspect.Fingerprint, Parts: suspect.Parts, RequestId: suspect.RequestID, Customer: suspect.Customer,
		})
	}
	return report
}

// FromMessage decodes a crash.
func FromMessage(report *wire.CrashReport) Crash {
	crash := Crash{
		Endpoint: report.GetEndpoint(), Incarnation: report.GetIncarnation(), At: clock.Millis(report.GetAt()),
		QuarantinedFingerprint: report.GetAlone(), Retracted: report.GetAlive(),
	}
	for _, suspect := range report.GetSuspects() {
		crash.Suspects = append(crash.Suspects, Suspect{
			Request:   Request{Fingerprint: suspect.GetFingerprint(), Parts: suspect.GetParts()},
			RequestID: suspect.GetRequestId(), Customer: suspect.GetCustomer(),
		})
	}
	return crash
}

// AddTo adds the crashes, the begins of answers and the cleared requests to a message.
func (core Core) AddTo(message *wire.Evidence) {
	crashes := core.Crashes()
	for _, crash := range crashes[:min(len(crashes), MaxSharedCrashes)] {
		message.Crashes = append(message.Crashes, crash.Message())
	}
	for part, at := range core.begun {
		message.Begun = append(message.Begun, &wire.PartBegun{Part: part, At: int64(at)})
	}
	for fingerprint, at := range core.cleared {
		if core.IsSuspectRequest(fingerprint) {
			message.Cleared = append(message.Cleared, &wire.Clearance{Fingerprint: fingerprint, At: int64(at)})
		}
	}
}

// Events decodes evidence. Instants are converted to the receiver's clock, by which
// the message was sent at the given time at the latest.
func Events(message *wire.Evidence, received clock.Millis) []Event {
	shift := received - clock.Millis(message.GetNow())
	var list []Event
	for _, cleared := range message.GetCleared() {
		list = append(list, Cleared{Fingerprint: cleared.GetFingerprint(), At: clock.Millis(cleared.GetAt()) + shift})
	}
	for _, report := range message.GetCrashes() {
		crash := FromMessage(report)
		crash.At += shift
		list = append(list, Crashed{Crash: crash})
	}
	for _, begun := range message.GetBegun() {
		list = append(list, Begun{Part: begun.GetPart(), At: clock.Millis(begun.GetAt()) + shift})
	}
	return list
}
