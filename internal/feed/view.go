// Package feed distributes configuration revisions to every process. A View
// holds the newest revision that a process has received. Control VMs and entry
// VMs serve their views to others, so that a process cut off from the control
// VMs gets updates from other processes in its zone.
package feed

import (
	"sync"

	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// View holds the newest configuration that a process has received. Its revision
// never decreases.
type View struct {
	clock *clock.Clock

	// mu guards all fields below and is held only for short updates.
	mu     sync.Mutex
	state  *state.State
	recent state.Recent
	// confirmed is the time at which control last confirmed the revision.
	confirmed clock.Millis
	// changed is closed and replaced at each new revision.
	changed chan struct{}
}

// NewView returns a view of the empty configuration, not yet confirmed.
func NewView(ticker *clock.Clock) *View {
	return &View{clock: ticker, state: state.New(), changed: make(chan struct{})}
}

// State returns the newest configuration received.
func (view *View) State() *state.State {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.state
}

// Age returns the time since control last confirmed the revision.
func (view *View) Age() clock.Millis {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.clock.Now() - view.confirmed
}

// Never is a lower bound for the age of a revision that control never confirmed:
// its age counts from the Unix epoch.
const Never = 10 * 365 * 24 * clock.Hour

// AgeText returns the age for logs, or "never" without a confirmation.
func (view *View) AgeText() string {
	if age := view.Age(); age < Never {
		return age.String()
	}
	return "never"
}

// Changed returns a channel that is closed when the revision changes.
func (view *View) Changed() <-chan struct{} {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.changed
}

// Confirm records that control confirmed a revision the given time ago. It has
// no effect unless the revision is the current one.
func (view *View) Confirm(revision uint64, age clock.Millis) {
	view.mu.Lock()
	defer view.mu.Unlock()
	if revision == view.state.Revision() {
		view.confirmed = max(view.confirmed, view.clock.Now()-age)
	}
}

// Apply applies an item of a feed. The item was created at notBefore or later.
// Apply skips revisions that the view has, and returns an error for a gap.
func (view *View) Apply(item *wire.FeedItem, notBefore clock.Millis) error {
	view.mu.Lock()
	defer view.mu.Unlock()
	before := view.state.Revision()
	if snapshot := item.GetSnapshot(); snapshot != nil && snapshot.GetRevision() > before {
		next, err := view.state.WithSnapshot(snapshot)
		if err != nil {
			return err
		}
		view.state, view.recent = next, nil
	}
	if err := view.applyChanges(item.GetChanges()); err != nil {
		return err
	}
	if view.state.Revision() != before {
		close(view.changed)
		view.changed = make(chan struct{})
	}
	if item.GetRevision() == view.state.Revision() {
		view.confirmed = max(view.confirmed, notBefore-clock.Millis(item.GetAge()))
	}
	return nil
}

func (view *View) applyChanges(changes []*wire.Numbered) error {
	for _, numbered := range changes {
		if numbered.GetRevision() <= view.state.Revision() {
			continue
		}
		next, err := view.state.WithNumbered(numbered)
		if err != nil {
			return err
		}
		view.state = next
		view.recent = view.recent.With(numbered)
	}
	return nil
}

// Confirmed returns the time at which control last confirmed the revision.
func (view *View) Confirmed() clock.Millis {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.confirmed
}

// Confirmation returns the newest configuration received and the time at which control last
// confirmed it.
func (view *View) Confirmation() (*state.State, clock.Millis) {
	view.mu.Lock()
	defer view.mu.Unlock()
	return view.state, view.confirmed
}

// Since returns the item that brings a watcher from a revision to the current
// one, and a channel that is closed at the next revision.
func (view *View) Since(revision uint64) (*wire.FeedItem, <-chan struct{}) {
	view.mu.Lock()
	defer view.mu.Unlock()
	item := &wire.FeedItem{Revision: view.state.Revision(), Age: int64(view.clock.Now() - view.confirmed)}
	missing := view.state.Revision() - min(revision, view.state.Revision())
	switch {
	case missing == 0:
	case missing <= uint64(len(view.recent)):
		item.Changes = view.recent[uint64(len(view.recent))-missing:]
	default:
		item.Snapshot = view.state.Snapshot()
	}
	return item, view.changed
}
