package crash

import (
	"cmp"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// MaxEvidenceBytes bounds the crashes, begins and clearances in a message, unless a single
// one is longer. A poll has limits and notices beside them and should stay under 64 KiB.
const MaxEvidenceBytes = 60 << 10

// MaxSharedCrashes is the maximum number of crashes in a message, newest first.
const MaxSharedCrashes = 64

// Message encodes a crash.
func (crash Crash) Message() *wire.CrashReport {
	report := &wire.CrashReport{
		Endpoint: crash.Endpoint, Incarnation: crash.Incarnation, At: int64(crash.At), Alone: crash.QuarantinedFingerprint, Alive: crash.Retracted,
	}
	for _, suspect := range crash.Suspects {
		report.Suspects = append(report.Suspects, &wire.Suspect{
			Fingerprint: suspect.Fingerprint, Parts: suspect.Parts, RequestId: suspect.RequestID, Customer: suspect.Customer, Begun: suspect.Begun,
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
			RequestID: suspect.GetRequestId(), Customer: suspect.GetCustomer(), Begun: suspect.GetBegun(),
		})
	}
	return crash
}

// AddTo adds the crashes, the begins of answers and the cleared requests that changed
// after a revision to a message, in the order of their changes, up to MaxEvidenceBytes.
// The message's revision is that of the last one that it contains.
func (core Core) AddTo(message *wire.Evidence, since uint64) {
	var items []item
	for key, revision := range core.changed {
		if revision > since && core.holds(key) {
			items = append(items, key)
		}
	}
	slices.SortFunc(items, func(first, second item) int { return cmp.Compare(core.changed[first], core.changed[second]) })
	message.Revision = core.revision
	size := 0
	for at, key := range items {
		part := core.encode(key)
		// An item may be longer by itself.
		if size += part.SizeVT(); at > 0 && size > MaxEvidenceBytes {
			message.Revision = core.changed[items[at-1]]
			return
		}
		message.Crashes = append(message.Crashes, part.GetCrashes()...)
		message.Begun = append(message.Begun, part.GetBegun()...)
		message.Cleared = append(message.Cleared, part.GetCleared()...)
	}
}

// encode encodes an item; a clearance of a request that is not a suspect is left out.
func (core Core) encode(key item) *wire.Evidence {
	switch crash, ok := core.crashes[key.crash]; {
	case ok:
		return &wire.Evidence{Crashes: []*wire.CrashReport{crash.Message()}}
	case key.part != 0:
		return &wire.Evidence{Begun: []*wire.PartBegun{{Part: key.part, At: int64(core.begun[key.part])}}}
	case key.survivor != 0:
		return &wire.Evidence{Begun: []*wire.PartBegun{{Part: key.survivor, At: int64(core.survived[key.survivor]), Survived: true}}}
	case core.IsSuspectRequest(key.fingerprint):
		return &wire.Evidence{Cleared: []*wire.Clearance{{Fingerprint: key.fingerprint, At: int64(core.cleared[key.fingerprint])}}}
	}
	return &wire.Evidence{}
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
		at := clock.Millis(begun.GetAt()) + shift
		if begun.GetSurvived() {
			list = append(list, Survived{Part: begun.GetPart(), At: at})
			continue
		}
		list = append(list, Begun{Part: begun.GetPart(), At: at})
	}
	return list
}
