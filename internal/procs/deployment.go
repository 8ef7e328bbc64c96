package procs

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Deployment is one control VM, entry VMs and model engines with an endpoint
// process each, as real processes.
type Deployment struct {
	Entries   []*Process
	Engines   []*Process
	processes []*Process
	data      string
}

// DeploymentSettings configure a Deployment.
type DeploymentSettings struct {
	Entries, Engines int
	// Slots is the number of concurrent requests of each engine and of the queue
	// at its endpoint process.
	Slots    int
	Interval time.Duration
	// Commands are hibctl commands that run after the start.
	Commands []string
}

// Deploy starts a deployment and waits until every entry VM lists every endpoint.
func Deploy(settings DeploymentSettings) (*Deployment, error) {
	data, err := os.MkdirTemp("", "hibiscuslug")
	if err != nil {
		return nil, err
	}
	deployment := &Deployment{data: data}
	if err := deployment.start(settings); err != nil {
		return nil, errors.CombineErrors(err, deployment.Stop())
	}
	return deployment, nil
}

func (deployment *Deployment) start(settings DeploymentSettings) error {
	control, err := deployment.startProcess("control1", "hibiscuslug", "control", "--name", "control1", "--zone", "zone1", "--data", deployment.data)
	if err != nil {
		return err
	}
	var addresses []string
	for number := range settings.Entries {
		name := fmt.Sprint("entry", number)
		arguments := []string{"entry", "--name", name, "--zone", "zone1", "--http-listen", "127.0.0.1:0", "--control", control.Address}
		if number > 0 {
			arguments = append(arguments, "--peer", deployment.Entries[0].Address)
		}
		entry, err := deployment.startProcess(name, "hibiscuslug", arguments...)
		if err != nil {
			return err
		}
		deployment.Entries = append(deployment.Entries, entry)
		addresses = append(addresses, "--entry", entry.Address)
	}
	for number := range settings.Engines {
		if err := deployment.startEngine(settings, number, addresses); err != nil {
			return err
		}
	}
	for _, command := range settings.Commands {
		if out, err := deployment.Command(deployment.Entries[0], command); err != nil {
			return errors.Wrapf(err, "%s: %s", command, out)
		}
	}
	return deployment.waitListed(settings.Engines)
}

func (deployment *Deployment) startEngine(settings DeploymentSettings, number int, entries []string) error {
	engine, err := deployment.startProcess(fmt.Sprint("engine", number), "hibfake",
		"--slots", fmt.Sprint(settings.Slots), "--interval", settings.Interval.String())
	if err != nil {
		return err
	}
	deployment.Engines = append(deployment.Engines, engine)
	name := fmt.Sprint("endpoint", number)
	_, err = deployment.startProcess(name, "hibiscuslug", append([]string{
		"endpoint", "--name", name, "--zone", "zone1", "--slots", fmt.Sprint(settings.Slots),
		"--engine", fmt.Sprintf("model,engine%d,%s,guide-1", number, engine.Address),
	}, entries...)...)
	return err
}

func (deployment *Deployment) startProcess(name, program string, arguments ...string) (*Process, error) {
	process, err := Start(name, program, arguments...)
	if err == nil {
		deployment.processes = append(deployment.processes, process)
	}
	return process, err
}

// Command runs a hibctl command at an entry VM.
func (deployment *Deployment) Command(entry *Process, command string) (string, error) {
	arguments := append([]string{"--address", entry.Address}, strings.Fields(command)...)
	out, err := exec.CommandContext(context.Background(), Binary("hibctl"), arguments...).CombinedOutput()
	return string(out), err
}

// Page returns the body of a GET request to an engine.
func (deployment *Deployment) Page(engine *Process, path string) (string, error) {
	status, page, err := fasthttp.Get(nil, engine.Address+path)
	if err == nil && status != fasthttp.StatusOK {
		err = errors.Newf("%s answered status %d to %s", engine.Name, status, path)
	}
	return string(page), err
}

func (deployment *Deployment) waitListed(engines int) error {
	for deadline := time.Now().Add(readyLimit); ; time.Sleep(100 * time.Millisecond) {
		missing := ""
		for _, entry := range deployment.Entries {
			out, err := deployment.Command(entry, "show nodes")
			if err != nil || strings.Count(out, "endpoint") < engines {
				missing = entry.Name
			}
		}
		if missing == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Newf("%s does not list all endpoints after %s", missing, readyLimit)
		}
	}
}

// Stop stops all processes in reverse order of their start and removes the data.
func (deployment *Deployment) Stop() error {
	var failure error
	for at := len(deployment.processes) - 1; at >= 0; at-- {
		failure = errors.CombineErrors(failure, deployment.processes[at].Stop())
	}
	return errors.CombineErrors(failure, os.RemoveAll(deployment.data))
}
