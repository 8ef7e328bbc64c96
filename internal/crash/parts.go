package crash

import (
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// historyTime is how long the begin of an answer speaks for the parts of its
	// prompt at a later crash.
	historyTime = 10 * clock.Minute
	// minHoldTime is how long a part is held after its first crash. It doubles with each
	// further one: a probe of a part that crashes endpoints costs the restart of one, and
	// of all ranks of its group.
	minHoldTime = 30 * clock.Second
	// episodeTime is the time within which crashes have one cause: a failure of many
	// endpoints, or several requests with one part.
	episodeTime = clock.Second
	// knownPartGuilt is the guilt from which on a part with a history is held, though the
	// crashes may be due to new parts. If they are not, blockingGuilt suffices.
	knownPartGuilt = 3 * fullGuilt
	// shiftedCrashes is the number of crashes that one request must have been in to be
	// blamed in place of a part.
	shiftedCrashes = 2
	// probeInterval is the minimum time between probes, in which most show a result.
	// Of two probes at the same time, it is not known which one crashed an endpoint.
	probeInterval = 500 * clock.Millis(1)
)

// suspicion is why a prompt part is held.
type suspicion struct {
	part    uint64
	crashes []Crash
	// episodes is the number of independent crashes.
	episodes int
	// isNew is set when no answer with the part had begun before the crashes.
	isNew bool
	until clock.Millis
}

// decideParts returns how a request may run by the parts of its prompt. A part is
// exonerated for a crash when an answer with it gets further later than it did before the
// crash, because a part that crashes endpoints does so about when the answer begins.
func (core Core) decideParts(request Request, now clock.Millis) Decision {
	if len(core.crashes) == 0 {
		return Decision{}
	}
	var held []suspicion
	for _, part := range request.Parts {
		if found, ok := core.suspicionOf(part, now); ok {
			held = append(held, found)
		}
	}
	if len(held) == 0 {
		return Decision{}
	}
	worst := slices.MaxFunc(held, func(first, second suspicion) int { return int(first.until - second.until) })
	decision := Decision{Treatment: Block, Until: worst.until, Crashes: worst.episodes, Latest: latest(worst.crashes), Part: worst.part}
	switch {
	case worst.episodes == 1 && now < decision.Latest+reportTime:
		// Other processes may report that an answer with the part has begun before.
		decision.Treatment, decision.Until = Wait, decision.Latest+reportTime
	case worst.until <= now || len(held) == 1 && core.canShiftBlame(worst, request):
		decision.Treatment = Probe
	}
	return decision
}

// suspicionOf returns why a part is held, if it is.
func (core Core) suspicionOf(part uint64, now clock.Millis) (suspicion, bool) {
	counted := core.crashesWithPart(part, now)
	if len(counted) == 0 {
		return suspicion{}, false
	}
	isNew := core.isNew(part, counted[0])
	episodes, guilt := core.episodes(part, counted, isNew)
	unexplained := slices.DeleteFunc(slices.Clone(counted), func(crash Crash) bool {
		return core.explainedByPart(crash, part, guilt, now) || !isNew && core.hasNewPart(crash)
	})
	_, unexplainedGuilt := core.episodes(part, unexplained, false)
	switch {
	case isNew && len(unexplained) == 0:
		return suspicion{}, false
	case !isNew && unexplainedGuilt < blockingGuilt && guilt < knownPartGuilt:
		return suspicion{}, false
	}
	hold := minHoldTime
	for range episodes - 1 {
		hold = min(2*hold, suspicionTime)
	}
	return suspicion{part: part, crashes: counted, episodes: episodes, isNew: isNew, until: latest(counted) + hold}, true
}

// hadBegun reports whether the answers to all requests with a part had begun before the crash.
func (crash Crash) hadBegun(part uint64) bool {
	return !slices.ContainsFunc(crash.Suspects, func(suspect Suspect) bool { return !suspect.Begun && slices.Contains(suspect.Parts, part) })
}

