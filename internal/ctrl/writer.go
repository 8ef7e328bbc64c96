package ctrl

import (
	"context"
	"sync"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/internal/store"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// writeRetryDelay is the pause after a failed write, for example on a full disk.
	writeRetryDelay = 100 * clock.Millis(1)
	// maxQueuedActions is the length of the queue from which on messages are dropped, which
	// the protocol tolerates like packet loss. A member whose disk does not keep up makes few
	// saves.
	maxQueuedActions = 4096
)

// writer writes saves to disk in order. Saves that arrive during a sync share
// the next one, and messages are sent only after the saves queued before them,
// unless they are too old by then.
type writer struct {
	store *store.Store
	clock *clock.Clock
	log   *event.Log
	peers *peers
	post  func(input)
	wake  chan struct{}

	// mu guards queue.
	mu    sync.Mutex
	queue []quorum.Action
}

func newWriter(opened *store.Store, ticker *clock.Clock, log *event.Log, peers *peers, post func(input)) *writer {
	return &writer{store: opened, clock: ticker, log: log, peers: peers, post: post, wake: make(chan struct{}, 1)}
}

func (writer *writer) add(action quorum.Action) {
	writer.mu.Lock()
	if _, isMessage := action.(quorum.Send); !isMessage || len(writer.queue) < maxQueuedActions {
		writer.queue = append(writer.queue, action)
	}
	writer.mu.Unlock()
	select {
	case writer.wake <- struct{}{}:
	default:
	}
}

func (writer *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-writer.wake:
			writer.mu.Lock()
			actions := writer.queue
			writer.queue = nil
			writer.mu.Unlock()
			writer.flush(ctx, actions)
		}
	}
}

func (writer *writer) flush(ctx context.Context, actions []quorum.Action) {
	var saves []quorum.Save
	for _, action := range actions {
		if save, ok := action.(quorum.Save); ok {
			saves = append(saves, save)
		}
	}
	if !writer.write(ctx, saves) {
		return
	}
	for _, action := range actions {
		if send, ok := action.(quorum.Send); ok && writer.clock.Now() <= send.Expires {
			writer.peers.send(send)
		}
	}
	if len(saves) > 0 {
		writer.report(ctx, quorum.Synced{Sequence: saves[len(saves)-1].Sequence})
	}
}

// write retries until all saves are on disk or the process stops, and reports
// whether all are on disk. A snapshot of this VM's own log that does not fit is
// given up: the log that it would replace is still on disk, and what waits behind
// it may need less room.
func (writer *writer) write(ctx context.Context, saves []quorum.Save) bool {
	failed := false
	for len(saves) > 0 {
		done, err := writer.store.Write(saves)
		saves = saves[done:]
		if err == nil {
			break
		}
		if saves[0].Image != nil && !saves[0].Reset {
			writer.log.Write(event.SnapshotRefused, "index", saves[0].ImageIndex, "bytes", len(saves[0].Image), "error", err)
			saves = saves[1:]
			continue
		}
		if !failed {
			writer.log.Write(event.DiskRefused, "error", err)
			writer.report(ctx, quorum.DiskHealth{Failing: true})
		}
		failed = true
		if writer.clock.Sleep(ctx, writeRetryDelay) != nil {
			return false
		}
	}
	if failed {
		writer.log.Write(event.DiskRecovered)
		writer.report(ctx, quorum.DiskHealth{})
	}
	return true
}

func (writer *writer) report(_ context.Context, coreEvent quorum.Event) {
	writer.post(input{event: coreEvent})
}

func (writer *writer) close() error { return writer.store.Close() }
