package queue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/figure"
	"github.com/hibiscuslug/hibiscuslug/internal/procs"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	realEntries = 6
	realSlots   = 4
	// realInterval is the time between two events of a stream.
	realInterval = 10 * time.Millisecond
	// realTimeout is the timeout of one run, including its last responses.
	realTimeout = 60 * time.Second
	// realDuration is the period in which a run's requests arrive, in milliseconds.
	realDuration = 10 * second
	// realSize and realLongSize are the sizes of short and long requests, in events.
	realSize, realLongSize = 16, 16 * longRatio
)

// realCapacity returns the requests per second that the fake engines can run when
// each request produces size events.
func realCapacity(size float64) float64 {
	return engines * realSlots * second / (size * float64(realInterval.Milliseconds()))
}

// RunReal measures the policies with real processes: entry VMs, endpoint
// processes and fake engines with a limited number of slots.
func RunReal(report *figure.Report) error {
	fleet, err := procs.Deploy(procs.DeploymentSettings{
		Entries: realEntries, Engines: engines, Slots: realSlots, Interval: realInterval,
		Commands: []string{
			"alter tier paid patience 10s", "alter tier free patience 3s",
			"create customer paid0 tier paid token paid0", "create customer paid1 tier paid token paid1",
			"create customer free0 tier free token free0", "create customer free1 tier free token free1",
		},
	})
	if err != nil {
		return err
	}
	return errors.CombineErrors(measureReal(report, fleet), fleet.Stop())
}

func measureReal(report *figure.Report, fleet *procs.Deployment) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
	if err := waitForCustomers(client, fleet); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(report.Seed, 4))
	total := realCapacity(realSize)
	paid := realArrivals(random, wire.Tier_TIER_PAID, "paid", func(at float64) float64 { return total * paidDemand(at) }, 1.2*total, 0)
	free := realArrivals(random, wire.Tier_TIER_FREE, "free", constantRate(5*total), 5*total, 0)
	rate := 0.8 * realCapacity(realSize*(1-longShare)+realLongSize*longShare)
	work := realArrivals(random, wire.Tier_TIER_PAID, "paid", constantRate(rate), rate, longShare)
	short := func(job *job) bool { return !job.long }
	isPaid := func(job *job) bool { return job.tier == wire.Tier_TIER_PAID }

	alone, both, err := playInterleaved(client, fleet, paid, append(append([]*job(nil), paid...), free...))
	if err != nil {
		return err
	}
	served := func(jobs []*job) float64 {
		return float64(len(filter(append([]*job(nil), jobs...), func(job *job) bool { return job.finished > 0 })))
	}
	// Each side was played twice, and jobs of the warm-up count as well.
	spare := 2*total*realDuration/second - served(paidJobs(both))
	report.Add("burst.realPaidGoodput", 100*goodput(both, isPaid)/goodput(alone, isPaid), "percent")
	report.Add("burst.realPaidP99Ratio", p99(firstEventTimes(both, isPaid))/p99(firstEventTimes(alone, isPaid)), "ratio")
	report.Add("burst.realFreeFill", 100*(served(both)-served(paidJobs(both)))/spare, "percent")
	report.Note("real burst: paid p99 %.0f ms, alone %.0f ms", p99(firstEventTimes(both, isPaid)), p99(firstEventTimes(alone, isPaid)))

	shortAlone, mixed, err := playInterleaved(client, fleet, filter(append([]*job(nil), work...), short), work)
	if err != nil {
		return err
	}
	report.Add("hol.realShortP99Ratio", p99(lastEventTimes(mixed, short))/p99(lastEventTimes(shortAlone, short)), "ratio")
	report.Add("hol.realShortFirstP99Ratio", p99(firstEventTimes(mixed, short))/p99(firstEventTimes(shortAlone, short)), "ratio")
	report.Note("real hol: short p99 %.0f ms, alone %.0f ms, of %d requests", p99(lastEventTimes(mixed, short)),
		p99(lastEventTimes(shortAlone, short)), len(mixed))
	return nil
}

// playInterleaved plays the reference and the measured jobs twice each, with the
// reference first and last, so that a drift of the machine's load affects both
// alike.
func playInterleaved(client *http.Client, fleet *procs.Deployment, reference, measured []*job) (referenceRuns, measuredRuns []*job, err error) {
	for _, isReference := range []bool{true, false, false, true} {
		jobs, kept := merge(measured), &measuredRuns
		if isReference {
			jobs, kept = merge(reference), &referenceRuns
		}
		if err := playReal(client, fleet, jobs); err != nil {
			return nil, nil, err
		}
		*kept = append(*kept, jobs...)
	}
	return referenceRuns, measuredRuns, nil
}

func realArrivals(random *rand.Rand, tier wire.Tier, prefix string, rate func(float64) float64, peak, long float64) []*job {
	jobs := arrivals{
		tier: tier, prefix: prefix, customers: names(prefix, 2), patience: 10 * second, rate: rate, peak: peak, long: long,
	}.generate(random, realDuration)
	for _, job := range jobs {
		job.size = realSize
		if job.long {
			job.size = realLongSize
		}
	}
	return jobs
}

func paidJobs(jobs []*job) []*job {
	return filter(append([]*job(nil), jobs...), func(job *job) bool { return job.tier == wire.Tier_TIER_PAID })
}

// waitForCustomers waits until every entry VM serves every customer.
func waitForCustomers(client *http.Client, fleet *procs.Deployment) error {
	ctx, cancel := context.WithTimeout(context.Background(), realTimeout)
	defer cancel()
	for _, entry := range fleet.Entries {
		for _, token := range append(names("paid", 2), names("free", 2)...) {
			for procs.CompleteTimed(ctx, client, entry.HTTP, token, "first", 1).Status != http.StatusOK {
				select {
				case <-ctx.Done():
					return errors.Newf("entry VM %s does not serve customer %s", entry.Name, token)
				case <-time.After(50 * time.Millisecond):
				}
			}
		}
	}
	return nil
}

// playReal sends each job at its arrival time and records when its client received
// the first and the last event.
func playReal(client *http.Client, fleet *procs.Deployment, jobs []*job) error {
	ctx, cancel := context.WithTimeout(context.Background(), realTimeout)
	defer cancel()
	var requests conc.WaitGroup
	failures := make([]error, len(jobs))
	began := time.Now()
	for number, job := range jobs {
		time.Sleep(time.Until(began.Add(time.Duration(job.arrived * float64(time.Millisecond)))))
		requests.Go(func() {
			base := fleet.Entries[number%len(fleet.Entries)].HTTP
			response := procs.CompleteTimed(ctx, client, base, job.customer, fmt.Sprint(job.customer, " ", number), int(job.size))
			failures[number] = response.Err
			if response.Status == http.StatusOK && response.Err == nil {
				job.firstEvent = job.arrived + float64(response.FirstEvent)/float64(time.Millisecond)
				job.finished = job.arrived + float64(response.Total)/float64(time.Millisecond)
			}
		})
	}
	requests.Wait()
	failed := 0
	var last error
	for _, err := range failures {
		if err != nil {
			failed++
			last = err
		}
	}
	return errors.Wrapf(last, "%d of %d requests failed, the last with", failed, len(jobs))
}
