package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Codes of refused changes.
const (
	CodeConflict = "conflict"
	CodeInvalid  = "invalid"
	CodeNotFound = "notFound"
	CodeExists   = "exists"
)

// RefusedError reports why a change was refused.
type RefusedError struct {
	Code    string
	Message string
}

// Error returns the reason for the refusal.
func (refused *RefusedError) Error() string { return refused.Message }

func refuse(code, format string, values ...any) error {
	return &RefusedError{Code: code, Message: fmt.Sprintf(format, values...)}
}

// AsRefused returns the RefusedError in an error's chain, if there is one.
func AsRefused(err error) (*RefusedError, bool) {
	var refused *RefusedError
	ok := errors.As(err, &refused)
	return refused, ok
}

// WithChange returns the configuration with a change applied, at the next
// revision, or a RefusedError if the change is not valid for the configuration.
func (state *State) WithChange(change *wire.Change) (*State, error) {
	next := *state
	next.revision++
	if err := next.apply(change); err != nil {
		return nil, err
	}
	return &next, nil
}

func (state *State) apply(change *wire.Change) error {
	switch body := change.GetBody().(type) {
	case *wire.Change_Customer:
		return state.putCustomer(body.Customer, change.GetCreate())
	case *wire.Change_Tier:
		return state.putTier(body.Tier, change.GetCreate())
	case *wire.Change_Rule:
		return state.putRule(body.Rule, change.GetCreate())
	case *wire.Change_Drain:
		state.drains = with(state.drains, body.Drain.GetEndpoint(), body.Drain)
	case *wire.Change_Block:
		state.blocks = with(state.blocks, body.Block.GetFingerprint(), body.Block)
	case *wire.Change_CrashBlock:
		return state.putCrashBlock(body.CrashBlock)
	case *wire.Change_Group:
		return state.putGroup(body.Group)
	case *wire.Change_Placement:
		return state.putPlacement(body.Placement)
	case *wire.Change_Deployment:
		return state.putDeployment(body.Deployment)
	case *wire.Change_Evacuation:
		return state.putEvacuation(body.Evacuation, change.GetAt())
	case *wire.Change_Drop:
		return state.drop(body.Drop)
	default:
		return refuse(CodeInvalid, "change has no body")
	}
	return nil
}

func (state *State) putCustomer(customer *wire.Customer, create bool) error {
	name := customer.GetName()
	old, exists := state.customers[name]
	if err := checkExistence("customer", name, exists, create); err != nil {
		return err
	}
	if _, ok := state.tiers[customer.GetTier()]; !ok {
		return refuse(CodeInvalid, "customer %s: there is no tier %q", name, customer.GetTier())
	}
	if owner, ok := state.tokens[customer.GetTokenHash()]; ok && owner.GetName() != name {
		return refuse(CodeInvalid, "customer %s: the token belongs to another customer", name)
	}
	state.tokens = maps.Clone(state.tokens)
	if exists {
		delete(state.tokens, old.GetTokenHash())
	}
	if customer.GetTokenHash() != "" {
		state.tokens[customer.GetTokenHash()] = customer
	}
	state.customers = with(state.customers, name, customer)
	return nil
}

func (state *State) putTier(tier *wire.TierRecord, create bool) error {
	_, exists := state.tiers[tier.GetName()]
	if err := checkExistence("tier", tier.GetName(), exists, create); err != nil {
		return err
	}
	state.tiers = with(state.tiers, tier.GetName(), tier)
	return nil
}

func (state *State) putRule(rule *wire.Rule, create bool) error {
	at := slices.IndexFunc(state.rules, func(other *wire.Rule) bool { return other.GetName() == rule.GetName() })
	if err := checkExistence("rule", rule.GetName(), at >= 0, create); err != nil {
		return err
	}
	rules := slices.Clone(state.rules)
	if at >= 0 {
		rules = slices.Delete(rules, at, at+1)
	}
	rules = append(rules, rule)
	slices.SortStableFunc(rules, func(first, second *wire.Rule) int {
		if first.GetOrder() != second.GetOrder() {
			return int(first.GetOrder()) - int(second.GetOrder())
		}
		return cmp.Compare(first.GetName(), second.GetName())
	})
	state.rules = rules
	return nil
}

func (state *State) putGroup(group *wire.GroupRecord) error {
	if old, ok := state.groups[group.GetName()]; ok && group.GetEpoch() <= old.GetEpoch() {
		return refuse(CodeConflict, "group %s is at epoch %d; epoch %d is not newer", group.GetName(), old.GetEpoch(), group.GetEpoch())
	}
	state.groups = with(state.groups, group.GetName(), group)
	return nil
}

