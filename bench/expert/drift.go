package expert

import (
	"math"
	"math/rand/v2"

	"github.com/hibiscuslug/hibiscuslug/internal/rebal"
)

// Expert popularity starts with a Zipf distribution. As the mix of requests changes,
// the logarithm of each expert's popularity follows a random walk.
const (
	zipfExponent = 0.5
	// walkDeviation is the standard deviation of the random walk in one interval.
	walkDeviation = 0.04
	// meanReversion is the share of the distance to its initial value that the logarithm
	// reverts in one interval, so that the degree of skew does not change.
	meanReversion = 0.01
	// tokensPerInterval is the number of tokens that a measurement counts; fewer
	// tokens make it noisier.
	tokensPerInterval = 200_000
)

// drift models the changing popularity of the experts of all layers. It holds the
// logarithms of the initial and of the present popularities.
type drift struct {
	random *rand.Rand
	base   [][]float64
	logs   [][]float64
}

func newDrift(seed uint64, layers, experts int) *drift {
	source := &drift{random: rand.New(rand.NewPCG(seed, 11))}
	for range layers {
		base := make([]float64, experts)
		for at, popularityRank := range source.random.Perm(experts) {
			base[at] = -zipfExponent * math.Log(float64(popularityRank+1))
		}
		source.base = append(source.base, base)
		source.logs = append(source.logs, append([]float64(nil), base...))
	}
	return source
}

// advance moves the popularities by one interval.
func (source *drift) advance() {
	for layer, logs := range source.logs {
		for at := range logs {
			logs[at] += meanReversion*(source.base[layer][at]-logs[at]) + walkDeviation*source.random.NormFloat64()
		}
	}
}

// loads returns the true popularities, normalized to a sum of 1 in each layer.
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

// measured returns the popularities with the sampling noise of token counts.
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
