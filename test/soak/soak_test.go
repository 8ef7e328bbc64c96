// Package soak_test runs a deployment of real processes under random faults and
// checks the results of all callers and endpoints.
package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/fault"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Soak")
}

const (
	startLimit = 30 * time.Second
	// recoveryLimit is the maximum time from the last fault until all gateways
	// serve again.
	recoveryLimit = 12 * time.Second
	clients       = 6
	// evacuateLimit is the time after which an evacuated zone gets no request: the
	// bound of 5 s, and the longest fault.
	evacuateLimit = 7100 * time.Millisecond
)

// plan holds the seeds and the duration of the fault injection per seed.
type plan struct {
	Seeds   []uint64 `json:"seeds"`
	Seconds int      `json:"seconds"`
	// Disks and DiskSeconds are the same for the soak of full disks.
	Disks       []uint64 `json:"disks"`
	DiskSeconds int      `json:"diskSeconds"`
	// Leaves are the seeds of the soak of endpoints that leave, and LeaveRounds how often one
	// leaves in each.
	Leaves      []uint64 `json:"leaves"`
	LeaveRounds int      `json:"leaveRounds"`
}

func loadPlan() plan {
	text, err := os.ReadFile("testdata/seeds.json")
	if err != nil {
		panic(err)
	}
	var plan plan
	if err := json.Unmarshal(text, &plan); err != nil {
		panic(err)
	}
	// HIB_SOAK_SEEDS replaces the seeds by that many consecutive ones, starting
	// with HIB_SOAK_FIRST or, if that is not set, with the current time.
	if count, err := strconv.Atoi(os.Getenv("HIB_SOAK_SEEDS")); err == nil {
		first, err := strconv.ParseUint(os.Getenv("HIB_SOAK_FIRST"), 10, 64)
		if err != nil {
			first = uint64(time.Now().UnixNano())
		}
		plan.Seeds = nil
		for at := range uint64(count) {
			plan.Seeds = append(plan.Seeds, first+at)
		}
		plan.Disks, plan.Leaves = plan.Seeds, plan.Seeds
	}
	return plan
}

// injector injects random faults into a deployment.
type injector struct {
	deployment *deployment
	random     *rand.Rand
	faults     conc.WaitGroup
	// wiped is set once a disk was lost. A soak loses only one: the deployment
	// tolerates the loss of one control VM's disk, and that VM needs seconds
	// without faults after its restart to catch up.
	wiped atomic.Bool
}

func (injector *injector) run(until time.Time) {
	for time.Now().Before(until) {
		node := injector.deployment.nodes[injector.random.IntN(len(injector.deployment.nodes))]
		proxy := injector.deployment.backendProxies[injector.random.IntN(endpoints)]
		span := time.Duration(100+injector.random.IntN(2000)) * time.Millisecond
		kind := injector.random.IntN(10)
		GinkgoWriter.Println(time.Now().Format(time.StampMilli), "fault", kind, "on", node.name, "for", span)
		switch {
		case kind < 5:
			if node.reserve() {
				injector.faults.Go(func() { injector.disruptProcess(node, kind, span) })
			}
		case kind < 8:
			injector.faults.Go(func() { disruptConnections(node.proxy, kind, span) })
		default:
			injector.faults.Go(func() { disruptConnections(proxy, kind-injector.random.IntN(3), span) })
		}
		time.Sleep(time.Duration(50+injector.random.IntN(400)) * time.Millisecond)
	}
	injector.faults.Wait()
}

// disruptProcess pauses a process, or ends and restarts it.
func (injector *injector) disruptProcess(node *node, kind int, span time.Duration) {
	defer node.release()
	if kind < 2 {
		Expect(node.pause(span)).To(Succeed())
		return
	}
	node.end(kind == 2)
	if kind == 4 && node.folder != "" && injector.wiped.CompareAndSwap(false, true) {
		Expect(node.wipe()).To(Succeed())
	}
	time.Sleep(span)
	Expect(node.start(false)).To(Succeed())
}

