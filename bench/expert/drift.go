package expert

import (
	"math"
	"math/rand/v2"

	"github.com/hibiscuslug/hibiscuslug/internal/rebal"
)

// The drift's shape: popularity starts out by a Zipf law and each expert's
// share follows a random walk, as the mix of questions changes.
const (
	zipfPower = 0.5
	// walk is the standard deviation of the change of the logarithm of an
	// expert's popularity in one interval.
	walk = 0.04
	// pull brings popularities back, so that the skew stays of one kind.
	pull = 0.01
	// tokensPerInterval is what a measurement counts; fewer make more noise.
	tokensPerInterval = 200_000
)

// drift is the changing popularity of the experts of all layers.
type drift struct {
	random *rand.Rand
	base   [][]float64
	logs   [][]float64
}

func newDrift(seed uint64, layers, experts int) *drift {
	source := &drift{random: rand.New(rand.NewPCG(seed, 11))}
	for range layers {
		base := make([]float64, experts)
		for at, place := range source.random.Perm(experts) {
			base[at] = -zipfPower * math.Log(float64(place+1))
		}
		source.base = append(source.base, base)
		source.logs = append(source.logs, append([]float64(nil), base...))
	}
	return source
}

func (source *drift) advance() {
	for layer, logs := range source.logs {
		for at := range logs {
			logs[at] += pull*(source.base[layer][at]-logs[at]) + walk*source.random.NormFloat64()
		}
	}
}

// loads returns the true popularities.
func (source *drift) loads() rebal.Loads {
	loads := make(rebal.Loads, len(source.logs))
	for layer, logs := range source.logs {
		loads[layer] = make([]float64, len(logs))
		sum := 0.0
		for at, log := range logs {
			loads[layer][at] = math.Exp(log)
			sum += loads[layer][at]
		}
		for at := range logs {
			loads[layer][at] /= sum
		}
	}
	return loads
}

// measured returns the popularities with the noise of counting tokens.
func (source *drift) measured() rebal.Loads {
	loads := source.loads()
	for _, load := range loads {
		for at := range load {
			mean := load[at] * tokensPerInterval
			load[at] = math.Max(0, mean+math.Sqrt(mean)*source.random.NormFloat64()) / tokensPerInterval
		}
	}
	return loads
}
