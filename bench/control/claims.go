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
	claimers  = 64
	claimWarm = time.Second
	claimSpan = 5 * time.Second
	claimWait = 3 * time.Second
)

// claims measures the claims that a group commits in a second, sent to the
// leader by callers that each wait for their answer.
func claims(report *figure.Report, group *procs.Group) error {
	leader, err := group.Leader(startLimit, 0, 1, 2)
	if err != nil {
		return err
	}
	var granted, refused atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), claimWarm+claimSpan)
	defer cancel()
	var work conc.WaitGroup
	for caller := range claimers {
		work.Go(func() { claimLoop(ctx, group, leader, caller, &granted, &refused) })
	}
	time.Sleep(claimWarm)
	before, start := granted.Load(), time.Now()
	work.Wait()
	rate := float64(granted.Load()-before) / time.Since(start).Seconds()
	report.Add("claim.rate", rate, "claims/s")
	if refused.Load() > 0 {
		report.Note("claim.rate: %d claims were not granted", refused.Load())
	}
	if granted.Load() == 0 {
		return errors.New("no claim was granted")
	}
	return nil
}

func claimLoop(ctx context.Context, group *procs.Group, leader, caller int, granted, refused *atomic.Int64) {
	for n := 0; ctx.Err() == nil; n++ {
		call, cancel := context.WithTimeout(context.Background(), claimWait)
		reply, err := wire.NewDRPCClaimsClient(group.Pool.Conn(call, group.Address(leader))).Apply(call, &wire.ClaimOp{
			Customer: "clinic", Key: fmt.Sprintf("key-%d-%d", caller, n), BodyHash: make([]byte, 32),
			RequestId: fmt.Sprintf("entry1-%d-%d", caller, n), Attempt: 1, Endpoint: "endpoint1", Incarnation: 1,
			EndpointAddress: "127.0.0.1:9", At: time.Now().UnixMilli(),
		})
		cancel()
		if err == nil && reply.GetState() == wire.ClaimState_CLAIM_STATE_GRANTED {
			granted.Add(1)
		} else {
			refused.Add(1)
		}
	}
}
