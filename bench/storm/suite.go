// Package storm measures the goodput that clients get after all entry VMs restarted at
// nearly the same time.
package storm

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/figure"
	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

const (
	entries   = 18
	endpoints = 12
	slots     = 8
	// rate is the number of requests per second, sent for loadDuration.
	rate         = 120
	loadDuration = 6 * time.Second
	// restartSpan is the period in which all entry VMs must be restarted.
	restartSpan = 2 * time.Second
	// gracePeriod is the time after the restart that the target excludes.
	gracePeriod = time.Second
	// goodputLimit is the longest time to the first event that counts as goodput.
	goodputLimit = time.Second
	readyTimeout = 30 * time.Second
	body         = `{"model":"guide-1","prompt":"quote for nails","max_tokens":8,"stream":true}`
)

var client = &http.Client{
	Timeout:   10 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableKeepAlives: true},
}

// Run measures the paid goodput before and after a restart of all entry VMs.
func Run(report *figure.Report) error {
	folder, err := os.MkdirTemp("", "hibiscuslug-storm")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	site, err := procs.NewSite(procs.SiteSettings{
		Folder: folder, Control: 3, Entries: entries, Endpoints: endpoints, Slots: slots,
		Model: []string{"--interval", "20ms"},
	})
	if err != nil {
		return errors.CombineErrors(err, closeSite(site))
	}
	defer func() { _ = closeSite(site) }()
	if err := site.Command("storm-customer", "create customer trader tier paid token s3cret"); err != nil {
		return err
	}
	if err := waitUntilReady(site); err != nil {
		return err
	}
	before := measure(site, report.Seed)
	if err := restart(site); err != nil {
		return err
	}
	time.Sleep(gracePeriod)
	after := measure(site, report.Seed)
	report.Add("storm.undisturbed", 100*before, "percent")
	report.Add("storm.paidGoodput", 100*after/before, "percent")
	return nil
}

func closeSite(site *procs.Site) error {
	if site == nil {
		return nil
	}
	return site.Close()
}

// waitUntilReady waits until every entry VM serves requests.
func waitUntilReady(site *procs.Site) error {
	for at := range site.Entries() {
		deadline := time.Now().Add(readyTimeout)
		for call(site.HTTP(at)) != nil {
			if time.Now().After(deadline) {
				return errors.Newf("entry VM %d does not serve requests: %v", at, call(site.HTTP(at)))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// restart kills and restarts every entry VM. The restarts begin spread over half of
// restartSpan.
func restart(site *procs.Site) error {
	var running conc.WaitGroup
	var mu sync.Mutex
	var failure error
	start := time.Now()
	for at := range site.Entries() {
		running.Go(func() {
			time.Sleep(time.Duration(at) * restartSpan / time.Duration(2*site.Entries()))
			err := errors.CombineErrors(site.Entry(at).Kill(), site.StartEntry(at))
			mu.Lock()
			defer mu.Unlock()
			failure = errors.CombineErrors(failure, err)
		})
	}
	running.Wait()
	if elapsed := time.Since(start); failure == nil && elapsed > restartSpan {
		return errors.Newf("restarting all entry VMs took %s, more than %s", elapsed, restartSpan)
	}
	return failure
}

// measure returns the share of requests that succeeded: the first event arrived
// within goodputLimit and the answer was complete.
func measure(site *procs.Site, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 3))
	var calls conc.WaitGroup
	var mu sync.Mutex
	good, all := 0, 0
	ticker := time.NewTicker(time.Second / rate)
	defer ticker.Stop()
	for end := time.Now().Add(loadDuration); time.Now().Before(end); <-ticker.C {
		all++
		address := site.HTTP(random.IntN(site.Entries()))
		calls.Go(func() {
			if call(address) == nil {
				mu.Lock()
				defer mu.Unlock()
				good++
			}
		})
	}
	calls.Wait()
	return float64(good) / float64(all)
}

// call sends one request and fails if its first event is late or its answer is
// incomplete.
func call(address string) error {
	start := time.Now()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer s3cret")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil {
		return err
	}
	timeToFirst := time.Since(start)
	rest, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || !bytes.HasSuffix(bytes.TrimSpace(rest), []byte("data: [DONE]")) {
		return errors.Newf("status %d: %s", response.StatusCode, rest)
	}
	if timeToFirst > goodputLimit {
		return errors.Newf("first event arrived only after %s", timeToFirst)
	}
	return nil
}
