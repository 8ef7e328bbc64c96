// Package place chooses the engine for an attempt. It has no I/O and reads no
// clock: from the candidates and the time it derives a choice and the reason
// for it. Used by the entry process.
//
// Reports of load are out of date when they arrive, so three rules keep many
// entry VMs from sending their work to the same engine. The requests that an
// entry VM itself sent and completed since a report count at once. The older a
// report is, the closer its load is taken to be to the mean of all candidates.
// And the choice is the best of a few random samples instead of the best of all
// engines. An engine that is full refuses the attempt at once and returns its
// present load, and other samples are tried (see MaxTries).
package place

import (
	"fmt"
	"math"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// MaxTries is how many engines may refuse an attempt because they are full
	// before it is queued at the least loaded of them. Beyond three samples the
	// gain is small compared with the extra round trip.
	MaxTries = 3
	// sampleCount is the number of engines compared for one choice.
	sampleCount = 3
	// reportDecay is the age at which a report's deviation from the mean load is
	// weighted by about a third (1/e). Engines complete a good part of their work
	// in that time.
	reportDecay = 2 * clock.Second
	// affinityBound is the load, as a multiple of the mean, up to which an engine
	// still gets work for a prefix that it has cached. The bound is at least the
	// load of one request.
	affinityBound = 1.25
	// zonePenalty is added to the load of engines in other zones, as a share of
	// an engine's slots. It is small because a short queue gains more than a
	// short network path.
	zonePenalty = 0.05
)

// Candidate is an engine that an entry VM may use.
type Candidate struct {
	Endpoint    string
	Address     string
	Incarnation uint64
	Zone        string
	Engine      *wire.EngineInfo
	// Load is the latest known load, from a report or an answer.
	Load *wire.EngineLoad
	// LoadTime is the time to which Load applies, as far as known.
	LoadTime clock.Millis
	// Sent and Returned count this entry VM's own requests since LoadTime.
	Sent     uint32
	Returned uint32
	// InFlight counts all of this entry VM's requests on the engine.
	InFlight uint32
}

// Choice is a placement and its reason.
type Choice struct {
	Candidate Candidate
	Reason    string
	// Queue makes the endpoint process queue the attempt even if the engine is full.
	Queue bool
}

// Placer chooses engines for one entry VM.
type Placer struct {
	zone string
	// randomIndex returns a random number below its argument.
	randomIndex func(int) int
}

// New returns a placer for an entry VM of a zone. The function randomIndex
// returns a random number below its argument.
func New(zone string, randomIndex func(int) int) *Placer {
	return &Placer{zone: zone, randomIndex: randomIndex}
}

// Choose returns the engine for a call, and reports whether any can run it. Tried
// names the engines that have refused the call as full, with their load.
func (placer *Placer) Choose(request call.Call, candidates []Candidate, now clock.Millis, tried map[string]*wire.EngineLoad) (Choice, bool) {
	fit := eligible(request, candidates)
	if len(fit) == 0 {
		return Choice{}, false
	}
	remaining := untried(fit, tried)
	if len(remaining) == 0 || len(tried) >= MaxTries {
		return placer.leastLoadedTried(fit, tried), true
	}
	mean := meanLoad(fit)
	if cached, ok := placer.prefixHolder(request, remaining, now, mean); ok {
		return cached, true
	}
	best := placer.sample(remaining, now, mean)
	reason := fmt.Sprintf("least loaded of %d samples among %d engines", sampleCount, len(remaining))
	return Choice{Candidate: best, Reason: reason, Queue: len(fit) == 1}, true
}

// leastLoadedTried queues the call at the least loaded of the engines that
// refused it.
func (placer *Placer) leastLoadedTried(fit []Candidate, tried map[string]*wire.EngineLoad) Choice {
	best, minScore := fit[placer.randomIndex(len(fit))], math.Inf(1)
	for _, candidate := range fit {
		load, ok := tried[candidate.Engine.GetName()]
		if !ok {
			continue
		}
		if score := occupancy(float64(load.GetRunning()+load.GetWaiting()), load) + placer.zoneCost(candidate); score < minScore {
			best, minScore = candidate, score
		}
	}
	return Choice{Candidate: best, Reason: fmt.Sprintf("all of %d engines tried are full; least loaded of them", len(tried)), Queue: true}
}

