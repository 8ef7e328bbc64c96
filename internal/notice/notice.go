// Package notice keeps what endpoints stated of their readiness in answers, and what
// the control leader found of their pace: endpoints that leave, that want no requests
// for a while, and that are slow. Notices are shared by all processes. The package
// does no I/O and reads no clock. Gateways and control VMs use it.
package notice

import (
	"maps"
	"math"

	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// MaxPause bounds the pause that an endpoint may ask for. An implausible time does
	// not take it out of use until its next start.
	MaxPause = clock.Hour
	// leavingLifetime is how long a start counts as leaving after it was last heard to
	// state it. It is longer than the longest streams that it may finish.
	leavingLifetime = clock.Hour
	// leavingInterval is the time after which the statement is shared again, so that it
	// does not expire at processes that get no answers of the endpoint.
	leavingInterval = 5 * clock.Minute
	// paceLifetime is how long a pace is valid after the control leader stated it; the
	// leader states it again once a second.
	paceLifetime = 3 * clock.Second
	// paceInterval is the time after which an unchanged pace is shared again.
	paceInterval = 500 * clock.Millis(1)
	// pauseStep is how much later than known a pause must end to be shared. A pause is
	// encoded as the time left, so each hop adds its delay: without the step, processes
	// would extend a pause by passing it to each other.
	pauseStep = clock.Second
	// usualPace is stated when an endpoint is no longer slow; 0 states nothing.
	usualPace = 1
)

// Notice is a statement about one start of an endpoint.
type Notice struct {
	Endpoint quota.Endpoint
	Leaving  bool
	// PauseEnd is the end of the time for which the endpoint wants no requests; 0 for
	// none.
	PauseEnd clock.Millis
	// Pace is the factor by which the endpoint is slower than usual; 0 states nothing, 1
	// that it is not slow any more.
	Pace float64
	// At is the time of the observation.
	At clock.Millis
}

// Slow returns the notice of a slow endpoint. A pace that is not over 1 ends it.
func Slow(endpoint quota.Endpoint, pace float64, now clock.Millis) Notice {
	return Notice{Endpoint: endpoint, Pace: validPace(pace), At: now}
}

func validPace(pace float64) float64 {
	if pace > usualPace && !math.IsInf(pace, 0) {
		return pace
	}
	return usualPace
}

// State is what counts of one start of an endpoint at an instant.
type State struct {
	Leaving bool
	// OwnPause is the end of the pause that the endpoint asked this process for, ToldPause
	// the end of the one that it asked others for; 0 for none.
	OwnPause, ToldPause clock.Millis
	// Pace is the factor by which the endpoint is slower than usual; 0 if it is not.
	Pace float64
}

// Closed reports whether this process must send the endpoint no request.
func (state State) Closed() bool { return state.Leaving || state.OwnPause > 0 }

// entry is all that is known of one start of an endpoint and the revision of the table
// in which it was last shared.
type entry struct {
	leaving             bool
	leavingAt           clock.Millis
	ownPause, toldPause clock.Millis
	pace                float64
	paceAt              clock.Millis
	revision            uint64
}

// state returns what of an entry counts at an instant. Instants are whole milliseconds,
// so a pause includes the one in which it ends.
func (known entry) state(now clock.Millis) State {
	var state State
	state.Leaving = known.leaving && now-known.leavingAt < leavingLifetime
	if now <= known.ownPause {
		state.OwnPause = known.ownPause
	}
	if now <= known.toldPause {
		state.ToldPause = known.toldPause
	}
	if known.pace > usualPace && now-known.paceAt < paceLifetime {
		state.Pace = known.pace
	}
	return state
}

// isOver reports whether an entry counts no more and need not be shared.
func (known entry) isOver(now clock.Millis) bool {
	return known.state(now) == State{} && now-known.paceAt >= 2*paceLifetime
}

// Table holds the notices by start of an endpoint. It is an immutable value; the zero
// value is empty.
type Table struct {
	entries  map[quota.Endpoint]entry
	revision uint64
}

// With merges a notice of another process.
func (table Table) With(told Notice) Table {
	known := table.entries[told.Endpoint]
	next, isNews := known.with(told)
	if told.PauseEnd > max(known.ownPause, known.toldPause)+pauseStep {
		next.toldPause, isNews = told.PauseEnd, true
	}
	return table.put(told.Endpoint, next, isNews)
}

// WithOwn merges a notice that this process has observed, whose pause binds it.
func (table Table) WithOwn(observed Notice) Table {
	known := table.entries[observed.Endpoint]
	next, isNews := known.with(observed)
	if observed.PauseEnd > known.ownPause {
		isNews = isNews || observed.PauseEnd > max(known.ownPause, known.toldPause)+pauseStep
		next.ownPause = observed.PauseEnd
	}
	return table.put(observed.Endpoint, next, isNews)
}

// with merges all of a notice but the pause, and reports whether it must be shared.
func (known entry) with(given Notice) (entry, bool) {
	next, isNews := known, false
	if given.Leaving && (!known.leaving || given.At-known.leavingAt >= leavingInterval) {
		next.leaving, next.leavingAt, isNews = true, given.At, true
	}
	isSlow := given.Pace > usualPace || known.pace > usualPace
	isLater := given.At-known.paceAt >= paceInterval || given.Pace != known.pace && given.At > known.paceAt
	if given.Pace > 0 && isSlow && isLater {
		next.pace, next.paceAt, isNews = given.Pace, given.At, true
	}
	return next, isNews
}

func (table Table) put(endpoint quota.Endpoint, next entry, isNews bool) Table {
	if next == table.entries[endpoint] {
		return table
	}
	if isNews {
		table.revision++
		next.revision = table.revision
	}
	table.entries = maps.Clone(table.entries)
	if table.entries == nil {
		table.entries = map[quota.Endpoint]entry{}
	}
	table.entries[endpoint] = next
	return table
}

// Expired returns the table without notices that count no more.
func (table Table) Expired(now clock.Millis) Table {
	next := maps.Clone(table.entries)
	maps.DeleteFunc(next, func(_ quota.Endpoint, known entry) bool { return known.isOver(now) })
	table.entries = next
	return table
}

// State returns what counts of a start of an endpoint.
func (table Table) State(endpoint quota.Endpoint, now clock.Millis) State {
	known, ok := table.entries[endpoint]
	if !ok {
		return State{}
	}
	return known.state(now)
}

// States returns what counts of all endpoints that are known.
func (table Table) States(now clock.Millis) []State {
	list := make([]State, 0, len(table.entries))
	for _, known := range table.entries {
		list = append(list, known.state(now))
	}
	return list
}

// Revision returns the number of changes that other processes need to know.
func (table Table) Revision() uint64 { return table.revision }

// Since returns the notices that changed after a revision and still count.
func (table Table) Since(revision uint64, now clock.Millis) []Notice {
	var list []Notice
	for endpoint, known := range table.entries {
		if known.revision <= revision || known.isOver(now) {
			continue
		}
		state := known.state(now)
		told := Notice{Endpoint: endpoint, Leaving: state.Leaving, PauseEnd: max(state.OwnPause, state.ToldPause), At: known.leavingAt}
		if known.pace > 0 && now-known.paceAt < 2*paceLifetime {
			told.Pace, told.At = known.pace, known.paceAt
		}
		list = append(list, told)
	}
	return list
}
