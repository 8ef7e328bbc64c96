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
	// maxEntry keeps an entry with its frame below the 4 MiB limit of a message.
	maxEntry = 3 << 20
	// leaderPoll is the pause before looking for a new leader again.
	leaderPoll = 20 * clock.Millis(1)
	// forwardTimeouts bounds the wait for a leader's answer, in election timeouts.
	forwardTimeouts = 2
	// hopKey marks calls that another control VM forwarded; they are not forwarded again.
	hopKey = "hibiscuslug-forwarded"
)

var errNoLeader = errors.New("the control group has no leader; a majority of the control VMs must be running and connected")

// propose adds an entry to the log and waits until it is applied.
func (control *Control) propose(ctx context.Context, in input) outcome {
	if size := in.entry.SizeVT(); size > maxEntry {
		return outcome{err: errors.Newf("change has %d bytes; allowed are up to %d bytes", size, maxEntry), refused: true}
	}
	return control.ask(ctx, in)
}

func (control *Control) ask(ctx context.Context, in input) outcome {
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

// onLeader runs a call here when this control VM leads, or else forwards it to
// the leader. While there is none it waits, as long as the commit limit allows.
// The local call and the forwarded one return whether to try again.
func (control *Control) onLeader(ctx context.Context, local func(context.Context) bool, forward func(context.Context, string) bool) {
	ctx, cancel := context.WithTimeout(ctx, control.settings.Control.CommitLimit.Duration())
	defer cancel()
	forwarded := isForwarded(ctx)
	for {
		moved := *control.moved.Load()
		status := control.status.Load()
		switch {
		case status.Role == quorum.Leader:
			if !local(ctx) {
				return
			}
		case forwarded:
			return
		case status.Leader.Name != "" || control.leader() != "":
			address := control.leader()
			if status.Leader.Name != "" {
				address = control.peers.address(status.Leader.Name, addressOf(status.Members, status.Leader))
			}
			if !forwardUntil(ctx, moved, address, forward) {
				return
			}
		}
		if control.clock.Sleep(ctx, leaderPoll) != nil {
			return
		}
	}
}

// forwardUntil forwards a call and gives it up when another leader is known: a
// stopped leader never answers.
func forwardUntil(ctx context.Context, moved <-chan struct{}, address string, forward func(context.Context, string) bool) bool {
	var watching conc.WaitGroup
	defer watching.Wait()
	ctx, cancel := context.WithCancel(drpcmetadata.Add(ctx, hopKey, "1"))
	defer cancel()
	watching.Go(func() {
		select {
		case <-moved:
			cancel()
		case <-ctx.Done():
		}
	})
	return forward(ctx, address)
}

func isForwarded(ctx context.Context) bool {
	metadata, _ := drpcmetadata.Get(ctx)
	return metadata[hopKey] != ""
}

func addressOf(members []*wire.ControlMember, peer quorum.Peer) string {
	for _, member := range members {
		if member.GetName() == peer.Name && member.GetDisk() == peer.Disk {
			return member.GetAddress()
		}
	}
	return ""
}
