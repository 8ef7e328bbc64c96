package procs

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/fault"
)

const (
	clusterTimeout      = 30 * time.Second
	clusterPollInterval = 50 * time.Millisecond
)

// ClusterSettings configure a Cluster.
type ClusterSettings struct {
	// Dir is the folder for the control VM's data and for the crash files.
	Dir     string
	Entries int
	VMs     int
	// Zones is the number of zones for entry and endpoint VMs; zero means one.
	Zones int
	// Engine, Endpoint and Entry are additional arguments of these processes.
	Engine   []string
	Endpoint []string
	Entry    []string
	// EngineOf holds additional arguments of single engines, by the index of the VM.
	EngineOf map[int][]string
	// Desk adds an order desk to every endpoint VM.
	Desk bool
}

// VM is an endpoint VM: an endpoint process and its engine, each behind a fault
// proxy.
type VM struct {
	Name       string
	Engine     *Process
	Desk       *Process
	Endpoint   *Process
	ToEngine   *fault.Proxy
	ToEndpoint *fault.Proxy
	zone       string
	number     int
}

// EntryVM is an entry VM behind fault proxies.
type EntryVM struct {
	Process *Process
	// ToEntry forwards connections of other processes, ToHTTP those of callers.
	ToEntry *fault.Proxy
	ToHTTP  *fault.Proxy
}

// URL returns the base URL for callers.
func (entry *EntryVM) URL() string { return "http://" + entry.ToHTTP.Address() }

// Cluster is a small deployment of real processes with one control VM. All
// connections between its processes pass through fault proxies.
type Cluster struct {
	Control   *Process
	ToControl *fault.Proxy
	Entries   []*EntryVM
	VMs       []*VM

	settings ClusterSettings
	closers  []func() error
}

// NewCluster starts a cluster with a paying customer (token "paid") and a free
// one (token "free"). The model is named guide-1, the order desk's service desk.
func NewCluster(settings ClusterSettings) (*Cluster, error) {
	cluster := &Cluster{settings: settings}
	if err := cluster.start(); err != nil {
		return nil, errors.CombineErrors(err, cluster.Close())
	}
	return cluster, nil
}

func (cluster *Cluster) start() error {
	control, err := cluster.startProcess("control1", "hibiscuslug", "control", "--name", "control1", "--zone", "zone1", "--data", filepath.Join(cluster.settings.Dir, "control"))
	if err != nil {
		return err
	}
	cluster.Control = control
	if cluster.ToControl, err = cluster.proxy(control.Address); err != nil {
		return err
	}
	for number := range cluster.settings.Entries {
		if err := cluster.addEntry(number); err != nil {
			return err
		}
	}
	for number := range cluster.settings.VMs {
		if err := cluster.addVM(number); err != nil {
			return err
		}
	}
	for _, command := range []string{
		"create customer payer tier paid token paid",
		"create customer walkin tier free token free",
		"create rule booking path /services/desk/book kind order repeat never",
	} {
		if out, err := cluster.Command(command); err != nil {
			return errors.Wrapf(err, "%s: %s", command, out)
		}
	}
	return cluster.waitReady()
}

func (cluster *Cluster) zone(number int) string {
	return "zone" + strconv.Itoa(number%max(cluster.settings.Zones, 1)+1)
}

func (cluster *Cluster) addEntry(number int) error {
	toEntry, err := cluster.proxy("")
	if err != nil {
		return err
	}
	name := "entry" + strconv.Itoa(number+1)
	arguments := []string{
		"entry", "--name", name, "--zone", cluster.zone(number), "--http-listen", "127.0.0.1:0",
		"--control", cluster.ToControl.Address(), "--advertise", toEntry.Address(),
	}
	for _, peer := range cluster.Entries {
		arguments = append(arguments, "--peer", peer.ToEntry.Address())
	}
	process, err := cluster.startProcess(name, "hibiscuslug", append(arguments, cluster.settings.Entry...)...)
	if err != nil {
		return err
	}
	if err := toEntry.Retarget(process.Address); err != nil {
		return err
	}
	toHTTP, err := cluster.proxy(strings.TrimPrefix(process.HTTP, "http://"))
	if err != nil {
		return err
	}
	cluster.Entries = append(cluster.Entries, &EntryVM{Process: process, ToEntry: toEntry, ToHTTP: toHTTP})
	return nil
}

func (cluster *Cluster) addVM(number int) error {
	vm := &VM{Name: "endpoint" + strconv.Itoa(number+1), zone: cluster.zone(number), number: number}
	var err error
	if vm.ToEngine, err = cluster.proxy(""); err != nil {
		return err
	}
	if vm.ToEndpoint, err = cluster.proxy(""); err != nil {
		return err
	}
	cluster.VMs = append(cluster.VMs, vm)
	return cluster.Start(vm)
}

