package state

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Snapshot returns the configuration as a message.
func (state *State) Snapshot() *wire.Snapshot {
	return &wire.Snapshot{
		Revision:    state.revision,
		Customers:   state.Customers(),
		Tiers:       state.Tiers(),
		Rules:       state.rules,
		Drains:      state.Drains(),
		Blocks:      state.Blocks(),
		CrashBlocks: state.CrashBlocks(),
		Groups:      state.Groups(),
		Placements:  state.Placements(),
		Deployment:  state.deployment,
		Evacuations: state.Evacuations(),
	}
}

// FromSnapshot returns the configuration that a message contains.
func FromSnapshot(snapshot *wire.Snapshot) *State {
	state := New()
	state.revision = snapshot.GetRevision()
	state.rules = snapshot.GetRules()
	state.deployment = snapshot.GetDeployment()
	clear(state.tiers)
	for _, tier := range snapshot.GetTiers() {
		state.tiers[tier.GetName()] = tier
	}
	for _, customer := range snapshot.GetCustomers() {
		state.customers[customer.GetName()] = customer
		if customer.GetTokenHash() != "" {
			state.tokens[customer.GetTokenHash()] = customer
		}
	}
	for _, drain := range snapshot.GetDrains() {
		state.drains[drain.GetEndpoint()] = drain
	}
	for _, block := range snapshot.GetBlocks() {
		state.blocks[block.GetFingerprint()] = block
	}
	for _, block := range snapshot.GetCrashBlocks() {
		state.crashBlocks[crashKey{block.GetPart(), block.GetFingerprint()}] = block
	}
	for _, group := range snapshot.GetGroups() {
		state.groups[group.GetName()] = group
	}
	for _, placement := range snapshot.GetPlacements() {
		state.placements[placement.GetEngine()] = placement
	}
	for _, evacuation := range snapshot.GetEvacuations() {
		state.evacuations[evacuation.GetZone()] = evacuation
	}
	return state
}
