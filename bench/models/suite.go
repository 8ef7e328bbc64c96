// Package models measures the placement of models in virtual time.
package models

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/hibiscuslug/hibiscuslug/internal/figure"
	"github.com/hibiscuslug/hibiscuslug/internal/models"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	engineCount = 60
	modelCount  = 35
	// perEngine is how many models fit into an engine's memory.
	perEngine = 2
	modelSize = 40 << 30
	// transfers is the weight store's limit; loadTime is that of one transfer.
	transfers = 6
	loadTime  = 8 * clock.Second
	// load is the mean demand as a share of all engines.
	load    = 0.6
	horizon = 30 * clock.Minute
	// warmUp leaves out the way from the first, arbitrary placement.
	warmUp  = 3 * clock.Minute
	planned = clock.Second
	// swingEvery is the mean time between jumps of one model's demand.
	swingEvery = 20 * clock.Second
	swing      = 6.0
	seeds      = 3
)

type fleet struct {
	random  *rand.Rand
	models  []models.Model
	engines []models.Engine
	ready   map[string]clock.Millis
	jumped  map[int]clock.Millis
	follows []float64
	loads   int
	served  float64
	wanted  float64
}

func newFleet(seed uint64) *fleet {
	built := &fleet{random: rand.New(rand.NewPCG(seed, 5)), ready: map[string]clock.Millis{}, jumped: map[int]clock.Millis{}}
	for at := range modelCount {
		built.models = append(built.models, models.Model{Name: "model" + strconv.Itoa(at), Size: modelSize, Demand: built.draw(), MinEngines: 2})
	}
	built.normalize()
	for at := range engineCount {
		first, second := at%modelCount, (at*7+3)%modelCount
		held := []string{built.models[first].Name}
		if second != first {
			held = append(held, built.models[second].Name)
		}
		built.engines = append(built.engines, models.Engine{
			Name: "engine" + strconv.Itoa(at), Zone: "zone" + strconv.Itoa(at%3), Memory: perEngine * modelSize, Held: held, ChangedAt: -clock.Hour,
		})
	}
	return built
}

func (fleet *fleet) draw() float64 { return math.Exp(fleet.random.NormFloat64()) }

func (fleet *fleet) normalize() {
	sum := 0.0
	for _, model := range fleet.models {
		sum += model.Demand
	}
	for at := range fleet.models {
		fleet.models[at].Demand *= load * engineCount / sum
	}
}

// jump multiplies one model's demand and scales the rest.
func (fleet *fleet) jump(now clock.Millis) {
	at := fleet.random.IntN(modelCount)
	fleet.models[at].Demand = fleet.draw() * swing * load * engineCount / modelCount
	fleet.jumped[at] = now
	fleet.normalize()
}

// capacity shares each engine among the models it holds, by their demand.
func (fleet *fleet) capacity() []float64 {
	holders := map[string]float64{}
	for _, engine := range fleet.engines {
		for _, name := range engine.Held {
			holders[name]++
		}
	}
	given := make([]float64, modelCount)
	for _, engine := range fleet.engines {
		sum := 0.0
		for _, name := range engine.Held {
			sum += fleet.demand(name) / holders[name]
		}
		for _, name := range engine.Held {
			share := fleet.demand(name) / holders[name]
			given[index(name)] += math.Min(share, share/math.Max(sum, 1e-9))
		}
	}
	return given
}

func index(name string) int {
	at, _ := strconv.Atoi(name[len("model"):])
	return at
}

func (fleet *fleet) demand(name string) float64 { return fleet.models[index(name)].Demand }

func (fleet *fleet) finishLoads(now clock.Millis) {
	for at := range fleet.engines {
		engine := &fleet.engines[at]
		engine.Loading = slices.DeleteFunc(engine.Loading, func(name string) bool {
			key := engine.Name + name
			if fleet.ready[key] > now {
				return false
			}
			engine.Held = append(engine.Held, name)
			return true
		})
	}
}

// carry makes engines move to their wanted sets.
func (fleet *fleet) carry(changes []models.Wanted, now clock.Millis) {
	for _, change := range changes {
		at := slices.IndexFunc(fleet.engines, func(engine models.Engine) bool { return engine.Name == change.Engine })
		engine := &fleet.engines[at]
		engine.ChangedAt = now
		for _, name := range change.Models {
			if !slices.Contains(engine.Held, name) && !slices.Contains(engine.Loading, name) {
				engine.Loading = append(engine.Loading, name)
				fleet.ready[engine.Name+name] = now + loadTime
				fleet.loads++
			}
		}
		engine.Held = slices.DeleteFunc(engine.Held, func(name string) bool { return !slices.Contains(change.Models, name) })
	}
}

type policy func(fleet *fleet, now clock.Millis) []models.Wanted

func static(*fleet, clock.Millis) []models.Wanted { return nil }

func planner(fleet *fleet, now clock.Millis) []models.Wanted {
	return models.New(models.Default(transfers)).Plan(fleet.models, fleet.engines, now)
}

// shortest loads the model with the least service onto any engine, without
// regard to what it drops or when that engine last changed.
func shortest(fleet *fleet, _ clock.Millis) []models.Wanted {
	busy := 0
	for _, engine := range fleet.engines {
		busy += len(engine.Loading)
	}
	given := fleet.capacity()
	order := fleet.random.Perm(engineCount)
	var changes []models.Wanted
	for at, model := range fleet.models {
		if busy >= transfers || given[at] >= 0.99*model.Demand {
			continue
		}
		for _, pick := range order {
			engine := fleet.engines[pick]
			if len(engine.Loading) == 0 && !slices.Contains(engine.Held, model.Name) && len(engine.Held) > 0 {
				changes = append(changes, models.Wanted{Engine: engine.Name, Models: append(slices.Clone(engine.Held[1:]), model.Name)})
				busy++
				break
			}
		}
	}
	return changes
}

// run follows the demand and adds up what was served.
func run(seed uint64, choose policy) *fleet {
	built := newFleet(seed)
	for now := clock.Millis(0); now < horizon; now += planned {
		if built.random.Float64() < float64(planned)/float64(swingEvery) {
			built.jump(now)
		}
		built.finishLoads(now)
		built.carry(choose(built, now), now)
		built.measure(now)
	}
	return built
}

func (fleet *fleet) measure(now clock.Millis) {
	for at, given := range fleet.capacity() {
		demand := fleet.models[at].Demand
		if now >= warmUp {
			fleet.served += math.Min(given, demand)
			fleet.wanted += demand
		}
		if since, ok := fleet.jumped[at]; ok && given >= 0.95*demand {
			fleet.follows = append(fleet.follows, float64(now-since))
			delete(fleet.jumped, at)
		}
	}
}

// Run measures the share of demand served, the loads and how soon a jump of
// demand is followed.
func Run(report *figure.Report) error {
	names := []string{"Static", "Shortest", ""}
	for at, choose := range []policy{static, shortest, planner} {
		var served, loads, follow []float64
		for seed := report.Seed; seed < report.Seed+seeds; seed++ {
			result := run(seed, choose)
			served = append(served, 100*result.served/result.wanted)
			loads = append(loads, float64(result.loads))
			if len(result.follows) > 0 {
				slices.Sort(result.follows)
				follow = append(follow, result.follows[len(result.follows)*9/10])
			}
		}
		report.Add("models.served"+names[at], figure.Median(served...), "percent")
		report.Add("models.loads"+names[at], figure.Median(loads...), "loads")
		if len(follow) == seeds {
			report.Add("models.followP90"+names[at], figure.Median(follow...), "ms")
		}
	}
	return nil
}
