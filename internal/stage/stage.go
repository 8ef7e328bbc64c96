// Package stage decides when a group of ranks switches to another expert map, and
// how many experts a rank may copy for it. It performs no I/O and reads no clock.
//
// A stage is one switch of a group to another map. It takes a fixed time for reads,
// arming and the hold, and the time in which its ranks copy experts, one after the
// other. Passes take longer while ranks copy. The decision weighs these times against
// the shorter passes until the popularity of experts is expected to shift again.
package stage

import (
	"math"

	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/rebal"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// copySlowdown is the share by which passes take longer while ranks copy, as
	// measured on deployments. A pass during part of which ranks copy is taken to be
	// slowed in proportion.
	copySlowdown = 0.15
	// copyPrice is the time of passes that a single copy must save for each unit of
	// time in which its rank copies; stagePrice is that of a stage, by the rank that
	// copies most. They include copySlowdown; the rest
	// is for the bytes. With a stagePrice of copySlowdown alone, groups of 32 and 72
	// ranks in the model copy a quarter more for no lower skew.
	copyPrice  = 1.0
	stagePrice = 0.5
	// startSkew is the skew at or above which a layer is planned anew, stopSkew the
	// skew at which its planning ends. The noise of reads alone gives about 1.08: with
	// 1.10 and 1.03, groups of 32 and 72 ranks in the model copy 1.6 to 1.8 times as much
	// for the same skew.
	startSkew = 1.15
	stopSkew  = 1.08
	// copyPart is the time of the copies of a stage in its fixed times.
	copyPart = 0.5
	// minGain is the lower limit of the gain per copy, in the mean load of a rank;
	// smaller gains are within the noise of the loads (decision 0071).
	minGain = 0.001
	// firstFixed is the fixed time of a stage before one has been measured, and
	// firstInterval the interval between shifts before two have been seen.
	firstFixed    = 250.0
	firstInterval = 3500 * clock.Millis(1)
	// peakTime is the time in which the remembered peak of demand falls to 1/e.
	// It spans several of the swings of demand seen on deployments.
	peakTime = 30 * clock.Second
	// weight is the weight of a new measurement in the measured times.
	weight = 0.3
	// shiftNoise is the distance between a read and the loads, in mean distances, above
	// which popularity has shifted. The distance of reads of one popularity varies by
	// less than a tenth, since it is a sum over all experts.
	shiftNoise = 1.6
	// readTime is the largest error of a measured copy time: a copy is seen to have
	// ended in the read after it, and the order itself takes some milliseconds.
	readTime = 100.0
	// maxRise is the largest measurement, in present means, that is used in full, so
	// that single orders which are late or lost change the means little.
	maxRise = 1.5
	// comfortShare is the share of the pause limit that a pass may take without a new map.
	// Popularity may double the time of a pass at any moment.
	comfortShare = 0.5
	// minRemaining is the share of the interval between shifts that a new map is
	// expected to be in use at least, since shifts are not regular.
	minRemaining = 0.25
)

// Group holds the measurements of one group of ranks. It is immutable.
type Group struct {
	ranks    int
	engine   plan.Engine
	maxPause clock.Millis
	// fill is the share of request slots in use; peak is its recent peak as of peakAt.
	fill, peak float64
	peakAt     clock.Millis
	// evenPass is the time of a pass with an even load, in ms; 0 if unknown. evenPeak is
	// its recent peak as of evenPeakAt.
	evenPass, evenPeak float64
	evenPeakAt         clock.Millis
	// fixed is the fixed time of a stage, copyTime the time of a copy, in ms.
	fixed, copyTime float64
	// shiftAt is the time of the last shift; interval is the mean time between shifts.
	// noise is the mean distance between a read and the loads while nothing shifts;
	// isApart is set while reads are further away than that.
	shiftAt, interval clock.Millis
	noise             float64
	isApart           bool
}

// NewGroup returns a group of which nothing is measured yet.
func NewGroup(engine plan.Engine) Group {
	return Group{engine: engine, fixed: firstFixed, copyTime: engine.CopyMillis, interval: firstInterval}
}

// WithMaxPause returns the group with the longest pause that its streams may have; 0
// for no limit.
func (group Group) WithMaxPause(limit clock.Millis) Group {
	group.maxPause = limit
	return group
}

// WithDemand returns the group after a read of all its ranks. inUse is the number of
// requests that run or wait there, which may exceed the slots.
func (group Group) WithDemand(inUse, ranks int, now clock.Millis) Group {
	group.ranks = ranks
	group.fill = float64(inUse) / float64(max(group.ranks*group.engine.RequestSlots, 1))
	group.peak = max(group.fill, group.peakFill(now))
	group.peakAt = now
	return group
}

// WithPass returns the group after a measured pass during which no rank copied.
func (group Group) WithPass(millis, skew float64, now clock.Millis) Group {
	even := millis / group.factor(skew)
	if group.evenPass == 0 {
		group.evenPass = even
	}
	group.evenPass += weight * (even - group.evenPass)
	group.evenPeak, group.evenPeakAt = max(group.evenPass, group.evenPeak*group.decay(group.evenPeakAt, now)), now
	return group
}

// decay returns the share of a peak that is left of it.
func (group Group) decay(peakAt, now clock.Millis) float64 {
	return math.Exp(-float64(now-peakAt) / float64(peakTime))
}

