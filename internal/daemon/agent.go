package daemon

import (
	"fmt"
	"io"
	"os"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/agent"
	"github.com/hibiscuslug/hibiscuslug/internal/bounds"
	"github.com/hibiscuslug/hibiscuslug/internal/coord"
	"github.com/hibiscuslug/hibiscuslug/internal/ctrl"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/guard"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/platform"
)

type agentCommand struct {
	opts.Node
	opts.Agent
	out  io.Writer
	file *settingsFile
}

func (command *agentCommand) check() error {
	return bounds.First(command.Node.Check(), command.Agent.Check())
}

// Execute runs the agent on an engine's VM.
func (command *agentCommand) Execute([]string) error {
	guard.LimitMemory(command.Node)
	log := event.NewBounded(os.Stdout, command.Name, command.Zone)
	defer log.Close()
	running, err := agent.New(command.Node, platform.NewEngine(command.EngineAddress, clock.NewSystem()), clock.NewSystem(), log)
	if err != nil {
		return err
	}
	fmt.Fprintln(command.out, "ready", running.Address())
	return command.file.watch(log, func() error { return wait(running) })
}

// coordinatedControl is a control process with the coordinator of its rank
// groups, which runs in the same process.
type coordinatedControl struct {
	role
	coordinator *coord.Coordinator
}

// withCoordinator starts the coordinator next to a control process.
func withCoordinator(running role, control *ctrl.Control, node opts.Node, ticker *clock.Clock, log *event.Log) role {
	return &coordinatedControl{role: running, coordinator: coord.New(coord.Settings{
		Listen: node.Listen, Plan: latestPlan(control, log), Endpoints: control.Endpoints, Leads: control.IsLeader, SetPace: control.SetPace,
		Engine: func(address string) agent.Engine { return platform.NewEngine(address, ticker) },
	}, ticker, log)}
}

// latestPlan returns a function that returns the plan in the latest
// configuration. It decodes each version once, and keeps the last valid plan
// when a later version cannot be decoded.
func latestPlan(control *ctrl.Control, log *event.Log) func() *plan.Plan {
	var mu sync.Mutex
	var last *plan.Plan
	return func() *plan.Plan {
		mu.Lock()
		defer mu.Unlock()
		deployment := control.Deployment()
		if deployment == nil || last != nil && last.Version() == deployment.GetVersion() {
			return last
		}
		document, err := state.Document(deployment)
		var decoded *plan.Plan
		if err == nil {
			decoded, err = platform.Dialect{}.Plan(document)
		}
		if err != nil {
			log.Write(event.DeploymentRefused, "version", deployment.GetVersion(), "error", err)
			return last
		}
		last = decoded
		return last
	}
}

// Close stops the coordinator before the control process.
func (running *coordinatedControl) Close() error {
	return errors.CombineErrors(running.coordinator.Close(), running.role.Close())
}
