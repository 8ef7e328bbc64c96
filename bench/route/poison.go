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
	poisonEntries   = 3
	poisonVMs       = 6
	poisonTokens    = 40
	innocentClients = 18
	poisonRequests  = 12
	restartDelay    = 300 * time.Millisecond
	poisonTimeout   = 90 * time.Second
)

// PoisonResult describes the effects of a request that crashes engines.
type PoisonResult struct {
	// Crashed counts the endpoints that crashed.
	Crashed int
	// Blocked counts the innocent requests that were refused with status 422.
	Blocked int
	// Innocent counts the innocent requests. Broken has an error for each of them
	// that did not get its complete answer.
	Innocent int
	Broken   []error
	// LastAnswer is the answer to the last crashing request. Refusals counts the
	// crashing requests that were refused with status 422.
	LastAnswer procs.Answer
	Refusals   int
}

// PoisonCluster starts the cluster for Poison.
func PoisonCluster(dir string) (*procs.Cluster, error) {
	return procs.NewCluster(procs.ClusterSettings{
		Dir: dir, Entries: poisonEntries, VMs: poisonVMs,
		Engine: []string{"--interval", "5ms", "--first-token", "30ms", "--slots", "8", "--crash-on", "poison"},
	})
}

// Poison repeatedly sends a request that crashes its endpoint VM, through entry VMs
// chosen at random by a seed, while other clients send innocent requests. Crashed
// VMs are restarted.
func Poison(cluster *procs.Cluster, seed uint64) (PoisonResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), poisonTimeout)
	defer cancel()
	result := PoisonResult{}
	stop := make(chan struct{})
	var mu sync.Mutex
	var workers sync.WaitGroup
	for client := range innocentClients {
		workers.Go(func() {
			for round := 0; ; round++ {
				select {
				case <-stop:
					return
				default:
				}
				body := fmt.Sprintf(`{"model":"guide-1","prompt":"innocent %d-%d-%d","max_tokens":%d,"stream":true}`, seed, client, round, poisonTokens)
				answer, err := procs.Complete(ctx, cluster.Entries[client%poisonEntries].URL(), "paid", body, nil)
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
	workers.Go(func() {
		crashed, err := restartCrashed(cluster, stop)
		mu.Lock()
		result.Crashed = crashed
		mu.Unlock()
		restarts <- err
	})
	random := rand.New(rand.NewPCG(seed, 0))
	body := fmt.Sprintf(`{"model":"guide-1","prompt":"poison %d","max_tokens":%d,"stream":true}`, seed, poisonTokens)
	var failure error
	for range poisonRequests {
		answer, err := procs.Complete(ctx, cluster.Entries[random.IntN(poisonEntries)].URL(), "paid", body, nil)
		if err != nil {
			failure = err
			break
		}
		result.LastAnswer = answer
		if answer.Status == http.StatusUnprocessableEntity {
			result.Refusals++
		}
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	// Innocent requests that the last crash interrupted have time to end.
	time.Sleep(2 * time.Second)
	close(stop)
	workers.Wait()
	return result, errors.CombineErrors(failure, <-restarts)
}

// restartCrashed restarts endpoint VMs whose processes ended, until stop is closed,
// and returns their number.
func restartCrashed(cluster *procs.Cluster, stop <-chan struct{}) (int, error) {
	crashed := 0
	for {
		for _, vm := range cluster.VMs {
			if !vm.Endpoint.Ended() {
				continue
			}
			crashed++
			time.Sleep(restartDelay)
			if err := cluster.Start(vm); err != nil {
				return crashed, err
			}
		}
		select {
		case <-stop:
			return crashed, nil
		case <-time.After(restartDelay / 10):
		}
	}
}
