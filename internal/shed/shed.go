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

// Use is the number of streams of one urgency in flight at a service, from all gateways.
type Use struct {
	Urgency int
	Streams int
}

// Demand holds the streams in flight at one service by urgency, and the most of each in
// a recent window. It is an immutable value; the zero value is empty.
type Demand struct {
	levels []level
}

// level is one urgency. peaks holds the most streams in flight in each interval of the
// window, the latest last; begun is when the latest interval began.
type level struct {
	urgency int
	now     int
	peaks   [buckets]int
	begun   clock.Millis
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
		at, known := slices.BinarySearchFunc(levels, use.Urgency, func(level level, urgency int) int { return level.urgency - urgency })
		if !known {
			levels = slices.Insert(levels, at, level{urgency: use.Urgency, begun: now})
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
// than the given urgency: what their recent peak exceeds their present number.
func (demand Demand) Reserved(urgency int) int {
	reserved := 0
	for _, level := range demand.levels {
		if level.urgency < urgency {
			reserved += slices.Max(level.peaks[:]) - level.now
		}
	}
	return reserved
}
