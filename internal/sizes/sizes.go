// Package sizes predicts how many events a request will produce. It is pure.
package sizes

import (
	"math"
	"math/bits"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// defaultSize is predicted where there is no history.
	defaultSize = 128
	// enough is the number of answers after which a history is trusted alone.
	enough = 4
	// step is the least weight of a new answer, so that a history follows drift.
	step = 0.05
	// keptHistories bounds the memory: two generations of as many histories.
	keptHistories = 20_000
)

// Traits are what is known of a request before it runs.
type Traits struct {
	Kind     wire.Kind
	Customer string
	Model    string
	// Rule is the size that the operators' rule gives; 0 for none.
	Rule uint32
	// Prompt is the length of the prompt in bytes.
	Prompt int
	// Limit is the request's own limit on its output; 0 for none.
	Limit uint32
}

// key names a history. Prompt and limit count by their order of magnitude.
type key struct {
	customer, model string
	prompt, limit   int
}

const anyMagnitude = -1

// history is the mean of the logarithm of the sizes seen. A few long answers
// hardly move it, so that they are corrected while they run and do not make
// all the others count as long.
type history struct {
	mean  float64
	count float64
}

// Predictor learns sizes from finished requests.
type Predictor struct {
	young, old map[key]history
}

// New returns a predictor without history.
func New() *Predictor {
	return &Predictor{young: map[key]history{}, old: map[key]history{}}
}

// keys lists the histories of a request, the most telling one first.
func keys(traits Traits) [3]key {
	prompt, limit := bits.Len(uint(max(traits.Prompt, 0))), bits.Len32(traits.Limit)
	return [3]key{
		{traits.Customer, traits.Model, prompt, limit},
		{traits.Customer, traits.Model, anyMagnitude, anyMagnitude},
		{"", traits.Model, anyMagnitude, anyMagnitude},
	}
}

// Predict returns the predicted size in events. A limit on the output bounds
// the prediction and is none itself.
func (predictor *Predictor) Predict(traits Traits) uint32 {
	if traits.Kind != wire.Kind_KIND_MODEL {
		return max(traits.Rule, 1)
	}
	size := traits.Rule
	if size == 0 {
		size = predictor.learned(traits)
	}
	if traits.Limit > 0 {
		size = min(size, traits.Limit)
	}
	return max(size, 1)
}

func (predictor *Predictor) learned(traits Traits) uint32 {
	estimate := math.Log(defaultSize)
	levels := keys(traits)
	for at := len(levels) - 1; at >= 0; at-- {
		known, ok := predictor.find(levels[at])
		if !ok {
			continue
		}
		trust := min(known.count/enough, 1)
		estimate += trust * (known.mean - estimate)
	}
	return uint32(math.Round(math.Exp(estimate)))
}

func (predictor *Predictor) find(wanted key) (history, bool) {
	if known, ok := predictor.young[wanted]; ok {
		return known, true
	}
	known, ok := predictor.old[wanted]
	return known, ok
}

// Learn takes the size of a finished request.
func (predictor *Predictor) Learn(traits Traits, size uint32) {
	seen := math.Log(float64(max(size, 1)))
	for _, level := range keys(traits) {
		known, _ := predictor.find(level)
		known.count++
		known.mean += max(1/known.count, step) * (seen - known.mean)
		if len(predictor.young) >= keptHistories {
			predictor.old, predictor.young = predictor.young, map[key]history{}
		}
		predictor.young[level] = known
	}
}
