package route

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

const (
	poisonEntries  = 3
	poisonVMs      = 6
	poisonTokens   = 40
	innocents      = 18
	poisonSends    = 12
	restartAfter   = 300 * time.Millisecond
	poisonDeadline = 90 * time.Second
)

// PoisonResult is what a crashing request did.
type PoisonResult struct {
	// Lost counts the endpoints that went down.
	Lost int
	// Blocked counts innocent requests that were answered with 422.
	Blocked int
	// Innocent counts the innocent requests, Broken those without their whole answer.
	Innocent int
	Broken   []error
	// Refused is the answer of the last send; Refusals counts those with 422.
	Refused  procs.Answer
	Refusals int
}

// PoisonCluster starts the fleet for Poison.
func PoisonCluster(dir string) (*procs.Cluster, error) {
	return procs.NewCluster(procs.ClusterSettings{
		Dir: dir, Entries: poisonEntries, VMs: poisonVMs,
		Engine: []string{"--interval", "5ms", "--first-token", "30ms", "--slots", "8", "--crash-on", "poison"},
	})
}

// Poison sends a request that crashes its endpoint VM again and again through
// entry VMs chosen by a seed, beside innocent requests. Crashed VMs are restarted.
func Poison(cluster *procs.Cluster, seed uint64) (PoisonResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), poisonDeadline)
	defer cancel()
	result := PoisonResult{}
	stop := make(chan struct{})
	var mu sync.Mutex
	var running sync.WaitGroup
	for caller := range innocents {
		running.Go(func() {
			for round := 0; ; round++ {
				select {
				case <-stop:
					return
				default:
				}
				body := fmt.Sprintf(`{"model":"guide-1","prompt":"innocent %d-%d-%d","max_tokens":%d,"stream":true}`, seed, caller, round, poisonTokens)
				answer, err := procs.Complete(ctx, cluster.Entries[caller%poisonEntries].URL(), "paid", body, nil)
				if err == nil {
					err = answer.Check(body, poisonTokens)
				}
				mu.Lock()
				result.Innocent++
				if answer.Status == http.StatusUnprocessableEntity {
					result.Blocked++
				}
				if err != nil {
					result.Broken = append(result.Broken, err)
				}
				mu.Unlock()
			}
		})
	}
	restarts := make(chan error, 1)
	running.Go(func() {
		lost, err := restartCrashed(cluster, stop)
		mu.Lock()
		result.Lost = lost
		mu.Unlock()
		restarts <- err
	})
	random := rand.New(rand.NewPCG(seed, 0))
	body := fmt.Sprintf(`{"model":"guide-1","prompt":"poison %d","max_tokens":%d,"stream":true}`, seed, poisonTokens)
	var failure error
	for range poisonSends {
		answer, err := procs.Complete(ctx, cluster.Entries[random.IntN(poisonEntries)].URL(), "paid", body, nil)
		if err != nil {
			failure = err
			break
		}
		result.Refused = answer
		if answer.Status == http.StatusUnprocessableEntity {
			result.Refusals++
		}
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	// Lets the innocent requests that were hit by the last crash end.
	time.Sleep(2 * time.Second)
	close(stop)
	running.Wait()
	return result, errors.CombineErrors(failure, <-restarts)
}

// restartCrashed restarts endpoint VMs whose processes have ended and counts them.
func restartCrashed(cluster *procs.Cluster, stop <-chan struct{}) (int, error) {
	lost := 0
	for {
		for _, vm := range cluster.VMs {
			if !vm.Endpoint.Ended() {
				continue
			}
			lost++
			time.Sleep(restartAfter)
			if err := cluster.Start(vm); err != nil {
				return lost, err
			}
		}
		select {
		case <-stop:
			return lost, nil
		case <-time.After(restartAfter / 10):
		}
	}
}
