// Package overload_test sends real processes ten times the work they can do.
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

// limit is far above what any caller's patience allows.
const limit = 60 * time.Second

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

// Guards against refusing work that ran, running refused work, torn answers,
// and free work served in place of paid work.
var _ = It("serves paid work first at ten times capacity and refuses the rest early", func() {
	script := load("testdata/overload.json")
	fleet := deploy(script)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
	awaitTokens(ctx, client, fleet, append(script.PaidTokens, script.FreeTokens...))

	paid, free := send(ctx, client, fleet, script)

	runs := counts(fleet)
	paidServed, freeServed := check(paid, runs, script.Seed), check(free, runs, script.Seed)
	AddReportEntry(fmt.Sprintf("paid served %d of %d, free served %d of %d", paidServed, len(paid), freeServed, len(free)))
	Expect(paidServed).To(BeNumerically("<", len(paid)), "the load was no overload, seed %d", script.Seed)
	Expect(paidServed*len(free)).To(BeNumerically(">", freeServed*len(paid)), "paid served %d of %d, free %d of %d, seed %d",
		paidServed, len(paid), freeServed, len(free), script.Seed)
})

func load(path string) script {
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	var read script
	Expect(json.Unmarshal(text, &read)).To(Succeed())
	return read
}

func deploy(script script) *procs.Deployment {
	fleet, err := procs.Deploy(procs.DeploymentSettings{
		Entries: script.Entries, Engines: script.Engines, Slots: script.Slots,
		Interval: time.Duration(script.IntervalMillis) * time.Millisecond, Commands: script.Commands,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(fleet.Stop)
	return fleet
}

// awaitTokens waits until every entry VM knows every customer.
func awaitTokens(ctx context.Context, client *http.Client, fleet *procs.Deployment, tokens []string) {
	for _, entry := range fleet.Entries {
		for _, token := range tokens {
			Eventually(func() int {
				return procs.CompleteTimed(ctx, client, entry.HTTP, token, "first", 1).Status
			}).WithTimeout(limit).Should(Equal(http.StatusOK))
		}
	}
}

// send spreads the requests evenly over the script's time.
func send(ctx context.Context, client *http.Client, fleet *procs.Deployment, script script) (paid, free []procs.Completion) {
	random := rand.New(rand.NewPCG(script.Seed, 0))
	paid, free = make([]procs.Completion, script.Paid), make([]procs.Completion, script.Free)
	var callers conc.WaitGroup
	began := time.Now()
	one := func(seen *procs.Completion, prompt, token string) {
		at := time.Duration(random.IntN(script.Millis)) * time.Millisecond
		base := fleet.Entries[random.IntN(len(fleet.Entries))].HTTP
		callers.Go(func() {
			time.Sleep(time.Until(began.Add(at)))
			*seen = procs.CompleteTimed(ctx, client, base, token, prompt, script.Events)
		})
	}
	for at := range paid {
		one(&paid[at], fmt.Sprint("paid", at), script.PaidTokens[at%len(script.PaidTokens)])
	}
	for at := range free {
		one(&free[at], fmt.Sprint("free", at), script.FreeTokens[at%len(script.FreeTokens)])
	}
	callers.Wait()
	return paid, free
}

// counts returns how often the engines ran each request and each of its attempts.
func counts(fleet *procs.Deployment) map[string]int {
	all := map[string]int{}
	for _, engine := range fleet.Engines {
		page, err := fleet.Page(engine, "/engine/runs")
		Expect(err).NotTo(HaveOccurred())
		var runs map[string]int
		Expect(json.Unmarshal([]byte(page), &runs)).To(Succeed())
		for attempt, count := range runs {
			Expect(count).To(Equal(1), "attempt %s", attempt)
			all[attempt[:strings.LastIndex(attempt, ".")]]++
		}
	}
	return all
}

// check compares what callers saw with what engines ran, and counts the served.
func check(seen []procs.Completion, runs map[string]int, seed uint64) int {
	served := 0
	for _, answer := range seen {
		Expect(answer.Err).NotTo(HaveOccurred(), "seed %d", seed)
		if answer.Status == http.StatusOK {
			served++
			Expect(runs).To(HaveKey(answer.RequestID), "answered but not run, seed %d", seed)
			continue
		}
		Expect(answer.Status).To(BeElementOf(http.StatusTooManyRequests, http.StatusServiceUnavailable), "seed %d", seed)
		Expect(answer.Outcome).To(Equal("notRun"), "request %s, seed %d", answer.RequestID, seed)
		Expect(answer.RetryAfter).NotTo(BeEmpty(), "request %s, seed %d", answer.RequestID, seed)
		Expect(runs).NotTo(HaveKey(answer.RequestID), "refused but run, seed %d", seed)
	}
	return served
}
