package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	region = "region1"
	// program is where the build of the deploy file puts the program.
	program = "target/hibiscuslug"
	// drain, stable and apply are the bounds drainMs, stableWindowMs and configApplyMs of the
	// sheet of ogbo-tacks, which the settings of all processes have.
	drain  = 2 * time.Second
	stable = 3 * time.Second
	apply  = 2 * time.Second
	// startLimit bounds the start of the fleet.
	startLimit = 25 * time.Second
	pollPause  = 50 * time.Millisecond
)

var zones = []string{"ikeja", "ota", "ibadan"}

// machine is a machine of the system with its process.
type machine struct {
	role, name, ip, settings string
	process                  *exec.Cmd
	done                     chan struct{}
}

// fleet is a small deployment: control processes and gateways as processes of their own, and
// stand-ins of engines in this process.
type fleet struct {
	record *record
	folder string
	// network is the prefix of the loopback addresses of the fleet, port the first of the
	// ports that all machines have.
	network string
	port    int
	client  *http.Client

	controls, gateways []*machine
	// engineWork counts the goroutines of engines.
	engineWork sync.WaitGroup

	// mu guards the fields below.
	mu      sync.Mutex
	engines []*engine
}

func newFleet(record *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "trial")
	if err != nil {
		return nil, errors.Wrap(err, "create a folder")
	}
	made := &fleet{record: record, folder: folder, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	// The process id makes the network of trials that run side by side differ.
	made.network = fmt.Sprintf("127.%d.%d", 16+os.Getpid()/200%200, os.Getpid()%200)
	for made.port = 20_000; made.port < 30_000; made.port += 10 {
		if made.isFree() {
			return made, nil
		}
	}
	return nil, errors.CombineErrors(errors.New("no free ports"), os.RemoveAll(folder))
}

// Ports of a machine, counted from the first port of the fleet.
const (
	internalPort = iota
	metricsPort
	frontPort
	readyPort
	controlPort
	enginePort
	portCount
)

func (fleet *fleet) isFree() bool {
	for offset := range portCount {
		listener, err := listen(fmt.Sprintf("127.0.0.1:%d", fleet.port+offset))
		if err != nil || listener.Close() != nil {
			return false
		}
	}
	return true
}

func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

func (fleet *fleet) at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, fleet.port+port) }

// start starts a control process and a gateway in each zone.
func (fleet *fleet) start() error {
	fleet.place()
	for at, machine := range fleet.machines() {
		if err := fleet.writeSettings(machine, zones[at%len(zones)], true); err != nil {
			return err
		}
		if err := fleet.launch(machine); err != nil {
			return err
		}
	}
	return nil
}

// place gives machines their names and addresses.
func (fleet *fleet) place() {
	for number, zone := range zones {
		fleet.controls = append(fleet.controls, &machine{role: "control", name: "core-" + zone + "-1", ip: fmt.Sprintf("%s.%d", fleet.network, 10+number)})
	}
	for number, zone := range zones {
		fleet.gateways = append(fleet.gateways, &machine{role: "gateway", name: "front-" + zone + "-1", ip: fmt.Sprintf("%s.%d", fleet.network, 20+number)})
	}
}

// machines lists the machines of the core and the gateways.
func (fleet *fleet) machines() []*machine {
	return append(append([]*machine(nil), fleet.controls...), fleet.gateways...)
}

// fieldsOf returns the platform's settings of a machine.
func (fleet *fleet) fieldsOf(machine *machine, zone string, bootstrap bool) fields {
	var seeds []string
	for _, control := range fleet.controls {
		seeds = append(seeds, fleet.at(control.ip, controlPort))
	}
	values := fields{
		"nodeName": machine.name, "zone": zone, "region": region, "ip": machine.ip, "seeds": strings.Join(seeds, ","),
		"bootstrap": fmt.Sprint(bootstrap), "dataDir": filepath.Join(fleet.folder, machine.name),
		"internalPortRange": fmt.Sprintf("%d,%d", fleet.port+internalPort, fleet.port+metricsPort),
		"listen.front":      fleet.at(machine.ip, frontPort), "listen.readinessAddress": fleet.at(machine.ip, readyPort),
		"listen.control": fleet.at(machine.ip, controlPort), "limits.memoryMb": "206", "limits.maxFds": "2940",
		"faultTolerance.machines": "1", "bounds.catchUpS": "4", "bounds.graceS": "8", "bounds.revokeMs": "5000",
		"bounds.budgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.budgetSlack": "176",
	}
	for _, known := range zones {
		values["zones."+known] = region
	}
	return values
}

func (fleet *fleet) writeSettings(machine *machine, zone string, bootstrap bool) error {
	text, err := render(filepath.Join("deploy", machine.role+".env"), fleet.fieldsOf(machine, zone, bootstrap))
	if err != nil {
		return err
	}
	machine.settings = filepath.Join(fleet.folder, machine.name+".conf")
	return errors.Wrap(os.WriteFile(machine.settings, []byte(text), 0o600), "write settings")
}