// Start starts the processes of an endpoint VM, also after a crash.
func (cluster *Cluster) Start(vm *VM) error {
	crashFile := filepath.Join(cluster.settings.Dir, vm.Name+".pid")
	engine := append([]string{"--crash-file", crashFile}, cluster.settings.Engine...)
	var err error
	if vm.Engine, err = cluster.startProcess("engine of "+vm.Name, "hibfake", append(engine, cluster.settings.EngineOf[vm.number]...)...); err != nil {
		return err
	}
	if err := vm.ToEngine.Retarget(strings.TrimPrefix(vm.Engine.Address, "http://")); err != nil {
		return err
	}
	arguments := []string{
		"endpoint", "--name", vm.Name, "--zone", vm.zone, "--advertise", vm.ToEndpoint.Address(),
		"--engine", "model,engine-" + vm.Name + ",http://" + vm.ToEngine.Address() + ",guide-1",
	}
	if cluster.settings.Desk {
		if vm.Desk, err = cluster.startProcess("desk of "+vm.Name, "hibfake", "--kind", "desk", "--first-token", "50ms"); err != nil {
			return err
		}
		arguments = append(arguments, "--engine", "order,desk-"+vm.Name+","+vm.Desk.Address+",desk")
	}
	for _, entry := range cluster.Entries {
		arguments = append(arguments, "--entry", entry.ToEntry.Address())
	}
	if vm.Endpoint, err = cluster.startProcess(vm.Name, "hibiscuslug", append(arguments, cluster.settings.Endpoint...)...); err != nil {
		return err
	}
	if err := vm.ToEndpoint.Retarget(vm.Endpoint.Address); err != nil {
		return err
	}
	return os.WriteFile(crashFile, []byte(strconv.Itoa(vm.Endpoint.command.Process.Pid)), 0o600)
}

// Command runs a hibctl command at the first entry VM.
func (cluster *Cluster) Command(text string) (string, error) {
	return cluster.CommandAt(cluster.Entries[0], text)
}

// CommandAtControl runs a hibctl command at the control VM.
func (cluster *Cluster) CommandAtControl(text string) (string, error) {
	return command(cluster.Control.Address, text)
}

// CommandAt runs a hibctl command at an entry VM.
func (cluster *Cluster) CommandAt(entry *EntryVM, text string) (string, error) {
	return command(entry.Process.Address, text)
}

func command(address, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), clusterTimeout)
	defer cancel()
	arguments := append([]string{"--address", address}, strings.Fields(text)...)
	out, err := exec.CommandContext(ctx, Binary("hibctl"), arguments...).CombinedOutput()
	return string(out), err
}

// waitReady waits until every entry VM lists every endpoint VM and entry VM and
// serves both customers.
func (cluster *Cluster) waitReady() error {
	deadline := time.Now().Add(clusterTimeout)
	for _, entry := range cluster.Entries {
		for missing := "the first reply"; missing != ""; {
			if time.Now().After(deadline) {
				return errors.Newf("%s is not ready: %s missing after %s", entry.Process.Name, missing, clusterTimeout)
			}
			time.Sleep(clusterPollInterval)
			missing = cluster.missing(entry)
		}
	}
	return nil
}

// missing names what an entry VM lacks to be ready; it is empty if nothing.
func (cluster *Cluster) missing(entry *EntryVM) string {
	nodes, err := cluster.CommandAt(entry, "show nodes")
	if err != nil {
		return "the node list"
	}
	for _, vm := range cluster.VMs {
		if !strings.Contains(nodes, vm.Name) {
			return vm.Name
		}
	}
	for _, peer := range cluster.Entries {
		if !strings.Contains(nodes, peer.Process.Name) {
			return peer.Process.Name
		}
	}
	for _, token := range []string{"paid", "free"} {
		answer, err := Complete(context.Background(), entry.URL(), token, fmt.Sprintf(`{"model":"guide-1","prompt":"ready at %s","max_tokens":1,"stream":true}`, entry.Process.Name), nil)
		if err != nil || answer.Status != 200 {
			return "customer " + token
		}
	}
	return ""
}

func (cluster *Cluster) startProcess(name, program string, arguments ...string) (*Process, error) {
	process, err := Start(name, program, arguments...)
	if err != nil {
		return nil, err
	}
	cluster.closers = append(cluster.closers, process.Kill)
	return process, nil
}

func (cluster *Cluster) proxy(target string) (*fault.Proxy, error) {
	proxy, err := fault.New(target)
	if err != nil {
		return nil, err
	}
	cluster.closers = append(cluster.closers, proxy.Close)
	return proxy, nil
}

// Ended reports whether the process has exited.
func (process *Process) Ended() bool {
	select {
	case err := <-process.done:
		process.done <- err
		return true
	default:
		return false
	}
}

// Close kills all processes and closes all proxies in reverse order of their start.
func (cluster *Cluster) Close() error {
	var failures error
	for at := len(cluster.closers) - 1; at >= 0; at-- {
		failures = errors.CombineErrors(failures, cluster.closers[at]())
	}
	return failures
}
