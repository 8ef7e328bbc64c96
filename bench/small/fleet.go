// Package small starts a small fleet on loopback and measures latencies through it. The
// fleet consists of one or three control VMs, one entry VM, and endpoint processes
// with one fake engine each, all in separate processes.
package small

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuslug/hibiscuslug/internal/fault"
	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
	maxConnections    = 4096
	groupSize         = 3
)

// Fleet is a running small fleet.
type Fleet struct {
	Entry *procs.Process
	// Engines are the fake engines, one for each endpoint process.
	Engines []*procs.Process
	// Control lists the addresses of the control VMs, or of the proxies before them.
	Control []string
	started []*procs.Process
	proxies []*fault.Proxy
	folder  string
}

// Settings configures a fleet.
type Settings struct {
	// Kind is the kind of the engines: model or order.
	Kind string
	// EngineArguments are additional command-line arguments of each fake engine.
	EngineArguments []string
	Engines         int
	// OneCore limits the entry VM's process to one core.
	OneCore bool
	// ZoneDelay is the one-way latency between each control VM and every other
	// process. If it is zero, the fleet has one control VM, otherwise three.
	ZoneDelay time.Duration
}

// Start starts a fleet and waits until it serves requests.
func Start(settings Settings) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "hibbench")
	if err != nil {
		return nil, err
	}
	fleet := &Fleet{folder: folder}
	if err := fleet.start(settings); err != nil {
		return nil, errors.CombineErrors(err, fleet.Close())
	}
	return fleet, nil
}

func (fleet *Fleet) start(settings Settings) error {
	if err := fleet.control(settings.ZoneDelay); err != nil {
		return err
	}
	var err error
	if fleet.Entry, err = fleet.entry(settings.OneCore); err != nil {
		return err
	}
	for at := range settings.Engines {
		if err := fleet.endpoint(settings, string(rune('1'+at))); err != nil {
			return err
		}
	}
	for _, command := range []string{
		"create customer bench tier paid token benchtoken",
		"create rule booking path /services/desk/book kind order repeat never",
		"create rule lookup path /services/desk/look kind order",
	} {
		if err := fleet.command(command); err != nil {
			return err
		}
	}
	return fleet.ready(settings.Kind)
}

func (fleet *Fleet) control(delay time.Duration) error {
	if delay > 0 {
		return fleet.group(delay)
	}
	control, err := fleet.run("control1", "hibiscuslug", "control", "--name", "control1", "--zone", "zone1", "--data", fleet.folder)
	if err != nil {
		return err
	}
	fleet.Control = []string{control.Address}
	return nil
}

// group starts a group of control VMs behind proxies that add latency.
func (fleet *Fleet) group(delay time.Duration) error {
	listens, initialMembers := make([]string, groupSize), []string{}
	for at := range listens {
		listen, err := procs.FreeAddress()
		if err != nil {
			return err
		}
		proxy, err := fault.New(listen)
		if err != nil {
			return err
		}
		listens[at] = listen
		fleet.proxies = append(fleet.proxies, proxy)
		fleet.Control = append(fleet.Control, proxy.Address())
		initialMembers = append(initialMembers, "--group", fmt.Sprintf("control%d@%s", at+1, proxy.Address()))
	}
	for at, listen := range listens {
		name := fmt.Sprintf("control%d", at+1)
		arguments := append([]string{
			"control", "--name", name, "--zone", fmt.Sprintf("zone%d", at+1), "--listen", listen,
			"--advertise", fleet.Control[at], "--data", filepath.Join(fleet.folder, name),
		}, initialMembers...)
		if _, err := fleet.run(name, "hibiscuslug", arguments...); err != nil {
			return err
		}
		// The proxy refuses connections until Retarget, since nothing listened at its
		// target before.
		if err := fleet.proxies[at].Retarget(listen); err != nil {
			return err
		}
		fleet.proxies[at].Delay(fault.Both, delay)
	}
	return nil
}

func (fleet *Fleet) entry(oneCore bool) (*procs.Process, error) {
	if oneCore {
		if err := os.Setenv("GOMAXPROCS", "1"); err != nil {
			return nil, err
		}
		defer func() { _ = os.Unsetenv("GOMAXPROCS") }()
	}
	arguments := []string{"entry", "--name", "entry1", "--zone", "zone1", "--http-listen", "127.0.0.1:0"}
	for _, address := range fleet.Control {
		arguments = append(arguments, "--control", address)
	}
	return fleet.run("entry1", "hibiscuslug", arguments...)
}

func (fleet *Fleet) endpoint(settings Settings, number string) error {
	kind, name := "model", "guide-1"
	if settings.Kind == "order" {
		kind, name = "desk", "desk"
	}
	engine, err := fleet.run("engine"+number, "hibfake", append([]string{"--kind", kind}, settings.EngineArguments...)...)
	if err != nil {
		return err
	}
	fleet.Engines = append(fleet.Engines, engine)
	_, err = fleet.run("endpoint"+number, "hibiscuslug", "endpoint", "--name", "endpoint"+number, "--zone", "zone1",
		"--entry", fleet.Entry.Address, "--slots", "1024",
		"--engine", settings.Kind+",engine"+number+","+engine.Address+","+name)
	return err
}

func (fleet *Fleet) run(name, program string, arguments ...string) (*procs.Process, error) {
	process, err := procs.Start(name, program, arguments...)
	if err != nil {
		return nil, err
	}
	fleet.started = append(fleet.started, process)
	return process, nil
}

// command runs a command with hibctl, and retries it until the fleet accepts it.
func (fleet *Fleet) command(text string) error {
	arguments := append([]string{"--address", fleet.Control[0]}, strings.Fields(text)...)
	deadline := time.Now().Add(readyTimeout)
	for {
		out, err := exec.CommandContext(context.Background(), procs.Binary("hibctl"), arguments...).CombinedOutput()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Newf("hibctl %s: %s", text, out)
		}
		time.Sleep(readyPollInterval)
	}
}

// ready waits until the entry VM serves a request of a kind.
func (fleet *Fleet) ready(kind string) error {
	target := Target{URL: fleet.Entry.HTTP + "/v1/completions", Body: `{"model":"guide-1","prompt":"x","max_tokens":1}`}
	if kind == "order" {
		target = Target{URL: fleet.Entry.HTTP + "/services/desk/look", Body: "warm"}
	}
	client := NewClient()
	deadline := time.Now().Add(readyTimeout)
	for {
		_, err := client.Once(target, 0)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "fleet does not serve requests after %s", readyTimeout)
		}
		time.Sleep(readyPollInterval)
	}
}

// Close kills all processes and removes the fleet's files.
func (fleet *Fleet) Close() error {
	var failure error
	for at := len(fleet.started) - 1; at >= 0; at-- {
		failure = errors.CombineErrors(failure, fleet.started[at].Kill())
	}
	for _, proxy := range fleet.proxies {
		failure = errors.CombineErrors(failure, proxy.Close())
	}
	return errors.CombineErrors(failure, os.RemoveAll(fleet.folder))
}

// NewClient returns a client with persistent connections.
func NewClient() *Client {
	return &Client{http: &fasthttp.Client{
		MaxConnsPerHost: maxConnections, StreamResponseBody: true, MaxIdemponentCallAttempts: 1, ReadBufferSize: 64 << 10,
	}}
}
