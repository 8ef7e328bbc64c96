package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/fault"
	"github.com/hibiscuslug/hibiscuslug/internal/ports"
	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

const (
	controls  = 3
	gateways  = 3
	endpoints = 4
	// revokeLimit is a setting of the gateways, short enough to expire in a soak.
	revokeLimit = 3 * time.Second
)

// backendZones are the zones of the endpoints.
var backendZones = []string{"za", "zb"}

// node is one process and the proxy through which all others connect to it.
type node struct {
	name      string
	arguments []string
	folder    string
	target    string
	proxy     *fault.Proxy

	// mu guards the fields below.
	mu      sync.Mutex
	process *procs.Process
	busy    bool
	// isFull is set while the disk refuses writes, also those of a process that is started.
	isFull bool
	// logs holds the output of processes that have ended.
	logs strings.Builder
}

// deployment is a deployment of real processes on loopback addresses. Each
// process listens on its own address, and its proxy on the advertised one.
type deployment struct {
	port           int
	nodes          []*node
	control        []string
	gateway        []string
	backends       []*backend
	backendProxies []*fault.Proxy
	recorder       *recorder
}

func newDeployment(random *rand.Rand, recorder *recorder) *deployment {
	listener, err := ports.Listen()
	Expect(err).NotTo(HaveOccurred())
	Expect(listener.Close()).To(Succeed())
	deployment := &deployment{recorder: recorder}
	_, err = fmt.Sscanf(listener.Addr().String(), "127.0.0.1:%d", &deployment.port)
	Expect(err).NotTo(HaveOccurred())
	// Concurrent soaks use different loopback networks.
	host := fmt.Sprintf("127.%d.%d", 1+random.IntN(200), random.IntN(250))
	for number := range controls {
		deployment.addControl(host, number)
	}
	for number := range gateways {
		deployment.addGateway(host, number)
	}
	for number := range endpoints {
		backend := newBackend(fmt.Sprintf("e%d", number), backendZones[number%len(backendZones)], random.Uint64(), recorder)
		proxy, err := fault.New(backend.address())
		Expect(err).NotTo(HaveOccurred())
		deployment.backends, deployment.backendProxies = append(deployment.backends, backend), append(deployment.backendProxies, proxy)
	}
	return deployment
}

// startDeployment starts a deployment, which ends with the spec.
func startDeployment(seed uint64, random *rand.Rand) *deployment {
	deployment := newDeployment(random, newRecorder())
	DeferCleanup(func() { deployment.close(seed) })
	for _, node := range deployment.nodes {
		Expect(node.start(true)).To(Succeed())
	}
	return deployment
}

// serve sends the first configuration, sends heartbeats until the spec ends, and waits until
// all gateways serve. It returns the context of the spec.
func (deployment *deployment) serve(seed uint64) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	DeferCleanup(func() { cancel(); running.Wait() })
	first := configuration(1, true)
	deployment.recorder.sent[1] = first
	Eventually(func() int {
		return post(ctx, &http.Client{Timeout: time.Second}, "http://"+deployment.control[0]+"/Config.Put", first)
	}).WithTimeout(startLimit).Should(Equal(http.StatusOK))
	running.Go(func() { deployment.sendHeartbeats(ctx, seed) })
	deployment.waitServing(ctx, "start", startLimit)
	return ctx
}

func (deployment *deployment) seeds(host string) []string {
	var list []string
	for number := range controls {
		list = append(list, "--seed", fmt.Sprintf("%s.%d", host, 100+number))
	}
	return list
}

func (deployment *deployment) addControl(host string, number int) {
	target := fmt.Sprintf("%s.%d:%d", host, 10+number, deployment.port)
	api := fmt.Sprintf("%s.%d:%d", host, 10+number, deployment.port+1)
	advertised := fmt.Sprintf("%s.%d:%d", host, 100+number, deployment.port)
	node := &node{name: fmt.Sprintf("control%d", number), folder: GinkgoT().TempDir(), target: target}
	node.arguments = append([]string{
		"control", "--name", node.name, "--zone", fmt.Sprintf("z%d", number), "--listen", target, "--advertise", advertised,
		"--api-listen", api, "--data", node.folder, "--tolerance", "1",
	}, deployment.seeds(host)...)
	deployment.control = append(deployment.control, api)
	deployment.add(node, advertised)
}

