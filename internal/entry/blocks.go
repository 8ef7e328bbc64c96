package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscuslug/hibiscuslug/internal/blame"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// proposeLimit bounds the wait for one control VM.
const proposeLimit = time.Second

// codeUnavailable is a control VM's answer while no change can be made durable.
const codeUnavailable = "unavailable"

// propose asks control for a block. All entry VMs that come to the same verdict
// use the same command id, so that it becomes one change.
func (tracker *crashTracker) propose(proposal blame.Propose) {
	tracker.want(&wire.Command{
		Id: fmt.Sprintf("block-%016x-%d", proposal.Suspect.Fingerprint, proposal.Latest),
		Change: &wire.Change{Body: &wire.Change_Block{Block: &wire.Block{
			Fingerprint: proposal.Suspect.Fingerprint, RequestId: proposal.Suspect.RequestID,
			Customer: proposal.Suspect.Customer, Crashes: uint32(proposal.Crashes), Until: int64(proposal.Until),
		}}},
	})
}

func (tracker *crashTracker) want(command *wire.Command) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.wanted[command.GetId()] = command
}

// follow compares the blocks in the configuration with those known before.
func (tracker *crashTracker) follow() {
	config, now := tracker.entry.view.State(), tracker.entry.clock.Now()
	current := make(map[uint64]*wire.Block, len(config.Blocks()))
	for _, block := range config.Blocks() {
		current[block.GetFingerprint()] = block
		if clock.Millis(block.GetUntil()) <= now {
			tracker.wantEnd(block)
		}
	}
	if config.Revision() == tracker.revision {
		return
	}
	for fingerprint, block := range current {
		tracker.heard(blame.Blocked{Fingerprint: fingerprint, Until: clock.Millis(block.GetUntil())})
	}
	for fingerprint := range tracker.blocks {
		if _, ok := current[fingerprint]; !ok {
			tracker.heard(blame.Ended{Fingerprint: fingerprint})
		}
	}
	tracker.revision, tracker.blocks = config.Revision(), current
}

// wantEnd asks control to drop a block whose time is over.
func (tracker *crashTracker) wantEnd(block *wire.Block) {
	tracker.want(&wire.Command{
		Id:     fmt.Sprintf("blockEnd-%016x-%d", block.GetFingerprint(), block.GetUntil()),
		Change: &wire.Change{Body: &wire.Change_Drop{Drop: &wire.Drop{What: "block", Name: block.GetRequestId()}}},
	})
}

// sendWanted proposes what control has not accepted yet. Until then the entry
// VMs act on the suspicions that they share.
func (tracker *crashTracker) sendWanted(ctx context.Context) {
	tracker.mu.Lock()
	commands := make([]*wire.Command, 0, len(tracker.wanted))
	for _, command := range tracker.wanted {
		commands = append(commands, command)
	}
	tracker.mu.Unlock()
	for _, command := range commands {
		if err := tracker.send(ctx, command); err != nil {
			tracker.entry.log.Write(event.BlockNotAccepted, "command", command.GetId(), "error", err)
			continue
		}
		tracker.mu.Lock()
		delete(tracker.wanted, command.GetId())
		tracker.mu.Unlock()
	}
}

func (tracker *crashTracker) send(ctx context.Context, command *wire.Command) error {
	failure := fmt.Errorf("no control VM is set")
	for _, address := range tracker.entry.settings.Entry.Control {
		limited, cancel := context.WithTimeout(ctx, proposeLimit)
		reply, err := wire.NewDRPCOperateClient(tracker.entry.pool.Conn(limited, address)).Execute(limited, command)
		cancel()
		switch {
		case err != nil:
			tracker.entry.pool.Discard(address)
			failure = err
		case reply.GetCode() == codeUnavailable:
			failure = fmt.Errorf("control VM %s: %s", address, reply.GetError())
		default:
			// A refusal means that another entry VM's proposal came first.
			return nil
		}
	}
	return failure
}
