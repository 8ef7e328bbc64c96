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

// member is a process with a fixed address behind a fault proxy. Others reach
// it only through the proxy.
type member struct {
	name      string
	zone      string
	listen    string
	http      string
	proxy     *fault.Proxy
	arguments []string
	data      string

	// mu guards process.
	mu      sync.Mutex
	process *procs.Process
	lives   int
}

// start runs the process. The count of lives goes up before it can answer.
func (member *member) start() error {
	member.mu.Lock()
	member.lives++
	member.mu.Unlock()
	process, err := procs.Start(member.name, "hibiscuslug", member.arguments...)
	member.mu.Lock()
	member.process = process
	member.mu.Unlock()
	if err != nil {
		return err
	}
	// The proxy refuses connections since the process refused one.
	return member.proxy.Retarget(member.listen)
}

func (member *member) running() (*procs.Process, int) {
	member.mu.Lock()
	defer member.mu.Unlock()
	return member.process, member.lives
}

// world is a whole system with the systems outside it.
type world struct {
	controls  []*member
	entries   []*member
	endpoints []*member
	models    []*fake.Model
	desk      *fake.Desk
}

func newMember(role string, at int) (*member, error) {
	listen, err := procs.FreeAddress()
	if err != nil {
		return nil, err
	}
	proxy, err := fault.New(listen)
	if err != nil {
		return nil, err
	}
	built := &member{name: fmt.Sprintf("%s%d", role, at+1), zone: fmt.Sprintf("zone%d", at%zones+1), listen: listen, proxy: proxy}
	built.arguments = []string{role, "--name", built.name, "--zone", built.zone, "--listen", listen, "--advertise", proxy.Address()}
	return built, nil
}

func members(role string, count int) ([]*member, error) {
	list := make([]*member, count)
	for at := range list {
		built, err := newMember(role, at)
		if err != nil {
			return nil, err
		}
		list[at] = built
	}
	return list, nil
}

func newWorld(folder string) (*world, error) {
	built := &world{}
	var failures [3]error
	built.controls, failures[0] = members("control", controls)
	built.entries, failures[1] = members("entry", entries)
	built.endpoints, failures[2] = members("endpoint", endpoints)
	for _, err := range failures {
		if err != nil {
			return built, err
		}
	}
	if err := built.outside(); err != nil {
		return built, err
	}
	built.configure(folder)
	starting := pool.New().WithErrors()
	for _, member := range built.all() {
		starting.Go(member.start)
	}
	return built, starting.Wait()
}

// outside starts the engines and the order desk.
func (world *world) outside() error {
	desk, err := fake.NewDesk("127.0.0.1:0", 2*time.Millisecond)
	if err != nil {
		return err
	}
	world.desk = desk
	for range endpoints {
		model, err := fake.NewModel(fake.ModelSettings{Listen: "127.0.0.1:0", Interval: time.Millisecond})
		if err != nil {
			return err
		}
		world.models = append(world.models, model)
	}
	return nil
}

func (world *world) configure(folder string) {
	for _, member := range world.controls {
		member.data = filepath.Join(folder, member.name)
		member.arguments = append(member.arguments, "--data", member.data)
		for _, other := range world.controls {
			member.arguments = append(member.arguments, "--group", other.name+"@"+other.proxy.Address())
		}
	}
	for at, member := range world.entries {
		address, err := procs.FreeAddress()
		if err != nil {
			panic(err)
		}
		member.http = "http://" + address
		member.arguments = append(member.arguments, "--http-listen", address, "--request-limit", "4s")
		for _, control := range world.controls {
			member.arguments = append(member.arguments, "--control", control.proxy.Address())
		}
		member.arguments = append(member.arguments, "--peer", world.entries[(at+1)%entries].proxy.Address())
	}
	for at, member := range world.endpoints {
		member.arguments = append(member.arguments,
			"--engine", fmt.Sprintf("model,engine%d,%s,guide-1", at+1, world.models[at].URL()),
			"--engine", fmt.Sprintf("order,desk%d,%s,desk", at+1, world.desk.URL()))
		for _, entry := range world.entries {
			member.arguments = append(member.arguments, "--entry", entry.proxy.Address())
		}
	}
}

