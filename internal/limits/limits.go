// Package limits bounds the number of streams that an engine runs at once, so that
// the pauses between their events stay within the objective. It does no I/O and
// reads no clock. The gateway process uses it.
//
// The limit matters when the popularity of experts shifts while the engines are
// close to their capacity. For about a second after a shift, until the expert map
// is updated, every pass of a group takes about twice as long, and a single pause
// over the objective makes the whole stream late. With fewer streams at once, the
// longest pass stays within the objective.
package limits

import "github.com/hibiscuslug/hibiscuslug/pkg/clock"

const (
	// bucketLength is the time covered by one bucket of the sliding window, and
	// bucketCount the number of buckets. The window is longer than the time from one
	// popularity shift to the next.
	bucketLength = clock.Second
	bucketCount  = 8
	// margin is the fraction of the objective to aim for, since the length of a pass
	// varies with the prompts whose prefill is part of it.
	margin = 0.95
	// minSlotShare is the share of the slots that may always be used. Most shifts are
	// milder than the worst one in the window, and a lower limit refuses more callers
	// than it keeps on time.
	minSlotShare = 0.7
	// maxPauseObjectives is the longest pause that is taken into account, in
	// objectives. After a longer one the group was stopped rather than slow.
	maxPauseObjectives = 3
)

// Cost is the duration of a token step: a fixed part, and a part for each stream in
// the batch. A pass over the batch has several token steps.
type Cost struct{ TokenStepMillis, PerStreamMillis float64 }

func (cost Cost) stepMillis(streams float64) float64 {
	return cost.TokenStepMillis + cost.PerStreamMillis*streams
}

// Limiter holds the longest recent pauses between events, relative to the cost of a
// token step. It is an immutable value; the zero value sets no limit.
type Limiter struct {
	// ratios holds the highest ratio of a pause to the cost of a token step in each
	// bucket of the window, and bucketNumbers the number of that bucket since time 0.
	ratios        [bucketCount]float64
	bucketNumbers [bucketCount]clock.Millis
}

// WithPause returns the limiter with a new pause, which occurred while the engines ran
// the given number of streams on average.
func (limiter Limiter) WithPause(now, pause, objective clock.Millis, streams float64, cost Cost) Limiter {
	if cost.stepMillis(streams) <= 0 || pause > maxPauseObjectives*objective {
		return limiter
	}
	number := now / bucketLength
	at := number % bucketCount
	if limiter.bucketNumbers[at] != number {
		limiter.bucketNumbers[at], limiter.ratios[at] = number, 0
	}
	limiter.ratios[at] = max(limiter.ratios[at], float64(pause)/cost.stepMillis(streams))
	return limiter
}

// Limit returns how many streams an engine may run: all of its slots, or fewer if a
// pass as slow as the slowest one in the window would exceed the objective.
func (limiter Limiter) Limit(now, objective clock.Millis, slots int, cost Cost) float64 {
	maxRatio := 0.0
	for at, ratio := range limiter.ratios {
		if now/bucketLength-limiter.bucketNumbers[at] < bucketCount {
			maxRatio = max(maxRatio, ratio)
		}
	}
	if maxRatio == 0 || objective <= 0 || cost.PerStreamMillis <= 0 {
		return float64(slots)
	}
	fits := (margin*float64(objective)/maxRatio - cost.TokenStepMillis) / cost.PerStreamMillis
	return min(max(fits, minSlotShare*float64(slots)), float64(slots))
}
