// Package storm measures what callers get after all entry VMs restart at once.
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
	rate      = 120
	span      = 6 * time.Second
	// restartSpan is the time within which all entry VMs are restarted.
	restartSpan = 2 * time.Second
	// grace is the first second after, which the target leaves out.
	grace      = time.Second
	goodWithin = time.Second
	readyLimit = 30 * time.Second
	body       = `{"model":"guide-1","prompt":"quote for nails","max_tokens":8,"stream":true}`
)

var client = &http.Client{
	Timeout:   10 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableKeepAlives: true},
}

// Run measures paid goodput before and after a restart of all entry VMs.
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
	if err := ready(site); err != nil {
		return err
	}
	before := measure(site, report.Seed)
	if err := restart(site); err != nil {
		return err
	}
	time.Sleep(grace)
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

// ready waits until every entry VM answers.
func ready(site *procs.Site) error {
	for at := range site.Entries() {
		deadline := time.Now().Add(readyLimit)
		for call(site.HTTP(at)) != nil {
			if time.Now().After(deadline) {
				return errors.Newf("entry VM %d does not answer: %v", at, call(site.HTTP(at)))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// restart kills every entry VM and starts it again, spread over restartSpan.
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
	if spent := time.Since(start); failure == nil && spent > restartSpan {
		return errors.Newf("the restart took %s, more than %s", spent, restartSpan)
	}
	return failure
}

// measure returns the share of requests whose first event came in time and
// whose answer was whole.
func measure(site *procs.Site, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 3))
	var calls conc.WaitGroup
	var mu sync.Mutex
	good, all := 0, 0
	ticker := time.NewTicker(time.Second / rate)
	defer ticker.Stop()
	for end := time.Now().Add(span); time.Now().Before(end); <-ticker.C {
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

// call sends one request and fails when its first event is late or its answer
// is not whole.
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
	waited := time.Since(start)
	rest, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || !bytes.HasSuffix(bytes.TrimSpace(rest), []byte("data: [DONE]")) {
		return errors.Newf("status %d: %s", response.StatusCode, rest)
	}
	if waited > goodWithin {
		return errors.Newf("first event after %s", waited)
	}
	return nil
}
