package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as in the settings on the platform's pages.
const (
	configApply = 2000 * time.Millisecond
	drain       = 2000 * time.Millisecond
	revoke      = 5000 * time.Millisecond
	heartbeat   = 1200 * time.Millisecond
	grace       = 8
	// callTime is how long the operator waits for an answer, and ackTime how long it sends
	// a change again.
	callTime = time.Second
	ackTime  = 15 * time.Second
	// startTime bounds the wait for a process to listen.
	startTime = 10 * time.Second
)

// machine is one process of the system, with an address of its own.
type machine struct {
	name, role, ip, zone string
	settings             string
	command              *exec.Cmd
	ended                chan struct{}
}

// system is the processes of one case and the record of what was seen.
type system struct {
	folder                          string
	began                           time.Time
	network                         int
	internal, metrics, api, callers int
	ready                           int
	controls, gateways              []*machine
	seeds                           []string
	mu                              sync.Mutex
	record                          io.Writer
	client                          *http.Client
	// links is set in a case that cuts a machine off.
	links *links
	// parts are further deployments of the case.
	parts []*system
}

func newSystem(record io.Writer) (*system, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	started := &system{
		folder: folder, began: time.Now(), network: os.Getpid()%250 + 1, record: record,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
	for _, port := range []*int{&started.internal, &started.metrics, &started.api, &started.callers, &started.ready} {
		if *port, err = freePort(); err != nil {
			return nil, err
		}
	}
	return started, nil
}

// freePort returns a port on which nothing listens at the first loopback address.
func freePort() (int, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	return listener.Addr().(*net.TCPAddr).Port, listener.Close()
}

// note adds a line to the record.
func (system *system) note(format string, values ...any) {
	system.mu.Lock()
	defer system.mu.Unlock()
	_, _ = fmt.Fprintf(system.record, "%9.3f "+format+"\n", append([]any{time.Since(system.began).Seconds()}, values...)...)
}

// ip returns a loopback address of this case.
func (system *system) ip(number int) string {
	return fmt.Sprintf("127.77.%d.%d", system.network, number)
}

func (system *system) addControl(number int) *machine {
	added := &machine{name: fmt.Sprintf("core-%d", number), role: "control", ip: system.ip(number), zone: zoneOf(number)}
	system.controls = append(system.controls, added)
	return added
}

func (system *system) addGateway(number int) *machine {
	added := &machine{name: fmt.Sprintf("front-%d", number), role: "gateway", ip: system.ip(100 + number), zone: zoneOf(number)}
	system.gateways = append(system.gateways, added)
	return added
}

func zoneOf(number int) string { return []string{"ikeja", "ota", "ibadan"}[number%3] }

// write writes the settings file of a machine, as the templates in deploy/ give it.
func (system *system) write(machine *machine, bootstrap bool) error {
	listen := fmt.Sprintf("%s:%d", machine.ip, system.internal)
	lines := []string{
		"HIB_NAME=" + machine.name, "HIB_ZONE=" + machine.zone, "HIB_REGION=lagos-west",
		fmt.Sprintf("HIB_METRICS_LISTEN=%s:%d", machine.ip, system.metrics),
		"HIB_SEED=" + strings.Join(system.seeds, ","),
	}
	if machine.role == "control" {
		data := filepath.Join(system.folder, machine.name)
		if err := os.MkdirAll(data, 0o750); err != nil {
			return err
		}
		if system.links != nil {
			lines = append(lines, "HIB_ADVERTISE="+listen)
			listen = fmt.Sprintf("%s:%d", behind(machine.ip), system.internal)
		}
		lines = append(lines, "HIB_MEMORY_MIB=280", "HIB_DESCRIPTORS=4096", fmt.Sprintf("HIB_API_LISTEN=%s:%d", machine.ip, system.api),
			fmt.Sprintf("HIB_BOOTSTRAP=%t", bootstrap), "HIB_TOLERANCE=1", "HIB_DATA="+data, "HIB_SNAPSHOT_BYTES=1000000", "HIB_KNOWN_ZONE=ikeja,ota,ibadan")
	} else {
		lines = append(lines, "HIB_MEMORY_MIB=206", "HIB_DESCRIPTORS=2940", fmt.Sprintf("HIB_HTTP_LISTEN=%s:%d", machine.ip, system.callers),
			fmt.Sprintf("HIB_READY_LISTEN=%s:%d", machine.ip, system.ready), fmt.Sprintf("HIB_REVOKE_LIMIT=%dms", revoke.Milliseconds()),
			fmt.Sprintf("HIB_GRACE=%ds", grace), "HIB_RETRY_RATIO=0.2", "HIB_RETRY_SLACK=176", "HIB_RETRY_WINDOW=10s")
	}
	lines = append(lines, "HIB_LISTEN="+listen)
	machine.settings = filepath.Join(system.folder, machine.name+".env")
	return os.WriteFile(machine.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// behind returns the address at which a control machine listens behind the forwarded one.
func behind(ip string) string { return strings.Replace(ip, "127.77.", "127.78.", 1) }

// start starts a machine's process with the command of the deploy file, and waits until it
// listens.
func (system *system) start(machine *machine, bootstrap bool) error {
	if err := system.write(machine, bootstrap); err != nil {
		return err
	}
	if system.links != nil && machine.role == "control" {
		if err := system.links.forward(fmt.Sprintf("%s:%d", machine.ip, system.internal), fmt.Sprintf("%s:%d", behind(machine.ip), system.internal)); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(system.folder, machine.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.CommandContext(context.Background(), "target/hibiscuslug", machine.role, "--settings", machine.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	machine.command, machine.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	system.note("%s starts at %s (bootstrap %t, seeds %s)", machine.name, machine.ip, bootstrap, strings.Join(system.seeds, ","))
	port := system.api
	if machine.role == "gateway" {
		port = system.ready
	}
	return system.await(machine.name+" listens", startTime, func() bool {
		dialer := net.Dialer{Timeout: callTime}
		opened, err := dialer.DialContext(context.Background(), "tcp", fmt.Sprintf("%s:%d", machine.ip, port))
		return err == nil && opened.Close() == nil
	})
}

// await waits for a condition.
func (system *system) await(what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not within %s: %s", limit, what)
}

// restart stops a process with SIGTERM, as planned work does, and starts it again.
func (system *system) restart(machine *machine) error {
	system.note("%s gets SIGTERM", machine.name)
	if err := machine.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-machine.ended:
	case <-time.After(grace * time.Second):
		_ = machine.command.Process.Kill()
		<-machine.ended
	}
	return system.start(machine, false)
}

// stop ends all processes and removes their files.
func (system *system) stop() {
	for _, part := range system.parts {
		part.stop()
	}
	for _, machine := range append(append([]*machine(nil), system.controls...), system.gateways...) {
		if machine.command == nil {
			continue
		}
		_ = machine.command.Process.Kill()
		<-machine.ended
	}
	if system.links != nil {
		system.links.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(system.folder)
	}
}

func (system *system) apiOf(machine *machine) string {
	return fmt.Sprintf("http://%s:%d", machine.ip, system.api)
}

// call makes one call and returns its status and body.
func (system *system) call(method, url string, header map[string]string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	if name := request.Header.Get("Host"); name != "" {
		request.Host = name
		request.Header.Del("Host")
	}
	response, err := system.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response.StatusCode, text, err
}

// put sends a configuration to control machines, the first of them first, until one of
// them acknowledges it.
func (system *system) put(config map[string]any, order []*machine) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	for at, end := 0, time.Now().Add(ackTime); time.Now().Before(end); at++ {
		to := order[at%len(order)]
		status, _, err := system.call(http.MethodPost, system.apiOf(to)+"/Config.Put", nil, text)
		system.note("operator sends version %v to %s: status %d, error %v", config["version"], to.name, status, err)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("version %v was not acknowledged", config["version"])
}

// version reads the configuration at a control machine. It returns 0 unless the answer is
// a 200.
func (system *system) version(at *machine) uint64 {
	status, text, err := system.call(http.MethodGet, system.apiOf(at)+"/Config.Get", nil, nil)
	var read struct {
		Version uint64 `json:"version"`
	}
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(text, &read)
	}
	system.note("operator reads the configuration at %s: status %d, version %d, error %v", at.name, status, read.Version, err)
	return read.Version
}
