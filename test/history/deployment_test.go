package history_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/fault"
	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

const (
	controls  = 5
	entries   = 6
	endpoints = 6
	zones     = 3
)

// node is a process with a fixed address behind a fault proxy. The other
// processes connect to it only through the proxy.
type node struct {
	name      string
	zone      string
	listen    string
	http      string
	proxy     *fault.Proxy
	arguments []string
	data      string

	// mu guards the fields below.
	mu      sync.Mutex
	process *procs.Process
	// incarnation counts the starts of the process.
	incarnation int
}

// start starts the process. The incarnation is incremented before the process
// can answer, so that no answer is attributed to the previous one.
func (node *node) start() error {
	node.mu.Lock()
	node.incarnation++
	node.mu.Unlock()
	process, err := procs.Start(node.name, "hibiscuslug", node.arguments...)
	node.mu.Lock()
	node.process = process
	node.mu.Unlock()
	if err != nil {
		return err
	}
	// The proxy no longer listens if the process refused a connection while it was down.
	return node.proxy.Retarget(node.listen)
}

func (node *node) running() (*procs.Process, int) {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.process, node.incarnation
}

// deployment is a deployment of real processes with fake engines and a fake
// order desk.
type deployment struct {
	controls  []*node
	entries   []*node
	endpoints []*node
	models    []*fake.Model
	desk      *fake.Desk
}

func newNode(role string, at int) (*node, error) {
	listen, err := procs.FreeAddress()
	if err != nil {
		return nil, err
	}
	proxy, err := fault.New(listen)
	if err != nil {
		return nil, err
	}
	made := &node{name: fmt.Sprintf("%s%d", role, at+1), zone: fmt.Sprintf("zone%d", at%zones+1), listen: listen, proxy: proxy}
	made.arguments = []string{role, "--name", made.name, "--zone", made.zone, "--listen", listen, "--advertise", proxy.Address()}
	return made, nil
}

func newNodes(role string, count int) ([]*node, error) {
	list := make([]*node, count)
	for at := range list {
		made, err := newNode(role, at)
		if err != nil {
			return nil, err
		}
		list[at] = made
	}
	return list, nil
}

func newDeployment(folder string) (*deployment, error) {
	deployment := &deployment{}
	var failures [3]error
	deployment.controls, failures[0] = newNodes("control", controls)
	deployment.entries, failures[1] = newNodes("entry", entries)
	deployment.endpoints, failures[2] = newNodes("endpoint", endpoints)
	for _, err := range failures {
		if err != nil {
			return deployment, err
		}
	}
	if err := deployment.startFakes(); err != nil {
		return deployment, err
	}
	deployment.configure(folder)
	starting := pool.New().WithErrors()
	for _, node := range deployment.all() {
		starting.Go(node.start)
	}
	return deployment, starting.Wait()
}

// startFakes starts the engines and the order desk.
func (deployment *deployment) startFakes() error {
	desk, err := fake.NewDesk("127.0.0.1:0", 2*time.Millisecond)
	if err != nil {
		return err
	}
	deployment.desk = desk
	for range endpoints {
		model, err := fake.NewModel(fake.ModelSettings{Listen: "127.0.0.1:0", Interval: time.Millisecond})
		if err != nil {
			return err
		}
		deployment.models = append(deployment.models, model)
	}
	return nil
}

func (deployment *deployment) configure(folder string) {
	for _, node := range deployment.controls {
		node.data = filepath.Join(folder, node.name)
		node.arguments = append(node.arguments, "--data", node.data)
		for _, other := range deployment.controls {
			node.arguments = append(node.arguments, "--group", other.name+"@"+other.proxy.Address())
		}
	}
	for at, node := range deployment.entries {
		address, err := procs.FreeAddress()
		if err != nil {
			panic(err)
		}
		node.http = "http://" + address
		node.arguments = append(node.arguments, "--http-listen", address, "--request-limit", "4s")
		for _, control := range deployment.controls {
			node.arguments = append(node.arguments, "--control", control.proxy.Address())
		}
		node.arguments = append(node.arguments, "--peer", deployment.entries[(at+1)%entries].proxy.Address())
	}
	for at, node := range deployment.endpoints {
		node.arguments = append(node.arguments,
			"--engine", fmt.Sprintf("model,engine%d,%s,guide-1", at+1, deployment.models[at].URL()),
			"--engine", fmt.Sprintf("order,desk%d,%s,desk", at+1, deployment.desk.URL()))
		for _, entry := range deployment.entries {
			node.arguments = append(node.arguments, "--entry", entry.proxy.Address())
		}
	}
}

