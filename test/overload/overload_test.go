// Package overload_test sends real processes ten times the load they can serve, and
// checks that paid requests take precedence over free ones.
package overload_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

func TestOverload(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Overload")
}

// limit is far above the patience of the tiers, so that no result depends on it.
const limit = 60 * time.Second

// script holds the size of a deployment and the load that it gets. Paid and Free
// are numbers of requests, sent within Millis milliseconds. IntervalMillis is the
// time between events.
type script struct {
	Seed           uint64   `json:"seed"`
	Entries        int      `json:"entries"`
	Engines        int      `json:"engines"`
	Slots          int      `json:"slots"`
	IntervalMillis int      `json:"intervalMillis"`
	Events         int      `json:"events"`
	FreeEvents     int      `json:"freeEvents"`
	Millis         int      `json:"millis"`
	Paid           int      `json:"paid"`
	Free           int      `json:"free"`
	Commands       []string `json:"commands"`
	PaidTokens     []string `json:"paidTokens"`
	FreeTokens     []string `json:"freeTokens"`
}

// Guards against requests that are reported as not run although they ran,
// truncated responses, and free requests that are served instead of paid ones.
var _ = It("serves paid requests first at ten times capacity and refuses the rest early", func() {
	script := load("testdata/overload.json")
	deployment := deploy(script)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
	awaitTokens(ctx, client, deployment, append(script.PaidTokens, script.FreeTokens...))

	paid, free := send(ctx, client, deployment, script)

	runs := countAttempts(deployment)
	paidServed, freeServed := check(paid, runs, script.Seed), check(free, runs, script.Seed)
	AddReportEntry(fmt.Sprintf("paid served %d of %d, free served %d of %d", paidServed, len(paid), freeServed, len(free)))
	Expect(paidServed).To(BeNumerically("<", len(paid)), "the load did not exceed the capacity, seed %d", script.Seed)
	Expect(paidServed*len(free)).To(BeNumerically(">", freeServed*len(paid)), "paid served %d of %d, free %d of %d, seed %d",
		paidServed, len(paid), freeServed, len(free), script.Seed)
})

func load(path string) script {
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	var settings script
	Expect(json.Unmarshal(text, &settings)).To(Succeed())
	return settings
}

func deploy(script script) *procs.Deployment {
	deployment, err := procs.Deploy(procs.DeploymentSettings{
		Entries: script.Entries, Engines: script.Engines, Slots: script.Slots,
		Interval: time.Duration(script.IntervalMillis) * time.Millisecond, Commands: script.Commands,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(deployment.Stop)
	return deployment
}

// awaitTokens waits until every entry VM serves every customer.
func awaitTokens(ctx context.Context, client *http.Client, deployment *procs.Deployment, tokens []string) {
	for _, entry := range deployment.Entries {
		for _, token := range tokens {
			Eventually(func() int {
				return procs.CompleteTimed(ctx, client, entry.HTTP, token, "first", 1).Status
			}).WithTimeout(limit).Should(Equal(http.StatusOK))
		}
	}
}

// send sends the requests at random times within the duration of the script.
func send(ctx context.Context, client *http.Client, deployment *procs.Deployment, script script) (paid, free []procs.Completion) {
	random := rand.New(rand.NewPCG(script.Seed, 0))
	paid, free = make([]procs.Completion, script.Paid), make([]procs.Completion, script.Free)
	var callers conc.WaitGroup
	begin := time.Now()
	start := func(result *procs.Completion, prompt, token string) {
		at := time.Duration(random.IntN(script.Millis)) * time.Millisecond
		base := deployment.Entries[random.IntN(len(deployment.Entries))].HTTP
		callers.Go(func() {
			time.Sleep(time.Until(begin.Add(at)))
			*result = procs.CompleteTimed(ctx, client, base, token, prompt, script.Events)
		})
	}
	for at := range paid {
		start(&paid[at], fmt.Sprint("paid", at), script.PaidTokens[at%len(script.PaidTokens)])
	}
	for at := range free {
		start(&free[at], fmt.Sprint("free", at), script.FreeTokens[at%len(script.FreeTokens)])
	}
	callers.Wait()
	return paid, free
}

// countAttempts returns the number of attempts that engines ran for each request,
// and checks that no attempt ran twice.
func countAttempts(deployment *procs.Deployment) map[string]int {
	all := map[string]int{}
	for _, engine := range deployment.Engines {
		body, err := deployment.Page(engine, "/engine/runs")
		Expect(err).NotTo(HaveOccurred())
		var runs map[string]int
		Expect(json.Unmarshal([]byte(body), &runs)).To(Succeed())
		for attempt, count := range runs {
			Expect(count).To(Equal(1), "attempt %s", attempt)
			all[attempt[:strings.LastIndex(attempt, ".")]]++
		}
	}
	return all
}

// check compares the results of callers with the runs at engines and returns the
// number of served requests.
func check(results []procs.Completion, runs map[string]int, seed uint64) int {
	served := 0
	for _, result := range results {
		Expect(result.Err).NotTo(HaveOccurred(), "seed %d", seed)
		if result.Status == http.StatusOK {
			served++
			Expect(runs).To(HaveKey(result.RequestID), "served but not run, seed %d", seed)
			continue
		}
		Expect(result.Status).To(BeElementOf(http.StatusTooManyRequests, http.StatusServiceUnavailable), "seed %d", seed)
		Expect(result.Outcome).To(Equal("notRun"), "request %s, seed %d", result.RequestID, seed)
		Expect(result.RetryAfter).NotTo(BeEmpty(), "request %s, seed %d", result.RequestID, seed)
		Expect(runs).NotTo(HaveKey(result.RequestID), "refused but run, seed %d", seed)
	}
	return served
}
