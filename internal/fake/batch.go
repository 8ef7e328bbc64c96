package fake

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// Load is what an engine publishes about itself.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Paused  int `json:"paused"`
	Slots   int `json:"slots"`
	// Request is set when the page was asked for one request; it does not lag.
	Request *Progress `json:"request,omitempty"`
}

// Progress tells how far a request is. Its state is waiting, running, paused
// or, for a request that is not in the engine, gone.
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

// batch lets a bounded number of jobs produce events at the same time. A paused
// job gives its slot away and goes on with its next event when it is resumed.
type batch struct {
	slots int
	lag   time.Duration

	// mu guards the fields below.
	mu       sync.Mutex
	jobs     []*job
	sequence int
	changed  chan struct{}
	history  []moment
}

// moment is the load since an instant.
type moment struct {
	at   time.Time
	load Load
}

func newBatch(slots int, lag time.Duration) *batch {
	return &batch{slots: slots, lag: lag, changed: make(chan struct{}), history: []moment{{load: Load{Slots: slots}}}}
}

func (batch *batch) add(id string, priority int) (*job, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	batch.mu.Lock()
	defer batch.mu.Unlock()
	batch.sequence++
	added := &job{id: id, priority: priority, sequence: batch.sequence, state: "waiting", cancel: cancel}
	batch.jobs = append(batch.jobs, added)
	batch.changeLocked()
	return added, ctx
}

func (batch *batch) remove(ended *job) {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	ended.cancel()
	batch.jobs = slices.DeleteFunc(batch.jobs, func(other *job) bool { return other == ended })
	batch.changeLocked()
}

// enter waits until the job has a slot and is not paused.
func (batch *batch) enter(ctx context.Context, wanted *job) bool {
	for {
		batch.mu.Lock()
		ready, changed := wanted.state == "running", batch.changed
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

func (batch *batch) produce(running *job) {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	running.produced++
}

// each changes the jobs with an id and tells whether there is one.
func (batch *batch) each(id string, change func(*job)) bool {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	found := false
	for _, known := range batch.jobs {
		if known.id == id {
			found = true
			change(known)
		}
	}
	batch.changeLocked()
	return found
}

// changeLocked hands out the slots: running jobs keep theirs, then the highest
// priority and the earliest arrival come first.
func (batch *batch) changeLocked() {
	load := Load{Slots: batch.slots}
	var waiting []*job
	for _, known := range batch.jobs {
		switch {
		case known.paused:
			known.state = "paused"
			load.Paused++
		case known.state == "running":
			load.Running++
		default:
			known.state = "waiting"
			waiting = append(waiting, known)
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
	batch.trimLocked()
	batch.history = append(batch.history, moment{at: time.Now(), load: load})
	close(batch.changed)
	batch.changed = make(chan struct{})
}

// load returns the load as it was before the lag, and one request as it is.
func (batch *batch) load(id string) Load {
	batch.mu.Lock()
	defer batch.mu.Unlock()
	batch.trimLocked()
	load := batch.history[0].load
	if id == "" {
		return load
	}
	load.Request = &Progress{State: "gone"}
	for _, known := range batch.jobs {
		if known.id == id {
			load.Request = &Progress{State: known.state, Produced: known.produced}
		}
	}
	return load
}

// trimLocked drops what is older than the load that the page shows.
func (batch *batch) trimLocked() {
	for len(batch.history) > 1 && time.Since(batch.history[1].at) >= batch.lag {
		batch.history = batch.history[1:]
	}
}
