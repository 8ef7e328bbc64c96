package crash

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// suspicionTime is how long a crash counts against its suspects, and how
	// long a block lasts.
	suspicionTime = 10 * clock.Minute
	// reportTime is the time in which the other entry VMs report their requests
	// on a crashed endpoint. Earlier, a request may seem to be the only common
	// suspect of two crashes because the report of another is still in flight.
	reportTime = clock.Second
	// retractAfter is the time after a crash from which on an announcement of the
	// crashed incarnation cannot have been sent before the crash.
	retractAfter = clock.Second
	// blockingGuilt is the guilt from which on a request is blocked. A crash before its answer
	// began counts fullGuilt, one soon after that begunGuilt.
	blockingGuilt = 4
	fullGuilt     = 2
	begunGuilt    = 1
)

// Treatment states how a request may run.
type Treatment int

// Treatments of a request.
const (
	// Normal lets the request run as usual.
	Normal Treatment = iota
	// Quarantine lets the request run only alone on an endpoint.
	Quarantine
	// Wait makes the request wait for the reports of other entry VMs.
	Wait
	// Block blocks the request.
	Block
	// Probe lets the request run if no other probe runs in the fleet.
	Probe
)

// Decision states how a request may run and, when it is blocked, why and how long.
type Decision struct {
	Treatment Treatment
	// Until is when a block or a wait ends.
	Until clock.Millis
	// Crashes is the number of crashes that count against the request or the part, and
	// Latest the time of the latest one.
	Crashes int
	Latest  clock.Millis
	// RequestID names the block for operators.
	RequestID string
	// Part is the prompt part that decided; 0 if none did.
	Part uint64
}

type block struct {
	until     clock.Millis
	crashes   int
	latest    clock.Millis
	requestID string
}

// Core holds the crashes and blocks. It is an immutable value; the zero value
// is empty.
type Core struct {
	crashes map[crashKey]Crash
	// silent holds endpoints that stopped answering, until it is known whether
	// they crashed.
	silent map[crashKey]Crash
	// cleared holds, by fingerprint, when a request was cleared. Earlier crashes
	// do not count against it.
	cleared map[uint64]clock.Millis
	// blocks holds the blocks in force by fingerprint.
	blocks map[uint64]block
	// begun holds, by prompt part, when an answer to a request with it last began.
	begun map[uint64]clock.Millis
	// survived holds, by prompt part, when an answer to a request with it last went on.
	survived map[uint64]clock.Millis
	// recorded holds the blocks of the configuration.
	recorded map[recordKey]Record
	// probedAt is when the last probe was granted; zero for never.
	probedAt clock.Millis
	// revision counts the changes of what other processes need to know, and changed holds
	// the revision of the latest change of each item.
	revision uint64
	changed  map[item]uint64
}

// item identifies a crash, the begin or survival of answers with a part, or the clearance of
// a request; the other fields are zero.
type item struct {
	crash       crashKey
	part        uint64
	survivor    uint64
	fingerprint uint64
}

// withChanged counts changes of items that other processes need to know.
func (core Core) withChanged(keys ...item) Core {
	core.changed = maps.Clone(core.changed)
	if core.changed == nil {
		core.changed = map[item]uint64{}
	}
	for _, key := range keys {
		core.revision++
		core.changed[key] = core.revision
	}
	return core
}

// Step applies an event and returns the next core and the actions to carry out.
func (core Core) Step(event Event, now clock.Millis) (Core, []Action) {
	switch event := event.(type) {
	case Crashed:
		return core.withCrash(event.Crash, now)
	case Silent:
		crash := event.Crash
		if old, ok := core.silent[crash.key()]; ok {
			crash = old.merged(crash)
		}
		core.silent = with(core.silent, crash.key(), crash)
		return core, nil
	case Announced:
		return core.withAnnounced(event, now)
	case Cleared:
		return core.withCleared(event, now), nil
	case Blocked:
		current := core.blocks[event.Fingerprint]
		current.until = max(event.Until, current.until)
		core.blocks = with(core.blocks, event.Fingerprint, current)
		return core, nil
	case Ended:
		return core.withEnded(event.Fingerprint, now), nil
	case Begun:
		return core.withBegun(event), nil
	case Survived:
		return core.withSurvived(event), nil
	case Recorded:
		return core.withRecorded(event, now), nil
	case Tick:
		return core.withTick(now)
	}
	return core, nil
}

// Decide returns how a request may run now.
func (core Core) Decide(request Request, now clock.Millis) Decision {
	decision := core.decideRequest(request.Fingerprint, now)
	if decision.Treatment == Block {
		return decision
	}
	if record, ok := core.recordAgainst(request, now); ok {
		return Decision{Treatment: Block, Until: record.Until, Crashes: record.Crashes, Latest: record.At, Part: record.Part}
	}
	if parts := core.decideParts(request, now); parts.Treatment != Normal {
		return parts
	}
	return decision
}

