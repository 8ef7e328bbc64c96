package soak_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fault"
	"github.com/hibiscuslug/hibiscuslug/internal/ports"
	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

const (
	controls  = 3
	gateways  = 3
	endpoints = 4
	// revokeLimit is the gateways' setting, short so that a soak sees it end.
	revokeLimit = 3 * time.Second
)

// node is one process with the proxy that all others reach it through.
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
	// logs holds what ended processes wrote.
	logs strings.Builder
}

// world is a deployment of real processes on loopback addresses: each process
// listens on an address of its own, and its proxy on the one that it gives.
type world struct {
	port     int
	nodes    []*node
	control  []string
	gateway  []string
	backs    []*back
	backWays []*fault.Proxy
	ledger   *ledger
}

func newWorld(random *rand.Rand, ledger *ledger) *world {
	listener, err := ports.Listen()
	Expect(err).NotTo(HaveOccurred())
	Expect(listener.Close()).To(Succeed())
	world := &world{ledger: ledger}
	_, err = fmt.Sscanf(listener.Addr().String(), "127.0.0.1:%d", &world.port)
	Expect(err).NotTo(HaveOccurred())
	// Soaks side by side have hosts of their own.
	host := fmt.Sprintf("127.%d.%d", 1+random.IntN(200), random.IntN(250))
	for number := range controls {
		world.addControl(host, number)
	}
	for number := range gateways {
		world.addGateway(host, number)
	}
	for number := range endpoints {
		back := newBack(fmt.Sprintf("e%d", number), random.Uint64(), ledger)
		way, err := fault.New(back.address())
		Expect(err).NotTo(HaveOccurred())
		world.backs, world.backWays = append(world.backs, back), append(world.backWays, way)
	}
	return world
}

func (world *world) seeds(host string) []string {
	var list []string
	for number := range controls {
		list = append(list, "--seed", fmt.Sprintf("%s.%d", host, 100+number))
	}
	return list
}

func (world *world) addControl(host string, number int) {
	target := fmt.Sprintf("%s.%d:%d", host, 10+number, world.port)
	api := fmt.Sprintf("%s.%d:%d", host, 10+number, world.port+1)
	given := fmt.Sprintf("%s.%d:%d", host, 100+number, world.port)
	made := &node{name: fmt.Sprintf("control%d", number), folder: GinkgoT().TempDir(), target: target}
	made.arguments = append([]string{
		"control", "--name", made.name, "--zone", fmt.Sprintf("z%d", number), "--listen", target, "--advertise", given,
		"--api-listen", api, "--data", made.folder, "--tolerance", "1",
	}, world.seeds(host)...)
	world.control = append(world.control, api)
	world.add(made, given)
}

func (world *world) addGateway(host string, number int) {
	callers := fmt.Sprintf("%s.%d:%d", host, 20+number, world.port+1)
	made := &node{name: fmt.Sprintf("gateway%d", number), target: callers}
	made.arguments = append([]string{
		"gateway", "--name", made.name, "--zone", fmt.Sprintf("z%d", number), "--listen", fmt.Sprintf("%s.%d:%d", host, 20+number, world.port),
		"--http-listen", callers, "--revoke-limit", revokeLimit.String(), "--grace", "3s", "--rotation", "200ms",
	}, world.seeds(host)...)
	given := fmt.Sprintf("%s.%d:%d", host, 110+number, world.port+1)
	world.gateway = append(world.gateway, given)
	world.add(made, given)
}

func (world *world) add(made *node, given string) {
	proxy, err := fault.NewAt(given, made.target)
	Expect(err).NotTo(HaveOccurred())
	made.proxy = proxy
	world.nodes = append(world.nodes, made)
}

// start starts a node's process; bootstrap is for the deployment's first start.
func (node *node) start(bootstrap bool) error {
	arguments := node.arguments
	if bootstrap && node.folder != "" {
		arguments = append(arguments[:len(arguments):len(arguments)], "--bootstrap")
	}
	process, err := procs.Start(node.name, "hibiscuslug", arguments...)
	if err != nil {
		return err
	}
	node.mu.Lock()
	node.process = process
	node.mu.Unlock()
	return node.proxy.Retarget(node.target)
}

// take reserves a node for a fault.
func (node *node) take() bool {
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
	// A killed process reports its signal.
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

// close ends all processes and keeps their logs when the soak has failed.
func (world *world) close(seed uint64) {
	for _, node := range world.nodes {
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
	for at, back := range world.backs {
		back.close()
		if err := world.backWays[at].Close(); err != nil {
			GinkgoWriter.Println(back.id, "proxy", err)
		}
	}
}
