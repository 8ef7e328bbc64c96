package state

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// FromCommand converts a command into a change of the configuration. An alter
// command keeps the fields that it does not name.
func FromCommand(config *State, command *query.Command) (*wire.Change, error) {
	switch {
	case command.Create != nil:
		return put(config, command.Create, true)
	case command.Alter != nil:
		return put(config, command.Alter, false)
	case command.Drop != nil:
		return dropChange(command.Drop.What, command.Drop.Name.Text), nil
	case command.Drain != nil && command.Drain.What == "endpoint":
		return &wire.Change{Body: &wire.Change_Drain{Drain: &wire.Drain{Endpoint: command.Drain.Name.Text}}}, nil
	case command.Undrain != nil && command.Undrain.What == "endpoint":
		return dropChange("drain", command.Undrain.Name.Text), nil
	case command.Unblock != nil && command.Unblock.What == "request":
		return dropChange("block", command.Unblock.Name.Text), nil
	case command.Evacuate != nil && command.Evacuate.What == "zone":
		return evacuation(config, command.Evacuate.Name.Text, true), nil
	case command.Restore != nil && command.Restore.What == "zone":
		return evacuation(config, command.Restore.Name.Text, false), nil
	}
	return nil, refuse(CodeInvalid, "this command does not change the configuration")
}

// evacuation returns an order about a zone that is made for the zone's present record.
func evacuation(config *State, zone string, active bool) *wire.Change {
	current, _ := config.Evacuation(zone)
	return &wire.Change{Body: &wire.Change_Evacuation{Evacuation: &wire.Evacuation{Zone: zone, Active: active, After: current.GetRevision()}}}
}

func dropChange(what, name string) *wire.Change {
	return &wire.Change{Body: &wire.Change_Drop{Drop: &wire.Drop{What: what, Name: name}}}
}

// put returns a change that creates or alters a record.
func put(config *State, record *query.Record, create bool) (*wire.Change, error) {
	change := &wire.Change{Create: create}
	var set func(name, value string) error
	name := record.Name.Text
	switch record.What {
	case "customer":
		customer := &wire.Customer{Name: name, Tier: "paid", Weight: 1}
		if old, ok := config.Customer(name); ok && !create {
			customer = proto.CloneOf(old)
		}
		change.Body = &wire.Change_Customer{Customer: customer}
		set = func(field, value string) error { return setCustomer(customer, field, value) }
	case "tier":
		tier := &wire.TierRecord{Name: name, Level: wire.Tier_TIER_FREE, Patience: time.Minute.Milliseconds()}
		if old, ok := config.Tier(name); ok && !create {
			tier = proto.CloneOf(old)
		}
		change.Body = &wire.Change_Tier{Tier: tier}
		set = func(field, value string) error { return setTier(tier, field, value) }
	case "rule":
		rule := &wire.Rule{Name: name}
		for _, old := range config.Rules() {
			if old.GetName() == name && !create {
				rule = proto.CloneOf(old)
			}
		}
		change.Body = &wire.Change_Rule{Rule: rule}
		set = func(field, value string) error { return setRule(rule, field, value) }
	default:
		return nil, refuse(CodeInvalid, "%q is not customer, tier or rule", record.What)
	}
	for _, field := range record.Fields {
		if err := set(field.Name, field.Value.Text); err != nil {
			return nil, err
		}
	}
	return change, nil
}

func setCustomer(customer *wire.Customer, field, value string) error {
	switch field {
	case "token":
		sum := sha256.Sum256([]byte(value))
		customer.TokenHash = hex.EncodeToString(sum[:])
	case "tier":
		customer.Tier = value
	case "priority":
		return setNumber(field, value, &customer.Priority)
	case "weight":
		return setNumber(field, value, &customer.Weight)
	case "concurrent":
		return setNumber(field, value, &customer.MaxConcurrent)
	default:
		return refuse(CodeInvalid, "a customer has no field %q; fields are token, tier, priority, weight, concurrent", field)
	}
	return nil
}

func setTier(tier *wire.TierRecord, field, value string) error {
	switch field {
	case "level":
		return setLevel(tier, value)
	case "priority":
		return setNumber(field, value, &tier.Priority)
	case "patience":
		patience, err := time.ParseDuration(value)
		if err != nil {
			return refuse(CodeInvalid, "patience: %q is not a duration such as 30s", value)
		}
		tier.Patience = patience.Milliseconds()
	default:
		return refuse(CodeInvalid, "a tier has no field %q; fields are level, priority, patience", field)
	}
	return nil
}

func setLevel(tier *wire.TierRecord, value string) error {
	switch value {
	case "paid":
		tier.Level = wire.Tier_TIER_PAID
	case "free":
		tier.Level = wire.Tier_TIER_FREE
	default:
		return refuse(CodeInvalid, "level: %q is not paid or free", value)
	}
	return nil
}

func setRule(rule *wire.Rule, field, value string) error {
	switch field {
	case "path":
		rule.PathPrefix = value
	case "customer":
		rule.Customer = value
	case "model":
		rule.Model = value
	case "method":
		rule.Method = value
	case "service":
		rule.Service = value
	case "kind":
		return setKind(rule, value)
	case "repeat":
		return setChoice(field, value, "never", "safe", &rule.NonIdempotent)
	case "key":
		return setChoice(field, value, "optional", "required", &rule.KeyOptional)
	case "boost":
		return setNumber(field, value, &rule.Boost)
	case "size":
		return setNumber(field, value, &rule.Size)
	case "order":
		return setNumber(field, value, &rule.Order)
	default:
		return refuse(CodeInvalid, "a rule has no field %q; fields are path, customer, model, method, kind, service, repeat, key, boost, size, order", field)
	}
	return nil
}

func setKind(rule *wire.Rule, value string) error {
	kinds := map[string]wire.Kind{
		"model": wire.Kind_KIND_MODEL, "order": wire.Kind_KIND_ORDER, "plain": wire.Kind_KIND_PLAIN,
	}
	kind, ok := kinds[value]
	if !ok {
		return refuse(CodeInvalid, "kind: %q is not model, order or plain", value)
	}
	rule.Kind = kind
	return nil
}

// setChoice sets a flag from a field with two values.
func setChoice(field, value, whenTrue, whenFalse string, target *bool) error {
	if value != whenTrue && value != whenFalse {
		return refuse(CodeInvalid, "%s: %q is not %s or %s", field, value, whenTrue, whenFalse)
	}
	*target = value == whenTrue
	return nil
}

func setNumber[T int32 | uint32](field, value string, target *T) error {
	number, err := strconv.ParseInt(value, 10, 32)
	if err != nil || int64(T(number)) != number {
		return refuse(CodeInvalid, "%s: %q is not a whole number in range", field, value)
	}
	*target = T(number)
	return nil
}