func (deployment *deployment) all() []*node {
	var list []*node
	return append(append(append(list, deployment.controls...), deployment.entries...), deployment.endpoints...)
}

// healAll ends the faults of all proxies.
func (deployment *deployment) healAll() {
	for _, node := range deployment.all() {
		node.proxy.Heal()
	}
}

func (deployment *deployment) close() error {
	var failure error
	for _, node := range deployment.all() {
		if process, _ := node.running(); process != nil {
			// The process may be paused by SIGSTOP.
			_ = process.Signal(syscall.SIGCONT)
			failure = errors.CombineErrors(failure, process.Kill())
		}
		failure = errors.CombineErrors(failure, node.proxy.Close())
	}
	for _, model := range deployment.models {
		failure = errors.CombineErrors(failure, model.Close())
	}
	if deployment.desk != nil {
		failure = errors.CombineErrors(failure, deployment.desk.Close())
	}
	return failure
}

// injector injects one random fault after the other until the context ends.
type injector struct {
	deployment *deployment
	random     *rand.Rand
	// emptied is set once a control VM has lost its data in this run.
	emptied bool
	// list holds the descriptions of the injected faults.
	list []string
}

func (injector *injector) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := injector.inject(); err != nil {
			return err
		}
		time.Sleep(time.Duration(100+injector.random.IntN(300)) * time.Millisecond)
	}
	injector.deployment.healAll()
	return nil
}

func (injector *injector) pick(list []*node) *node { return list[injector.random.IntN(len(list))] }

func (injector *injector) randomDuration(minimum, spread int) time.Duration {
	return time.Duration(minimum+injector.random.IntN(spread)) * time.Millisecond
}

func (injector *injector) inject() error {
	switch injector.random.IntN(8) {
	case 0:
		return injector.restart(injector.pick(injector.deployment.controls), !injector.emptied && injector.random.IntN(4) == 0)
	case 1:
		return injector.pause(injector.pick(injector.deployment.controls))
	case 2:
		return injector.restart(injector.pick(injector.deployment.entries), false)
	case 3:
		return injector.restart(injector.pick(injector.deployment.endpoints), false)
	case 4:
		return injector.pause(injector.pick(injector.deployment.endpoints))
	case 5:
		injector.cutZone(fmt.Sprintf("zone%d", 1+injector.random.IntN(zones)))
	case 6:
		target := injector.pick(injector.deployment.all())
		injector.log("silence %s", target.name)
		target.proxy.Silence(fault.Direction(1 + injector.random.IntN(3)))
	default:
		injector.delay(injector.pick(injector.deployment.all()))
	}
	return nil
}

func (injector *injector) log(format string, values ...any) {
	injector.list = append(injector.list, fmt.Sprintf(format, values...))
}

// restart kills a process and restarts it after a random delay, with its data or
// without.
func (injector *injector) restart(target *node, empty bool) error {
	injector.log("kill %s, emptied %t", target.name, empty)
	process, _ := target.running()
	if err := process.Kill(); err != nil {
		return err
	}
	if empty {
		injector.emptied = true
		if err := os.RemoveAll(target.data); err != nil {
			return err
		}
	}
	time.Sleep(injector.randomDuration(50, 500))
	return target.start()
}

// pause pauses a process for a random time.
func (injector *injector) pause(target *node) error {
	injector.log("stop %s", target.name)
	process, _ := target.running()
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(injector.randomDuration(200, 1500))
	return process.Signal(syscall.SIGCONT)
}

// cutZone cuts all connections to the processes of a zone for a random time. The
// processes can still connect to other zones.
func (injector *injector) cutZone(zone string) {
	injector.log("cut %s", zone)
	for _, node := range injector.deployment.all() {
		if node.zone == zone {
			node.proxy.Cut()
		}
	}
	time.Sleep(injector.randomDuration(300, 1500))
	injector.deployment.healAll()
}

func (injector *injector) delay(target *node) {
	injector.log("delay %s", target.name)
	target.proxy.Delay(fault.Both, injector.randomDuration(1, 30))
	time.Sleep(injector.randomDuration(200, 500))
	target.proxy.Heal()
}
