// Package halt decides which requests a gateway that is stopping still sends to
// endpoints. It does no I/O and reads no clock.
//
// A request that is sent and not answered when the process ends may have run, and its
// caller cannot know it. A request that is refused has not run, and another gateway serves
// it.
package halt

import (
	"math"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// halfLife is the time in which the longest known duration counts half, so that one slow
// answer is forgotten.
const halfLife = 30 * clock.Second

// Durations knows how long the answers of a route lately took at most. The zero value
// knows none. It is immutable.
type Durations struct {
	longest, at clock.Millis
}

// With returns the durations after an answer that took a time.
func (durations Durations) With(now, took clock.Millis) Durations {
	if took < durations.Longest(now) {
		return durations
	}
	return Durations{longest: took, at: now}
}

// Longest returns the longest duration, weighted by its age; 0 if none is known.
func (durations Durations) Longest(now clock.Millis) clock.Millis {
	age := float64(now-durations.at) / float64(halfLife)
	return clock.Millis(float64(durations.longest) * math.Exp2(-age))
}

// Fits reports whether an answer is expected within the time that is left before the
// process ends.
func (durations Durations) Fits(now, left clock.Millis) bool {
	return left > 0 && durations.Longest(now) <= left
}
