package fleet

import (
	"context"
	"crypto/rand"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// operator sends commands to the fleet as hibctl does.
type operator struct {
	entries []string
	pool    *link.Pool
}

func newOperator(entries []string) *operator {
	return &operator{entries: entries, pool: link.NewPool()}
}

func (operator *operator) close() {
	// All answers have been read; nothing is lost with the idle connections.
	_ = operator.pool.Close()
}

// run runs one command at the first entry VM.
func (operator *operator) run(ctx context.Context, text string) (*wire.CommandReply, error) {
	client := wire.NewDRPCOperateClient(operator.pool.Conn(ctx, operator.entries[0]))
	reply, err := client.Execute(ctx, &wire.Command{Id: rand.Text(), Text: text})
	if err != nil {
		return nil, err
	}
	if reply.GetCode() != "" {
		return nil, errors.Newf("%s: %s: %s", text, reply.GetCode(), reply.GetError())
	}
	return reply, nil
}

// endpoints returns the least number of serving endpoint processes that an entry VM knows.
func (operator *operator) endpoints(ctx context.Context) (int, error) {
	least := math.MaxInt
	for _, address := range operator.entries {
		client := wire.NewDRPCOperateClient(operator.pool.Conn(ctx, address))
		table, err := client.Local(ctx, &wire.NodeQuery{What: "endpoints", Text: "show endpoints where state = serving"})
		if err != nil {
			return 0, err
		}
		least = min(least, len(table.GetRows()))
	}
	return least, nil
}

// inForce is when a revision was in force on a process, counted from the
// accepted answer. It is negative where the process was faster than the answer.
type inForce struct {
	member member
	after  time.Duration
	known  bool
}

// change runs a command and waits until it is in force on every member.
func (operator *operator) change(ctx context.Context, members []member, text string) (uint64, []inForce, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	applied := make([]map[uint64]time.Time, len(members))
	var watching conc.WaitGroup
	for at, member := range members {
		applied[at] = map[uint64]time.Time{}
		watching.Go(func() { watch(ctx, member.process.View(), applied[at]) })
	}
	reply, err := operator.run(ctx, text)
	if err != nil {
		stop()
		watching.Wait()
		return 0, nil, err
	}
	accepted := time.Now()
	waitInForce(ctx, members, reply.GetRevision())
	stop()
	watching.Wait()
	results := make([]inForce, len(members))
	for at, member := range members {
		results[at] = inForce{member: member}
		for revision, when := range applied[at] {
			after := when.Sub(accepted)
			if revision >= reply.GetRevision() && (!results[at].known || after < results[at].after) {
				results[at].after, results[at].known = after, true
			}
		}
	}
	return reply.GetRevision(), results, nil
}

// watch records when each revision was first seen. It looks once more after
// the context's end, which may come together with a revision.
func watch(ctx context.Context, view *feed.View, seen map[uint64]time.Time) {
	for running := true; running; {
		running = ctx.Err() == nil
		changed, revision := view.Changed(), view.State().Revision()
		if _, known := seen[revision]; !known {
			seen[revision] = time.Now()
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func waitInForce(ctx context.Context, members []member, revision uint64) {
	for _, member := range members {
		for ctx.Err() == nil {
			changed := member.process.View().Changed()
			if member.process.View().State().Revision() >= revision {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}
}
