package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

const (
	// acceptLimit is the time in which a change must be accepted while no more than one disk is
	// full: the users' bound for acks.
	acceptLimit = 4 * time.Second
	// maxPartBytes bounds the size of a file up to which a full disk takes writes, so
	// that some writes end in the middle of a record.
	maxPartBytes = 4096
)

func (node *node) hasFullDisk() bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.isFull
}

// fill makes the disk refuse writes, or those that end behind an offset in a file, in bytes.
func (node *node) fill(offset uint64) {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.isFull = true
	// The process may have ended; the next one starts on the full disk.
	_ = node.process.FillDisk(offset)
}

func (node *node) free() {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.isFull = false
	_ = node.process.FreeDisk()
}

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// fillDisks fills the disks of the control VMs one after the other until the context ends,
// never two at once, and leaves all with room. With restarts, some processes are killed and
// started while their disk is full.
func (deployment *deployment) fillDisks(ctx context.Context, seed uint64, restarts bool) {
	defer GinkgoRecover()
	random := rand.New(rand.NewPCG(seed, 81))
	for ctx.Err() == nil {
		node := deployment.nodes[random.IntN(controls)]
		offset := uint64(0)
		if random.IntN(3) == 0 {
			offset = uint64(random.IntN(maxPartBytes))
		}
		span := time.Duration(400+random.IntN(5500)) * time.Millisecond
		GinkgoWriter.Println(time.Now().Format(time.StampMilli), "disk of", node.name, "takes", offset, "bytes a file for", span)
		node.fill(offset)
		if restarts && random.IntN(2) == 0 && node.reserve() {
			sleep(ctx, span/3)
			node.end(false)
			Expect(node.start(false)).To(Succeed())
			node.release()
			span -= span / 3
		}
		sleep(ctx, span)
		node.free()
		sleep(ctx, time.Duration(50+random.IntN(3450))*time.Millisecond)
	}
}

// deploy sends a configuration to random control VMs until one accepts it, which must be
// within acceptLimit.
func (deployment *deployment) deploy(ctx context.Context, random *rand.Rand, version uint64) {
	text := configuration(version, true)
	deployment.recorder.mu.Lock()
	deployment.recorder.sent[version] = text
	deployment.recorder.mu.Unlock()
	client := &http.Client{Timeout: acceptLimit}
	began := time.Now()
	for post(ctx, client, "http://"+deployment.control[random.IntN(controls)]+"/Config.Put", text) != http.StatusOK {
		if ctx.Err() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	if took := time.Since(began); took > acceptLimit {
		deployment.recorder.addViolation("version %d was accepted after %s", version, took)
	}
	deployment.recorder.mu.Lock()
	defer deployment.recorder.mu.Unlock()
	deployment.recorder.acknowledged = max(deployment.recorder.acknowledged, version)
}

// runDisks runs one seed in which the only faults are full disks, one at a time, and control
// processes that are started again while theirs is full.
func runDisks(seed uint64, span time.Duration) {
	random := rand.New(rand.NewPCG(seed, seed))
	recorder := newRecorder()
	deployment := newDeployment(random, recorder)
	DeferCleanup(func() { deployment.close(seed) })
	for _, node := range deployment.nodes[:controls] {
		Expect(node.start(true)).To(Succeed())
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	Eventually(func() int {
		recorder.sent[1] = configuration(1, true)
		return post(ctx, &http.Client{Timeout: time.Second}, "http://"+deployment.control[0]+"/Config.Put", recorder.sent[1])
	}).WithTimeout(startLimit).Should(Equal(http.StatusOK))
	filling, stop := context.WithTimeout(ctx, span)
	defer stop()
	var faults conc.WaitGroup
	faults.Go(func() { deployment.fillDisks(filling, seed, true) })
	version := uint64(2)
	for ; filling.Err() == nil; version++ {
		deployment.deploy(ctx, random, version)
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	faults.Wait()
	deployment.deploy(ctx, random, version)
	for number := range controls {
		Eventually(func() bool { return deployment.read(ctx, number) }).WithTimeout(recoveryLimit).Should(BeTrue(), "seed %d: control%d", seed, number)
	}
	GinkgoWriter.Println("seed", seed, "versions", version)
	Expect(recorder.check()).To(BeEmpty(), "seed %d", seed)
}

// Guards against changes that are refused or stay unanswered although only one disk at a time
// is full, and against control VMs that do not go on once theirs has room.
var _ = Describe("a control group whose disks are full in turn", func() {
	plan := loadPlan()
	for _, seed := range plan.Disks {
		It(fmt.Sprintf("accepts each change with seed %d", seed), func() {
			runDisks(seed, time.Duration(plan.DiskSeconds)*time.Second)
		})
	}
})
