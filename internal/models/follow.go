package models

import (
	"slices"
)

// Holding is one engine's way towards its wanted set. It is an immutable value.
type Holding struct {
	epoch   uint64
	wanted  []string
	held    []string
	loading string
}

// Step is what an engine has to do next: Load, Unload or Nothing.
type Step interface{ sealedStep() }

// Load fetches a model from the weight store.
type Load struct{ Model string }

// Unload frees the memory of a model.
type Unload struct{ Model string }

// Nothing means that the wanted set is reached or a load is on its way.
type Nothing struct{}

func (Load) sealedStep()    {}
func (Unload) sealedStep()  {}
func (Nothing) sealedStep() {}

// NewHolding returns the state of an engine that holds models already.
func NewHolding(held ...string) Holding {
	return Holding{held: held, wanted: held}
}

// Epoch returns the newest epoch obeyed.
func (holding Holding) Epoch() uint64 { return holding.epoch }

// Held returns the loaded models.
func (holding Holding) Held() []string { return holding.held }

// WithWanted takes a wanted set. One that is not newer changes nothing.
func (holding Holding) WithWanted(epoch uint64, wanted []string) Holding {
	if epoch <= holding.epoch {
		return holding
	}
	holding.epoch, holding.wanted = epoch, slices.Clone(wanted)
	return holding
}

// WithLoading records that a load has begun.
func (holding Holding) WithLoading(model string) Holding {
	holding.loading = model
	return holding
}

// WithLoaded records the end of a load, or of one that failed.
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

// WithUnloaded records that a model's memory is free.
func (holding Holding) WithUnloaded(model string) Holding {
	holding.held = slices.DeleteFunc(slices.Clone(holding.held), func(held string) bool { return held == model })
	return holding
}

// Next returns the next step. Models that are not wanted go first: the new one
// needs their memory.
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
