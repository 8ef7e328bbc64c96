package stage_test

import (
	"math"
	"math/rand/v2"

	"github.com/hibiscuslug/hibiscuslug/internal/expert"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/rebal"
	"github.com/hibiscuslug/hibiscuslug/internal/stage"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// The model runs one group in virtual time: passes, reads, stages, shifts of
// popularity and demand that swings.
const (
	topics = 9
	// changedTopics is the share of topics that change at a shift, commonPart the
	// share of choices that follow the topics that requests have in common.
	changedTopics = 0.65
	commonPart    = 0.75
	// shiftedSkew is the mean skew right after a shift of popularity to which the
	// model is fitted.
	shiftedSkew = 1.9
	// choicesPerToken is the number of experts that a token selects in all layers.
	choicesPerToken = 48
	expertShare     = 0.85
	copySlowdown    = 0.15
	stride          = 7
	stepMillis      = 4.84
	perSequence     = 0.435
	slotsPerRank    = 10
	// promptPart is the share of a pass in which prompts are read.
	promptPart = 0.1
	// sampledRanks and minChoices are those of package coord, as are the weights of
	// reads and the times between them.
	sampledRanks = 16
	minChoices   = 5000
	loadWeight   = 0.4
	shiftWeight  = 0.8
	idleRead     = 150.0
	busyRead     = 50.0
	orderMillis  = 10.0
	longPass     = 100.0
	goodSkew     = 1.3
	pauseLimit   = 120.0
	demandPeriod = 11_000.0
	minDemand    = 0.15
	runMillis    = 40_000.0
)

// shape is a group of the model.
type shape struct {
	Ranks   int     `json:"ranks"`
	Layers  int     `json:"layers"`
	Experts int     `json:"experts"`
	Places  int     `json:"places"`
	Copy    float64 `json:"copyMillis"`
	// Interval is the mean time between shifts.
	Interval float64 `json:"interval"`
	// Late is the share of stages in which an order is carried out late, Lost the
	// share in which one is lost and repeated.
	Late float64 `json:"late"`
	Lost float64 `json:"lost"`
}

// figures are the results of a run.
type figures struct {
	toGood, skew, demandSkew, copies, overLimit, stages float64
}

func (sum figures) plus(other figures, share float64) figures {
	return figures{
		sum.toGood + share*other.toGood, sum.skew + share*other.skew, sum.demandSkew + share*other.demandSkew,
		sum.copies + share*other.copies, sum.overLimit + share*other.overLimit, sum.stages + share*other.stages,
	}
}

// rule decides about stages.
type rule interface {
	demand(inUse, ranks int, now clock.Millis)
	pass(millis, skew float64, now clock.Millis)
	distance(distance float64, now clock.Millis) bool
	stage(took, prepared clock.Millis, copies int)
	settings(skew float64, now clock.Millis) (rebal.Settings, bool)
	isWorth(skew, planned float64, copies int, now clock.Millis) bool
}

// fixedRule is the rule before package stage: fixed thresholds by the share of
// slots in use, one new expert per rank and layer and at most two per rank.
type fixedRule struct {
	shape shape
	fill  float64
}

func (rule *fixedRule) demand(inUse, ranks int, _ clock.Millis) {
	rule.fill = float64(inUse) / float64(ranks*slotsPerRank)
}
func (rule *fixedRule) pass(float64, float64, clock.Millis)              {}
func (rule *fixedRule) distance(float64, clock.Millis) bool              { return false }
func (rule *fixedRule) stage(clock.Millis, clock.Millis, int)            {}
func (rule *fixedRule) isWorth(float64, float64, int, clock.Millis) bool { return true }

func (rule *fixedRule) settings(float64, clock.Millis) (rebal.Settings, bool) {
	settings := rebal.Settings{
		MaxCopies: rule.shape.Ranks, PerRank: 1, PerRankAll: min(max(1, int(100/rule.shape.Copy)), 2),
		Start: 2.20, Stop: 1.60, MinGain: 0.03,
	}
	switch {
	case rule.fill >= 0.55:
		settings.Start, settings.Stop, settings.MinGain = 1.10, 1.03, 0.001
	case rule.fill >= 0.35:
		settings.Start, settings.Stop, settings.MinGain = 1.50, 1.20, 0.008
	}
	return settings, true
}

// measuredRule is the rule of package stage.
type measuredRule struct{ group stage.Group }

func newMeasuredRule(shape shape) *measuredRule {
	return &measuredRule{stage.NewGroup(plan.Engine{
		RequestSlots: slotsPerRank, Layers: shape.Layers, Spare: 2, ExpertShare: expertShare, CopyMillis: shape.Copy,
	}).WithMaxPause(pauseLimit)}
}

func (rule *measuredRule) demand(inUse, ranks int, now clock.Millis) {
	rule.group = rule.group.WithDemand(inUse, ranks, now)
}
func (rule *measuredRule) pass(millis, skew float64, now clock.Millis) {
	rule.group = rule.group.WithPass(millis, skew, now)
}
func (rule *measuredRule) distance(distance float64, now clock.Millis) bool {
	next, isShift := rule.group.WithDistance(distance, now)
	rule.group = next
	return isShift
}
func (rule *measuredRule) stage(took, prepared clock.Millis, copies int) {
	rule.group = rule.group.WithStage(took, prepared, copies)
}
func (rule *measuredRule) settings(skew float64, now clock.Millis) (rebal.Settings, bool) {
	return rule.group.Settings(skew, now)
}
func (rule *measuredRule) isWorth(skew, planned float64, copies int, now clock.Millis) bool {
	return rule.group.IsWorth(skew, planned, copies, now)
}

// mixture is the popularity of experts as a mixture of topics.
type mixture struct {
	random *rand.Rand
	// base and of hold the popularity of experts by layer, for choices that do not
	// depend on a topic and for those of each topic; weights holds the weight of each
	// topic.
	base    rebal.Loads
	of      []rebal.Loads
	weights []float64
}

func newMixture(seed uint64, shape shape, spread float64) *mixture {
	mix := &mixture{random: rand.New(rand.NewPCG(seed, 7))}
	mix.base = mix.draw(shape, 0.5)
	for range topics {
		mix.of, mix.weights = append(mix.of, mix.draw(shape, spread)), append(mix.weights, mix.random.ExpFloat64())
	}
	return mix
}

// draw returns popularities whose logarithms have a standard deviation.
func (mix *mixture) draw(shape shape, deviation float64) rebal.Loads {
	loads := make(rebal.Loads, shape.Layers)
	for layer := range loads {
		loads[layer] = make([]float64, shape.Experts)
		sum := 0.0
		for at := range loads[layer] {
			loads[layer][at] = math.Exp(deviation * mix.random.NormFloat64())
			sum += loads[layer][at]
		}
		for at := range loads[layer] {
			loads[layer][at] /= sum
		}
	}
	return loads
}

func (mix *mixture) shift() {
	for at := range mix.weights {
		if mix.random.Float64() < changedTopics {
			mix.weights[at] = mix.random.ExpFloat64()
		}
	}
}

func (mix *mixture) loads() rebal.Loads {
	total := 0.0
	for _, weight := range mix.weights {
		total += weight
	}
	loads := make(rebal.Loads, len(mix.base))
	for layer := range loads {
		loads[layer] = make([]float64, len(mix.base[layer]))
		for at := range loads[layer] {
			loads[layer][at] = (1 - commonPart) * mix.base[layer][at]
			for topic, weight := range mix.weights {
				loads[layer][at] += commonPart * weight / total * mix.of[topic][layer][at]
			}
		}
	}
	return loads
}

// fit returns the spread of topics with which a map that fits one popularity has
// shiftedSkew after a shift.
func fit(shape shape) float64 {
	low, high := 0.0, 8.0
	for range 8 {
		spread, sum := (low+high)/2, 0.0
		for seed := range uint64(4) {
			mix := newMixture(seed+100, shape, spread)
			fitting := rebal.Full(shape.Ranks, shape.Places, mix.loads())
			mix.shift()
			sum += rebal.MeanSkew(fitting, mix.loads()) / 4
		}
		if sum < shiftedSkew {
			low = spread
		} else {
			high = spread
		}
	}
	return low
}

// world is the state of a run.
type world struct {
	shape  shape
	rule   rule
	random *rand.Rand
	mix    *mixture
	truth  rebal.Loads
	now    float64
	inUse  float64
	// trueSkew is that of the current map for the true loads.
	current  expert.Map
	trueSkew float64
	loads    rebal.Loads
	pending  rebal.Loads
	choices  float64
	// passes were made in passTime since the last measurement of passes.
	passes, passTime float64
	run              *stageRun
	out              figures
}

// stageRun is a stage under way. Its ranks copy from copyFrom to copyTo; it is seen to
// be prepared at preparedAt, after which its map comes into use with pass lead.
type stageRun struct {
	next                                    expert.Map
	copies                                  int
	startedAt, copyFrom, copyTo, preparedAt float64
	lead                                    int
	isInUse                                 bool
}

// notePrepared chooses the pass of the switch once all ranks have copied.
func (run *stageRun) notePrepared(at, pass float64) {
	if run.preparedAt != 0 || at < run.copyTo {
		return
	}
	run.preparedAt, run.lead = at, 2
	if pass > longPass {
		run.lead = 1
	}
}

func run(shape shape, spread float64, seed uint64, rule rule) figures {
	mix := newMixture(seed, shape, spread)
	group := &world{shape: shape, rule: rule, random: rand.New(rand.NewPCG(seed, 8)), mix: mix, truth: mix.loads()}
	group.current = rebal.Full(shape.Ranks, shape.Places, group.truth)
	group.trueSkew = rebal.MeanSkew(group.current, group.truth)
	group.clearPending()
	nextShift, nextRead := 2000.0, 0.0
	shifts, passes, weighted, good := 0.0, 0.0, 0.0, true
	shiftAt := 0.0
	for group.now < runMillis {
		swing := (1 - math.Cos(2*math.Pi*group.now/demandPeriod)) / 2
		group.inUse = slotsPerRank * (minDemand + (1-minDemand)*swing)
		took := group.pass()
		from := group.now
		group.now += took
		passes++
		group.out.skew += took * group.trueSkew
		group.out.demandSkew += took * group.inUse * group.trueSkew
		weighted += took * group.inUse
		if took > pauseLimit {
			group.out.overLimit++
		}
		for ; nextRead < group.now; nextRead += group.readAfter() {
			group.read(max(nextRead, from))
		}
		group.switchMap()
		if group.now >= nextShift {
			if !good {
				group.out.toGood += group.now - shiftAt
			}
			mix.shift()
			group.truth, shiftAt, good = mix.loads(), group.now, false
			group.trueSkew = rebal.MeanSkew(group.current, group.truth)
			shifts++
			nextShift += shape.Interval * (0.8 + 0.4*mix.random.Float64())
		}
		if !good && group.trueSkew < goodSkew {
			good = true
			group.out.toGood += group.now - shiftAt
		}
	}
	group.out.toGood /= shifts
	group.out.skew /= group.now
	group.out.demandSkew /= weighted
	group.out.overLimit /= passes
	return group.out
}

// pass returns the duration of the next pass and counts its choices.
func (group *world) pass() float64 {
	took := stride * (stepMillis + perSequence*group.inUse) * (1 + promptPart) * (1 - expertShare + expertShare*group.trueSkew)
	if run := group.run; run != nil {
		took += copySlowdown * max(0, min(group.now+took, run.copyTo)-max(group.now, run.copyFrom))
	}
	group.passes++
	group.passTime += took
	share := float64(min(sampledRanks, group.shape.Ranks))
	made := share * group.inUse * stride * choicesPerToken / float64(group.shape.Layers)
	group.choices += made
	for layer := range group.pending {
		for at, popularity := range group.truth[layer] {
			mean := made * popularity
			group.pending[layer][at] += max(0, mean+math.Sqrt(mean)*group.random.NormFloat64())
		}
	}
	return took
}

func (group *world) readAfter() float64 {
	if group.run != nil {
		return busyRead
	}
	return idleRead
}

func (group *world) clearPending() {
	group.choices, group.pending = 0, make(rebal.Loads, group.shape.Layers)
	for layer := range group.pending {
		group.pending[layer] = make([]float64, group.shape.Experts)
	}
}

// read is one read of all ranks, after which a stage may begin.
func (group *world) read(at float64) {
	now := clock.Millis(at) + 1
	group.addChoices(now)
	group.rule.demand(int(group.inUse*float64(group.shape.Ranks)), group.shape.Ranks, now)
	if run := group.run; run != nil {
		group.passes, group.passTime = 0, 0
		run.notePrepared(at, stride*(stepMillis+perSequence*group.inUse)*(1+promptPart)*(1-expertShare+expertShare*group.trueSkew))
		if !run.isInUse {
			return
		}
		group.rule.stage(now-clock.Millis(run.startedAt), clock.Millis(run.preparedAt-run.startedAt), run.copies)
		group.run = nil
	} else if group.passes >= 2 && group.loads != nil {
		group.rule.pass(group.passTime/group.passes, rebal.MeanSkew(group.current, group.loads), now)
		group.passes, group.passTime = 0, 0
	}
	if group.loads != nil {
		group.plan(at, now)
	}
}

func (group *world) addChoices(now clock.Millis) {
	if group.choices < minChoices {
		return
	}
	measured := make(rebal.Loads, len(group.pending))
	for layer, counts := range group.pending {
		sum := 0.0
		for _, count := range counts {
			sum += count
		}
		measured[layer] = make([]float64, len(counts))
		for at, count := range counts {
			measured[layer][at] = count / sum
		}
	}
	weight := loadWeight
	if group.loads != nil && group.rule.distance(group.loads.Distance(measured), now) {
		weight = shiftWeight
	}
	group.loads = group.loads.WithWeight(measured, weight)
	group.clearPending()
}

func (group *world) plan(at float64, now clock.Millis) {
	skew := rebal.MeanSkew(group.current, group.loads)
	settings, ok := group.rule.settings(skew, now)
	if !ok {
		return
	}
	next, changed := rebal.New(settings).Plan(group.current, group.loads)
	copies := next.RankCopies(group.current)
	if !changed || !group.rule.isWorth(skew, rebal.MeanSkew(next, group.loads), copies, now) {
		return
	}
	delay := orderMillis
	switch drawn := group.random.Float64(); {
	case drawn < group.shape.Lost:
		delay += 1500
	case drawn < group.shape.Lost+group.shape.Late:
		delay += 600 * group.random.Float64()
	}
	group.run = &stageRun{
		next: next, copies: copies, startedAt: at, copyFrom: at + delay, copyTo: at + delay + group.shape.Copy*float64(copies),
	}
	group.out.copies += float64(next.Copies(group.current))
	group.out.stages++
}

// switchMap puts the map of a prepared stage into use at its pass.
func (group *world) switchMap() {
	run := group.run
	if run == nil || run.preparedAt == 0 || run.isInUse {
		return
	}
	if run.lead--; run.lead < 0 {
		run.isInUse, group.current = true, run.next
		group.trueSkew = rebal.MeanSkew(group.current, group.truth)
	}
}
