// Package path benchmarks the latency that the entry VM and the endpoint process add
// to a request, and the throughput of one entry VM on one core.
package path

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/bench/small"
	"github.com/hibiscuslug/hibiscuslug/internal/figure"
)

const (
	latencyRate     = 200
	latencyDuration = 10 * time.Second
	warmUpDuration  = 2 * time.Second
	// rateDuration is the duration of each rate in the search for the maximum.
	rateDuration = 4 * time.Second
	// maxAddedLatency is the bound that the difference of the 99th percentiles must
	// stay below for a rate to count.
	maxAddedLatency = 5 * time.Millisecond
	tokenDuration   = 5 * time.Second
	tokenStreams    = 16
	tokenCount      = 2000
	// minAnsweredShare is the minimum share of a rate that must be answered for the
	// rate to count.
	minAnsweredShare = 0.98
)

// rates are measured in this order until one does not meet the conditions, in
// requests per second.
var rates = []int{500, 1000, 1500, 2000, 2500, 3000, 3500, 4000, 5000, 6000, 8000}

// Run measures the suite's figures.
func Run(report *figure.Report) error {
	if err := latency(report); err != nil {
		return err
	}
	if err := maxRate(report); err != nil {
		return err
	}
	return tokens(report)
}

func body(seed uint64, count int) string {
	return fmt.Sprintf(`{"model":"guide-1","prompt":"rail cut list %d","max_tokens":%d,"stream":true}`, seed, count)
}

// targets returns the same request through the entry VM and directly to an engine.
func targets(fleet *small.Fleet, seed uint64, count int) (through, direct small.Target) {
	text := body(seed, count)
	return small.Target{URL: fleet.Entry.HTTP + "/v1/completions", Body: text},
		small.Target{URL: fleet.Engines[0].Address + "/v1/completions", Body: text}
}

// latency measures the added latency at a constant, low rate.
func latency(report *figure.Report) (err error) {
	fleet, err := small.Start(small.Settings{Kind: "model", Engines: 1})
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, fleet.Close()) }()
	through, direct := targets(fleet, report.Seed, 16)
	client := small.NewClient()
	small.Open(client, latencyRate, warmUpDuration, through, direct)
	times := small.Open(client, latencyRate, latencyDuration, through, direct)
	if failed := times[0].Failed + times[1].Failed; failed > 0 {
		return errors.Newf("%d requests failed, the first with: %v", failed, errors.CombineErrors(times[0].Err, times[1].Err))
	}
	micros := func(percent float64, at int) float64 {
		return float64(times[at].Percentile(percent).Nanoseconds()) / 1e3
	}
	report.Add("path.directP50", micros(50, 1), "µs")
	report.Add("path.addedP50", micros(50, 0)-micros(50, 1), "µs")
	report.Add("path.addedP99", micros(99, 0)-micros(99, 1), "µs")
	return nil
}

// maxRate measures increasing rates, directly to the engine and through the entry
// VM, and reports the highest rate that meets the conditions.
func maxRate(report *figure.Report) (err error) {
	fleet, err := small.Start(small.Settings{Kind: "model", Engines: 1, OneCore: true})
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, fleet.Close()) }()
	through, direct := targets(fleet, report.Seed, 16)
	client := small.NewClient()
	small.Open(client, latencyRate, warmUpDuration, through, direct)
	best := 0.0
	for _, rate := range rates {
		directTimes := small.Open(client, rate, rateDuration, direct)[0]
		times := small.Open(client, rate, rateDuration, through)[0]
		added := times.Percentile(99) - directTimes.Percentile(99)
		report.Note("path.maxRate: at %d/s: answered %.0f/s, %d failed, added p99 %s, direct p99 %s", rate, times.Rate, times.Failed, added, directTimes.Percentile(99))
		if times.Failed > 0 || added >= maxAddedLatency || times.Rate < minAnsweredShare*float64(rate) {
			break
		}
		best = times.Rate
	}
	report.Add("path.maxRate", best, "requests/s")
	return nil
}

// tokens measures the token throughput of concurrent long streams.
func tokens(report *figure.Report) (err error) {
	fleet, err := small.Start(small.Settings{Kind: "model", Engines: 3, OneCore: true})
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, fleet.Close()) }()
	through, _ := targets(fleet, report.Seed, tokenCount)
	client := small.NewClient()
	var running conc.WaitGroup
	answered := make([]int, tokenStreams)
	failures := make([]error, tokenStreams)
	began := time.Now()
	for at := range tokenStreams {
		running.Go(func() {
			for time.Since(began) < tokenDuration && failures[at] == nil {
				_, failures[at] = client.Once(through, 0)
				answered[at]++
			}
		})
	}
	running.Wait()
	elapsed := time.Since(began)
	total := 0
	for at := range tokenStreams {
		if failures[at] != nil {
			return failures[at]
		}
		total += answered[at] * tokenCount
	}
	report.Add("path.tokensPerSecond", float64(total)/elapsed.Seconds(), "tokens/s")
	return nil
}