// weightOfPart returns the guilt of a part in the crash.
func (crash Crash) weightOfPart(part uint64) int {
	if crash.hadBegun(part) {
		return begunGuilt
	}
	return fullGuilt
}

// episodes counts the crashes, given in the order of time, that are independent of each
// other, and sums up the guilt of a part in them. For a part that is not new, an answer must
// have begun in between: while none begins, for example in a group of ranks that is away, the
// next crash says nothing about requests.
func (core Core) episodes(part uint64, crashes []Crash, isNew bool) (count, guilt int) {
	sum, last := tally{}, clock.Millis(0)
	for _, crash := range crashes {
		isIndependent := crash.At-last > episodeTime && (isNew || crash.hadBegun(part) || core.begunBetween(last, crash.At))
		sum = sum.withCrash(isIndependent, crash.weightOfPart(part))
		last = crash.At
	}
	return sum.episodes, sum.guilt
}

func (core Core) begunBetween(from, to clock.Millis) bool {
	for _, at := range core.begun {
		if at > from && at <= to {
			return true
		}
	}
	return false
}

// exoneratedAt returns the time up to which crashes do not count against a part: those after
// the begin of all answers with it, if hadBegun is set, or the others.
func (core Core) exoneratedAt(part uint64, hadBegun bool) clock.Millis {
	if hadBegun {
		return core.survived[part]
	}
	return core.begun[part]
}

// crashesWithPart returns the crashes, in the order of time, in which a request with
// the part ran and for which no later answer exonerates it.
func (core Core) crashesWithPart(part uint64, now clock.Millis) []Crash {
	var list []Crash
	for _, crash := range core.crashes {
		if !crash.Retracted && now-crash.At < suspicionTime && crash.hasPart(part) && crash.At >= core.exoneratedAt(part, crash.hadBegun(part)) {
			list = append(list, crash)
		}
	}
	slices.SortFunc(list, func(first, second Crash) int { return int(first.At - second.At) })
	return list
}

// isNew reports whether no answer with the part had begun before a crash, and none
// since.
func (core Core) isNew(part uint64, crash Crash) bool {
	if slices.ContainsFunc(crash.Suspects, func(suspect Suspect) bool { return suspect.Begun && slices.Contains(suspect.Parts, part) }) {
		return false
	}
	begun, ok := core.begun[part]
	return !ok || begun <= crash.At && crash.At-begun > historyTime
}

// hasNewPart reports whether a suspect whose answer had not begun has a part that is new.
func (core Core) hasNewPart(crash Crash) bool {
	return slices.ContainsFunc(crash.Suspects, func(suspect Suspect) bool {
		return !suspect.Begun && slices.ContainsFunc(suspect.Parts, func(part uint64) bool { return core.isNew(part, crash) })
	})
}

// explainedByPart reports whether another part in a crash has several crashes
// against it, and more guilt than the given part.
func (core Core) explainedByPart(crash Crash, part uint64, guilt int, now clock.Millis) bool {
	for _, suspect := range crash.Suspects {
		for _, other := range suspect.Parts {
			if other == part {
				continue
			}
			if _, others := core.episodes(other, core.crashesWithPart(other, now), true); others >= blockingGuilt && others > guilt {
				return true
			}
		}
	}
	return false
}

// canShiftBlame reports whether an answer to the request would leave something else
// to explain each crash that counts against the held part: another part behind it in
// the same prompt, which the request does not have, or the one request that ran in all
// of them. Such a part is probed at once, since prompts share their first parts and many
// sound requests may have it.
func (core Core) canShiftBlame(held suspicion, request Request) bool {
	if held.episodes >= shiftedCrashes && !slices.ContainsFunc(held.crashes, func(crash Crash) bool { return !crash.onlyFrom(held.part, held.crashes[0], request) }) {
		return true
	}
	return !slices.ContainsFunc(held.crashes, func(crash Crash) bool {
		return !slices.ContainsFunc(crash.Suspects, func(suspect Suspect) bool {
			at := slices.Index(suspect.Parts, held.part)
			return at >= 0 && slices.ContainsFunc(suspect.Parts[at+1:], func(other uint64) bool {
				isCandidate := core.isNew(other, crash) || !held.isNew && core.begun[other] <= crash.At
				return isCandidate && !slices.Contains(request.Parts, other)
			})
		})
	})
}

