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
	// quietLimit is how long an engine may send nothing before it is asked.
	quietLimit = 500 * clock.Millis(1)
	// confirmPause is the time between two questions that must both show that
	// an answer is missing. What the engine sent before the first one has
	// arrived by the second.
	confirmPause = 300 * clock.Millis(1)
)

var errEngineSilent = errors.New("connection to the engine is silent")

// inbound counts what arrives from an engine and cuts it off when the
// connection is given up, so that a late answer of it is lost.
type inbound struct {
	sink  engine.Sink
	clock *clock.Clock

	// mu guards the fields below. It comes before the attempt's lock.
	mu     sync.Mutex
	events int
	last   clock.Millis
	cut    bool
}

// Head takes the head of the engine's answer.
func (in *inbound) Head(status int, contentType string, headers []*wire.Header) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.last = in.clock.Now(); !in.cut {
		in.sink.Head(status, contentType, headers)
	}
}

// Data takes a part of the engine's answer.
func (in *inbound) Data(events [][]byte) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.last = in.clock.Now(); !in.cut {
		in.events += len(events)
		in.sink.Data(events)
	}
}

func (in *inbound) received() (int, clock.Millis) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.events, in.last
}

func (in *inbound) giveUp() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.cut = true
}

// watched runs an attempt and gives its connection up when the engine shows,
// on new connections, that an answer is missing. An engine that is only slow
// says so and is left alone. The connection given up is left open: closing it
// would wait for the same network.
func (lane *lane) watched(ctx context.Context, run *attempt, sink engine.Sink) engine.Result {
	if _, ok := lane.target.(engine.Model); !ok {
		// Other engines do not tell of single requests, so a slow one cannot be
		// told from a silent connection.
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
		in.giveUp()
		lane.runner.Discard()
		return engine.Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Err: errEngineSilent}
	}
}

// watch returns true when the connection is silent, false when the context ends.
func (lane *lane) watch(ctx context.Context, run *attempt, in *inbound) bool {
	suspected := false
	for {
		pause := confirmPause
		if !suspected {
			_, last := in.received()
			pause = max(last+quietLimit-lane.clock.Now(), 1)
		}
		if err := lane.clock.Sleep(ctx, pause); err != nil {
			return false
		}
		before, last := in.received()
		if lane.clock.Now()-last < quietLimit {
			suspected = false
			continue
		}
		missing := lane.missing(run, before)
		if after, _ := in.received(); after != before {
			missing = false
		}
		if missing && suspected {
			return ctx.Err() == nil
		}
		suspected = missing
		if !missing && lane.clock.Sleep(ctx, quietLimit) != nil {
			return false
		}
	}
}

// missing tells whether the engine has produced or ended more than has arrived.
// An engine that does not answer on a new connection counts as one that did.
func (lane *lane) missing(run *attempt, received int) bool {
	progress, err := lane.runner.Progress(lane.target, run.request)
	switch {
	case err != nil:
		return true
	case !progress.Known:
		return false
	}
	// The parts of an answer that is not streamed arrive all together.
	return progress.Gone || (run.request.GetStream() && progress.Produced > received)
}