func (world *world) all() []*member {
	var list []*member
	return append(append(append(list, world.controls...), world.entries...), world.endpoints...)
}

// calm ends every fault and starts what does not run.
func (world *world) calm() {
	for _, member := range world.all() {
		member.proxy.Heal()
	}
}

func (world *world) close() error {
	var failure error
	for _, member := range world.all() {
		if process, _ := member.running(); process != nil {
			// A stopped process cannot end before it is continued.
			_ = process.Signal(syscall.SIGCONT)
			failure = errors.CombineErrors(failure, process.Kill())
		}
		failure = errors.CombineErrors(failure, member.proxy.Close())
	}
	for _, model := range world.models {
		failure = errors.CombineErrors(failure, model.Close())
	}
	if world.desk != nil {
		failure = errors.CombineErrors(failure, world.desk.Close())
	}
	return failure
}

// faults injects one fault after the other until the context ends.
type faults struct {
	world  *world
	random *rand.Rand
	// emptied tells that a control VM has lost its disk in this run.
	emptied bool
	list    []string
}

func (faults *faults) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := faults.next(); err != nil {
			return err
		}
		time.Sleep(time.Duration(100+faults.random.IntN(300)) * time.Millisecond)
	}
	faults.world.calm()
	return nil
}

func (faults *faults) pick(list []*member) *member { return list[faults.random.IntN(len(list))] }

func (faults *faults) span(least, spread int) time.Duration {
	return time.Duration(least+faults.random.IntN(spread)) * time.Millisecond
}

func (faults *faults) next() error {
	switch faults.random.IntN(8) {
	case 0:
		return faults.restart(faults.pick(faults.world.controls), !faults.emptied && faults.random.IntN(4) == 0)
	case 1:
		return faults.stop(faults.pick(faults.world.controls))
	case 2:
		return faults.restart(faults.pick(faults.world.entries), false)
	case 3:
		return faults.restart(faults.pick(faults.world.endpoints), false)
	case 4:
		return faults.stop(faults.pick(faults.world.endpoints))
	case 5:
		faults.cutZone(fmt.Sprintf("zone%d", 1+faults.random.IntN(zones)))
	case 6:
		target := faults.pick(faults.world.all())
		faults.note("silence %s", target.name)
		target.proxy.Silence(fault.Direction(1 + faults.random.IntN(3)))
	default:
		faults.delay(faults.pick(faults.world.all()))
	}
	return nil
}

func (faults *faults) note(format string, values ...any) {
	faults.list = append(faults.list, fmt.Sprintf(format, values...))
}

// restart kills a process and starts it again after a while, with its old data
// folder or with an empty one.
func (faults *faults) restart(target *member, empty bool) error {
	faults.note("kill %s, emptied %t", target.name, empty)
	process, _ := target.running()
	if err := process.Kill(); err != nil {
		return err
	}
	if empty {
		faults.emptied = true
		if err := os.RemoveAll(target.data); err != nil {
			return err
		}
	}
	time.Sleep(faults.span(50, 500))
	return target.start()
}

func (faults *faults) stop(target *member) error {
	faults.note("stop %s", target.name)
	process, _ := target.running()
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(faults.span(200, 1500))
	return process.Signal(syscall.SIGCONT)
}

// cutZone lets nobody reach the processes of a zone, while they still reach out.
func (faults *faults) cutZone(zone string) {
	faults.note("cut %s", zone)
	for _, member := range faults.world.all() {
		if member.zone == zone {
			member.proxy.Cut()
		}
	}
	time.Sleep(faults.span(300, 1500))
	faults.world.calm()
}

func (faults *faults) delay(target *member) {
	faults.note("delay %s", target.name)
	target.proxy.Delay(fault.Both, faults.span(1, 30))
	time.Sleep(faults.span(200, 500))
	target.proxy.Heal()
}