// onlyFrom reports whether all suspects of the crash that have the part are the same
// request as the first such suspect of another crash, and not the given request.
func (crash Crash) onlyFrom(part uint64, first Crash, request Request) bool {
	at := slices.IndexFunc(first.Suspects, func(suspect Suspect) bool { return slices.Contains(suspect.Parts, part) })
	fingerprint := first.Suspects[at].Fingerprint
	return fingerprint != request.Fingerprint && !slices.ContainsFunc(crash.Suspects, func(suspect Suspect) bool {
		return slices.Contains(suspect.Parts, part) && suspect.Fingerprint != fingerprint
	})
}

func (crash Crash) hasPart(part uint64) bool {
	return slices.ContainsFunc(crash.Suspects, func(suspect Suspect) bool { return slices.Contains(suspect.Parts, part) })
}

// withBegun records the begin of an answer if it changes what is known of a crash:
// the first begin after it, or one that shows that the part was not new.
func (core Core) withBegun(event Begun) Core {
	old, known := core.begun[event.Part]
	for _, crash := range core.crashes {
		if !crash.hasPart(event.Part) || known && event.At <= old {
			continue
		}
		exonerates := event.At > crash.At && (!known || old <= crash.At)
		isHistory := event.At <= crash.At && crash.At-event.At <= historyTime && (!known || crash.At-old > historyTime)
		if exonerates || isHistory {
			core.begun = with(core.begun, event.Part, event.At)
			return core.withChanged(item{part: event.Part})
		}
	}
	if record, ok := core.recorded[recordKey{part: event.Part}]; ok && event.At > record.At && old <= record.At {
		core.begun = with(core.begun, event.Part, event.At)
		return core.withChanged(item{part: event.Part})
	}
	return core
}

// withSurvived records that an answer went on if that exonerates its part for a crash.
func (core Core) withSurvived(event Survived) Core {
	old := core.survived[event.Part]
	exonerates := core.hasCrash(func(crash Crash) bool {
		return crash.hasPart(event.Part) && crash.hadBegun(event.Part) && event.At > crash.At && old <= crash.At
	})
	if !exonerates {
		return core
	}
	core.survived = with(core.survived, event.Part, event.At)
	return core.withChanged(item{survivor: event.Part})
}

// IsSuspect reports whether a request with the part ran on an endpoint that crashed, as
// far as is known or recorded.
func (core Core) IsSuspect(part uint64) bool {
	_, ok := core.recorded[recordKey{part: part}]
	return ok || core.hasCrash(func(crash Crash) bool { return crash.hasPart(part) })
}

// IsSuspectRequest reports whether the request ran on an endpoint that crashed.
func (core Core) IsSuspectRequest(fingerprint uint64) bool {
	_, ok := core.recorded[recordKey{fingerprint: fingerprint}]
	return ok || core.hasCrash(func(crash Crash) bool { return crash.has(fingerprint) })
}

func (core Core) hasCrash(matches func(Crash) bool) bool {
	for _, crash := range core.crashes {
		if matches(crash) {
			return true
		}
	}
	return false
}

// Suspicious returns the parts of all requests that ran on endpoints that crashed.
func (core Core) Suspicious() []uint64 {
	var list []uint64
	for _, crash := range core.crashes {
		for _, suspect := range crash.Suspects {
			list = append(list, suspect.Parts...)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// WithProbe grants a probe of a request unless another one was granted just before.
// Only one process of the fleet may grant probes.
func (core Core) WithProbe(request Request, now clock.Millis) (Core, bool) {
	if core.Decide(request, now).Treatment != Probe || core.probedAt > 0 && now-core.probedAt < probeInterval {
		return core, false
	}
	core.probedAt = now
	return core, true
}

// Revision returns the number of changes of the crashes and begins so far.
func (core Core) Revision() uint64 { return core.revision }