// disruptConnections injects a fault into the connections to a process.
func disruptConnections(proxy *fault.Proxy, kind int, span time.Duration) {
	switch kind {
	case 5:
		proxy.CloseConnections()
	case 6:
		proxy.Silence(fault.Both)
	case 7:
		proxy.Lose(fault.Direction(1 + span.Milliseconds()%3))
		time.Sleep(span)
		proxy.Heal()
	default:
		proxy.Delay(fault.Both, span/20)
		time.Sleep(span)
		proxy.Delay(fault.Both, 0)
	}
}

// runSoak runs one seed.
func runSoak(seed uint64, span time.Duration) {
	random := rand.New(rand.NewPCG(seed, seed))
	deployment := startDeployment(seed, random)
	recorder := deployment.recorder
	ctx := deployment.serve(seed)
	load, stop := context.WithCancel(ctx)
	var loading conc.WaitGroup
	for number := range clients {
		loading.Go(func() { deployment.runCaller(load, number, seed) })
	}
	loading.Go(func() { deployment.runOperator(load, seed, 2, time.Now().Add(span/2)) })
	held := backendZones[random.IntN(len(backendZones))]
	deployment.order(ctx, random, held, true)
	loading.Go(func() { deployment.runEvacuations(load, seed, held) })
	loading.Go(func() { deployment.runReader(load, seed) })
	loading.Go(func() { deployment.runCrowds(load, seed) })
	filling, stopFilling := context.WithCancel(ctx)
	var disks conc.WaitGroup
	disks.Go(func() { deployment.fillDisks(filling, seed, false) })
	injector := &injector{deployment: deployment, random: random}
	injector.run(time.Now().Add(span))
	stopFilling()
	disks.Wait()
	for _, node := range deployment.nodes {
		node.proxy.Heal()
	}
	for _, proxy := range deployment.backendProxies {
		proxy.Heal()
	}
	deployment.waitServing(ctx, "end", recoveryLimit)
	stop()
	loading.Wait()
	ended := deployment.recorder.runsIn(held)
	deployment.order(ctx, random, held, false)
	Eventually(func() int {
		deployment.waitServing(ctx, fmt.Sprint("restored", time.Now().UnixNano(), "-"), recoveryLimit)
		return deployment.recorder.runsIn(held)
	}).WithTimeout(recoveryLimit).Should(BeNumerically(">", ended), "seed %d: zone %s gets requests again", seed, held)
	for number := range controls {
		Eventually(func() bool { return deployment.read(ctx, number) }).WithTimeout(recoveryLimit).Should(BeTrue(), "seed %d: control%d", seed, number)
	}
	// Requests still in flight reach an endpoint or expire within this time.
	time.Sleep(time.Second)
	GinkgoWriter.Println("seed", seed, "answers", recorder.answered)
	Expect(recorder.check()).To(BeEmpty(), "seed %d", seed)
}

// waitServing waits until every gateway answers a request with status 200.
func (deployment *deployment) waitServing(ctx context.Context, when string, limit time.Duration) {
	for number := range deployment.gateway {
		single := *deployment
		single.gateway = deployment.gateway[number : number+1]
		random := rand.New(rand.NewPCG(uint64(number), 1))
		count := 0
		Eventually(func() int {
			count++
			return single.call(ctx, &http.Client{Timeout: time.Second}, random, fmt.Sprintf("%s%d-%d", when, number, count))
		}).WithTimeout(limit).Should(Equal(http.StatusOK), "gateway%d", number)
	}
}

// Guards against lost, repeated, mixed-up or unauthorized requests, lost
// configurations and gateways that stay unavailable after faults.
var _ = Describe("a deployment under faults", func() {
	plan := loadPlan()
	for _, seed := range plan.Seeds {
		It(fmt.Sprintf("keeps its guarantees with seed %d", seed), func() {
			runSoak(seed, time.Duration(plan.Seconds)*time.Second)
		})
	}
})
