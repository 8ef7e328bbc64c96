package ctrl

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmetadata"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// maxEntryBytes keeps an entry with its framing below the 4 MiB limit of a message.
	maxEntryBytes = 3 << 20
	// leaderPollInterval is the pause before another attempt to find the leader.
	leaderPollInterval = 20 * clock.Millis(1)
	// forwardTimeouts limits the wait for a leader's answer, in election timeouts.
	forwardTimeouts = 2
	// forwardedKey is the metadata key of calls forwarded by another control VM;
	// they are not forwarded again.
	forwardedKey = "hibiscuslug-forwarded"
)

var errNoLeader = errors.New("the control group has no leader; a majority of the control VMs must be running and connected")

// propose appends an entry to the log and waits until it is applied.
func (control *Control) propose(ctx context.Context, in input) outcome {
	if size := in.entry.SizeVT(); size > maxEntryBytes {
		return outcome{err: errors.Newf("change has %d bytes; allowed are up to %d bytes", size, maxEntryBytes), refused: true}
	}
	return control.submit(ctx, in)
}

func (control *Control) submit(ctx context.Context, in input) outcome {
	reply := make(chan outcome, 1)
	in.reply = reply
	select {
	case control.inbox <- in:
	case <-ctx.Done():
		return outcome{err: ctx.Err(), refused: true}
	}
	select {
	case result := <-reply:
		if result.err != nil && !errors.Is(result.err, quorum.ErrNotLeader) {
			control.log.Write(event.ProposalFailed, "error", result.err)
		}
		return result
	case <-ctx.Done():
		err := errors.Newf("no majority synced the change within %s; send it again with the same id", control.settings.Control.CommitLimit)
		control.log.Write(event.ProposalFailed, "error", err)
		return outcome{err: err}
	}
}

// onLeader runs local if this control VM leads, and otherwise forwards the call
// to the leader. While no leader is known it waits, within the commit limit.
// local and forward report whether to try again.
func (control *Control) onLeader(ctx context.Context, local func(context.Context) bool, forward func(context.Context, string) bool) {
	ctx, cancel := context.WithTimeout(ctx, control.settings.Control.CommitLimit.Duration())
	defer cancel()
	forwarded := isForwarded(ctx)
	for {
		leaderChanged := *control.leaderChanged.Load()
		status := control.status.Load()
		switch {
		case status.Role == quorum.Leader:
			if !local(ctx) {
				return
			}
		case forwarded:
			return
		case status.Leader.Name != "" || control.leaderAddress() != "":
			address := control.leaderAddress()
			if status.Leader.Name != "" {
				address = control.peers.address(status.Leader.Name, addressOf(status.Members, status.Leader))
			}
			if !forwardUntil(ctx, leaderChanged, address, forward) {
				return
			}
		}
		if control.clock.Sleep(ctx, leaderPollInterval) != nil {
			return
		}
	}
}

// forwardUntil forwards a call and cancels it when leaderChanged is closed,
// because a stopped leader never answers.
func forwardUntil(ctx context.Context, leaderChanged <-chan struct{}, address string, forward func(context.Context, string) bool) bool {
	var watching conc.WaitGroup
	defer watching.Wait()
	ctx, cancel := context.WithCancel(drpcmetadata.Add(ctx, forwardedKey, "1"))
	defer cancel()
	watching.Go(func() {
		select {
		case <-leaderChanged:
			cancel()
		case <-ctx.Done():
		}
	})
	return forward(ctx, address)
}

func isForwarded(ctx context.Context) bool {
	metadata, _ := drpcmetadata.Get(ctx)
	return metadata[forwardedKey] != ""
}

func addressOf(members []*wire.ControlMember, peer quorum.Peer) string {
	for _, member := range members {
		if member.GetName() == peer.Name && member.GetDisk() == peer.DiskID {
			return member.GetAddress()
		}
	}
	return ""
}
