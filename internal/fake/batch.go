package fake

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// Load is the load report of an engine.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Paused  int `json:"paused"`
	Slots   int `json:"slots"`
	// Request is the current state of the request named in the query, if any.
	// Unlike the other fields it is not delayed by LoadLag.
	Request *Progress `json:"request,omitempty"`
}

// Progress is the state of a request and the number of events produced for it.
// The state is waiting, running, paused or, for a request that is not in the
// engine, gone.
type Progress struct {
	State    string `json:"state"`
	Produced int    `json:"produced"`
}

// job is one request in the engine.
type job struct {
	id       string
	priority int
	sequence int
	state    string
	produced int
	paused   bool
	cancel   context.CancelFunc
}

// batch limits how many jobs produce events at the same time. A paused job
// frees its slot, and continues with its next event after it is resumed.
type batch struct {
	slots int
	lag   time.Duration

	// mu guards the fields below.
	mu       sync.Mutex
	jobs     []*job
	sequence int
	changed  chan struct{}
	history  []loadSample
}

// loadSample is the load from an instant until the next sample.
type loadSample struct {
	at   time.Time
	load Load
}

func newBatch(slots int, lag time.Duration) *batch {
	return &batch{slots: slots, lag: lag, changed: make(chan struct{}), history: []loadSample{{load: Load{Slots: slots}}}}
}

func (batch *batch) add(id string, priority int) (*job, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	batch.mu.Lock()
	defer batch.mu.Unlock()
	batch.sequence++
	added := &job{id: id, priority: priority, sequence: batch.sequence, state: "waiting", cancel: cancel}
	batch.jobs = append(batch.jobs, added)
	batch.scheduleLocked()
	return added, ctx
}

func (batch *batch) remove(ended *job) {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	ended.cancel()
	batch.jobs = slices.DeleteFunc(batch.jobs, func(other *job) bool { return other == ended })
	batch.scheduleLocked()
}

// waitForSlot waits until the job is running. It reports false if the context
// ends first.
func (batch *batch) waitForSlot(ctx context.Context, waiter *job) bool {
	for {
		batch.mu.Lock()
		ready, changed := waiter.state == "running", batch.changed
		batch.mu.Unlock()
		if ready {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

func (batch *batch) countEvent(running *job) {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	running.produced++
}

// update applies a change to all jobs with an id and reports whether any exist.
func (batch *batch) update(id string, change func(*job)) bool {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	found := false
	for _, candidate := range batch.jobs {
		if candidate.id == id {
			found = true
			change(candidate)
		}
	}
	batch.scheduleLocked()
	return found
}

// scheduleLocked assigns the slots: running jobs keep theirs, and free slots go
// to the waiting jobs by highest priority, then earliest arrival.
func (batch *batch) scheduleLocked() {
	load := Load{Slots: batch.slots}
	var waiting []*job
	for _, candidate := range batch.jobs {
		switch {
		case candidate.paused:
			candidate.state = "paused"
			load.Paused++
		case candidate.state == "running":
			load.Running++
		default:
			candidate.state = "waiting"
			waiting = append(waiting, candidate)
		}
	}
	slices.SortFunc(waiting, func(first, second *job) int {
		return cmp.Or(second.priority-first.priority, first.sequence-second.sequence)
	})
	for _, next := range waiting {
		if batch.slots > 0 && load.Running >= batch.slots {
			load.Waiting++
			continue
		}
		next.state = "running"
		load.Running++
	}
	batch.dropExpiredLocked()
	batch.history = append(batch.history, loadSample{at: time.Now(), load: load})
	close(batch.changed)
	batch.changed = make(chan struct{})
}

// load returns the load as of the lag ago and, for a non-empty id, the current
// state of that request.
func (batch *batch) load(id string) Load {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	batch.dropExpiredLocked()
	load := batch.history[0].load
	if id == "" {
		return load
	}
	load.Request = &Progress{State: "gone"}
	for _, candidate := range batch.jobs {
		if candidate.id == id {
			load.Request = &Progress{State: candidate.state, Produced: candidate.produced}
		}
	}
	return load
}

// dropExpiredLocked drops samples older than the one that load returns.
func (batch *batch) dropExpiredLocked() {
	for len(batch.history) > 1 && time.Since(batch.history[1].at) >= batch.lag {
		batch.history = batch.history[1:]
	}
}