// decideRequest returns how a request may run by its fingerprint.
func (core Core) decideRequest(fingerprint uint64, now clock.Millis) Decision {
	if current, ok := core.blocks[fingerprint]; ok && now < current.until {
		return Decision{Treatment: Block, Until: current.until, Crashes: current.crashes, Latest: current.latest, RequestID: current.requestID}
	}
	counted := core.crashesAgainst(fingerprint, now)
	switch {
	case len(counted) == 0:
		return Decision{}
	case guilt(fingerprint, counted) >= blockingGuilt && core.isCause(fingerprint, counted):
		last := latest(counted)
		return Decision{Treatment: Wait, Crashes: len(counted), Latest: last, Until: last + reportTime}
	case !slices.ContainsFunc(counted, func(crash Crash) bool { return crash.weight(fingerprint) == fullGuilt }):
		return Decision{}
	}
	return Decision{Treatment: Quarantine, Crashes: len(counted), Latest: latest(counted)}
}

// Idle reports whether there are no crashes, silent endpoints or blocks.
func (core Core) Idle() bool {
	return len(core.recorded) == 0 && len(core.crashes) == 0 && len(core.silent) == 0 && len(core.blocks) == 0
}

// Crashes returns the crashes to share with other entry VMs, newest first.
func (core Core) Crashes() []Crash {
	list := slices.Collect(maps.Values(core.crashes))
	slices.SortFunc(list, func(first, second Crash) int {
		return cmp.Or(cmp.Compare(second.At, first.At), cmp.Compare(first.Endpoint, second.Endpoint))
	})
	return list
}

// Silent returns the endpoints that stopped answering and may have crashed.
func (core Core) Silent() []Crash { return slices.Collect(maps.Values(core.silent)) }

// Cleared returns when requests were cleared, by fingerprint.
func (core Core) Cleared() map[uint64]clock.Millis { return core.cleared }

// withCrash merges a report of a crash. It shares the crash again when the
// report adds something new.
func (core Core) withCrash(crash Crash, now clock.Millis) (Core, []Action) {
	old, known := core.crashes[crash.key()]
	merged := crash
	if known {
		merged = old.merged(crash)
	}
	core.crashes = with(core.crashes, crash.key(), merged)
	var actions []Action
	if !known || !sameSuspects(merged, old) || merged.Retracted != old.Retracted || merged.QuarantinedFingerprint != old.QuarantinedFingerprint {
		core = core.withChanged(core.itemsOf(merged)...)
		actions = append(actions, Share{Crash: merged})
	}
	if merged.Retracted {
		core = core.withoutUnfounded(now)
	}
	core, proposals := core.withBlocks(now)
	return core, append(actions, proposals...)
}

// itemsOf returns a crash and what is known of its suspects. A process that does not know
// the crash drops the rest, so the rest is sent after it.
func (core Core) itemsOf(crash Crash) []item {
	list := []item{{crash: crash.key()}}
	for _, suspect := range crash.Suspects {
		if _, ok := core.cleared[suspect.Fingerprint]; ok {
			list = append(list, item{fingerprint: suspect.Fingerprint})
		}
		for _, part := range suspect.Parts {
			if _, ok := core.begun[part]; ok {
				list = append(list, item{part: part})
			}
			if _, ok := core.survived[part]; ok {
				list = append(list, item{survivor: part})
			}
		}
	}
	return list
}

// withAnnounced turns a silent endpoint into a crashed one when it returns as
// another incarnation, and retracts a crash when the same incarnation still
// announces itself.
func (core Core) withAnnounced(announced Announced, now clock.Millis) (Core, []Action) {
	var actions []Action
	for id, crash := range core.silent {
		if id.endpoint != announced.Endpoint {
			continue
		}
		core.silent = without(core.silent, id)
		if id.incarnation != announced.Incarnation {
			next, more := core.withCrash(crash, now)
			core, actions = next, append(actions, more...)
		}
	}
	id := crashKey{announced.Endpoint, announced.Incarnation}
	if crash, ok := core.crashes[id]; ok && !crash.Retracted && now-crash.At >= retractAfter {
		crash.Retracted = true
		core.crashes = with(core.crashes, id, crash)
		core = core.withChanged(core.itemsOf(crash)...)
		core = core.withoutUnfounded(now)
		actions = append(actions, Share{Crash: crash})
	}
	return core, actions
}

