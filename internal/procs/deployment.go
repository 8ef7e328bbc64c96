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
	Entries []*Process
	Engines []*Process
	all     []*Process
	data    string
}

// DeploymentSettings shape a deployment.
type DeploymentSettings struct {
	Entries, Engines int
	// Slots is the number of requests that each engine and its queue run at once.
	Slots    int
	Interval time.Duration
	// Commands are an operator's commands.
	Commands []string
}

// Deploy starts a deployment and waits until every entry VM knows every endpoint.
func Deploy(settings DeploymentSettings) (*Deployment, error) {
	data, err := os.MkdirTemp("", "hibiscuslug")
	if err != nil {
		return nil, err
	}
	made := &Deployment{data: data}
	if err := made.start(settings); err != nil {
		return nil, errors.CombineErrors(err, made.Stop())
	}
	return made, nil
}

func (made *Deployment) start(settings DeploymentSettings) error {
	control, err := made.add("control1", "hibiscuslug", "control", "--name", "control1", "--zone", "zone1", "--data", made.data)
	if err != nil {
		return err
	}
	var addresses []string
	for number := range settings.Entries {
		name := fmt.Sprint("entry", number)
		arguments := []string{"entry", "--name", name, "--zone", "zone1", "--http-listen", "127.0.0.1:0", "--control", control.Address}
		if number > 0 {
			arguments = append(arguments, "--peer", made.Entries[0].Address)
		}
		entry, err := made.add(name, "hibiscuslug", arguments...)
		if err != nil {
			return err
		}
		made.Entries = append(made.Entries, entry)
		addresses = append(addresses, "--entry", entry.Address)
	}
	for number := range settings.Engines {
		if err := made.engine(settings, number, addresses); err != nil {
			return err
		}
	}
	for _, command := range settings.Commands {
		if out, err := made.Control(made.Entries[0], command); err != nil {
			return errors.Wrapf(err, "%s: %s", command, out)
		}
	}
	return made.waitKnown(settings.Engines)
}

func (made *Deployment) engine(settings DeploymentSettings, number int, entries []string) error {
	engine, err := made.add(fmt.Sprint("engine", number), "hibfake",
		"--slots", fmt.Sprint(settings.Slots), "--interval", settings.Interval.String())
	if err != nil {
		return err
	}
	made.Engines = append(made.Engines, engine)
	name := fmt.Sprint("endpoint", number)
	_, err = made.add(name, "hibiscuslug", append([]string{
		"endpoint", "--name", name, "--zone", "zone1", "--slots", fmt.Sprint(settings.Slots),
		"--engine", fmt.Sprintf("model,engine%d,%s,guide-1", number, engine.Address),
	}, entries...)...)
	return err
}

func (made *Deployment) add(name, program string, arguments ...string) (*Process, error) {
	process, err := Start(name, program, arguments...)
	if err == nil {
		made.all = append(made.all, process)
	}
	return process, err
}

// Control runs an operator's command at an entry VM.
func (made *Deployment) Control(entry *Process, command string) (string, error) {
	arguments := append([]string{"--address", entry.Address}, strings.Fields(command)...)
	out, err := exec.CommandContext(context.Background(), Binary("hibctl"), arguments...).CombinedOutput()
	return string(out), err
}

// Page reads a page of an engine.
func (made *Deployment) Page(engine *Process, path string) (string, error) {
	status, page, err := fasthttp.Get(nil, engine.Address+path)
	if err == nil && status != fasthttp.StatusOK {
		err = errors.Newf("%s answered status %d to %s", engine.Name, status, path)
	}
	return string(page), err
}

func (made *Deployment) waitKnown(engines int) error {
	for deadline := time.Now().Add(readyLimit); ; time.Sleep(100 * time.Millisecond) {
		missing := ""
		for _, entry := range made.Entries {
			out, err := made.Control(entry, "show nodes")
			if err != nil || strings.Count(out, "endpoint") < engines {
				missing = entry.Name
			}
		}
		if missing == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Newf("%s does not know all endpoints after %s", missing, readyLimit)
		}
	}
}

// Stop ends all processes, the latest first.
func (made *Deployment) Stop() error {
	var failure error
	for at := len(made.all) - 1; at >= 0; at-- {
		failure = errors.CombineErrors(failure, made.all[at].Stop())
	}
	return errors.CombineErrors(failure, os.RemoveAll(made.data))
}