// isComfortable reports whether passes with a skew leave callers room for a shift, at the
// recent peak of demand. A better map then gains callers nothing for its copies.
func (group Group) isComfortable(skew float64, now clock.Millis) bool {
	even := group.evenPeak * group.decay(group.evenPeakAt, now)
	return group.maxPause > 0 && even > 0 && even*group.factor(skew) <= comfortShare*float64(group.maxPause)
}

// WithStage returns the group after a stage that took some time in all, of which the
// ranks prepared for a time, in which a rank copied at most some number of experts.
func (group Group) WithStage(took, prepared clock.Millis, copies int) Group {
	if copies < 1 {
		return group
	}
	// The copy time of the configuration is that of an idle link.
	measured := max((float64(prepared)-readTime)/float64(copies), group.engine.CopyMillis)
	group.copyTime += weight * (min(measured, maxRise*group.copyTime) - group.copyTime)
	fixed := max(float64(took)-group.copyTime*float64(copies), 0)
	group.fixed += weight * (min(fixed, maxRise*group.fixed) - group.fixed)
	return group
}

// Interval returns the mean time between shifts of popularity.
func (group Group) Interval() clock.Millis { return group.interval }

// Lost returns the time that a pass loses to a slow rank, in ms: skew is that with the
// pace of the rank, without the skew if it were as fast as the others.
func (group Group) Lost(pace, skew, without float64) float64 {
	share := group.engine.ExpertShare
	return group.evenPass * ((1-share)*(pace-1) + share*(skew-without))
}

// WithDistance returns the group after a read of popularity at a distance from the
// loads, and reports whether popularity has shifted since the read before.
func (group Group) WithDistance(distance float64, now clock.Millis) (Group, bool) {
	if group.noise > 0 && distance > shiftNoise*group.noise {
		isShift := !group.isApart
		group.isApart = true
		if isShift {
			return group.withShift(now), true
		}
		return group, false
	}
	group.isApart = false
	if group.noise == 0 {
		group.noise = distance
	}
	group.noise += weight * (distance - group.noise)
	return group, false
}

// withShift returns the group after a shift of popularity was seen.
func (group Group) withShift(now clock.Millis) Group {
	if group.shiftAt != 0 {
		group.interval += clock.Millis(weight * float64(now-group.shiftAt-group.interval))
	}
	group.shiftAt = now
	return group
}

// Settings returns the settings of the planner for a stage that begins now with a
// skew. It reports false when no stage may begin.
func (group Group) Settings(skew float64, now clock.Millis) (rebal.Settings, bool) {
	perRank := group.perRank(skew)
	if perRank < 1 || group.engine.Layers < 1 || group.isComfortable(skew, now) {
		return rebal.Settings{}, false
	}
	perLayer := max(1, min(group.engine.Spare, perRank))
	return rebal.Settings{
		Start: startSkew, Stop: stopSkew, MinGain: group.minGain(skew, now),
		MaxCopies: perLayer * group.ranks, PerRank: perLayer, PerRankAll: perRank,
	}, true
}

// IsWorth reports whether a planned stage shortens passes by more time than its copies
// cost. copies is the largest number of experts that one rank copies.
func (group Group) IsWorth(skew, planned float64, copies int, now clock.Millis) bool {
	copying := group.copyTime * float64(copies)
	saved := 1 - group.factor(planned)/group.factor(skew)
	inUse := float64(group.remaining(now)) - group.fixed - copying
	return saved*inUse*group.peakFill(now) > stagePrice*copying
}

// perRank returns how many experts a rank may copy in a stage.
func (group Group) perRank(skew float64) int {
	if group.copyTime <= 0 {
		return 1
	}
	// One more expert in a stage delays all that the stage gains by a copy; in the next
	// stage it is itself delayed by the fixed time. With gains that are alike the two
	// are equal when the copies of a stage take as long as its fixed time. Later moves
	// gain less than the first ones, so a stage copies for a part of that time.
	count := max(1, int(copyPart*group.fixed/group.copyTime))
	if limit := float64(group.maxPause); limit > 0 && group.evenPass > 0 {
		pass := group.evenPass * group.factor(skew)
		if room := limit - pass; room >= 0 && pass*(1+copySlowdown) > limit {
			count = min(count, int(room/(copySlowdown*group.copyTime)))
		}
	}
	return count
}

// minGain returns the gain of a copy, as skew of its layer, that is worth its price.
func (group Group) minGain(skew float64, now clock.Millis) float64 {
	share := group.engine.ExpertShare
	demand := share * float64(group.remaining(now)) * group.peakFill(now) * float64(group.ranks)
	if demand <= 0 {
		return math.Inf(1)
	}
	return max(minGain, copyPrice*group.copyTime*float64(group.engine.Layers)*group.factor(skew)/demand)
}

// factor returns the time of a pass with a skew over that with even load.
func (group Group) factor(skew float64) float64 {
	return 1 - group.engine.ExpertShare + group.engine.ExpertShare*skew
}

// remaining returns the time until the next shift is expected. It grows with the time
// by which a shift is overdue.
func (group Group) remaining(now clock.Millis) clock.Millis {
	if group.shiftAt == 0 {
		return group.interval
	}
	since := now - group.shiftAt
	return max(group.interval-since, clock.Millis(minRemaining*float64(max(group.interval, since))))
}

// peakFill returns the share of request slots for which a map is made ready.
func (group Group) peakFill(now clock.Millis) float64 {
	return min(1, group.peak*group.decay(group.peakAt, now))
}