// withCleared clears a request of the crashes before an instant, and ends its block if
// that leaves too few against it.
func (core Core) withCleared(event Cleared, now clock.Millis) Core {
	before := core.crashesAgainst(event.Fingerprint, now)
	core.cleared = with(core.cleared, event.Fingerprint, max(event.At, core.cleared[event.Fingerprint]))
	counted := core.crashesAgainst(event.Fingerprint, now)
	if len(counted) == len(before) {
		return core
	}
	return core.withChanged(item{fingerprint: event.Fingerprint}).withoutUnfounded(now)
}

// withoutUnfounded ends the blocks that were derived from crashes and that too few
// crashes support now.
func (core Core) withoutUnfounded(now clock.Millis) Core {
	for fingerprint, current := range core.blocks {
		if current.crashes > 0 && guilt(fingerprint, core.crashesAgainst(fingerprint, now)) < blockingGuilt {
			core.blocks = without(core.blocks, fingerprint)
		}
	}
	return core
}

// withEnded removes a request's block and clears it of its crashes so far.
func (core Core) withEnded(fingerprint uint64, now clock.Millis) Core {
	core.blocks = without(core.blocks, fingerprint)
	core.cleared = with(core.cleared, fingerprint, now)
	return core
}

// withTick ends expired blocks and drops old records.
func (core Core) withTick(now clock.Millis) (Core, []Action) {
	for fingerprint, current := range core.blocks {
		if current.until <= now {
			core = core.withEnded(fingerprint, now)
		}
	}
	cutoff := now - suspicionTime
	core.crashes = filtered(core.crashes, func(_ crashKey, crash Crash) bool { return crash.At > cutoff })
	core.silent = filtered(core.silent, func(_ crashKey, crash Crash) bool { return crash.At > cutoff })
	core.cleared = filtered(core.cleared, func(_ uint64, at clock.Millis) bool { return at > cutoff })
	core.recorded = filtered(core.recorded, func(_ recordKey, record Record) bool { return record.Until > now })
	if len(core.crashes) == 0 && len(core.recorded) == 0 {
		core.begun, core.survived = nil, nil
	}
	core.changed = filtered(core.changed, func(key item, _ uint64) bool { return core.holds(key) })
	return core.withBlocks(now)
}

// holds reports whether an item is still known.
func (core Core) holds(key item) bool {
	_, isCrash := core.crashes[key.crash]
	_, isBegun := core.begun[key.part]
	_, hasSurvived := core.survived[key.survivor]
	_, isCleared := core.cleared[key.fingerprint]
	return isCrash || isBegun || hasSurvived || isCleared
}

// withBlocks blocks the requests that are identified as the cause of enough
// crashes, and proposes the blocks to the control VMs.
func (core Core) withBlocks(now clock.Millis) (Core, []Action) {
	var actions []Action
	for _, crash := range core.Crashes() {
		for _, suspect := range crash.Suspects {
			counted := core.crashesAgainst(suspect.Fingerprint, now)
			_, blocked := core.blocks[suspect.Fingerprint]
			if blocked || guilt(suspect.Fingerprint, counted) < blockingGuilt || !core.isCause(suspect.Fingerprint, counted) || !reportsComplete(counted, now) {
				continue
			}
			added := block{until: now + suspicionTime, crashes: len(counted), latest: latest(counted), requestID: suspect.RequestID}
			core.blocks = with(core.blocks, suspect.Fingerprint, added)
			actions = append(actions, Propose{Suspect: suspect, Crashes: added.crashes, Until: added.until, Latest: added.latest})
		}
	}
	return core, actions
}

// crashesAgainst returns the crashes that count against a request. It leaves out
// crashes that are too old, precede the clearing of the request, were retracted,
// happened in the quarantine of another request, or have another blocked request
// among their suspects.
func (core Core) crashesAgainst(fingerprint uint64, now clock.Millis) []Crash {
	var list []Crash
	for _, crash := range core.crashes {
		outdated := now-crash.At >= suspicionTime || crash.At <= core.cleared[fingerprint]
		otherQuarantined := crash.QuarantinedFingerprint != 0 && crash.QuarantinedFingerprint != fingerprint
		if !crash.Retracted && !outdated && !otherQuarantined && crash.has(fingerprint) && !core.explainedByBlock(crash, fingerprint) {
			list = append(list, crash)
		}
	}
	return list
}

// explainedByBlock reports whether another suspect of a crash is blocked.
func (core Core) explainedByBlock(crash Crash, fingerprint uint64) bool {
	return slices.ContainsFunc(crash.Suspects, func(suspect Suspect) bool {
		_, blocked := core.blocks[suspect.Fingerprint]
		return blocked && suspect.Fingerprint != fingerprint
	})
}

