package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// proposeTimeout is the timeout of a proposal to one control VM.
const proposeTimeout = time.Second

// codeUnavailable is the code that a control VM returns while it cannot commit changes.
const codeUnavailable = "unavailable"

// propose queues a block command for the control VMs. All entry VMs that reach the
// same decision use the same command id, so that it is applied once.
func (tracker *crashTracker) propose(proposal crash.Propose) {
	tracker.queueCommand(&wire.Command{
		Id: fmt.Sprintf("block-%016x-%d", proposal.Suspect.Fingerprint, proposal.Latest),
		Change: &wire.Change{Body: &wire.Change_Block{Block: &wire.Block{
			Fingerprint: proposal.Suspect.Fingerprint, RequestId: proposal.Suspect.RequestID,
			Customer: proposal.Suspect.Customer, Crashes: uint32(proposal.Crashes), Until: int64(proposal.Until),
		}}},
	})
}

func (tracker *crashTracker) queueCommand(command *wire.Command) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.pending[command.GetId()] = command
}

// syncBlocks applies the blocks that were added to or removed from the
// configuration, and queues the removal of expired ones.
func (tracker *crashTracker) syncBlocks() {
	config, now := tracker.entry.view.State(), tracker.entry.clock.Now()
	current := make(map[uint64]*wire.Block, len(config.Blocks()))
	for _, block := range config.Blocks() {
		current[block.GetFingerprint()] = block
		if clock.Millis(block.GetUntil()) <= now {
			tracker.queueUnblock(block)
		}
	}
	if config.Revision() == tracker.revision {
		return
	}
	for fingerprint, block := range current {
		tracker.applyRemote(crash.Blocked{Fingerprint: fingerprint, Until: clock.Millis(block.GetUntil())})
	}
	for fingerprint := range tracker.blocks {
		if _, ok := current[fingerprint]; !ok {
			tracker.applyRemote(crash.Ended{Fingerprint: fingerprint})
		}
	}
	tracker.revision, tracker.blocks = config.Revision(), current
}

// queueUnblock queues a command that removes an expired block.
func (tracker *crashTracker) queueUnblock(block *wire.Block) {
	tracker.queueCommand(&wire.Command{
		Id:     fmt.Sprintf("blockEnd-%016x-%d", block.GetFingerprint(), block.GetUntil()),
		Change: &wire.Change{Body: &wire.Change_Drop{Drop: &wire.Drop{What: "block", Name: block.GetRequestId()}}},
	})
}

// sendPending sends the commands that the control VMs have not accepted yet. Until
// they do, the entry VMs act on the crash reports that they exchange.
func (tracker *crashTracker) sendPending(ctx context.Context) {
	tracker.mu.Lock()
	commands := make([]*wire.Command, 0, len(tracker.pending))
	for _, command := range tracker.pending {
		commands = append(commands, command)
	}
	tracker.mu.Unlock()
	for _, command := range commands {
		if err := tracker.send(ctx, command); err != nil {
			tracker.entry.log.Write(event.BlockNotAccepted, "command", command.GetId(), "error", err)
			continue
		}
		tracker.mu.Lock()
		delete(tracker.pending, command.GetId())
		tracker.mu.Unlock()
	}
}

func (tracker *crashTracker) send(ctx context.Context, command *wire.Command) error {
	lastErr := fmt.Errorf("no control VM is configured; set --control")
	for _, address := range tracker.entry.settings.Entry.Control {
		callCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
		reply, err := wire.NewDRPCOperateClient(tracker.entry.pool.Conn(callCtx, address)).Execute(callCtx, command)
		cancel()
		switch {
		case err != nil:
			tracker.entry.pool.Discard(address)
			lastErr = err
		case reply.GetCode() == codeUnavailable:
			lastErr = fmt.Errorf("control VM %s: %s", address, reply.GetError())
		default:
			// A refusal means that another entry VM's proposal was applied first.
			return nil
		}
	}
	return lastErr
}
