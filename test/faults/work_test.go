package faults_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

// bookingScript is a script of bookings and the faults injected while they run.
type bookingScript struct {
	Name     string   `json:"name"`
	Bookings int      `json:"bookings"`
	Steps    []step   `json:"steps"`
	Commands []string `json:"commands"`
}

// Guards against bookings that run twice or are reported as notRun although they
// ran, when endpoints fail while bookings are in flight.
var _ = Describe("bookings under faults", func() {
	for _, script := range readScripts[bookingScript]("testdata/bookings.json") {
		It(script.Name, func() { runBookings(script) })
	}
})

func runBookings(script bookingScript) {
	cluster := startCluster(procs.ClusterSettings{Entries: 2, VMs: 3, Desk: true})
	for _, command := range script.Commands {
		out, err := cluster.Command(command)
		Expect(err).NotTo(HaveOccurred(), out)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	headers := func(key string) map[string]string {
		return map[string]string{"Authorization": "Bearer hasty", "Idempotency-Key": key}
	}
	for _, entry := range cluster.Entries {
		Eventually(func() (int, error) {
			answer, err := procs.Post(ctx, entry.URL()+"/services/desk/book", headers("first "+entry.URL()), "first", nil)
			return answer.Status, err
		}).WithTimeout(limit).Should(Equal(http.StatusOK))
	}
	answers := make([]procs.Answer, script.Bookings)
	var callers sync.WaitGroup
	for number := range script.Bookings {
		callers.Go(func() {
			defer GinkgoRecover()
			// The bookings are spread over the duration of the faults.
			time.Sleep(time.Duration(number) * 20 * time.Millisecond)
			body := fmt.Sprintf("kit %d", number)
			answer, err := procs.Post(ctx, cluster.Entries[number%2].URL()+"/services/desk/book", headers(body), body, nil)
			Expect(err).NotTo(HaveOccurred())
			answers[number] = answer
		})
	}
	for _, step := range script.Steps {
		applyStep(cluster, step)
	}
	callers.Wait()
	booked := map[string]int{}
	for _, vm := range cluster.VMs {
		runs, err := vm.Desk.Runs(ctx)
		Expect(err).NotTo(HaveOccurred())
		for body, count := range runs {
			booked[body] += count
		}
	}
	outcomes := map[string]int{}
	for _, answer := range answers {
		outcomes[answer.Outcome]++
	}
	GinkgoWriter.Println("outcomes", outcomes)
	for number, answer := range answers {
		count := booked[fmt.Sprintf("kit %d", number)]
		switch answer.Outcome {
		case "":
			Expect(count).To(Equal(1), answer.Text)
		case "notRun":
			Expect(count).To(BeZero(), answer.Text)
		default:
			Expect(answer.Outcome).To(Equal("unknown"), answer.Text)
			Expect(count).To(BeNumerically("<=", 1), answer.Text)
		}
	}
}

// Guards against requests that fail immediately while all endpoints restart.
var _ = It("keeps requests waiting while every endpoint restarts", func() {
	cluster := startCluster(procs.ClusterSettings{Entries: 1, VMs: 1, Engine: []string{"--interval", "5ms"}})
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	vm := cluster.VMs[0]
	Expect(vm.Endpoint.Kill()).To(Succeed())
	Expect(vm.Engine.Kill()).To(Succeed())
	const tokens = 20
	var callers sync.WaitGroup
	for number, token := range []string{"paid", "free", "paid", "free"} {
		callers.Go(func() {
			defer GinkgoRecover()
			body := fmt.Sprintf(`{"model":"guide-1","prompt":"waiting %d","max_tokens":%d,"stream":true}`, number, tokens)
			answer, err := procs.Complete(ctx, cluster.Entries[0].URL(), token, body, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Check(body, tokens)).To(Succeed())
		})
	}
	// The requests arrive while there is no endpoint.
	time.Sleep(500 * time.Millisecond)
	Expect(cluster.Start(vm)).To(Succeed())
	callers.Wait()
})

// Guards against slow engines that delay paid requests, against a caller that
// gets tokens of both racing attempts, and against a losing attempt that keeps
// running.
var _ = It("races a slow attempt and cancels the loser", func() {
	cluster := startCluster(procs.ClusterSettings{
		Entries: 1, VMs: 2, Engine: []string{"--interval", "1ms"},
		EngineOf: map[int][]string{1: {"--first-token", "1h"}},
	})
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	const tokens = 20
	slow := cluster.VMs[1].Engine
	for number := 0; ; number++ {
		body := fmt.Sprintf(`{"model":"guide-1","prompt":"race %d","max_tokens":%d,"stream":true}`, number, tokens)
		answer, err := procs.Complete(ctx, cluster.Entries[0].URL(), "paid", body, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Check(body, tokens)).To(Succeed())
		if runs, err := slow.Runs(ctx); err == nil && runs[answer.RequestID+".1"] == 1 {
			break
		}
	}
	Eventually(func() (int, error) { return runningRequests(slow) }).WithTimeout(limit).Should(BeZero())
})

func runningRequests(engine *procs.Process) (int, error) {
	response, err := http.Get(engine.Address + "/engine/load")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	var load fake.Load
	return load.Running, json.Unmarshal(text, &load)
}
