package endpt

import (
	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/holds"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// maxUnsentBytes is what an attempt holds for a slow reader before its engine has to
	// wait. One more answer may exceed it.
	maxUnsentBytes = 1 << 20
	// maxReplayBytes is what an attempt keeps of the answers that were sent, for a reader
	// that reattaches; more than a connection holds in flight.
	maxReplayBytes = 4 << 20
	// maxClaimedBytes is the largest answer of non-idempotent work, which is kept whole
	// for a resend of the request.
	maxClaimedBytes = 8 << 20
)

var (
	errTooLarge = errors.Newf("answer of non-idempotent work is larger than %d bytes", maxClaimedBytes)
	errNoReader = errors.New("attempt was stopped before its answer was read")
	errEnded    = errors.New("attempt has ended")
	errDropped  = errors.New("the answers asked for are no longer stored")
)

// memory counts the bytes of answers that a process holds. A nil memory counts nothing.
type memory struct {
	held  *holds.Budget
	limit int64
}

func newMemory(limit int64) *memory { return &memory{held: holds.New(0), limit: limit} }

func (memory *memory) add(size int64) {
	if memory != nil {
		// A budget without a limit takes all.
		memory.held.Take(size)
	}
}

func (memory *memory) isShort() bool { return memory != nil && memory.held.Held() > memory.limit }

func answerBytes(answer *wire.Answer) int64 {
	size := int64(0)
	for _, event := range answer.GetEvents() {
		size += int64(len(event))
	}
	return size
}

// awaitRoom waits until the attempt may hold another answer of a size. The caller holds mu.
func (run *attempt) awaitRoom(size int64) error {
	for {
		switch {
		case run.state == wire.AttemptState_ATTEMPT_STATE_FINISHED:
			return errEnded
		case !run.request.GetIdempotent():
			// The engine does not wait: its answer may be read only after a resend.
			if run.held+size > maxClaimedBytes {
				return errTooLarge
			}
			return nil
		case run.unsent <= maxUnsentBytes && (run.unsent == 0 || !run.memory.isShort()):
			return nil
		}
		changed, stopped := run.changed, run.stopped
		run.mu.Unlock()
		select {
		case <-changed:
			run.mu.Lock()
		case <-stopped:
			run.mu.Lock()
			return errNoReader
		}
	}
}

// hold counts the bytes of a new answer. The caller holds mu.
func (run *attempt) hold(size int64) {
	run.held += size
	run.unsent += size
	run.memory.add(size)
}

// markSent records that the answers before a sequence number were sent on a stream, and
// drops those that no reader can miss any more.
func (run *attempt) markSent(next uint64) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if next <= run.sent {
		return
	}
	for ; run.sent < next; run.sent++ {
		run.unsent -= answerBytes(run.answers[run.sent-run.first])
	}
	if run.request.GetIdempotent() {
		run.dropLocked(maxReplayBytes)
	}
	run.wakeLocked()
}

// dropLocked drops the oldest answers that were sent until the attempt holds at most a
// number of bytes.
func (run *attempt) dropLocked(limit int64) {
	for run.held > limit && run.first < run.sent {
		size := answerBytes(run.answers[0])
		run.answers[0] = nil
		run.answers = run.answers[1:]
		run.first++
		run.held -= size
		run.memory.add(-size)
	}
}

// release stops counting the answers of an attempt that is forgotten.
func (run *attempt) release() {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.memory.add(-run.held)
	run.held, run.unsent, run.memory = 0, 0, nil
}

// trim drops what an idempotent attempt has sent, because the process is short of memory.
func (run *attempt) trim() {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.request.GetIdempotent() && run.attached == 0 {
		run.dropLocked(0)
	}
}
