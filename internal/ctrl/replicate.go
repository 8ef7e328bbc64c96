package ctrl

import (
	"context"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/repl"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/source"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// replicateTimeout bounds the wait for a copy at another control VM. An endpoint waits a
// second for its acknowledgement before it calls the next control VM.
const replicateTimeout = 250 * clock.Millis(1)

// replicator sends copies in the background and keeps which ends of endpoints this process
// has acknowledged.
type replicator struct {
	sends conc.WaitGroup

	// mu guards the fields below. No other lock is acquired while it is held.
	mu           sync.Mutex
	acknowledged map[string]roster.Record
	isClosed     bool
}

func newReplicator() *replicator { return &replicator{acknowledged: map[string]roster.Record{}} }

// isAcknowledged reports whether the record's end of its endpoint was acknowledged.
func (replicator *replicator) isAcknowledged(record roster.Record) bool {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	held, ok := replicator.acknowledged[record.ID]
	return ok && held.Covers(record)
}

// setAcknowledged records that a record is acknowledged.
func (replicator *replicator) setAcknowledged(record roster.Record, now clock.Millis) {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	for id, held := range replicator.acknowledged {
		if now-held.ReceivedAt > roster.TombstoneLifetime {
			delete(replicator.acknowledged, id)
		}
	}
	replicator.acknowledged[record.ID] = record
}

// run calls send in the background, unless the replicator is closed.
func (replicator *replicator) run(send func()) bool {
	replicator.mu.Lock()
	defer replicator.mu.Unlock()
	if !replicator.isClosed {
		replicator.sends.Go(send)
	}
	return !replicator.isClosed
}

// Close waits for the sends in progress.
func (replicator *replicator) Close() {
	replicator.mu.Lock()
	replicator.isClosed = true
	replicator.mu.Unlock()
	replicator.sends.Wait()
}

// Heard stores a record that an endpoint announced. If the endpoint drains or is gone, it
// returns once enough other control VMs hold that too, so that it outlives this process. After
// an error the record is in force here but may be lost, and the endpoint must send it again.
func (control *Control) Heard(ctx context.Context, record roster.Record) error {
	stored, ok := control.poller.PutEndpoint(record)
	isEnd := (record.Draining || record.Gone) && ok && (stored.Draining || stored.Gone)
	if !isEnd || control.replicator.isAcknowledged(stored) {
		return nil
	}
	if err := control.replicate(ctx, stored); err != nil {
		return err
	}
	control.replicator.setAcknowledged(stored, control.clock.Now())
	return nil
}

// copyResult is the answer of another control VM to a copy.
type copyResult struct {
	address   string
	inContact bool
	err       error
}

// errUnsupported marks that a control VM of an earlier version stores no copies.
var errUnsupported = errors.New("the control VM stores no copies")

// replicate sends a record to all other control VMs and waits until enough of them hold it.
func (control *Control) replicate(ctx context.Context, record roster.Record) error {
	peers := control.replicationPeers()
	results := make(chan copyResult, len(peers))
	var inContact []bool
	// The copies go on after the record is acknowledged.
	background := context.WithoutCancel(ctx)
	for address, heard := range peers {
		inContact = append(inContact, heard)
		send := func() {
			ctx, cancel := context.WithTimeout(background, replicateTimeout.Duration())
			defer cancel()
			results <- copyResult{address: address, inContact: heard, err: control.sendCopy(ctx, address, record)}
		}
		if !control.replicator.run(send) {
			return errors.New("the process is stopping")
		}
	}
	ctx, cancel := context.WithTimeout(ctx, replicateTimeout.Duration())
	defer cancel()
	write, failures := repl.New(int(control.settings.Control.Tolerance), inContact), []string{}
	for write.Verdict(ctx.Err() != nil) == repl.Wait {
		select {
		case <-ctx.Done():
		case result := <-results:
			switch {
			case result.err == nil:
				write = write.WithStored()
			case errors.Is(result.err, errUnsupported):
				write = write.WithUnsupported(result.inContact)
			default:
				write = write.WithFailure()
				failures = append(failures, result.address+": "+result.err.Error())
			}
		}
	}
	verdict := write.Verdict(true)
	if verdict == repl.Acknowledge && (write.Stored() > 0 || len(peers) == 0) {
		return nil
	}
	control.log.Write(event.CopiesMissing, "endpoint", record.ID, "draining", record.Draining, "gone", record.Gone, "acknowledged", verdict == repl.Acknowledge,
		"copies", write.Stored(), "peers", len(peers), "inContact", inContact, "failures", strings.Join(failures, "; "))
	if verdict == repl.Acknowledge {
		return nil
	}
	return errors.Newf("%d of %d other control VMs hold that endpoint %s leaves", write.Stored(), len(peers), record.ID)
}

// sendCopy stores a record at another control VM.
func (control *Control) sendCopy(ctx context.Context, address string, record roster.Record) error {
	request := &wire.ReplicateRequest{Endpoints: []*wire.EndpointRecord{record.Message(control.clock.Now())}}
	_, err := wire.NewDRPCFleetClient(control.pool.Conn(ctx, address)).Replicate(ctx, request)
	// drpc has no error code for a call that the other side does not know.
	if err != nil && strings.Contains(err.Error(), "unknown rpc") {
		return errors.Mark(err, errUnsupported)
	}
	return err
}

// replicationPeers returns the addresses of the other control VMs. The value is set for one
// that was heard from recently, or may have been before this process started.
func (control *Control) replicationPeers() map[string]bool {
	now := control.clock.Now()
	peers := map[string]bool{}
	add := func(address string, heardAt clock.Millis) {
		if address != control.advertised() {
			peers[address] = peers[address] || now-max(heardAt, control.startedAt) <= source.SilenceLimit
		}
	}
	for _, address := range control.seeds() {
		add(address, 0)
	}
	for _, member := range control.status.Load().Members {
		add(member.GetAddress(), 0)
	}
	for _, known := range control.poller.Controls() {
		add(known.Address, known.HeardAt)
	}
	return peers
}

// Replicate serves another control VM, which waits for the copies of records before it
// acknowledges them.
func (control *Control) Replicate(_ context.Context, request *wire.ReplicateRequest) (*wire.ReplicateReply, error) {
	now := control.clock.Now()
	for _, message := range request.GetEndpoints() {
		control.poller.PutEndpoint(roster.FromMessage(message, now))
	}
	return &wire.ReplicateReply{}, nil
}
