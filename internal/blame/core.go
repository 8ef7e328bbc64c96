package blame

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// remembered is how long a crash counts against its suspects, and how long
	// a block lasts.
	remembered = 10 * clock.Minute
	// settle is the time in which the other entry VMs report their requests on
	// a crashed endpoint. Before, a request may look like the only common
	// suspect of two crashes because the report of another is on its way.
	settle = clock.Second
	// aliveAfter is the time after which an announcement of a crashed
	// incarnation cannot have been sent before the crash.
	aliveAfter = clock.Second
	// enough crashes block a request.
	enough = 2
)

// Standing is how a request may run.
type Standing int

// Standings of a request.
const (
	// Free lets the request run as usual.
	Free Standing = iota
	// Quarantine lets it run alone on one endpoint.
	Quarantine
	// Hold makes it wait for the reports of other entry VMs.
	Hold
	// Refuse blocks it.
	Refuse
)

// Verdict is how a request may run and, when it is blocked, why and how long.
type Verdict struct {
	Standing Standing
	// Until is when a block ends.
	Until   clock.Millis
	Crashes int
	// RequestID names the block for operators.
	RequestID string
}

type block struct {
	until     clock.Millis
	crashes   int
	requestID string
}

// Core holds the suspicions. It is an immutable value; the zero value knows nothing.
type Core struct {
	crashes map[key]Crash
	silent  map[key]Crash
	cleared map[uint64]clock.Millis
	blocks  map[uint64]block
}

// Step takes an event and returns the next core with what has to be done.
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
	case Seen:
		return core.withSeen(event, now)
	case Cleared:
		core.cleared = with(core.cleared, event.Fingerprint, max(event.At, core.cleared[event.Fingerprint]))
		return core, nil
	case Blocked:
		known := core.blocks[event.Fingerprint]
		known.until = max(event.Until, known.until)
		core.blocks = with(core.blocks, event.Fingerprint, known)
		return core, nil
	case Ended:
		return core.withEnded(event.Fingerprint, now), nil
	case Tick:
		return core.withTick(now)
	}
	return core, nil
}

// Verdict tells how a request may run now.
func (core Core) Verdict(fingerprint uint64, now clock.Millis) Verdict {
	if known, ok := core.blocks[fingerprint]; ok && now < known.until {
		return Verdict{Standing: Refuse, Until: known.until, Crashes: known.crashes, RequestID: known.requestID}
	}
	counted := core.counted(fingerprint, now)
	switch {
	case len(counted) == 0:
		return Verdict{}
	case len(counted) >= enough && guilty(fingerprint, counted):
		return Verdict{Standing: Hold, Crashes: len(counted)}
	}
	return Verdict{Standing: Quarantine, Crashes: len(counted)}
}

// Idle tells whether nothing is held against any request.
func (core Core) Idle() bool {
	return len(core.crashes) == 0 && len(core.silent) == 0 && len(core.blocks) == 0
}

// Crashes returns the crashes that other entry VMs should know, newest first.
func (core Core) Crashes() []Crash {
	list := slices.Collect(maps.Values(core.crashes))
	slices.SortFunc(list, func(first, second Crash) int {
		return cmp.Or(cmp.Compare(second.At, first.At), cmp.Compare(first.Endpoint, second.Endpoint))
	})
	return list
}

// Cleared returns the requests that were cleared, with the instant.
func (core Core) Cleared() map[uint64]clock.Millis { return core.cleared }

func (core Core) withCrash(crash Crash, now clock.Millis) (Core, []Action) {
	old, known := core.crashes[crash.key()]
	merged := crash
	if known {
		merged = old.merged(crash)
	}
	core.crashes = with(core.crashes, crash.key(), merged)
	var actions []Action
	if !known || len(merged.Suspects) != len(old.Suspects) || merged.Alive != old.Alive || merged.Alone != old.Alone {
		actions = append(actions, Share{Crash: merged})
	}
	core, proposals := core.judged(now)
	return core, append(actions, proposals...)
}

