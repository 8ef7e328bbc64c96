package state

import (
	"fmt"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Machine applies the replicated log's changes on control VMs: it numbers
// accepted changes and remembers the first answer to each command. It is not
// safe for concurrent use.
type Machine struct {
	state   *State
	results map[string]*wire.CommandResult
	// order lists command ids by age, oldest first.
	order  []string
	recent Recent
}

// NewMachine returns a machine with the empty configuration.
func NewMachine() *Machine {
	return &Machine{state: New(), results: map[string]*wire.CommandResult{}}
}

// State returns the current configuration.
func (machine *Machine) State() *State { return machine.state }

// Recent returns the latest accepted changes, oldest first.
func (machine *Machine) Recent() []*wire.Numbered { return machine.recent }

// Result returns the first answer to a command.
func (machine *Machine) Result(commandID string) (*wire.CommandResult, bool) {
	result, ok := machine.results[commandID]
	return result, ok
}

// Apply decides a change. A command id that was seen before gets its first
// answer; otherwise the second value is the numbered change, if it was accepted.
func (machine *Machine) Apply(change *wire.Change) (*wire.CommandResult, *wire.Numbered) {
	if result, ok := machine.results[change.GetCommandId()]; ok && change.GetCommandId() != "" {
		return result, nil
	}
	result, numbered := machine.decide(change)
	machine.remember(result)
	return result, numbered
}

// Accept remembers that a command which changes no configuration, but the
// members of the control group, was accepted.
func (machine *Machine) Accept(commandID string) *wire.CommandResult {
	if result, ok := machine.results[commandID]; ok {
		return result
	}
	result := &wire.CommandResult{CommandId: commandID, Revision: machine.state.revision}
	machine.remember(result)
	return result
}

func (machine *Machine) decide(change *wire.Change) (*wire.CommandResult, *wire.Numbered) {
	result := &wire.CommandResult{CommandId: change.GetCommandId(), Revision: machine.state.revision}
	if wanted := change.GetIfRevision(); change.GetConditional() && wanted != machine.state.revision {
		result.Code, result.Error = CodeConflict, machine.conflict(wanted)
		return result, nil
	}
	next, err := machine.state.WithChange(change)
	if err != nil {
		result.Code, result.Error = CodeInvalid, err.Error()
		if refused, ok := AsRefused(err); ok {
			result.Code = refused.Code
		}
		return result, nil
	}
	machine.state = next
	result.Revision = next.revision
	numbered := &wire.Numbered{Revision: next.revision, Change: change}
	machine.recent = machine.recent.With(numbered)
	return result, numbered
}

// conflict names the change that came first.
func (machine *Machine) conflict(wanted uint64) string {
	for _, numbered := range machine.recent {
		if numbered.GetRevision() == wanted+1 {
			return fmt.Sprintf("made against revision %d, but revision %d is %q", wanted, wanted+1, numbered.GetChange().GetText())
		}
	}
	return fmt.Sprintf("made against revision %d, but the configuration is at revision %d", wanted, machine.state.revision)
}

func (machine *Machine) remember(result *wire.CommandResult) {
	if result.GetCommandId() == "" {
		return
	}
	machine.results[result.GetCommandId()] = result
	machine.order = append(machine.order, result.GetCommandId())
	if len(machine.order) > keptResults {
		delete(machine.results, machine.order[0])
		machine.order = machine.order[1:]
	}
}

// Snapshot returns the configuration with answers and recent changes.
func (machine *Machine) Snapshot() *wire.Snapshot {
	snapshot := machine.state.Snapshot()
	for _, id := range machine.order {
		snapshot.Results = append(snapshot.Results, machine.results[id])
	}
	snapshot.Recent = machine.recent
	return snapshot
}

// Restore returns a machine with the contents of a snapshot.
func Restore(snapshot *wire.Snapshot) *Machine {
	machine := NewMachine()
	machine.state = FromSnapshot(snapshot)
	machine.recent = snapshot.GetRecent()
	for _, result := range snapshot.GetResults() {
		machine.remember(result)
	}
	return machine
}