// launch starts the process of a machine with the command of the deploy file.
func (fleet *fleet) launch(machine *machine) error {
	log, err := os.OpenFile(filepath.Join(fleet.folder, machine.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "create a log")
	}
	machine.process = exec.CommandContext(context.Background(), program, machine.role, "--settings", machine.settings)
	machine.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	machine.process.Stdout, machine.process.Stderr = log, log
	if err := errors.CombineErrors(machine.process.Start(), log.Close()); err != nil {
		return errors.Wrap(err, "start a process; run the build of the deploy file first")
	}
	machine.done = make(chan struct{})
	go func(process *exec.Cmd, done chan struct{}) {
		defer close(done)
		// A process that is killed returns an error.
		_ = process.Wait()
	}(machine.process, machine.done)
	fleet.record.note("start %s", machine.name)
	return nil
}

// kill kills the process of a machine.
func (fleet *fleet) kill(machine *machine) error {
	fleet.record.note("kill %s", machine.name)
	if err := machine.process.Process.Signal(syscall.SIGKILL); err != nil {
		return errors.Wrapf(err, "kill %s", machine.name)
	}
	<-machine.done
	return nil
}

// restart starts the process of a machine again, with its disk.
func (fleet *fleet) restart(machine *machine, zone string) error {
	if err := fleet.writeSettings(machine, zone, false); err != nil {
		return err
	}
	return fleet.launch(machine)
}

// configure sends a configuration until a control process acknowledges it, and waits until
// all gateways are ready and the configuration must be in force.
func (fleet *fleet) configure(document string) error {
	deadline := time.Now().Add(startLimit)
	for attempt := 0; ; attempt++ {
		status, err := fleet.post(fleet.controls[attempt%len(fleet.controls)], "/Config.Put", document)
		if err == nil && status == http.StatusOK {
			fleet.record.note("configuration acknowledged")
			break
		}
		if time.Now().After(deadline) {
			return errors.Newf("no acknowledgement of the configuration: status %d, %v", status, err)
		}
		time.Sleep(pollPause)
	}
	for _, gateway := range fleet.gateways {
		if err := fleet.awaitReady(gateway, deadline); err != nil {
			return err
		}
	}
	time.Sleep(apply)
	return nil
}

func (fleet *fleet) awaitReady(gateway *machine, deadline time.Time) error {
	for {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+fleet.at(gateway.ip, readyPort)+"/readyz", nil)
		if err != nil {
			return err
		}
		response, err := fleet.client.Do(request)
		if err == nil {
			status := response.StatusCode
			if err := response.Body.Close(); err == nil && status == http.StatusOK {
				return nil
			}
		}
		if time.Now().After(deadline) {
			return errors.Newf("%s is not ready", gateway.name)
		}
		time.Sleep(pollPause)
	}
}

// post sends a call to the control interface of a machine and returns the status.
func (fleet *fleet) post(control *machine, path, body string) (int, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+fleet.at(control.ip, controlPort)+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := fleet.client.Do(request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, errors.CombineErrors(err, response.Body.Close())
}

// close ends all engines and processes that the fleet started.
func (fleet *fleet) close() {
	fleet.mu.Lock()
	engines := append([]*engine(nil), fleet.engines...)
	fleet.mu.Unlock()
	for _, engine := range engines {
		engine.end()
	}
	for _, machine := range fleet.machines() {
		if machine.process == nil {
			continue
		}
		// A process that has ended cannot be killed.
		_ = machine.process.Process.Kill()
		<-machine.done
	}
	fleet.engineWork.Wait()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", fleet.folder)
		return
	}
	if err := os.RemoveAll(fleet.folder); err != nil {
		fleet.record.note("remove the folder: %v", err)
	}
}

// document returns a configuration with one tenant.
func document(routes string, services ...string) string {
	list := make([]string, len(services))
	for at, service := range services {
		list[at] = fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConnections":356,"protocol":"h1","tls":false}`, service)
	}
	return fmt.Sprintf(`{"version":7,"routes":[%s],"services":[%s],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":"hule930","apiKeys":[%q],"priority":1}]}`, routes, strings.Join(list, ","), key)
}

// counts holds numbers of events by name. It is safe for concurrent use.
type counts struct {
	mu     sync.Mutex
	values map[string]int
}

func (counts *counts) add(name string) {
	counts.mu.Lock()
	defer counts.mu.Unlock()
	if counts.values == nil {
		counts.values = map[string]int{}
	}
	counts.values[name]++
}

func (counts *counts) all() map[string]int {
	counts.mu.Lock()
	defer counts.mu.Unlock()
	return maps.Clone(counts.values)
}
