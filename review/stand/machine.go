package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// portCount is the number of consecutive ports that every machine uses.
	portCount = 6
	// startLimit bounds the wait for a process to start.
	startLimit = 10 * time.Second
	// networkTries bounds the search for a free loopback network.
	networkTries = 50
	// lowPort and portRange bound the ports, below those of outgoing connections.
	lowPort, portRange = 12000, 15000
)

// Ports of a machine, as offsets from the first one.
const (
	linkPort = iota
	metricsPort
	frontPort
	readyPort
	controlPort
	enginePort
)

// site is a small deployment: a loopback network, a temporary folder and processes.
type site struct {
	program string
	folder  string
	network string
	port    int
	record  *record

	mu       sync.Mutex
	machines []*machine
	holes    []*hole
	// seeds are the control addresses that the settings name.
	seeds []string
}

// machine is one machine and its process. Its address is not used again.
type machine struct {
	site     *site
	name     string
	role     string
	zone     string
	host     string
	settings []string
	command  *exec.Cmd
	exited   chan struct{}
	output   *os.File
}

// newSite selects a loopback network on which the ports are free.
func newSite(program string, record *record) (*site, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	created := &site{program: program, folder: folder, record: record}
	for range networkTries {
		created.network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		created.port = lowPort + rand.IntN(portRange)
		if created.portsAreFree() {
			return created, nil
		}
	}
	return nil, fmt.Errorf("no free ports on a loopback network")
}

func (site *site) portsAreFree() bool {
	for offset := range portCount {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", fmt.Sprintf("%s.1:%d", site.network, site.port+offset))
		if err != nil {
			return false
		}
		if listener.Close() != nil {
			return false
		}
	}
	return true
}

// address returns the address of a port of a host.
func (site *site) address(host string, port int) string {
	return fmt.Sprintf("%s:%d", host, site.port+port)
}

// add adds a machine with the next free address. Its process is not started.
func (site *site) add(name, role, zone string) *machine {
	site.mu.Lock()
	defer site.mu.Unlock()
	added := &machine{site: site, name: name, role: role, zone: zone, host: fmt.Sprintf("%s.%d", site.network, 10+len(site.machines))}
	site.machines = append(site.machines, added)
	return added
}

// control adds a machine with a disk that serves control.
func (site *site) control(name, zone string) *machine {
	added := site.add(name, "control", zone)
	added.settings = []string{
		"HIB_NAME=" + name, "HIB_ZONE=" + zone, "HIB_REGION=region",
		"HIB_LISTEN=" + site.address(added.host, linkPort), "HIB_METRICS_LISTEN=" + site.address(added.host, metricsPort),
		"HIB_API_LISTEN=" + site.address(added.host, controlPort), "HIB_TOLERANCE=1",
		"HIB_DATA=" + filepath.Join(site.folder, name+"-disk"), "HIB_SNAPSHOT_BYTES=1000000", "HIB_KNOWN_ZONE=za,zb,zc",
	}
	return added
}

// gateway adds a machine that takes requests of clients.
func (site *site) gateway(name, zone string) *machine {
	added := site.add(name, "gateway", zone)
	added.settings = []string{
		"HIB_NAME=" + name, "HIB_ZONE=" + zone, "HIB_REGION=region",
		"HIB_LISTEN=" + site.address(added.host, linkPort), "HIB_METRICS_LISTEN=" + site.address(added.host, metricsPort),
		"HIB_HTTP_LISTEN=" + site.address(added.host, frontPort), "HIB_READY_LISTEN=" + site.address(added.host, readyPort),
		"HIB_REVOKE_LIMIT=5000ms", "HIB_GRACE=8s", "HIB_RETRY_RATIO=0.2", "HIB_RETRY_SLACK=207", "HIB_RETRY_WINDOW=10s",
	}
	return added
}