// prefixHolder returns the engine that has most likely cached the prompt's
// prefix, unless its load is above the bound: affinityBound times the mean load, or
// one request, if that is more.
func (placer *Placer) prefixHolder(request call.Call, candidates []Candidate, now clock.Millis, mean float64) (Choice, bool) {
	if request.Kind != wire.Kind_KIND_MODEL || request.PrefixHash == 0 {
		return Choice{}, false
	}
	best, maxWeight := candidates[0], uint64(0)
	for _, candidate := range candidates {
		if weight := rendezvous(request.PrefixHash, candidate.Engine.GetName()); weight >= maxWeight {
			best, maxWeight = candidate, weight
		}
	}
	if placer.score(best, now, mean) > math.Max(mean*affinityBound, 1/float64(max(best.Load.GetSlots(), 1))) {
		return Choice{}, false
	}
	return Choice{Candidate: best, Reason: "holds the prompt's prefix and is not above the load bound"}, true
}

// sample returns the least loaded of a few random candidates.
func (placer *Placer) sample(candidates []Candidate, now clock.Millis, mean float64) Candidate {
	best := candidates[placer.randomIndex(len(candidates))]
	minScore := placer.score(best, now, mean)
	for range sampleCount - 1 {
		other := candidates[placer.randomIndex(len(candidates))]
		if score := placer.score(other, now, mean); score < minScore {
			best, minScore = other, score
		}
	}
	return best
}

// score estimates an engine's present load as a share of its slots. The estimate
// is at least the load of this entry VM's own requests in flight.
func (placer *Placer) score(candidate Candidate, now clock.Millis, mean float64) float64 {
	load := candidate.Load
	reported := occupancy(float64(load.GetRunning()+load.GetWaiting()), load)
	weight := math.Exp(-float64(max(now-candidate.LoadTime, 0)) / float64(reportDecay))
	own := float64(candidate.Sent) - float64(candidate.Returned)
	inFlight := occupancy(float64(candidate.InFlight), load)
	return math.Max(mean+(reported-mean)*weight+occupancy(own, load), inFlight) + placer.zoneCost(candidate)
}

func (placer *Placer) zoneCost(candidate Candidate) float64 {
	if candidate.Zone == placer.zone {
		return 0
	}
	return zonePenalty
}

// occupancy returns a number of requests as a share of an engine's slots.
func occupancy(requests float64, load *wire.EngineLoad) float64 {
	return requests / float64(max(load.GetSlots(), 1))
}

func meanLoad(fit []Candidate) float64 {
	sum := 0.0
	for _, candidate := range fit {
		sum += occupancy(float64(candidate.Load.GetRunning()+candidate.Load.GetWaiting()), candidate.Load)
	}
	return sum / float64(len(fit))
}

func eligible(request call.Call, candidates []Candidate) []Candidate {
	fit := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if Fits(request, candidate.Engine) {
			fit = append(fit, candidate)
		}
	}
	return fit
}

func untried(fit []Candidate, tried map[string]*wire.EngineLoad) []Candidate {
	if len(tried) == 0 {
		return fit
	}
	remaining := make([]Candidate, 0, len(fit))
	for _, candidate := range fit {
		if _, ok := tried[candidate.Engine.GetName()]; !ok {
			remaining = append(remaining, candidate)
		}
	}
	return remaining
}

// Fits reports whether an engine can run a call.
func Fits(request call.Call, engine *wire.EngineInfo) bool {
	if engine.GetKind() != request.Kind {
		return false
	}
	if request.Kind != wire.Kind_KIND_MODEL {
		return engine.GetService() == request.Service
	}
	return slices.Contains(engine.GetModels(), request.Model)
}