// putDeployment stores a deployment with a higher version than the current one.
// A lower or equal version is refused as a conflict.
func (state *State) putDeployment(deployment *wire.Deployment) error {
	if current := state.deployment; current != nil && deployment.GetVersion() <= current.GetVersion() {
		return refuse(CodeConflict, "deployment is at version %d; version %d is not newer", current.GetVersion(), deployment.GetVersion())
	}
	state.deployment = deployment
	return nil
}

func (state *State) putPlacement(placement *wire.Placement) error {
	if old, ok := state.placements[placement.GetEngine()]; ok && placement.GetEpoch() <= old.GetEpoch() {
		return refuse(CodeConflict, "placement of engine %s is at epoch %d; epoch %d is not newer", placement.GetEngine(), old.GetEpoch(), placement.GetEpoch())
	}
	state.placements = with(state.placements, placement.GetEngine(), placement)
	return nil
}

func (state *State) drop(drop *wire.Drop) error {
	name := drop.GetName()
	switch drop.GetWhat() {
	case "customer":
		return state.dropCustomer(name)
	case "tier":
		return state.dropTier(name)
	case "rule":
		return state.dropRule(name)
	case "drain":
		return remove(&state.drains, "drain of endpoint", name, name)
	case "group":
		return remove(&state.groups, "group", name, name)
	case "placement":
		return remove(&state.placements, "placement of engine", name, name)
	case "block":
		return state.dropBlock(name)
	}
	return refuse(CodeInvalid, "cannot drop a %q", drop.GetWhat())
}

func (state *State) dropCustomer(name string) error {
	customer, ok := state.customers[name]
	if !ok {
		return refuse(CodeNotFound, "there is no customer %s", name)
	}
	state.tokens = maps.Clone(state.tokens)
	delete(state.tokens, customer.GetTokenHash())
	return remove(&state.customers, "customer", name, name)
}

func (state *State) dropTier(name string) error {
	for _, customer := range state.customers {
		if customer.GetTier() == name {
			return refuse(CodeInvalid, "tier %s is used by customer %s", name, customer.GetName())
		}
	}
	return remove(&state.tiers, "tier", name, name)
}

func (state *State) dropRule(name string) error {
	at := slices.IndexFunc(state.rules, func(rule *wire.Rule) bool { return rule.GetName() == name })
	if at < 0 {
		return refuse(CodeNotFound, "there is no rule %s", name)
	}
	state.rules = slices.Delete(slices.Clone(state.rules), at, at+1)
	return nil
}

// dropBlock removes the block that was created for a request.
func (state *State) dropBlock(requestID string) error {
	for fingerprint, block := range state.blocks {
		if block.GetRequestId() == requestID {
			return remove(&state.blocks, "block of request", requestID, fingerprint)
		}
	}
	return refuse(CodeNotFound, "there is no block of request %s", requestID)
}

// putCrashBlock stores a block for crashes in place of an earlier one of the same part
// or request, and drops the blocks that have ended by the time of the new one. A block
// that ends when it was decided lifts the earlier one.
func (state *State) putCrashBlock(block *wire.CrashBlock) error {
	if (block.GetPart() == 0) == (block.GetFingerprint() == 0) {
		return refuse(CodeInvalid, "a block for crashes needs either a part or a request")
	}
	state.crashBlocks = with(state.crashBlocks, crashKey{block.GetPart(), block.GetFingerprint()}, block)
	maps.DeleteFunc(state.crashBlocks, func(_ crashKey, other *wire.CrashBlock) bool { return other.GetUntil() <= block.GetAt() })
	return nil
}

// checkExistence refuses to create a record that exists, or to alter one that
// does not.
func checkExistence(what, name string, exists, create bool) error {
	switch {
	case name == "":
		return refuse(CodeInvalid, "%s needs a name", what)
	case create && exists:
		return refuse(CodeExists, "%s %s exists", what, name)
	case !create && !exists:
		return refuse(CodeNotFound, "there is no %s %s", what, name)
	}
	return nil
}

// with returns a copy of the records with one more, so that earlier revisions stay
// unchanged.
func with[K comparable, V any](records map[K]V, key K, value V) map[K]V {
	records = maps.Clone(records)
	records[key] = value
	return records
}

// remove replaces the records with a copy without a key, so that earlier revisions
// stay unchanged.
func remove[K comparable, V any](records *map[K]V, what, name string, key K) error {
	if _, ok := (*records)[key]; !ok {
		return refuse(CodeNotFound, "there is no %s %s", what, name)
	}
	*records = maps.Clone(*records)
	delete(*records, key)
	return nil
}
