// Package models decides which engines load which models. It computes sets of
// wanted models from the demand and from what the engines hold, and performs no
// I/O. Each set is complete and has an epoch, so that lost, repeated or
// reordered instructions do no harm: an engine moves towards the newest set it
// has received.
package models

import (
	"cmp"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Model is a model, adapter or version that engines can load.
type Model struct {
	Name string
	// Size is in bytes.
	Size int64
	// Demand is the present load, in fully busy engines.
	Demand float64
	// MinEngines is the minimum number of engines that hold the model, whatever
	// the demand.
	MinEngines int
}

// Engine is the state of one engine.
type Engine struct {
	Name string
	Zone string
	// Memory is the memory for models, in bytes.
	Memory int64
	// Held lists the loaded models, Loading those that are being loaded.
	Held    []string
	Loading []string
	// ChangedAt is when the engine's set of wanted models last changed.
	ChangedAt clock.Millis
}

// Wanted is the set of models that an engine should hold.
type Wanted struct {
	Engine string
	Models []string
}

// Settings configures a Planner.
type Settings struct {
	// High is the utilization of a model's engines above which the model gets
	// another engine.
	High float64
	// Low is the utilization below which a model may lose an engine to another
	// model.
	Low float64
	// Residence is the minimum time between changes of one engine's set. It
	// keeps two models from replacing each other on an engine in turn.
	Residence clock.Millis
	// Transfers bounds the number of concurrent loads: the transfer rate of the
	// weight store divided by the rate at which one engine loads.
	Transfers int
}

// Default returns the default settings. Their reasons are in the decision
// record.
func Default(transfers int) Settings {
	return Settings{High: 0.8, Low: 0.6, Residence: 20 * clock.Second, Transfers: transfers}
}

// Planner follows demand with a bounded number of loads at a time.
type Planner struct {
	settings Settings
}

// New returns a planner.
func New(settings Settings) *Planner {
	return &Planner{settings: settings}
}

// Plan returns the engines whose set of wanted models changes now.
func (planner *Planner) Plan(models []Model, engines []Engine, now clock.Millis) []Wanted {
	work := newPlan(planner.settings, models, engines, now)
	var changes []Wanted
	for work.transfers < planner.settings.Transfers {
		change, ok := work.nextChange()
		if !ok {
			break
		}
		changes = append(changes, change)
	}
	return changes
}

// plan is the working state of one call of Plan.
type plan struct {
	settings Settings
	now      clock.Millis
	models   map[string]Model
	names    []string
	engines  []Engine
	holders  map[string]int
	zones    map[string]map[string]int
	// othersLoad is the load of other models on the engines of each model.
	othersLoad map[string]float64
	transfers  int
}

func newPlan(settings Settings, models []Model, engines []Engine, now clock.Millis) *plan {
	work := &plan{
		settings: settings, now: now, models: map[string]Model{}, holders: map[string]int{}, zones: map[string]map[string]int{},
		othersLoad: map[string]float64{},
	}
	for _, model := range models {
		work.models[model.Name] = model
		work.names = append(work.names, model.Name)
		work.zones[model.Name] = map[string]int{}
	}
	for _, engine := range engines {
		engine.Held, engine.Loading = slices.Clone(engine.Held), slices.Clone(engine.Loading)
		work.engines = append(work.engines, engine)
		work.transfers += len(engine.Loading)
		for _, name := range slices.Concat(engine.Held, engine.Loading) {
			work.changeHolders(name, engine.Zone, 1)
		}
	}
	work.updateOthersLoad()
	return work
}

// changeHolders adds change to the number of engines that hold a model.
func (work *plan) changeHolders(name, zone string, change int) {
	work.holders[name] += change
	if work.zones[name] != nil {
		work.zones[name][zone] += change
	}
}

// utilization returns the utilization of a model's engines if the model had the
// given number of holders: its own load on them and that of the models it
// shares them with.
func (work *plan) utilization(name string, holders int) float64 {
	model := work.models[name]
	if holders <= 0 {
		return model.Demand * 1e6
	}
	own := model.Demand / float64(holders)
	if work.holders[name] == 0 {
		return own
	}
	return own + work.othersLoad[name]/float64(work.holders[name])
}

// updateOthersLoad recomputes, for each model, the load of other models on its
// engines.
func (work *plan) updateOthersLoad() {
	clear(work.othersLoad)
	for _, engine := range work.engines {
		names := slices.Concat(engine.Held, engine.Loading)
		for _, name := range names {
			for _, other := range names {
				if other != name {
					work.othersLoad[name] += work.models[other].Demand / float64(work.holders[other])
				}
			}
		}
	}
}

// nextChange changes the set of one engine in favour of the most urgent model.
func (work *plan) nextChange() (Wanted, bool) {
	candidates := slices.Clone(work.names)
	candidates = slices.DeleteFunc(candidates, func(name string) bool { return !work.needsEngine(name) })
	slices.SortStableFunc(candidates, func(first, second string) int {
		return cmp.Compare(work.urgency(second), work.urgency(first))
	})
	for _, name := range candidates {
		if at, evicted, ok := work.findEngine(name); ok {
			return work.startLoad(at, name, evicted), true
		}
	}
	return Wanted{}, false
}

func (work *plan) needsEngine(name string) bool {
	holders := work.holders[name]
	return holders < work.models[name].MinEngines || work.utilization(name, holders) > work.settings.High
}

// urgency ranks models by utilization; those below MinEngines come first.
func (work *plan) urgency(name string) float64 {
	holders := work.holders[name]
	if holders < work.models[name].MinEngines {
		return 1e9 + work.utilization(name, holders)
	}
	return work.utilization(name, holders)
}

// findEngine returns an engine that can load a model and the models to evict
// from it, or false if there is none. It prefers zones with fewer holders of
// the model, engines with a low utilization and models whose eviction costs
// little.
func (work *plan) findEngine(name string) (int, []string, bool) {
	best, cost := -1, 0.0
	var toEvict []string
	for at, engine := range work.engines {
		if slices.Contains(engine.Held, name) || slices.Contains(engine.Loading, name) || work.now-engine.ChangedAt < work.settings.Residence {
			continue
		}
		evicted, loss, ok := work.evict(engine, work.models[name].Size, name)
		if !ok {
			continue
		}
		loss += float64(work.zones[name][engine.Zone]) + work.remainingUtilization(engine, evicted)
		if best < 0 || loss < cost {
			best, cost, toEvict = at, loss, evicted
		}
	}
	return best, toEvict, best >= 0
}

// remainingUtilization returns the sum of the utilization of the models that
// stay on an engine.
func (work *plan) remainingUtilization(engine Engine, evicted []string) float64 {
	sum := 0.0
	for _, held := range engine.Held {
		if !slices.Contains(evicted, held) {
			sum += work.utilization(held, work.holders[held])
		}
	}
	return sum
}

// evict returns the models to evict from an engine to free memory of a given
// size, the least utilized ones first, and the cost of evicting them. It
// returns false if the memory cannot be freed.
func (work *plan) evict(engine Engine, size int64, wanted string) ([]string, float64, bool) {
	free := engine.Memory
	for _, name := range slices.Concat(engine.Held, engine.Loading) {
		free -= work.models[name].Size
	}
	candidates := slices.Clone(engine.Held)
	slices.SortStableFunc(candidates, func(first, second string) int {
		return cmp.Compare(work.utilization(first, work.holders[first]-1), work.utilization(second, work.holders[second]-1))
	})
	var evicted []string
	loss := 0.0
	for _, name := range candidates {
		if free >= size {
			break
		}
		if !work.canEvict(name, wanted) {
			continue
		}
		evicted = append(evicted, name)
		loss += work.utilization(name, work.holders[name]-1)
		free += work.models[name].Size
	}
	return evicted, loss, free >= size
}

// canEvict reports whether a model can lose an engine to another one.
func (work *plan) canEvict(name, wanted string) bool {
	left := work.holders[name] - 1
	if left < work.models[name].MinEngines {
		return false
	}
	utilization := work.utilization(name, left)
	// A model that is itself short of engines yields only to one that is much
	// shorter.
	return utilization < work.settings.Low || 2*utilization < work.urgency(wanted)
}

func (work *plan) startLoad(at int, name string, evicted []string) Wanted {
	engine := &work.engines[at]
	for _, other := range evicted {
		work.changeHolders(other, engine.Zone, -1)
	}
	engine.Held = slices.DeleteFunc(engine.Held, func(held string) bool { return slices.Contains(evicted, held) })
	engine.Loading = append(engine.Loading, name)
	engine.ChangedAt = work.now
	work.changeHolders(name, engine.Zone, 1)
	work.transfers++
	work.updateOthersLoad()
	return Wanted{Engine: engine.Name, Models: slices.Sorted(slices.Values(slices.Concat(engine.Held, engine.Loading)))}
}
