// Package models decides which engines hold which models. It is pure: it sees
// demand and what engines hold, and gives back wanted sets. A wanted set is a
// whole state with an epoch, so that an instruction that is lost, repeated or
// overtaken does no harm: an engine moves towards the newest set it knows.
package models

import (
	"cmp"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Model is one model, adapter or version that engines can load.
type Model struct {
	Name string
	// Size is in bytes.
	Size int64
	// Demand is the work wanted now, in engines kept busy.
	Demand float64
	// Least is the number of engines that hold the model whatever the demand.
	Least int
}

// Engine is what an engine holds.
type Engine struct {
	Name string
	Zone string
	// Memory is the room for models, in bytes.
	Memory int64
	// Held lists the loaded models, Loading those on their way.
	Held    []string
	Loading []string
	// Since is when the engine's wanted set last changed.
	Since clock.Millis
}

// Wanted is the set of models that an engine is to hold.
type Wanted struct {
	Engine string
	Models []string
}

// Settings of a planner.
type Settings struct {
	// High is the use of a model's engines above which it gets one more.
	High float64
	// Low is the use below which a model may lose an engine to another model.
	Low float64
	// Residence is the least time between changes of one engine's set; it
	// keeps two models from taking turns on an engine.
	Residence clock.Millis
	// Transfers bounds the loads that run at once: the weight store's rate
	// divided by the rate at which one engine loads.
	Transfers int
}

// Default returns the settings that the decision record gives the reasons for.
func Default(transfers int) Settings {
	return Settings{High: 0.8, Low: 0.6, Residence: 20 * clock.Second, Transfers: transfers}
}

// Planner follows demand by few loads at a time.
type Planner struct {
	settings Settings
}

// New returns a planner.
func New(settings Settings) *Planner {
	return &Planner{settings: settings}
}

// Plan returns the engines whose set changes now.
func (planner *Planner) Plan(models []Model, engines []Engine, now clock.Millis) []Wanted {
	work := newPlan(planner.settings, models, engines, now)
	var changes []Wanted
	for work.transfers < planner.settings.Transfers {
		change, ok := work.next()
		if !ok {
			break
		}
		changes = append(changes, change)
	}
	return changes
}

// plan is the state of one planning run.
type plan struct {
	settings Settings
	now      clock.Millis
	models   map[string]Model
	order    []string
	engines  []Engine
	holders  map[string]int
	zones    map[string]map[string]int
	// beside is the work of other models on a model's engines.
	beside    map[string]float64
	transfers int
}

func newPlan(settings Settings, models []Model, engines []Engine, now clock.Millis) *plan {
	work := &plan{
		settings: settings, now: now, models: map[string]Model{}, holders: map[string]int{}, zones: map[string]map[string]int{},
		beside: map[string]float64{},
	}
	for _, model := range models {
		work.models[model.Name] = model
		work.order = append(work.order, model.Name)
		work.zones[model.Name] = map[string]int{}
	}
	for _, engine := range engines {
		engine.Held, engine.Loading = slices.Clone(engine.Held), slices.Clone(engine.Loading)
		work.engines = append(work.engines, engine)
		work.transfers += len(engine.Loading)
		for _, name := range slices.Concat(engine.Held, engine.Loading) {
			work.count(name, engine.Zone, 1)
		}
	}
	work.weigh()
	return work
}

func (work *plan) count(name, zone string, change int) {
	work.holders[name] += change
	if work.zones[name] != nil {
		work.zones[name][zone] += change
	}
}

// use returns how busy a model's engines would be with another number of
// holders: the model's own work on them and that of the models it shares them with.
func (work *plan) use(name string, holders int) float64 {
	model := work.models[name]
	if holders <= 0 {
		return model.Demand * 1e6
	}
	own := model.Demand / float64(holders)
	if work.holders[name] == 0 {
		return own
	}
	return own + work.beside[name]/float64(work.holders[name])
}

// weigh adds up, for each model, the work of others on its engines.
func (work *plan) weigh() {
	clear(work.beside)
	for _, engine := range work.engines {
		names := slices.Concat(engine.Held, engine.Loading)
		for _, name := range names {
			for _, other := range names {
				if other != name {
					work.beside[name] += work.models[other].Demand / float64(work.holders[other])
				}
			}
		}
	}
}

// next changes one engine's set for the model that needs it most.
func (work *plan) next() (Wanted, bool) {
	needy := slices.Clone(work.order)
	needy = slices.DeleteFunc(needy, func(name string) bool { return !work.needs(name) })
	slices.SortStableFunc(needy, func(first, second string) int {
		return cmp.Compare(work.urgency(second), work.urgency(first))
	})
	for _, name := range needy {
		if at, evicted, ok := work.room(name); ok {
			return work.load(at, name, evicted), true
		}
	}
	return Wanted{}, false
}

func (work *plan) needs(name string) bool {
	holders := work.holders[name]
	return holders < work.models[name].Least || work.use(name, holders) > work.settings.High
}

func (work *plan) urgency(name string) float64 {
	holders := work.holders[name]
	if holders < work.models[name].Least {
		return 1e9 + work.use(name, holders)
	}
	return work.use(name, holders)
}

// room finds the engine for a model: with free memory, or with models that can
// be spared. Zones with fewer holders come first.
func (work *plan) room(name string) (int, []string, bool) {
	best, cost := -1, 0.0
	var spared []string
	for at, engine := range work.engines {
		if slices.Contains(engine.Held, name) || slices.Contains(engine.Loading, name) || work.now-engine.Since < work.settings.Residence {
			continue
		}
		evicted, loss, ok := work.evict(engine, work.models[name].Size, name)
		if !ok {
			continue
		}
		loss += float64(work.zones[name][engine.Zone]) + work.sharing(engine, evicted)
		if best < 0 || loss < cost {
			best, cost, spared = at, loss, evicted
		}
	}
	return best, spared, best >= 0
}

// sharing is the use that the models that stay make of an engine.
func (work *plan) sharing(engine Engine, evicted []string) float64 {
	sum := 0.0
	for _, held := range engine.Held {
		if !slices.Contains(evicted, held) {
			sum += work.use(held, work.holders[held])
		}
	}
	return sum
}

// evict returns the models to drop for a size, those least used first, and
// what dropping them loses.
func (work *plan) evict(engine Engine, size int64, wanted string) ([]string, float64, bool) {
	free := engine.Memory
	for _, name := range slices.Concat(engine.Held, engine.Loading) {
		free -= work.models[name].Size
	}
	candidates := slices.Clone(engine.Held)
	slices.SortStableFunc(candidates, func(first, second string) int {
		return cmp.Compare(work.use(first, work.holders[first]-1), work.use(second, work.holders[second]-1))
	})
	var evicted []string
	loss := 0.0
	for _, name := range candidates {
		if free >= size {
			break
		}
		if !work.spares(name, wanted) {
			continue
		}
		evicted = append(evicted, name)
		loss += work.use(name, work.holders[name]-1)
		free += work.models[name].Size
	}
	return evicted, loss, free >= size
}

// spares tells whether a model can lose an engine to another one.
func (work *plan) spares(name, wanted string) bool {
	left := work.holders[name] - 1
	if left < work.models[name].Least {
		return false
	}
	use := work.use(name, left)
	// A model that is short itself gives way only to one that is much shorter.
	return use < work.settings.Low || 2*use < work.urgency(wanted)
}

func (work *plan) load(at int, name string, evicted []string) Wanted {
	engine := &work.engines[at]
	for _, gone := range evicted {
		work.count(gone, engine.Zone, -1)
	}
	engine.Held = slices.DeleteFunc(engine.Held, func(held string) bool { return slices.Contains(evicted, held) })
	engine.Loading = append(engine.Loading, name)
	engine.Since = work.now
	work.count(name, engine.Zone, 1)
	work.transfers++
	work.weigh()
	return Wanted{Engine: engine.Name, Models: slices.Sorted(slices.Values(slices.Concat(engine.Held, engine.Loading)))}
}
