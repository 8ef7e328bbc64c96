// Package state holds the replicated configuration as an immutable value. Each
// accepted change creates the next revision.
package state

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// maxResults is the maximum number of command results kept for resent
	// commands. At 68,000 changes a day they cover more than a day.
	maxResults = 100_000
	// keptChanges is the minimum number of recent changes that are kept. A
	// conflict message can quote only these.
	keptChanges = 1024
)

// State is the configuration at one revision. Its records must not be modified.
type State struct {
	revision  uint64
	customers map[string]*wire.Customer
	// tokens holds the customers by token hash.
	tokens map[string]*wire.Customer
	tiers  map[string]*wire.TierRecord
	rules  []*wire.Rule
	// drains holds the drained endpoints by name.
	drains map[string]*wire.Drain
	// blocks holds the blocked requests by fingerprint.
	blocks map[uint64]*wire.Block
	// crashBlocks holds the parts and requests that are blocked for crashes.
	crashBlocks map[crashKey]*wire.CrashBlock
	groups      map[string]*wire.GroupRecord
	// placements holds the desired models by engine.
	placements map[string]*wire.Placement
	deployment *wire.Deployment
	// evacuations holds the latest order about each zone.
	evacuations map[string]*wire.Evacuation
}

// crashKey identifies the part or the request of a block for crashes; the other is 0.
type crashKey struct{ part, fingerprint uint64 }

// New returns the initial configuration at revision 0. It contains only the
// built-in tiers.
func New() *State {
	return &State{
		customers: map[string]*wire.Customer{},
		tokens:    map[string]*wire.Customer{},
		tiers: map[string]*wire.TierRecord{
			"paid": {Name: "paid", Level: wire.Tier_TIER_PAID, Patience: 60_000},
			"free": {Name: "free", Level: wire.Tier_TIER_FREE, Patience: 600_000},
		},
		drains:      map[string]*wire.Drain{},
		blocks:      map[uint64]*wire.Block{},
		crashBlocks: map[crashKey]*wire.CrashBlock{},
		groups:      map[string]*wire.GroupRecord{},
		placements:  map[string]*wire.Placement{},
		evacuations: map[string]*wire.Evacuation{},
	}
}

// Revision returns the revision, which is the number of accepted changes.
func (state *State) Revision() uint64 { return state.revision }

// ByToken returns the customer with a token hash.
func (state *State) ByToken(hash string) (*wire.Customer, bool) {
	customer, ok := state.tokens[hash]
	return customer, ok
}

// Customer returns a customer by name.
func (state *State) Customer(name string) (*wire.Customer, bool) {
	customer, ok := state.customers[name]
	return customer, ok
}

// Tier returns a tier by name.
func (state *State) Tier(name string) (*wire.TierRecord, bool) {
	tier, ok := state.tiers[name]
	return tier, ok
}

// Rules returns the rules in matching order.
func (state *State) Rules() []*wire.Rule { return state.rules }

// Customers returns all customers, sorted by name.
func (state *State) Customers() []*wire.Customer { return sorted(state.customers) }

// Tiers returns all tiers, sorted by name.
func (state *State) Tiers() []*wire.TierRecord { return sorted(state.tiers) }

// Drains returns the drained endpoints, sorted by name.
func (state *State) Drains() []*wire.Drain { return sorted(state.drains) }

// Groups returns the rank groups, sorted by name.
func (state *State) Groups() []*wire.GroupRecord { return sorted(state.groups) }

// Placements returns the desired models of each engine, sorted by engine name.
func (state *State) Placements() []*wire.Placement { return sorted(state.placements) }

// Blocks returns the blocked requests, sorted by fingerprint.
func (state *State) Blocks() []*wire.Block { return sorted(state.blocks) }

// CrashBlocks returns the blocks for crashes, sorted by part and request.
func (state *State) CrashBlocks() []*wire.CrashBlock {
	return slices.SortedFunc(maps.Values(state.crashBlocks), func(first, second *wire.CrashBlock) int {
		return cmp.Or(cmp.Compare(first.GetPart(), second.GetPart()), cmp.Compare(first.GetFingerprint(), second.GetFingerprint()))
	})
}

// Deployment returns the deployment of the forwarding configuration, or nil if
// none has been accepted yet.
func (state *State) Deployment() *wire.Deployment { return state.deployment }

// Drained reports whether an endpoint is drained and gets no new requests.
func (state *State) Drained(endpoint string) bool {
	_, ok := state.drains[endpoint]
	return ok
}

// Block returns the block of a request's fingerprint.
func (state *State) Block(fingerprint uint64) (*wire.Block, bool) {
	block, ok := state.blocks[fingerprint]
	return block, ok
}

// Group returns a rank group by name.
func (state *State) Group(name string) (*wire.GroupRecord, bool) {
	group, ok := state.groups[name]
	return group, ok
}

// sorted returns the records sorted by key, so that copies of a configuration can
// be compared.
func sorted[K cmp.Ordered, V any](records map[K]V) []V {
	list := make([]V, 0, len(records))
	for _, key := range slices.Sorted(maps.Keys(records)) {
		list = append(list, records[key])
	}
	return list
}

// ErrOldRevision is returned for a change whose revision is not the next one.
var ErrOldRevision = errors.New("revision is not the next one")

// WithNumbered returns the configuration with an accepted change applied. The
// change must have the next revision.
func (state *State) WithNumbered(numbered *wire.Numbered) (*State, error) {
	if numbered.GetRevision() != state.revision+1 {
		return nil, errors.Wrapf(ErrOldRevision, "have %d, got %d", state.revision, numbered.GetRevision())
	}
	return state.WithChange(numbered.GetChange())
}

// WithSnapshot returns the configuration of a snapshot, which must not be older
// than this one.
func (state *State) WithSnapshot(snapshot *wire.Snapshot) (*State, error) {
	if snapshot.GetRevision() < state.revision {
		return nil, errors.Wrapf(ErrOldRevision, "have %d, got a snapshot of %d", state.revision, snapshot.GetRevision())
	}
	return FromSnapshot(snapshot), nil
}
