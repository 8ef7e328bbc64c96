// Package pace tells how many streams an engine may run at once so that the
// pauses between their events stay within the objective. It is pure.
//
// It answers shifts of what is popular at a load that the engines just carry.
// For about a second after a shift, until the expert map follows, every pass of
// a group takes about twice as long, and one pause over the objective makes a
// stream late as a whole. With fewer streams at once the longest pass fits.
package pace

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

const (
	// bucket is the time over which the longest pause is taken, and buckets how
	// many are kept: longer than the time from one shift to the next.
	bucket  = clock.Second
	buckets = 8
	// margin is kept to the objective; passes differ by what is read in them.
	margin = 0.95
	// leastShare of the slots is used whatever the pauses are. Most shifts are
	// milder than the worst one of late, and a lower limit refuses more callers
	// than it keeps on time.
	leastShare = 0.7
	// mostPauses is the pause, in objectives, from which a group counts as
	// stopped rather than slow.
	mostPauses = 3
)

// Cost is what a step of the batch takes: a part for itself and one for each
// stream in it, in milliseconds.
type Cost struct{ Step, PerStream float64 }

func (cost Cost) of(streams float64) float64 { return cost.Step + cost.PerStream*streams }

// Pace is what pauses have shown. It is an immutable value; the zero value
// limits nothing.
type Pace struct {
	// ratios holds the highest ratio of a pause to the cost of a step, by bucket
	// of time, and at the bucket that each is of.
	ratios [buckets]float64
	at     [buckets]clock.Millis
}

// WithPause returns the pace with a pause that was seen while engines had a
// number of streams on average.
func (pace Pace) WithPause(now, pause, objective clock.Millis, streams float64, cost Cost) Pace {
	if cost.of(streams) <= 0 || pause > mostPauses*objective {
		return pace
	}
	number := now / bucket
	at := number % buckets
	if pace.at[at] != number {
		pace.at[at], pace.ratios[at] = number, 0
	}
	pace.ratios[at] = max(pace.ratios[at], float64(pause)/cost.of(streams))
	return pace
}

// Limit returns how many streams an engine may run: all of its slots, or fewer
// when a pause like the longest one of late would not be within the objective.
func (pace Pace) Limit(now, objective clock.Millis, slots int, cost Cost) float64 {
	worst := 0.0
	for at, ratio := range pace.ratios {
		if now/bucket-pace.at[at] < buckets {
			worst = max(worst, ratio)
		}
	}
	if worst == 0 || objective <= 0 || cost.PerStream <= 0 {
		return float64(slots)
	}
	fits := (margin*float64(objective)/worst - cost.Step) / cost.PerStream
	return min(max(fits, leastShare*float64(slots)), float64(slots))
}
