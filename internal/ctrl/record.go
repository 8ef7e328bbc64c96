package ctrl

import (
	"context"
	"fmt"

	"github.com/hibiscuslug/hibiscuslug/internal/crash"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// recordInterval is the time between comparisons of the evidence of crashes with the
// configuration. It is short against the shortest block, 30 s.
const recordInterval = 250 * clock.Millis(1)

// recordBlocks keeps the blocks for crashes in the configuration while this process is
// the leader, so that they outlast the processes that hold the evidence.
func (control *Control) recordBlocks(ctx context.Context) {
	for control.clock.Sleep(ctx, recordInterval) == nil {
		control.board.Record(control.view.State().CrashBlocks())
		if !control.IsLeader() {
			continue
		}
		for _, record := range control.board.Unrecorded() {
			if !control.recordBlock(ctx, record) {
				break
			}
		}
	}
}

// recordBlock proposes a block or its end, and reports whether it was accepted. A block
// with an unknown outcome is proposed again if the configuration still lacks it.
func (control *Control) recordBlock(ctx context.Context, record crash.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, control.settings.Control.CommitLimit.Duration())
	defer cancel()
	change := &wire.Change{
		Text: fmt.Sprintf("block for %d crashes: part %016x, request %016x", record.Crashes, record.Part, record.Fingerprint),
		At:   int64(record.At), Body: &wire.Change_CrashBlock{CrashBlock: record.Message()},
	}
	result := control.propose(ctx, input{entry: &wire.Entry{Body: &wire.Entry_Change{Change: change}}, term: control.status.Load().Term})
	if result.err != nil || result.result.GetCode() != "" {
		return false
	}
	control.log.Write(event.BlockRecorded, "part", fmt.Sprintf("%016x", record.Part), "fingerprint", fmt.Sprintf("%016x", record.Fingerprint),
		"crashes", record.Crashes, "lasts", record.Until-record.At, "revision", result.result.GetRevision())
	return true
}
