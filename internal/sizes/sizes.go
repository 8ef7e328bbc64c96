// Package sizes predicts how many events a request will produce. It does no I/O.
package sizes

import (
	"math"
	"math/bits"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// defaultSize is the prediction, in events, without any history.
	defaultSize = 128
	// fullTrustCount is the number of answers after which a history is used without the
	// less specific ones.
	fullTrustCount = 4
	// minWeight is the minimum weight of a new answer, so that a history follows drift.
	minWeight = 0.05
	// maxHistories is the maximum number of histories in one of the two generations,
	// which bounds the memory.
	maxHistories = 20_000
)

// Traits are the properties of a request that are known before it runs.
type Traits struct {
	Kind     wire.Kind
	Customer string
	Model    string
	// Rule is the size given by an operator's rule; 0 for none.
	Rule uint32
	// Prompt is the length of the prompt in bytes.
	Prompt int
	// Limit is the request's own limit on its output; 0 for none.
	Limit uint32
}

// key identifies a history. It holds the binary orders of magnitude of the prompt and
// the limit.
type key struct {
	customer, model string
	prompt, limit   int
}

// anyMagnitude is the prompt and the limit of a history of requests of all lengths.
const anyMagnitude = -1

// history is the moving average of the logarithms of past sizes. A few long answers
// hardly change it: their own predictions are corrected while they run, and the
// predictions for other requests stay short.
type history struct {
	mean  float64
	count float64
}

// Predictor predicts sizes from those of finished requests. It keeps histories in two
// generations: when the young one is full, it replaces the old one.
type Predictor struct {
	young, old map[key]history
}

// New returns a predictor without any history.
func New() *Predictor {
	return &Predictor{young: map[key]history{}, old: map[key]history{}}
}

// keys returns the keys of a request's histories, the most specific one first.
func keys(traits Traits) [3]key {
	prompt, limit := bits.Len(uint(max(traits.Prompt, 0))), bits.Len32(traits.Limit)
	return [3]key{
		{traits.Customer, traits.Model, prompt, limit},
		{traits.Customer, traits.Model, anyMagnitude, anyMagnitude},
		{"", traits.Model, anyMagnitude, anyMagnitude},
	}
}

// Predict returns the predicted size in events. A limit on the output is an upper
// bound of the prediction but is not itself used as one.
func (predictor *Predictor) Predict(traits Traits) uint32 {
	if traits.Kind != wire.Kind_KIND_MODEL {
		return max(traits.Rule, 1)
	}
	size := traits.Rule
	if size == 0 {
		size = predictor.fromHistory(traits)
	}
	if traits.Limit > 0 {
		size = min(size, traits.Limit)
	}
	return max(size, 1)
}

// fromHistory returns the size that follows from the histories. Each one is blended
// with the less specific ones according to its number of answers.
func (predictor *Predictor) fromHistory(traits Traits) uint32 {
	estimate := math.Log(defaultSize)
	levels := keys(traits)
	for at := len(levels) - 1; at >= 0; at-- {
		past, ok := predictor.find(levels[at])
		if !ok {
			continue
		}
		trust := min(past.count/fullTrustCount, 1)
		estimate += trust * (past.mean - estimate)
	}
	return uint32(math.Round(math.Exp(estimate)))
}

func (predictor *Predictor) find(wanted key) (history, bool) {
	if past, ok := predictor.young[wanted]; ok {
		return past, true
	}
	past, ok := predictor.old[wanted]
	return past, ok
}

// Learn updates the histories with the size of a finished request.
func (predictor *Predictor) Learn(traits Traits, size uint32) {
	logSize := math.Log(float64(max(size, 1)))
	for _, level := range keys(traits) {
		past, _ := predictor.find(level)
		past.count++
		past.mean += max(1/past.count, minWeight) * (logSize - past.mean)
		if len(predictor.young) >= maxHistories {
			predictor.old, predictor.young = predictor.young, map[key]history{}
		}
		predictor.young[level] = past
	}
}
