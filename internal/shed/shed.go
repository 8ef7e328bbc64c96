// Package shed decides how many slots of a service are kept for more urgent streams, so
// that a burst of less urgent ones is refused in their place. It does no I/O and reads
// no clock. The gateway process uses it.
//
// The load it answers: less urgent streams arrive at a multiple of their usual rate and
// take every slot before the endpoints can order what waits. A stream that runs is not
// stopped, so more urgent ones wait for the length of a stream and are late.
package shed

import (
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// buckets is the number of intervals into which the window of a Demand is divided.
	buckets = 8
	// defaultWindow is the window before the duration of a stream is known.
	defaultWindow = 2 * clock.Second
)

// Use is the number of streams of one level in flight at a service, from all gateways. A
// level is what Level returns.
type Use struct {
	Level   int
	Streams int
}

const (
	// stepsPerUrgency is the number of steps that are told apart within an urgency.
	stepsPerUrgency = 3
	// maxOrder is the last place in the order in which endpoints begin requests.
	maxOrder = 9
)

// Level ranks a stream among others of its service: by urgency first, which is the
// customer's priority if it has one, and within an urgency by step, the priority of the
// route. The lowest level is the most urgent.
func Level(urgency, step int) int {
	return max(urgency, 0)*stepsPerUrgency + min(max(step, 0), stepsPerUrgency-1)
}

// Order returns the place of a request in the order in which endpoints begin what waits;
// 0 goes first. A request that is late in any case comes after all others of its urgency.
// The steps of the most urgent customers share a place, since there are only ten.
func Order(urgency, step int, isLate bool) int {
	const places = stepsPerUrgency + 1
	late := 0
	if isLate {
		late = 1
	}
	if urgency <= 0 {
		return late
	}
	place := 2 + (urgency-1)*places + min(max(step, 0), stepsPerUrgency-1)
	if isLate {
		place = 2 + urgency*places - 1
	}
	return min(place, maxOrder)
}

// Demand holds the streams in flight at one service by level, and the most of each in
// a recent window. It is an immutable value; the zero value is empty.
type Demand struct {
	levels []level
}

// level holds the streams of one level. peaks holds the most streams in flight in each
// interval of the window, the latest last; begun is when the latest interval began.
type level struct {
	number int
	now    int
	peaks  [buckets]int
	begun  clock.Millis
}

// With returns the demand with the streams in flight now. The window is the time that a
// stream runs (0 if it is not known): slots that were in use that long ago have all
// been given up since.
func (demand Demand) With(uses []Use, window, now clock.Millis) Demand {
	if window <= 0 {
		window = defaultWindow
	}
	levels := slices.Clone(demand.levels)
	for at := range levels {
		levels[at] = levels[at].advanced(window, now).with(0)
	}
	for _, use := range uses {
		at, known := slices.BinarySearchFunc(levels, use.Level, func(level level, number int) int { return level.number - number })
		if !known {
			levels = slices.Insert(levels, at, level{number: use.Level, begun: now})
		}
		levels[at] = levels[at].with(levels[at].now + use.Streams)
	}
	return Demand{levels: slices.DeleteFunc(levels, level.idle)}
}

// advanced returns the level with the intervals of the window moved up to now.
func (level level) advanced(window, now clock.Millis) level {
	interval := max(window/buckets, 1)
	steps := (now - level.begun) / interval
	if steps <= 0 {
		return level
	}
	level.begun += steps * interval
	kept := max(buckets-int(min(steps, buckets)), 0)
	var peaks [buckets]int
	copy(peaks[:kept], level.peaks[buckets-kept:])
	level.peaks = peaks
	return level
}

// with returns the level with a number of streams in flight.
func (level level) with(streams int) level {
	level.now = streams
	level.peaks[buckets-1] = max(level.peaks[buckets-1], streams)
	return level
}

func (level level) idle() bool { return slices.Max(level.peaks[:]) == 0 }

// Reserved returns the number of slots to keep free for streams that are more urgent
// than the given level: what their recent peak exceeds their present number.
func (demand Demand) Reserved(than int) int {
	reserved := 0
	for _, level := range demand.levels {
		if level.number < than {
			reserved += slices.Max(level.peaks[:]) - level.now
		}
	}
	return reserved
}