// withSeen turns a silent endpoint into a crashed one when it comes back as
// another incarnation, and takes a crash back when the same one is still there.
func (core Core) withSeen(seen Seen, now clock.Millis) (Core, []Action) {
	var actions []Action
	for id, crash := range core.silent {
		if id.endpoint != seen.Endpoint {
			continue
		}
		core.silent = without(core.silent, id)
		if id.incarnation != seen.Incarnation {
			next, more := core.withCrash(crash, now)
			core, actions = next, append(actions, more...)
		}
	}
	id := key{seen.Endpoint, seen.Incarnation}
	if crash, ok := core.crashes[id]; ok && !crash.Alive && now-crash.At >= aliveAfter {
		crash.Alive = true
		core.crashes = with(core.crashes, id, crash)
		actions = append(actions, Share{Crash: crash})
	}
	return core, actions
}

// withEnded forgets what was held against a request.
func (core Core) withEnded(fingerprint uint64, now clock.Millis) Core {
	core.blocks = without(core.blocks, fingerprint)
	core.cleared = with(core.cleared, fingerprint, now)
	return core
}

func (core Core) withTick(now clock.Millis) (Core, []Action) {
	for fingerprint, known := range core.blocks {
		if known.until <= now {
			core = core.withEnded(fingerprint, now)
		}
	}
	old := now - remembered
	core.crashes = kept(core.crashes, func(crash Crash) bool { return crash.At > old })
	core.silent = kept(core.silent, func(crash Crash) bool { return crash.At > old })
	core.cleared = kept(core.cleared, func(at clock.Millis) bool { return at > old })
	return core.judged(now)
}

// judged blocks the requests that are found guilty.
func (core Core) judged(now clock.Millis) (Core, []Action) {
	var actions []Action
	for _, crash := range core.Crashes() {
		for _, suspect := range crash.Suspects {
			counted := core.counted(suspect.Fingerprint, now)
			_, blocked := core.blocks[suspect.Fingerprint]
			if blocked || len(counted) < enough || !guilty(suspect.Fingerprint, counted) || !settled(counted, now) {
				continue
			}
			verdict := block{until: now + remembered, crashes: len(counted), requestID: suspect.RequestID}
			core.blocks = with(core.blocks, suspect.Fingerprint, verdict)
			actions = append(actions, Propose{Suspect: suspect, Crashes: verdict.crashes, Until: verdict.until, Latest: latest(counted)})
		}
	}
	return core, actions
}

// counted returns the crashes that count against a request: not those before
// it was cleared, nor those that a blocked request explains.
func (core Core) counted(fingerprint uint64, now clock.Millis) []Crash {
	var list []Crash
	for _, crash := range core.crashes {
		old := now-crash.At >= remembered || crash.At <= core.cleared[fingerprint]
		beside := crash.Alone != 0 && crash.Alone != fingerprint
		if !crash.Alive && !old && !beside && crash.has(fingerprint) && !core.explained(crash, fingerprint) {
			list = append(list, crash)
		}
	}
	return list
}

func (core Core) explained(crash Crash, fingerprint uint64) bool {
	return slices.ContainsFunc(crash.Suspects, func(suspect Suspect) bool {
		_, blocked := core.blocks[suspect.Fingerprint]
		return blocked && suspect.Fingerprint != fingerprint
	})
}

func latest(crashes []Crash) clock.Millis {
	return slices.MaxFunc(crashes, func(first, second Crash) int { return cmp.Compare(first.At, second.At) }).At
}

// guilty tells whether a request ran alone in one of its crashes or is the
// only suspect that they have in common.
func guilty(fingerprint uint64, crashes []Crash) bool {
	if slices.ContainsFunc(crashes, func(crash Crash) bool { return crash.Alone == fingerprint }) {
		return true
	}
	for _, suspect := range crashes[0].Suspects {
		common := !slices.ContainsFunc(crashes, func(crash Crash) bool { return !crash.has(suspect.Fingerprint) })
		if common && suspect.Fingerprint != fingerprint {
			return false
		}
	}
	return true
}

// settled tells whether all reports that can change the verdict have come in.
func settled(crashes []Crash, now clock.Millis) bool {
	alone := slices.ContainsFunc(crashes, func(crash Crash) bool { return crash.Alone != 0 })
	return alone || !slices.ContainsFunc(crashes, func(crash Crash) bool { return now-crash.At < settle })
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

func kept[K comparable, V any](records map[K]V, keep func(V) bool) map[K]V {
	next := maps.Clone(records)
	maps.DeleteFunc(next, func(_ K, value V) bool { return !keep(value) })
	return next
}
