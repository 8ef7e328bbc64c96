package route

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/fault"
	"github.com/hibiscuslug/hibiscuslug/internal/figure"
	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

const (
	silentCallers  = 8
	silentTokens   = 350
	silentInterval = "10ms"
	slowCallers    = 8
	slowTokens     = 5
	slowFirst      = "10s"
	benchLimit     = 90 * time.Second
)

// hop is a way or a process that falls silent.
type hop struct {
	name    string
	silence func(*procs.Cluster) error
	// measure returns the time until work flows again.
	measure func(context.Context, *procs.Cluster, hop, *rand.Rand) (time.Duration, error)
}

func onWay(way func(*procs.Cluster) *fault.Proxy, ways fault.Direction) func(*procs.Cluster) error {
	return func(cluster *procs.Cluster) error {
		if way(cluster).Silence(ways) == 0 {
			return errors.New("no connection to silence")
		}
		return nil
	}
}

func hops() []hop {
	toEndpoint := func(cluster *procs.Cluster) *fault.Proxy { return cluster.VMs[0].ToEndpoint }
	toEngine := func(cluster *procs.Cluster) *fault.Proxy { return cluster.VMs[0].ToEngine }
	toControl := func(cluster *procs.Cluster) *fault.Proxy { return cluster.ToControl }
	return []hop{
		{"entry VM to endpoint process", onWay(toEndpoint, fault.Upstream), streamGap},
		{"endpoint process to entry VM", onWay(toEndpoint, fault.Downstream), streamGap},
		{"endpoint process to engine", onWay(toEngine, fault.Upstream), streamGap},
		{"engine to endpoint process", onWay(toEngine, fault.Downstream), streamGap},
		{"entry VM to control VM", onWay(toControl, fault.Upstream), changeGap},
		{"control VM to entry VM", onWay(toControl, fault.Downstream), changeGap},
		{"endpoint process stands still", func(cluster *procs.Cluster) error {
			return cluster.VMs[0].Endpoint.Signal(syscall.SIGSTOP)
		}, streamGap},
		{"engine stands still", func(cluster *procs.Cluster) error { return cluster.VMs[0].Engine.Signal(syscall.SIGSTOP) }, streamGap},
	}
}

// silent reports the worst time over all hops and seeds.
func silent(report *figure.Report) error {
	worst := time.Duration(0)
	for _, hop := range hops() {
		for seed := report.Seed; seed < report.Seed+seeds; seed++ {
			span, err := withCluster(procs.ClusterSettings{Entries: 1, VMs: 3, Engine: []string{"--interval", silentInterval}}, func(cluster *procs.Cluster) (time.Duration, error) {
				ctx, cancel := context.WithTimeout(context.Background(), benchLimit)
				defer cancel()
				return hop.measure(ctx, cluster, hop, rand.New(rand.NewPCG(seed, 0)))
			})
			if err != nil {
				return errors.Wrapf(err, "%s, seed %d", hop.name, seed)
			}
			report.Note("silent.recovery %s, seed %d: %d ms", hop.name, seed, span.Milliseconds())
			worst = max(worst, span)
		}
	}
	report.Add("silent.recovery", float64(worst.Milliseconds()), "ms")
	return nil
}

