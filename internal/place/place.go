// Package place chooses the engine for an attempt. It is pure: it sees the
// candidates and gives back a choice with its reason.
package place

import (
	"fmt"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Candidate is an engine that an entry VM may use.
type Candidate struct {
	Endpoint    string
	Address     string
	Incarnation uint64
	Zone        string
	Engine      *wire.EngineInfo
	// InFlight counts this entry VM's own requests on the engine.
	InFlight uint32
}

// Choice is a placement and its reason.
type Choice struct {
	Candidate Candidate
	Reason    string
}

// Placer chooses engines for one entry VM.
type Placer struct {
	zone string
	// pick returns a number below its argument; it breaks ties at random, so
	// that entry VMs with the same reports do not all choose the same engine.
	pick func(int) int
}

// New returns a placer for an entry VM of a zone.
func New(zone string, pick func(int) int) *Placer {
	return &Placer{zone: zone, pick: pick}
}

// Choose returns the engine for a call, or false when none can run it.
func (placer *Placer) Choose(request call.Call, candidates []Candidate) (Choice, bool) {
	fit := candidates[:0:0]
	for _, candidate := range candidates {
		if Fits(request, candidate.Engine) {
			fit = append(fit, candidate)
		}
	}
	if len(fit) == 0 {
		return Choice{}, false
	}
	best := fit[placer.pick(len(fit))]
	for range 2 {
		other := fit[placer.pick(len(fit))]
		if placer.score(other) < placer.score(best) {
			best = other
		}
	}
	reason := fmt.Sprintf("least loaded of 3 samples among %d engines", len(fit))
	return Choice{Candidate: best, Reason: reason}, true
}

// Fits tells whether an engine can run a call.
func Fits(request call.Call, engine *wire.EngineInfo) bool {
	if engine.GetKind() != request.Kind {
		return false
	}
	if request.Kind != wire.Kind_KIND_MODEL {
		return engine.GetService() == request.Service
	}
	for _, model := range engine.GetModels() {
		if model == request.Model {
			return true
		}
	}
	return false
}

func (placer *Placer) score(candidate Candidate) float64 {
	load := candidate.Engine.GetLoad()
	work := float64(max(candidate.InFlight, load.GetRunning()+load.GetWaiting()))
	score := work / float64(max(load.GetSlots(), 1))
	if candidate.Zone != placer.zone {
		score++
	}
	return score
}
