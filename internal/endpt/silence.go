package endpt

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/engine"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// silenceTimeout is how long an engine may send nothing before its progress is
	// queried on a new connection.
	silenceTimeout = 500 * clock.Millis(1)
	// confirmInterval is the time between two progress queries that must both show
	// missing data before a connection counts as silent. Data that the engine sent
	// before the first query has arrived by the second.
	confirmInterval = 300 * clock.Millis(1)
)

var errEngineSilent = errors.New("connection to the engine is silent")

// inbound counts the events that arrive from an engine. After its connection was
// abandoned it discards them, so that no late answer reaches the attempt.
type inbound struct {
	sink  engine.Sink
	clock *clock.Clock

	// mu guards the fields below. Lock order: inbound before lane and attempt.
	mu         sync.Mutex
	events     int
	last       clock.Millis
	discarding bool
}

// Head passes on the status and headers of the engine's answer.
func (in *inbound) Head(status int, contentType string, headers []*wire.Header) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.last = in.clock.Now(); !in.discarding {
		in.sink.Head(status, contentType, headers)
	}
}

// Data passes on and counts a batch of events or a body chunk. While the sink waits for a
// reader, the connection does not count as silent, because the count is locked.
func (in *inbound) Data(events [][]byte) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.discarding {
		return errEngineSilent
	}
	in.events += len(events)
	err := in.sink.Data(events)
	in.last = in.clock.Now()
	return err
}

func (in *inbound) received() (int, clock.Millis) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.events, in.last
}

func (in *inbound) discardRest() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.discarding = true
}

// runWatched runs an attempt and abandons its connection when progress queries
// on new connections show that data of the engine is missing. An engine that is
// only slow reports no more than has arrived and is left alone. The abandoned
// connection stays open, because closing it would wait for the same network.
func (lane *lane) runWatched(ctx context.Context, run *attempt, sink engine.Sink) engine.Result {
	if _, ok := lane.target.(engine.Model); !ok {
		// Other engines do not report the progress of single requests, so a slow
		// engine cannot be distinguished from a silent connection.
		return lane.runner.Run(ctx, lane.target, run.request, sink)
	}
	in := &inbound{sink: sink, clock: lane.clock, last: lane.clock.Now()}
	ended := make(chan engine.Result, 1)
	lane.work.Go(func() { ended <- lane.runner.Run(ctx, lane.target, run.request, in) })
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := make(chan struct{})
	lane.work.Go(func() {
		if lane.watch(stop, run, in) {
			close(silent)
		}
	})
	select {
	case result := <-ended:
		return result
	case <-silent:
		in.discardRest()
		lane.runner.CloseIdleConnections()
		return engine.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errEngineSilent}
	}
}

// watch returns true once the connection counts as silent, and false when the
// context ends.
func (lane *lane) watch(ctx context.Context, run *attempt, in *inbound) bool {
	suspected := false
	for {
		pause := confirmInterval
		if !suspected {
			_, last := in.received()
			pause = max(last+silenceTimeout-lane.clock.Now(), 1)
		}
		if err := lane.clock.Sleep(ctx, pause); err != nil {
			return false
		}
		countBefore, last := in.received()
		if lane.clock.Now()-last < silenceTimeout {
			suspected = false
			continue
		}
		missing := lane.answerMissing(run, countBefore)
		if countAfter, _ := in.received(); countAfter != countBefore {
			missing = false
		}
		if missing && suspected {
			return ctx.Err() == nil
		}
		suspected = missing
		if !missing && lane.clock.Sleep(ctx, silenceTimeout) != nil {
			return false
		}
	}
}

// answerMissing reports whether the engine has produced more than has arrived, or
// has ended the request. An engine that does not respond to the progress query
// counts as having produced more.
func (lane *lane) answerMissing(run *attempt, received int) bool {
	progress, err := lane.runner.Progress(lane.target, run.request)
	switch {
	case err != nil:
		return true
	case !progress.Reported:
		return false
	}
	// A response that is not streamed arrives as a whole, so fewer received events
	// do not mean that any are missing.
	return progress.Gone || (run.request.GetStream() && progress.Produced > received)
}
