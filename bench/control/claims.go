package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/figure"
	"github.com/hibiscuslug/hibiscuslug/internal/procs"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// claimClients is the number of concurrent clients.
	claimClients  = 64
	claimWarmUp   = time.Second
	claimDuration = 5 * time.Second
	claimTimeout  = 3 * time.Second
)

// claims measures the number of claims per second that a group commits. Each of the
// clients sends one claim at a time to the leader.
func claims(report *figure.Report, group *procs.Group) error {
	leader, err := group.Leader(startTimeout, 0, 1, 2)
	if err != nil {
		return err
	}
	var granted, notGranted atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), claimWarmUp+claimDuration)
	defer cancel()
	var workers conc.WaitGroup
	for client := range claimClients {
		workers.Go(func() { claimLoop(ctx, group, leader, client, &granted, &notGranted) })
	}
	time.Sleep(claimWarmUp)
	before, start := granted.Load(), time.Now()
	workers.Wait()
	rate := float64(granted.Load()-before) / time.Since(start).Seconds()
	report.Add("claim.rate", rate, "claims/s")
	if notGranted.Load() > 0 {
		report.Note("claim.rate: %d claims were not granted", notGranted.Load())
	}
	if granted.Load() == 0 {
		return errors.New("no claim was granted")
	}
	return nil
}

// claimLoop sends one claim after another and counts the granted and other outcomes.
func claimLoop(ctx context.Context, group *procs.Group, leader, client int, granted, notGranted *atomic.Int64) {
	for n := 0; ctx.Err() == nil; n++ {
		call, cancel := context.WithTimeout(context.Background(), claimTimeout)
		reply, err := wire.NewDRPCClaimsClient(group.Pool.Conn(call, group.Address(leader))).Apply(call, &wire.ClaimOp{
			Customer: "clinic", Key: fmt.Sprintf("key-%d-%d", client, n), BodyHash: make([]byte, 32),
			RequestId: fmt.Sprintf("entry1-%d-%d", client, n), Attempt: 1, Endpoint: "endpoint1", Incarnation: 1,
			EndpointAddress: "127.0.0.1:9", At: time.Now().UnixMilli(),
		})
		cancel()
		if err == nil && reply.GetState() == wire.ClaimState_CLAIM_STATE_GRANTED {
			granted.Add(1)
		} else {
			notGranted.Add(1)
		}
	}
}