// setSeeds writes the control addresses to all settings files, as the platform does when
// the operator's list has changed, and tells the running processes.
func (site *site) setSeeds(seeds []string) error {
	site.mu.Lock()
	site.seeds = seeds
	machines := append([]*machine(nil), site.machines...)
	site.mu.Unlock()
	for _, machine := range machines {
		if machine.command == nil {
			continue
		}
		if err := machine.writeSettings(false); err != nil {
			return err
		}
		machine.signal(syscall.SIGHUP)
	}
	return nil
}

func (machine *machine) path(suffix string) string {
	return filepath.Join(machine.site.folder, machine.name+suffix)
}

func (machine *machine) writeSettings(bootstrap bool) error {
	lines := append([]string(nil), machine.settings...)
	lines = append(lines, "HIB_SEED="+strings.Join(machine.site.seeds, ","))
	if machine.role == "control" {
		lines = append(lines, fmt.Sprint("HIB_BOOTSTRAP=", bootstrap))
	}
	return os.WriteFile(machine.path(".conf"), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the machine's process with the command of the deploy file.
func (machine *machine) start(bootstrap bool) error {
	if err := machine.writeSettings(bootstrap); err != nil {
		return err
	}
	output, err := os.OpenFile(machine.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The process must outlive the call, so it gets no context that ends.
	command := exec.CommandContext(context.Background(), machine.site.program, machine.role, "--settings", machine.path(".conf"))
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	machine.command, machine.output, machine.exited = command, output, exited
	go func() {
		// A process that was killed returns its signal as an error.
		_ = command.Wait()
		close(exited)
	}()
	machine.site.record.note("start %s in %s at %s", machine.name, machine.zone, machine.host)
	return nil
}

func (machine *machine) signal(signal syscall.Signal) {
	// The process may have ended.
	_ = machine.command.Process.Signal(signal)
}

// end sends a signal that ends the process and waits for its end.
func (machine *machine) end(signal syscall.Signal) {
	machine.signal(signal)
	<-machine.exited
	machine.site.record.note("%s ended by %s", machine.name, signal)
	// The output is complete.
	_ = machine.output.Close()
}

// hasEnded reports whether the process has ended.
func (machine *machine) hasEnded() bool {
	select {
	case <-machine.exited:
		return true
	default:
		return false
	}
}

// remove kills the process and keeps its addresses silent from then on, like those of a
// machine without power.
func (machine *machine) remove() error {
	machine.end(syscall.SIGKILL)
	machine.command = nil
	for _, port := range []int{linkPort, controlPort} {
		hole, err := newHole(machine.site.address(machine.host, port))
		if err != nil {
			return err
		}
		machine.site.mu.Lock()
		machine.site.holes = append(machine.site.holes, hole)
		machine.site.mu.Unlock()
	}
	machine.site.record.note("%s is gone for good", machine.name)
	return nil
}

// freeze stops the process for a time.
func (machine *machine) freeze(span time.Duration) {
	machine.site.record.note("%s is frozen for %s", machine.name, span)
	machine.signal(syscall.SIGSTOP)
	time.Sleep(span)
	machine.signal(syscall.SIGCONT)
	machine.site.record.note("%s wakes", machine.name)
}

// close ends all processes and removes the folder, after it has copied the logs to
// keep, unless that is empty.
func (site *site) close(keep string) {
	for _, machine := range site.machines {
		if machine.command != nil && !machine.hasEnded() {
			machine.signal(syscall.SIGCONT)
			machine.end(syscall.SIGKILL)
		}
		if keep != "" {
			copyLog(machine.path(".log"), filepath.Join(keep, machine.name+".log"))
		}
	}
	for _, hole := range site.holes {
		hole.close()
	}
	// What is left in the temporary folder is of no use.
	_ = os.RemoveAll(site.folder)
}

func copyLog(from, to string) {
	source, err := os.Open(from)
	if err != nil {
		return
	}
	target, err := os.Create(to)
	if err == nil {
		// The logs only help to read a record.
		_, _ = io.Copy(target, source)
		_ = target.Close()
	}
	_ = source.Close()
}

// await waits until a condition holds, at most startLimit.
func await(what string, holds func() bool) error {
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not within %s: %s", startLimit, what)
}
