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
	silentClients  = 8
	silentTokens   = 350
	silentInterval = "10ms"
	slowClients    = 8
	slowTokens     = 5
	// slowFirstToken is the time that slow engines take for the first token.
	slowFirstToken = "10s"
	measureTimeout = 90 * time.Second
)

// hop is a direction of a connection, or a process, that becomes silent.
type hop struct {
	name    string
	silence func(*procs.Cluster) error
	// measure silences the hop and returns the time until the cluster recovered.
	measure func(context.Context, *procs.Cluster, hop, *rand.Rand) (time.Duration, error)
}

// silenceProxy returns a function that silences the connections through a proxy in
// one direction. It fails if there are none.
func silenceProxy(proxyOf func(*procs.Cluster) *fault.Proxy, direction fault.Direction) func(*procs.Cluster) error {
	return func(cluster *procs.Cluster) error {
		if proxyOf(cluster).Silence(direction) == 0 {
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
		{"entry VM to endpoint process", silenceProxy(toEndpoint, fault.Upstream), streamGap},
		{"endpoint process to entry VM", silenceProxy(toEndpoint, fault.Downstream), streamGap},
		{"endpoint process to engine", silenceProxy(toEngine, fault.Upstream), streamGap},
		{"engine to endpoint process", silenceProxy(toEngine, fault.Downstream), streamGap},
		{"entry VM to control VM", silenceProxy(toControl, fault.Upstream), changeGap},
		{"control VM to entry VM", silenceProxy(toControl, fault.Downstream), changeGap},
		{"endpoint process stands still", func(cluster *procs.Cluster) error {
			return cluster.VMs[0].Endpoint.Signal(syscall.SIGSTOP)
		}, streamGap},
		{"engine stands still", func(cluster *procs.Cluster) error { return cluster.VMs[0].Engine.Signal(syscall.SIGSTOP) }, streamGap},
	}
}

// silent reports the longest recovery time over all hops and seeds.
func silent(report *figure.Report) error {
	worst := time.Duration(0)
	for _, hop := range hops() {
		for seed := report.Seed; seed < report.Seed+seeds; seed++ {
			recovery, err := withCluster(procs.ClusterSettings{Entries: 1, VMs: 3, Engine: []string{"--interval", silentInterval}}, func(cluster *procs.Cluster) (time.Duration, error) {
				ctx, cancel := context.WithTimeout(context.Background(), measureTimeout)
				defer cancel()
				return hop.measure(ctx, cluster, hop, rand.New(rand.NewPCG(seed, 0)))
			})
			if err != nil {
				return errors.Wrapf(err, "%s, seed %d", hop.name, seed)
			}
			report.Note("silent.recovery %s, seed %d: %d ms", hop.name, seed, recovery.Milliseconds())
			worst = max(worst, recovery)
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

// streamGap silences a hop while clients stream. It returns the longest gap between
// two tokens of a stream, or the longest time to the first token of a request that
// is sent after the fault, whichever is longer.
func streamGap(ctx context.Context, cluster *procs.Cluster, hop hop, random *rand.Rand) (time.Duration, error) {
	if err := warm(ctx, cluster); err != nil {
		return 0, err
	}
	var streaming atomic.Int64
	var mu sync.Mutex
	var clients sync.WaitGroup
	var failure error
	worst := time.Duration(0)
	faultAfter := 20 + random.IntN(50)
	for number := range silentClients {
		clients.Go(func() {
			body := fmt.Sprintf(`{"model":"guide-1","prompt":"%s %d","max_tokens":%d,"stream":true}`, hop.name, number, silentTokens)
			last, gap := time.Now(), time.Duration(0)
			answer, err := procs.Complete(ctx, cluster.Entries[0].URL(), "paid", body, func(count int) {
				if count > 1 {
					gap = max(gap, time.Since(last))
				}
				last = time.Now()
				if count == faultAfter {
					streaming.Add(1)
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
	for streaming.Load() < silentClients && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	err := hop.silence(cluster)
	for number := range silentClients {
		clients.Go(func() {
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
	clients.Wait()
	return worst, errors.CombineErrors(err, failure)
}

// warm sends requests so that every process has idle connections, which the fault
// silences as well.
func warm(ctx context.Context, cluster *procs.Cluster) error {
	var clients sync.WaitGroup
	failures := make(chan error, 3*silentClients)
	for number := range 3 * silentClients {
		clients.Go(func() {
			body := fmt.Sprintf(`{"model":"guide-1","prompt":"warm %d","max_tokens":%d,"stream":true}`, number, 2*slowTokens)
			answer, err := procs.Complete(ctx, cluster.Entries[0].URL(), "paid", body, nil)
			if err == nil {
				err = answer.Check(body, 2*slowTokens)
			}
			failures <- err
		})
	}
	clients.Wait()
	close(failures)
	var failure error
	for err := range failures {
		failure = errors.CombineErrors(failure, err)
	}
	return failure
}

// changeGap silences a hop to or from a control VM and returns the time from a
// configuration change there until it takes effect at the entry VM.
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

// falseAlarms counts false alarms with engines that are slow but alive: connections
// that were treated as silent and requests that ran more than once.
func falseAlarms(report *figure.Report) error {
	settings := procs.ClusterSettings{Entries: 2, VMs: 2, Engine: []string{"--first-token", slowFirstToken, "--interval", silentInterval}}
	alarms, err := withCluster(settings, func(cluster *procs.Cluster) (int, error) {
		ctx, cancel := context.WithTimeout(context.Background(), measureTimeout)
		defer cancel()
		if err := sendSlow(ctx, cluster); err != nil {
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

func sendSlow(ctx context.Context, cluster *procs.Cluster) error {
	var clients sync.WaitGroup
	failures := make(chan error, 2*slowClients)
	for number := range 2 * slowClients {
		clients.Go(func() {
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
	clients.Wait()
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