func withCluster[T any](settings procs.ClusterSettings, measure func(*procs.Cluster) (T, error)) (T, error) {
	var none T
	dir, err := os.MkdirTemp("", "hibbench")
	if err != nil {
		return none, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	settings.Dir = dir
	cluster, err := procs.NewCluster(settings)
	if err != nil {
		return none, err
	}
	defer func() { _ = cluster.Close() }()
	return measure(cluster)
}

// streamGap returns the longest pause between two tokens of any caller, or the
// longest wait for the first token of a request that is sent after the fault.
func streamGap(ctx context.Context, cluster *procs.Cluster, hop hop, random *rand.Rand) (time.Duration, error) {
	if err := warm(ctx, cluster); err != nil {
		return 0, err
	}
	var far atomic.Int64
	var mu sync.Mutex
	var callers sync.WaitGroup
	var failure error
	worst := time.Duration(0)
	after := 20 + random.IntN(50)
	for number := range silentCallers {
		callers.Go(func() {
			body := fmt.Sprintf(`{"model":"guide-1","prompt":"%s %d","max_tokens":%d,"stream":true}`, hop.name, number, silentTokens)
			last, gap := time.Now(), time.Duration(0)
			answer, err := procs.Complete(ctx, cluster.Entries[0].URL(), "paid", body, func(count int) {
				if count > 1 {
					gap = max(gap, time.Since(last))
				}
				last = time.Now()
				if count == after {
					far.Add(1)
				}
			})
			if err == nil {
				err = answer.Check(body, silentTokens)
			}
			mu.Lock()
			defer mu.Unlock()
			worst, failure = max(worst, gap), errors.CombineErrors(failure, err)
		})
	}
	for far.Load() < silentCallers && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	err := hop.silence(cluster)
	for number := range silentCallers {
		callers.Go(func() {
			body := fmt.Sprintf(`{"model":"guide-1","prompt":"new on %s %d","max_tokens":%d,"stream":true}`, hop.name, number, slowTokens)
			begin, first := time.Now(), time.Duration(0)
			answer, err := procs.Complete(ctx, cluster.Entries[0].URL(), "paid", body, func(count int) {
				if count == 1 {
					first = time.Since(begin)
				}
			})
			if err == nil {
				err = answer.Check(body, slowTokens)
			}
			mu.Lock()
			defer mu.Unlock()
			worst, failure = max(worst, first), errors.CombineErrors(failure, err)
		})
	}
	callers.Wait()
	return worst, errors.CombineErrors(err, failure)
}

// warm leaves idle connections on every way, which a fault silences as well.
func warm(ctx context.Context, cluster *procs.Cluster) error {
	var callers sync.WaitGroup
	failures := make(chan error, 3*silentCallers)
	for number := range 3 * silentCallers {
		callers.Go(func() {
			body := fmt.Sprintf(`{"model":"guide-1","prompt":"warm %d","max_tokens":%d,"stream":true}`, number, 2*slowTokens)
			answer, err := procs.Complete(ctx, cluster.Entries[0].URL(), "paid", body, nil)
			if err == nil {
				err = answer.Check(body, 2*slowTokens)
			}
			failures <- err
		})
	}
	callers.Wait()
	close(failures)
	var failure error
	for err := range failures {
		failure = errors.CombineErrors(failure, err)
	}
	return failure
}

// changeGap returns the time from a change at control to its effect at the entry VM.
func changeGap(ctx context.Context, cluster *procs.Cluster, hop hop, random *rand.Rand) (time.Duration, error) {
	time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	if err := hop.silence(cluster); err != nil {
		return 0, err
	}
	begin := time.Now()
	if out, err := cluster.CommandAtControl("create customer late tier paid token late"); err != nil {
		return 0, errors.Wrap(err, out)
	}
	for ctx.Err() == nil {
		answer, err := procs.Complete(ctx, cluster.Entries[0].URL(), "late", `{"model":"guide-1","prompt":"late","max_tokens":1,"stream":true}`, nil)
		if err == nil && answer.Done {
			return time.Since(begin), nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return 0, ctx.Err()
}

// falseAlarms counts what was done to live but slow engines: connections taken
// for silent and requests run more than once.
func falseAlarms(report *figure.Report) error {
	settings := procs.ClusterSettings{Entries: 2, VMs: 2, Engine: []string{"--first-token", slowFirst, "--interval", silentInterval}}
	alarms, err := withCluster(settings, func(cluster *procs.Cluster) (int, error) {
		ctx, cancel := context.WithTimeout(context.Background(), benchLimit)
		defer cancel()
		if err := askSlow(ctx, cluster); err != nil {
			return 0, err
		}
		return countAlarms(ctx, cluster)
	})
	if err != nil {
		return err
	}
	report.Add("silent.falseAlarms", float64(alarms), "alarms")
	return nil
}

func askSlow(ctx context.Context, cluster *procs.Cluster) error {
	var callers sync.WaitGroup
	failures := make(chan error, 2*slowCallers)
	for number := range 2 * slowCallers {
		callers.Go(func() {
			stream := number%2 == 0
			body := fmt.Sprintf(`{"model":"guide-1","prompt":"slow %d","max_tokens":%d,"stream":%t}`, number, slowTokens, stream)
			answer, err := procs.Complete(ctx, cluster.Entries[number%2].URL(), "paid", body, nil)
			switch {
			case err != nil:
			case stream:
				err = answer.Check(body, slowTokens)
			case answer.Status != 200:
				err = errors.Newf("slow request %d: status %d: %s", number, answer.Status, answer.Text)
			}
			failures <- err
		})
	}
	callers.Wait()
	close(failures)
	var failure error
	for err := range failures {
		failure = errors.CombineErrors(failure, err)
	}
	return failure
}

func countAlarms(ctx context.Context, cluster *procs.Cluster) (int, error) {
	alarms := 0
	requests := map[string]int{}
	for _, vm := range cluster.VMs {
		runs, err := vm.Engine.Runs(ctx)
		if err != nil {
			return 0, err
		}
		for id, count := range runs {
			requests[id[:strings.LastIndex(id, ".")]] += count
		}
	}
	for _, count := range requests {
		alarms += count - 1
	}
	for _, entry := range cluster.Entries {
		alarms += strings.Count(entry.Process.Log(), " event=202 ")
	}
	return alarms, nil
}
