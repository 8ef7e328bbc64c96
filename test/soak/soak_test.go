// Package soak_test runs a deployment of real processes under random faults
// and checks what callers and endpoints see.
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
	// recovery is how soon after the last fault all gateways serve again.
	recovery = 12 * time.Second
	clients  = 6
)

// plan is how long faults are injected, and which.
type plan struct {
	Seeds   []uint64 `json:"seeds"`
	Seconds int      `json:"seconds"`
}

// chaos injects faults until its time is over.
type chaos struct {
	world  *world
	random *rand.Rand
	faults conc.WaitGroup
	// wiped is set once a disk was lost. The deployment tolerates the loss of one
	// until its VM has been back, undisturbed, for seconds.
	wiped atomic.Bool
}

func (chaos *chaos) run(until time.Time) {
	for time.Now().Before(until) {
		node := chaos.world.nodes[chaos.random.IntN(len(chaos.world.nodes))]
		way := chaos.world.backWays[chaos.random.IntN(endpoints)]
		span := time.Duration(100+chaos.random.IntN(2000)) * time.Millisecond
		kind := chaos.random.IntN(10)
		GinkgoWriter.Println(time.Now().Format(time.StampMilli), "fault", kind, "on", node.name, "for", span)
		switch {
		case kind < 5:
			if node.take() {
				chaos.faults.Go(func() { chaos.strike(node, kind, span) })
			}
		case kind < 8:
			chaos.faults.Go(func() { disturb(node.proxy, kind, span) })
		default:
			chaos.faults.Go(func() { disturb(way, kind-chaos.random.IntN(3), span) })
		}
		time.Sleep(time.Duration(50+chaos.random.IntN(400)) * time.Millisecond)
	}
	chaos.faults.Wait()
}

// strike ends or pauses a process.
func (chaos *chaos) strike(node *node, kind int, span time.Duration) {
	defer node.release()
	if kind < 2 {
		Expect(node.pause(span)).To(Succeed())
		return
	}
	node.end(kind == 2)
	if kind == 4 && node.folder != "" && chaos.wiped.CompareAndSwap(false, true) {
		Expect(node.wipe()).To(Succeed())
	}
	time.Sleep(span)
	Expect(node.start(false)).To(Succeed())
}

// disturb harms the connections to a process for a while.
func disturb(way *fault.Proxy, kind int, span time.Duration) {
	switch kind {
	case 5:
		way.CloseConnections()
	case 6:
		way.Silence(fault.Both)
	case 7:
		way.Lose(fault.Direction(1 + span.Milliseconds()%3))
		time.Sleep(span)
		way.Heal()
	default:
		way.Delay(fault.Both, span/20)
		time.Sleep(span)
		way.Delay(fault.Both, 0)
	}
}

// soak runs one seed.
func soak(seed uint64, span time.Duration) {
	random := rand.New(rand.NewPCG(seed, seed))
	ledger := newLedger()
	world := newWorld(random, ledger)
	DeferCleanup(func() { world.close(seed) })
	for _, node := range world.nodes {
		Expect(node.start(true)).To(Succeed())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	DeferCleanup(func() { cancel(); running.Wait() })
	first := document(1, true)
	ledger.sent[1] = first
	Eventually(func() int {
		return post(ctx, &http.Client{Timeout: time.Second}, "http://"+world.control[0]+"/Config.Put", first)
	}).WithTimeout(startLimit).Should(Equal(http.StatusOK))
	running.Go(func() { world.heartbeats(ctx, seed) })
	world.served(ctx, "start", startLimit)
	load, stop := context.WithCancel(ctx)
	var loading conc.WaitGroup
	for number := range clients {
		loading.Go(func() { world.callers(load, number, seed) })
	}
	loading.Go(func() { world.operator(load, seed, 2, time.Now().Add(span/2)) })
	loading.Go(func() { world.reader(load, seed) })
	chaos := &chaos{world: world, random: random}
	chaos.run(time.Now().Add(span))
	for _, node := range world.nodes {
		node.proxy.Heal()
	}
	for _, way := range world.backWays {
		way.Heal()
	}
	world.served(ctx, "end", recovery)
	stop()
	loading.Wait()
	for number := range controls {
		Eventually(func() bool { return world.read(ctx, number) }).WithTimeout(recovery).Should(BeTrue(), "seed %d: control%d", seed, number)
	}
	// What is on its way to an endpoint arrives or is given up by then.
	time.Sleep(time.Second)
	GinkgoWriter.Println("seed", seed, "answers", ledger.answered)
	Expect(ledger.check()).To(BeEmpty(), "seed %d", seed)
}

// served waits until every gateway answers.
func (world *world) served(ctx context.Context, when string, limit time.Duration) {
	for number := range world.gateway {
		one := *world
		one.gateway = world.gateway[number : number+1]
		random := rand.New(rand.NewPCG(uint64(number), 1))
		count := 0
		Eventually(func() int {
			count++
			return one.call(ctx, &http.Client{Timeout: time.Second}, random, fmt.Sprintf("%s%d-%d", when, number, count))
		}).WithTimeout(limit).Should(Equal(http.StatusOK), "gateway%d", number)
	}
}

var _ = Describe("a deployment under faults", func() {
	text, err := os.ReadFile("testdata/seeds.json")
	if err != nil {
		panic(err)
	}
	var plan plan
	if err := json.Unmarshal(text, &plan); err != nil {
		panic(err)
	}
	// HIB_SOAK_SEEDS runs as many fresh seeds, from HIB_SOAK_FIRST on.
	if count, err := strconv.Atoi(os.Getenv("HIB_SOAK_SEEDS")); err == nil {
		first, err := strconv.ParseUint(os.Getenv("HIB_SOAK_FIRST"), 10, 64)
		if err != nil {
			first = uint64(time.Now().UnixNano())
		}
		plan.Seeds = nil
		for at := range uint64(count) {
			plan.Seeds = append(plan.Seeds, first+at)
		}
	}
	for _, seed := range plan.Seeds {
		It(fmt.Sprintf("keeps its promises with seed %d", seed), func() {
			soak(seed, time.Duration(plan.Seconds)*time.Second)
		})
	}
})
