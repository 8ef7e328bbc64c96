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
	// All replies have been read, so an error loses nothing.
	_ = operator.pool.Close()
}

// run executes one command at the first entry VM.
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

// endpoints returns the minimum, over all entry VMs, of the number of endpoint
// processes listed as serving.
func (operator *operator) endpoints(ctx context.Context) (int, error) {
	fewest := math.MaxInt
	for _, address := range operator.entries {
		client := wire.NewDRPCOperateClient(operator.pool.Conn(ctx, address))
		table, err := client.Local(ctx, &wire.NodeQuery{What: "endpoints", Text: "show endpoints where state = serving"})
		if err != nil {
			return 0, err
		}
		fewest = min(fewest, len(table.GetRows()))
	}
	return fewest, nil
}

// activation is the delay from the reply to a command until its revision was in
// force on a process. It is negative if the process applied the revision before
// the reply arrived, and not set if applied is false.
type activation struct {
	member  member
	delay   time.Duration
	applied bool
}

// change executes a command and waits until its revision is in force on every
// member.
func (operator *operator) change(ctx context.Context, members []member, text string) (uint64, []activation, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	observed := make([]map[uint64]time.Time, len(members))
	var watching conc.WaitGroup
	for at, member := range members {
		observed[at] = map[uint64]time.Time{}
		watching.Go(func() { recordRevisions(ctx, member.process.View(), observed[at]) })
	}
	reply, err := operator.run(ctx, text)
	if err != nil {
		stop()
		watching.Wait()
		return 0, nil, err
	}
	accepted := time.Now()
	awaitRevision(ctx, members, reply.GetRevision())
	stop()
	watching.Wait()
	results := make([]activation, len(members))
	for at, member := range members {
		results[at] = activation{member: member}
		for revision, instant := range observed[at] {
			delay := instant.Sub(accepted)
			if revision >= reply.GetRevision() && (!results[at].applied || delay < results[at].delay) {
				results[at].delay, results[at].applied = delay, true
			}
		}
	}
	return reply.GetRevision(), results, nil
}

// recordRevisions records when each revision was first observed, until the
// context ends. It checks once more after that, because a revision and the end
// of the context can coincide.
func recordRevisions(ctx context.Context, view *feed.View, observed map[uint64]time.Time) {
	for running := true; running; {
		running = ctx.Err() == nil
		changed, revision := view.Changed(), view.State().Revision()
		if _, found := observed[revision]; !found {
			observed[revision] = time.Now()
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// awaitRevision waits until every member has applied a revision or the context
// ends.
func awaitRevision(ctx context.Context, members []member, revision uint64) {
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
