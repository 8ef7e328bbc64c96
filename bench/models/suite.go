// Package models benchmarks the placement of models on engines, in virtual time.
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
	// modelsPerEngine is the number of models that fit into an engine's memory.
	modelsPerEngine = 2
	modelSize       = 40 << 30
	// maxTransfers is the weight store's limit on concurrent transfers, and loadTime
	// the duration of one transfer.
	maxTransfers = 6
	loadTime     = 8 * clock.Second
	// load is the total demand as a share of the capacity of all engines.
	load    = 0.6
	horizon = 30 * clock.Minute
	// warmUp is the initial period that does not count, since the first placement
	// is arbitrary.
	warmUp = 3 * clock.Minute
	// planInterval is the interval between two plans.
	planInterval = clock.Second
	// meanJumpInterval is the mean time between two jumps, each of one model's demand.
	meanJumpInterval = 20 * clock.Second
	// jumpFactor is the median of a model's demand after a jump, relative to the mean
	// demand of all models and before the total is scaled back.
	jumpFactor = 6.0
	seeds      = 3
)

// fleet simulates engines, the models that they hold, and the demand.
type fleet struct {
	random  *rand.Rand
	models  []models.Model
	engines []models.Engine
	// loadedAt has the time when each running load is complete, by engine and model.
	loadedAt map[string]clock.Millis
	// jumpedAt has the time of the last jump of each model whose demand is not yet met.
	jumpedAt map[int]clock.Millis
	// followTimes are the times from a jump until the new demand was met.
	followTimes []float64
	loads       int
	served      float64
	demanded    float64
}

func newFleet(seed uint64) *fleet {
	built := &fleet{random: rand.New(rand.NewPCG(seed, 5)), loadedAt: map[string]clock.Millis{}, jumpedAt: map[int]clock.Millis{}}
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
			Name: "engine" + strconv.Itoa(at), Zone: "zone" + strconv.Itoa(at%3), Memory: modelsPerEngine * modelSize, Held: held, ChangedAt: -clock.Hour,
		})
	}
	return built
}

func (fleet *fleet) draw() float64 { return math.Exp(fleet.random.NormFloat64()) }

// normalize scales the demands so that their sum is load times the engine count.
func (fleet *fleet) normalize() {
	sum := 0.0
	for _, model := range fleet.models {
		sum += model.Demand
	}
	for at := range fleet.models {
		fleet.models[at].Demand *= load * engineCount / sum
	}
}

// jump changes one model's demand to a high value and scales the demand of all
// models back to the same total.
func (fleet *fleet) jump(now clock.Millis) {
	at := fleet.random.IntN(modelCount)
	fleet.models[at].Demand = fleet.draw() * jumpFactor * load * engineCount / modelCount
	fleet.jumpedAt[at] = now
	fleet.normalize()
}

// capacity returns the demand that is served for each model. Each engine is shared
// among the models that it holds, in proportion to their demand.
func (fleet *fleet) capacity() []float64 {
	holders := map[string]float64{}
	for _, engine := range fleet.engines {
		for _, name := range engine.Held {
			holders[name]++
		}
	}
	served := make([]float64, modelCount)
	for _, engine := range fleet.engines {
		sum := 0.0
		for _, name := range engine.Held {
			sum += fleet.demand(name) / holders[name]
		}
		for _, name := range engine.Held {
			share := fleet.demand(name) / holders[name]
			served[index(name)] += math.Min(share, share/math.Max(sum, 1e-9))
		}
	}
	return served
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
			if fleet.loadedAt[key] > now {
				return false
			}
			engine.Held = append(engine.Held, name)
			return true
		})
	}
}

// apply starts loading the models that the changes add to engines, and drops the
// models that they remove.
func (fleet *fleet) apply(changes []models.Wanted, now clock.Millis) {
	for _, change := range changes {
		at := slices.IndexFunc(fleet.engines, func(engine models.Engine) bool { return engine.Name == change.Engine })
		engine := &fleet.engines[at]
		engine.ChangedAt = now
		for _, name := range change.Models {
			if !slices.Contains(engine.Held, name) && !slices.Contains(engine.Loading, name) {
				engine.Loading = append(engine.Loading, name)
				fleet.loadedAt[engine.Name+name] = now + loadTime
				fleet.loads++
			}
		}
		engine.Held = slices.DeleteFunc(engine.Held, func(name string) bool { return !slices.Contains(change.Models, name) })
	}
}

// policy returns the changes that a placement policy makes at a time.
type policy func(fleet *fleet, now clock.Millis) []models.Wanted

func static(*fleet, clock.Millis) []models.Wanted { return nil }

func planner(fleet *fleet, now clock.Millis) []models.Wanted {
	return models.New(models.Default(maxTransfers)).Plan(fleet.models, fleet.engines, now)
}

// loadUnmet is a baseline. It loads each model whose demand is not met onto a random
// engine, regardless of the model that is dropped and of the engine's last change.
func loadUnmet(fleet *fleet, _ clock.Millis) []models.Wanted {
	loading := 0
	for _, engine := range fleet.engines {
		loading += len(engine.Loading)
	}
	served := fleet.capacity()
	order := fleet.random.Perm(engineCount)
	var changes []models.Wanted
	for at, model := range fleet.models {
		if loading >= maxTransfers || served[at] >= 0.99*model.Demand {
			continue
		}
		for _, pick := range order {
			engine := fleet.engines[pick]
			if len(engine.Loading) == 0 && !slices.Contains(engine.Held, model.Name) && len(engine.Held) > 0 {
				changes = append(changes, models.Wanted{Engine: engine.Name, Models: append(slices.Clone(engine.Held[1:]), model.Name)})
				loading++
				break
			}
		}
	}
	return changes
}

// run simulates a policy over the horizon.
func run(seed uint64, choose policy) *fleet {
	built := newFleet(seed)
	for now := clock.Millis(0); now < horizon; now += planInterval {
		if built.random.Float64() < float64(planInterval)/float64(meanJumpInterval) {
			built.jump(now)
		}
		built.finishLoads(now)
		built.apply(choose(built, now), now)
		built.measure(now)
	}
	return built
}

// measure adds up the demand and the share of it that was served, and records which
// jumps have been followed.
func (fleet *fleet) measure(now clock.Millis) {
	for at, served := range fleet.capacity() {
		demand := fleet.models[at].Demand
		if now >= warmUp {
			fleet.served += math.Min(served, demand)
			fleet.demanded += demand
		}
		if since, ok := fleet.jumpedAt[at]; ok && served >= 0.95*demand {
			fleet.followTimes = append(fleet.followTimes, float64(now-since))
			delete(fleet.jumpedAt, at)
		}
	}
}

// Run measures the share of demand served, the number of loads, and the time until a
// jump of demand is met.
func Run(report *figure.Report) error {
	names := []string{"Static", "Shortest", ""}
	for at, choose := range []policy{static, loadUnmet, planner} {
		var served, loads, follow []float64
		for seed := report.Seed; seed < report.Seed+seeds; seed++ {
			result := run(seed, choose)
			served = append(served, 100*result.served/result.demanded)
			loads = append(loads, float64(result.loads))
			if len(result.followTimes) > 0 {
				slices.Sort(result.followTimes)
				follow = append(follow, result.followTimes[len(result.followTimes)*9/10])
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
