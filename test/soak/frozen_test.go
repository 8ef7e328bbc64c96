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

// frozenSeed seeds the deployment of the spec below.
const frozenSeed = 420

// Guards against a gateway that is frozen while a zone is evacuated, wakes up after the
// limit and sends to the zone by the configuration that it held before.
var _ = It("sends nothing to a zone that was evacuated while the gateway was frozen", func() {
	random := rand.New(rand.NewPCG(frozenSeed, frozenSeed))
	recorder := newRecorder()
	deployment := newDeployment(random, recorder)
	DeferCleanup(func() { deployment.close(frozenSeed) })
	for _, node := range deployment.nodes {
		Expect(node.start(true)).To(Succeed())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	DeferCleanup(func() { cancel(); running.Wait() })
	Eventually(func() int {
		return post(ctx, &http.Client{Timeout: time.Second}, "http://"+deployment.control[0]+"/Config.Put", configuration(1, true))
	}).WithTimeout(startLimit).Should(Equal(http.StatusOK))
	running.Go(func() { deployment.sendHeartbeats(ctx, frozenSeed) })
	deployment.waitServing(ctx, "start", startLimit)
	frozen := deployment.nodes[controls]
	single := *deployment
	single.gateway = deployment.gateway[:1]
	// Requests arrive while the gateway is frozen and from the moment it wakes up.
	for number := range clients {
		running.Go(func() {
			client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
			random := rand.New(rand.NewPCG(frozenSeed, uint64(number)))
			for count := 0; ctx.Err() == nil; count++ {
				single.call(ctx, client, random, fmt.Sprintf("f%d-%d", number, count))
			}
		})
	}
	var freezing conc.WaitGroup
	freezing.Go(func() {
		defer GinkgoRecover()
		Expect(frozen.pause(evacuateLimit + time.Second)).To(Succeed())
	})
	time.Sleep(200 * time.Millisecond)
	deployment.order(ctx, random, backendZones[0], true)
	freezing.Wait()
	before := recorder.runsIn(backendZones[1])
	Eventually(func() int { return recorder.runsIn(backendZones[1]) }).WithTimeout(recoveryLimit).Should(BeNumerically(">", before+clients))
	cancel()
	running.Wait()
	Expect(recorder.check()).To(BeEmpty())
})