// sameSuspects reports whether two reports of a crash have the same suspects. One has all
// suspects of the other.
func sameSuspects(first, second Crash) bool {
	return slices.EqualFunc(first.Suspects, second.Suspects, func(one, other Suspect) bool {
		return one.Fingerprint == other.Fingerprint && one.Begun == other.Begun
	})
}

// guilt sums up the crashes against a request that are independent of each other. Equal
// requests of several callers may be on many endpoints that end at once; the same
// request is on one endpoint after the other.
func guilt(fingerprint uint64, crashes []Crash) int {
	ordered := slices.SortedFunc(slices.Values(crashes), func(first, second Crash) int { return cmp.Compare(first.At, second.At) })
	sum, lastAt, lastID := tally{}, clock.Millis(0), ""
	for _, crash := range ordered {
		at := slices.IndexFunc(crash.Suspects, func(suspect Suspect) bool { return suspect.Fingerprint == fingerprint })
		id := crash.Suspects[at].RequestID
		isIndependent := crash.At-lastAt > episodeTime || id == lastID || crash.QuarantinedFingerprint == fingerprint
		sum = sum.withCrash(isIndependent, crash.weight(fingerprint))
		lastAt, lastID = crash.At, id
	}
	return sum.guilt
}

// tally adds up episodes, which are crashes that are not independent of each other. Each
// weighs as much as the crash of it that weighs most.
type tally struct {
	episodes, guilt int
	// weight is that of the latest episode.
	weight int
}

func (sum tally) withCrash(isIndependent bool, weight int) tally {
	if sum.episodes == 0 || isIndependent {
		return tally{episodes: sum.episodes + 1, guilt: sum.guilt + weight, weight: weight}
	}
	more := max(weight-sum.weight, 0)
	return tally{episodes: sum.episodes, guilt: sum.guilt + more, weight: sum.weight + more}
}

// weight returns the guilt of a suspect of the crash.
func (crash Crash) weight(fingerprint uint64) int {
	hasBegun := slices.ContainsFunc(crash.Suspects, func(suspect Suspect) bool { return suspect.Fingerprint == fingerprint && suspect.Begun })
	if hasBegun && crash.QuarantinedFingerprint != fingerprint {
		return begunGuilt
	}
	return fullGuilt
}

// totalWeight returns the sum of a suspect's weights in crashes.
func totalWeight(fingerprint uint64, crashes []Crash) int {
	sum := 0
	for _, crash := range crashes {
		sum += crash.weight(fingerprint)
	}
	return sum
}

// latest returns the time of the latest crash.
func latest(crashes []Crash) clock.Millis {
	return slices.MaxFunc(crashes, func(first, second Crash) int { return cmp.Compare(first.At, second.At) }).At
}

// isCause reports whether a request ran alone in one of its crashes, or whether no other
// suspect that they have in common is as likely. A suspect that was cleared of one of them
// cannot have caused them all.
func (core Core) isCause(fingerprint uint64, crashes []Crash) bool {
	if slices.ContainsFunc(crashes, func(crash Crash) bool { return crash.QuarantinedFingerprint == fingerprint }) {
		return true
	}
	own := totalWeight(fingerprint, crashes)
	for _, suspect := range crashes[0].Suspects {
		common := !slices.ContainsFunc(crashes, func(crash Crash) bool {
			return !crash.has(suspect.Fingerprint) || crash.At <= core.cleared[suspect.Fingerprint]
		})
		if common && suspect.Fingerprint != fingerprint && totalWeight(suspect.Fingerprint, crashes) >= own {
			return false
		}
	}
	return true
}

// reportsComplete reports whether all reports that can change the decision must
// have arrived. A crash of a request that ran alone needs no other report.
func reportsComplete(crashes []Crash, now clock.Millis) bool {
	alone := slices.ContainsFunc(crashes, func(crash Crash) bool { return crash.QuarantinedFingerprint != 0 })
	return alone || !slices.ContainsFunc(crashes, func(crash Crash) bool { return now-crash.At < reportTime })
}

func with[K comparable, V any](records map[K]V, id K, value V) map[K]V {
	next := maps.Clone(records)
	if next == nil {
		next = map[K]V{}
	}
	next[id] = value
	return next
}

func without[K comparable, V any](records map[K]V, id K) map[K]V {
	next := maps.Clone(records)
	delete(next, id)
	return next
}

// filtered returns a copy of the records with those to keep.
func filtered[K comparable, V any](records map[K]V, keep func(K, V) bool) map[K]V {
	next := maps.Clone(records)
	maps.DeleteFunc(next, func(id K, value V) bool { return !keep(id, value) })
	return next
}
