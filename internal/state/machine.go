package state

import (
	"fmt"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Machine applies the changes of the replicated log on control VMs. It assigns a
// revision to each accepted change and stores the result of each command, so that
// a resent command is not applied again. It is not safe for concurrent use.
type Machine struct {
	state *State
	// results holds the results of recent commands by command id.
	results map[string]*wire.CommandResult
	// order lists the command ids in results, oldest first.
	order  []string
	recent Recent
}

// NewMachine returns a machine with the initial configuration.
func NewMachine() *Machine {
	return &Machine{state: New(), results: map[string]*wire.CommandResult{}}
}

// State returns the current configuration.
func (machine *Machine) State() *State { return machine.state }

// Recent returns the latest accepted changes, oldest first.
func (machine *Machine) Recent() []*wire.Numbered { return machine.recent }

// Result returns the stored result of a command.
func (machine *Machine) Result(commandID string) (*wire.CommandResult, bool) {
	result, ok := machine.results[commandID]
	return result, ok
}

// Apply applies a change and returns its result and, if it was accepted, the change
// with its revision. A repeated command id returns the stored result and applies
// nothing.
func (machine *Machine) Apply(change *wire.Change) (*wire.CommandResult, *wire.Numbered) {
	if result, ok := machine.results[change.GetCommandId()]; ok && change.GetCommandId() != "" {
		return result, nil
	}
	result, numbered := machine.evaluate(change)
	machine.recordResult(result)
	return result, numbered
}

// Accept records that a command was accepted which changes the members of the
// control group rather than the configuration.
func (machine *Machine) Accept(commandID string) *wire.CommandResult {
	if result, ok := machine.results[commandID]; ok {
		return result
	}
	result := &wire.CommandResult{CommandId: commandID, Revision: machine.state.revision}
	machine.recordResult(result)
	return result
}

// evaluate applies a change if it is valid, and returns its result.
func (machine *Machine) evaluate(change *wire.Change) (*wire.CommandResult, *wire.Numbered) {
	result := &wire.CommandResult{CommandId: change.GetCommandId(), Revision: machine.state.revision}
	if base := change.GetIfRevision(); change.GetConditional() && base != machine.state.revision {
		result.Code, result.Error = CodeConflict, machine.conflict(base)
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

// conflict returns the error message for a command made against an old revision.
// It quotes the change that followed that revision, if it is still kept.
func (machine *Machine) conflict(base uint64) string {
	for _, numbered := range machine.recent {
		if numbered.GetRevision() == base+1 {
			return fmt.Sprintf("made against revision %d, but revision %d is %q", base, base+1, numbered.GetChange().GetText())
		}
	}
	return fmt.Sprintf("made against revision %d, but the configuration is at revision %d", base, machine.state.revision)
}

// recordResult stores a result for resent commands and drops the oldest one above
// maxResults.
func (machine *Machine) recordResult(result *wire.CommandResult) {
	if result.GetCommandId() == "" {
		return
	}
	machine.results[result.GetCommandId()] = result
	machine.order = append(machine.order, result.GetCommandId())
	if len(machine.order) > maxResults {
		delete(machine.results, machine.order[0])
		machine.order = machine.order[1:]
	}
}

// Snapshot returns the configuration with command results and recent changes.
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
		machine.recordResult(result)
	}
	return machine
}