func (deployment *deployment) addGateway(host string, number int) {
	httpListen := fmt.Sprintf("%s.%d:%d", host, 20+number, deployment.port+1)
	node := &node{name: fmt.Sprintf("gateway%d", number), target: httpListen}
	node.arguments = append([]string{
		"gateway", "--name", node.name, "--zone", fmt.Sprintf("z%d", number), "--listen", fmt.Sprintf("%s.%d:%d", host, 20+number, deployment.port),
		"--http-listen", httpListen, "--revoke-limit", revokeLimit.String(), "--grace", "3s", "--rotation", "200ms",
	}, deployment.seeds(host)...)
	advertised := fmt.Sprintf("%s.%d:%d", host, 110+number, deployment.port+1)
	deployment.gateway = append(deployment.gateway, advertised)
	deployment.add(node, advertised)
}

func (deployment *deployment) add(node *node, advertised string) {
	proxy, err := fault.NewAt(advertised, node.target)
	Expect(err).NotTo(HaveOccurred())
	node.proxy = proxy
	deployment.nodes = append(deployment.nodes, node)
}

// start starts a node's process. bootstrap is set for the first start of the
// deployment.
func (node *node) start(bootstrap bool) error {
	arguments := node.arguments
	if bootstrap && node.folder != "" {
		arguments = append(arguments[:len(arguments):len(arguments)], "--bootstrap")
	}
	process, err := node.launch(arguments)
	if err != nil {
		return err
	}
	node.mu.Lock()
	node.process = process
	if !node.isFull {
		// The disk may have been freed since the start. A process that has ended needs no room.
		_ = process.FreeDisk()
	}
	node.mu.Unlock()
	// A process that starts on a full disk may listen only once there is room.
	Eventually(func() error {
		conn, err := net.DialTimeout("tcp", node.target, time.Second)
		if err != nil {
			return err
		}
		return conn.Close()
	}).WithTimeout(startLimit).Should(Succeed(), "%s listens", node.name)
	return node.proxy.Retarget(node.target)
}

// launch starts the program, on a full disk without waiting until it is ready.
func (node *node) launch(arguments []string) (*procs.Process, error) {
	if node.hasFullDisk() {
		return procs.StartFull(node.name, "hibiscuslug", arguments...)
	}
	return procs.Start(node.name, "hibiscuslug", arguments...)
}

// reserve reserves a node for one fault. It reports false if another fault uses
// the node.
func (node *node) reserve() bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.busy {
		return false
	}
	node.busy = true
	return true
}

func (node *node) release() {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.busy = false
}

func (node *node) end(graceful bool) {
	var err error
	if graceful {
		err = node.process.Stop()
	} else {
		err = node.process.Kill()
	}
	// A killed process returns its signal as an error.
	GinkgoWriter.Println(node.name, "ended", err)
	node.logs.WriteString(node.process.Log())
}

// wipe empties a control VM's disk.
func (node *node) wipe() error {
	entries, err := os.ReadDir(node.folder)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := os.RemoveAll(filepath.Join(node.folder, entry.Name())); err != nil {
			return err
		}
	}
	return nil
}

func (node *node) pause(span time.Duration) error {
	if err := node.process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(span)
	return node.process.Signal(syscall.SIGCONT)
}

// close ends all processes and, if the soak failed, saves their logs.
func (deployment *deployment) close(seed uint64) {
	for _, node := range deployment.nodes {
		if node.process != nil {
			node.end(false)
		}
		if err := node.proxy.Close(); err != nil {
			GinkgoWriter.Println(node.name, "proxy", err)
		}
		if CurrentSpecReport().Failed() {
			folder := filepath.Join("..", "out", fmt.Sprintf("soak-%d", seed))
			Expect(os.MkdirAll(folder, 0o755)).To(Succeed())
			Expect(os.WriteFile(filepath.Join(folder, node.name+".log"), []byte(node.logs.String()), 0o600)).To(Succeed())
		}
	}
	for at, backend := range deployment.backends {
		backend.close()
		if err := deployment.backendProxies[at].Close(); err != nil {
			GinkgoWriter.Println(backend.id, "proxy", err)
		}
	}
}
