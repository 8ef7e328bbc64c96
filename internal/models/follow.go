package models

import (
	"slices"
)

// Holding is the progress of one engine towards its set of wanted models. It is
// immutable.
type Holding struct {
	epoch   uint64
	wanted  []string
	held    []string
	loading string
}

// Step is the next action of an engine: Load, Unload or Nothing.
type Step interface{ sealedStep() }

// Load fetches a model from the weight store.
type Load struct{ Model string }

// Unload frees the memory of a model.
type Unload struct{ Model string }

// Nothing means that the engine holds its wanted models or that a load is in
// progress.
type Nothing struct{}

func (Load) sealedStep()    {}
func (Unload) sealedStep()  {}
func (Nothing) sealedStep() {}

// NewHolding returns the state of an engine that already holds models.
func NewHolding(held ...string) Holding {
	return Holding{held: held, wanted: held}
}

// Epoch returns the epoch of the newest set of wanted models received.
func (holding Holding) Epoch() uint64 { return holding.epoch }

// Held returns the loaded models.
func (holding Holding) Held() []string { return holding.held }

// WithWanted sets the wanted models. A set that is not newer than the present
// one is ignored.
func (holding Holding) WithWanted(epoch uint64, wanted []string) Holding {
	if epoch <= holding.epoch {
		return holding
	}
	holding.epoch, holding.wanted = epoch, slices.Clone(wanted)
	return holding
}

// WithLoading records that a load has started.
func (holding Holding) WithLoading(model string) Holding {
	holding.loading = model
	return holding
}

// WithLoaded records that a load has completed or, if ok is false, failed.
func (holding Holding) WithLoaded(model string, ok bool) Holding {
	if holding.loading != model {
		return holding
	}
	holding.loading = ""
	if ok && !slices.Contains(holding.held, model) {
		holding.held = append(slices.Clone(holding.held), model)
	}
	return holding
}

// WithUnloaded records that a model is unloaded.
func (holding Holding) WithUnloaded(model string) Holding {
	holding.held = slices.DeleteFunc(slices.Clone(holding.held), func(held string) bool { return held == model })
	return holding
}

// Next returns the next step. Models that are not wanted are unloaded first,
// because a new model needs their memory.
func (holding Holding) Next() Step {
	if holding.loading != "" {
		return Nothing{}
	}
	for _, model := range holding.held {
		if !slices.Contains(holding.wanted, model) {
			return Unload{Model: model}
		}
	}
	for _, model := range holding.wanted {
		if !slices.Contains(holding.held, model) {
			return Load{Model: model}
		}
	}
	return Nothing{}
}
