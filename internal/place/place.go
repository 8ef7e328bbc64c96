// Package place chooses the engine for an attempt. It is pure: it sees the
// candidates and the time, and gives back a choice with its reason.
//
// Reports of load are old when they arrive, so three things keep many entry
// VMs from sending their work to the same engine: what an entry VM sent and
// got back itself since a report counts at once; an old report is drawn
// towards the mean of all candidates; and the choice is the better of a few
// random samples, not the best of all. An engine that turns out to be full
// refuses the attempt at once, with its present load, and the next sample is
// tried (see Tries).
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
	// Tries is how many engines may refuse an attempt because they are full
	// before it is queued at the one with the least load among them. Beyond
	// three samples the gain is small against the extra round trip.
	Tries = 3
	// samples is the number of engines compared for one choice.
	samples = 3
	// staleSpan is the age at which a report counts a third of its distance
	// from the mean. Engines turn over a good part of their work in that time.
	staleSpan = 2 * clock.Second
	// affinityBound is how far above the mean load an engine may be to still
	// get work for a prefix that it has cached.
	affinityBound = 1.25
	// zonePenalty is added to the load of engines in other zones, as a share
	// of an engine's slots: a short way is worth less than a short queue.
	zonePenalty = 0.05
)

// Candidate is an engine that an entry VM may use.
type Candidate struct {
	Endpoint    string
	Address     string
	Incarnation uint64
	Zone        string
	Engine      *wire.EngineInfo
	// Load is the newest load known, from a report or an answer.
	Load *wire.EngineLoad
	// Learned is when Load was true, as far as known.
	Learned clock.Millis
	// Sent and Returned count this entry VM's own requests since Learned.
	Sent     uint32
	Returned uint32
	// InFlight counts all of this entry VM's requests on the engine.
	InFlight uint32
}

// Choice is a placement and its reason.
type Choice struct {
	Candidate Candidate
	Reason    string
	// Queue tells the endpoint process to queue the attempt even if the engine is full.
	Queue bool
}

// Placer chooses engines for one entry VM.
type Placer struct {
	zone string
	// pick returns a random number below its argument.
	pick func(int) int
}

// New returns a placer for an entry VM of a zone.
func New(zone string, pick func(int) int) *Placer {
	return &Placer{zone: zone, pick: pick}
}

// Choose returns the engine for a call, or false when none can run it. Tried
// names the engines that have refused the call as full, with their load.
func (placer *Placer) Choose(request call.Call, candidates []Candidate, now clock.Millis, tried map[string]*wire.EngineLoad) (Choice, bool) {
	fit := fitting(request, candidates)
	if len(fit) == 0 {
		return Choice{}, false
	}
	fresh := untried(fit, tried)
	if len(fresh) == 0 || len(tried) >= Tries {
		return placer.settle(fit, tried), true
	}
	mean := meanLoad(fit)
	if cached, ok := placer.affine(request, fresh, now, mean); ok {
		return cached, true
	}
	best := placer.sample(fresh, now, mean)
	reason := fmt.Sprintf("least loaded of %d samples among %d engines", samples, len(fresh))
	return Choice{Candidate: best, Reason: reason, Queue: len(fit) == 1}, true
}

// settle queues the call at the least loaded of the engines that refused it.
func (placer *Placer) settle(fit []Candidate, tried map[string]*wire.EngineLoad) Choice {
	best, least := fit[placer.pick(len(fit))], math.Inf(1)
	for _, candidate := range fit {
		load, ok := tried[candidate.Engine.GetName()]
		if !ok {
			continue
		}
		if share := occupancy(float64(load.GetRunning()+load.GetWaiting()), load) + placer.distance(candidate); share < least {
			best, least = candidate, share
		}
	}
	return Choice{Candidate: best, Reason: fmt.Sprintf("all of %d engines tried are full; least loaded of them", len(tried)), Queue: true}
}

// affine returns the engine that has most likely cached the prompt's prefix,
// unless it has much more to do than the mean.
func (placer *Placer) affine(request call.Call, fresh []Candidate, now clock.Millis, mean float64) (Choice, bool) {
	if request.Kind != wire.Kind_KIND_MODEL || request.PrefixHash == 0 {
		return Choice{}, false
	}
	best, highest := fresh[0], uint64(0)
	for _, candidate := range fresh {
		if weight := rendezvous(request.PrefixHash, candidate.Engine.GetName()); weight >= highest {
			best, highest = candidate, weight
		}
	}
	if placer.score(best, now, mean) > math.Max(mean*affinityBound, 1/float64(max(best.Load.GetSlots(), 1))) {
		return Choice{}, false
	}
	return Choice{Candidate: best, Reason: "holds the prompt's prefix and is not above the load bound"}, true
}

func (placer *Placer) sample(fresh []Candidate, now clock.Millis, mean float64) Candidate {
	best := fresh[placer.pick(len(fresh))]
	least := placer.score(best, now, mean)
	for range samples - 1 {
		other := fresh[placer.pick(len(fresh))]
		if score := placer.score(other, now, mean); score < least {
			best, least = other, score
		}
	}
	return best
}

// score estimates an engine's present load as a share of its slots.
func (placer *Placer) score(candidate Candidate, now clock.Millis, mean float64) float64 {
	load := candidate.Load
	reported := occupancy(float64(load.GetRunning()+load.GetWaiting()), load)
	trust := math.Exp(-float64(max(now-candidate.Learned, 0)) / float64(staleSpan))
	own := float64(candidate.Sent) - float64(candidate.Returned)
	least := occupancy(float64(candidate.InFlight), load)
	return math.Max(mean+(reported-mean)*trust+occupancy(own, load), least) + placer.distance(candidate)
}

func (placer *Placer) distance(candidate Candidate) float64 {
	if candidate.Zone == placer.zone {
		return 0
	}
	return zonePenalty
}

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

func fitting(request call.Call, candidates []Candidate) []Candidate {
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
	fresh := make([]Candidate, 0, len(fit))
	for _, candidate := range fit {
		if _, ok := tried[candidate.Engine.GetName()]; !ok {
			fresh = append(fresh, candidate)
		}
	}
	return fresh
}

// Fits tells whether an engine can run a call.
func Fits(request call.Call, engine *wire.EngineInfo) bool {
	if engine.GetKind() != request.Kind {
		return false
	}
	if request.Kind != wire.Kind_KIND_MODEL {
		return engine.GetService() == request.Service
	}
	return slices.Contains(engine.GetModels(), request.Model)
}
