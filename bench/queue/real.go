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
	realEntries  = 6
	realSlots    = 4
	realInterval = 10 * time.Millisecond
	// realLimit bounds one run, its last answers included.
	realLimit = 60 * time.Second
	// realLength is the time over which a run's requests are spread, in milliseconds.
	realLength = 10 * second
	// realSize is the size of short requests.
	realSize, realLongSize = 16, 16 * longRatio
)

// realCapacity is the requests of a size a second that the fakes run.
func realCapacity(size float64) float64 {
	return engines * realSlots * second / (size * float64(realInterval.Milliseconds()))
}

// RunReal measures the policies with real processes: entry VMs, endpoint
// processes and fake engines with bounded slots.
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
	if err := warm(client, fleet); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(report.Seed, 4))
	whole := realCapacity(realSize)
	paid := realArrivals(random, wire.Tier_TIER_PAID, "paid", func(at float64) float64 { return whole * swing(at) }, 1.2*whole, 0)
	free := realArrivals(random, wire.Tier_TIER_FREE, "free", steady(5*whole), 5*whole, 0)
	rate := 0.8 * realCapacity(realSize*(1-longShare)+realLongSize*longShare)
	work := realArrivals(random, wire.Tier_TIER_PAID, "paid", steady(rate), rate, longShare)
	short := func(job *job) bool { return !job.long }
	isPaid := func(job *job) bool { return job.tier == wire.Tier_TIER_PAID }

	alone, both, err := sideBySide(client, fleet, paid, append(append([]*job(nil), paid...), free...))
	if err != nil {
		return err
	}
	served := func(jobs []*job) float64 {
		return float64(len(keep(append([]*job(nil), jobs...), func(job *job) bool { return job.finished > 0 })))
	}
	// Two runs of each are pooled, and all jobs count, warm-up or not.
	left := 2*whole*realLength/second - served(paidOf(both))
	report.Add("burst.realPaidGoodput", 100*goodput(both, isPaid)/goodput(alone, isPaid), "percent")
	report.Add("burst.realPaidP99Ratio", p99(firsts(both, isPaid))/p99(firsts(alone, isPaid)), "ratio")
	report.Add("burst.realFreeFill", 100*(served(both)-served(paidOf(both)))/left, "percent")
	report.Note("real burst: paid p99 %.0f ms, alone %.0f ms", p99(firsts(both, isPaid)), p99(firsts(alone, isPaid)))

	shortAlone, mixed, err := sideBySide(client, fleet, keep(append([]*job(nil), work...), short), work)
	if err != nil {
		return err
	}
	report.Add("hol.realShortP99Ratio", p99(wholes(mixed, short))/p99(wholes(shortAlone, short)), "ratio")
	report.Add("hol.realShortFirstP99Ratio", p99(firsts(mixed, short))/p99(firsts(shortAlone, short)), "ratio")
	report.Note("real hol: short p99 %.0f ms, alone %.0f ms, of %d requests", p99(wholes(mixed, short)),
		p99(wholes(shortAlone, short)), len(mixed))
	return nil
}

// sideBySide plays the reference and the measured jobs twice each, with the
// reference first and last, so that a drift of the machine's
// load touches both alike.
func sideBySide(client *http.Client, fleet *procs.Deployment, reference, measured []*job) (first, second []*job, err error) {
	for _, isReference := range []bool{true, false, false, true} {
		jobs, kept := merge(measured), &second
		if isReference {
			jobs, kept = merge(reference), &first
		}
		if err := playReal(client, fleet, jobs); err != nil {
			return nil, nil, err
		}
		*kept = append(*kept, jobs...)
	}
	return first, second, nil
}

func realArrivals(random *rand.Rand, tier wire.Tier, prefix string, rate func(float64) float64, peak, long float64) []*job {
	jobs := arrivals{
		tier: tier, prefix: prefix, custom: names(prefix, 2), patience: 10 * second, rate: rate, peak: peak, long: long,
	}.generate(random, realLength)
	for _, job := range jobs {
		job.size = realSize
		if job.long {
			job.size = realLongSize
		}
	}
	return jobs
}

func paidOf(jobs []*job) []*job {
	return keep(append([]*job(nil), jobs...), func(job *job) bool { return job.tier == wire.Tier_TIER_PAID })
}

// warm waits until every entry VM knows every customer.
func warm(client *http.Client, fleet *procs.Deployment) error {
	ctx, cancel := context.WithTimeout(context.Background(), realLimit)
	defer cancel()
	for _, entry := range fleet.Entries {
		for _, token := range append(names("paid", 2), names("free", 2)...) {
			for procs.CompleteTimed(ctx, client, entry.HTTP, token, "first", 1).Status != http.StatusOK {
				select {
				case <-ctx.Done():
					return errors.Newf("entry VM %s does not serve %s", entry.Name, token)
				case <-time.After(50 * time.Millisecond):
				}
			}
		}
	}
	return nil
}

// playReal sends the jobs at their times and records what their callers saw.
func playReal(client *http.Client, fleet *procs.Deployment, jobs []*job) error {
	ctx, cancel := context.WithTimeout(context.Background(), realLimit)
	defer cancel()
	var callers conc.WaitGroup
	failures := make([]error, len(jobs))
	began := time.Now()
	for number, job := range jobs {
		time.Sleep(time.Until(began.Add(time.Duration(job.at * float64(time.Millisecond)))))
		callers.Go(func() {
			base := fleet.Entries[number%len(fleet.Entries)].HTTP
			seen := procs.CompleteTimed(ctx, client, base, job.customer, fmt.Sprint(job.customer, " ", number), int(job.size))
			failures[number] = seen.Err
			if seen.Status == http.StatusOK && seen.Err == nil {
				job.first = job.at + float64(seen.FirstEvent)/float64(time.Millisecond)
				job.finished = job.at + float64(seen.Total)/float64(time.Millisecond)
			}
		})
	}
	callers.Wait()
	broken := 0
	var last error
	for _, err := range failures {
		if err != nil {
			broken++
			last = err
		}
	}
	return errors.Wrapf(last, "%d of %d answers", broken, len(jobs))
}
