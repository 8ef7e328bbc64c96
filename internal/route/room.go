package route

import (
	"sync"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// waitPoll is the time between looks for an engine.
	waitPoll = 20 * clock.Millis(1)
	// absence is how long a model or service may have no engine before requests
	// for it fail at once. A VM restarts within that time.
	absence = 30 * clock.Second
	// grace is the time in which an entry VM that has just started waits for
	// the first announcements.
	grace = 5 * clock.Second
)

// room is where calls wait when no engine can be had for a moment. Free calls
// go on only while no paid call for the same engines waits.
type room struct {
	started clock.Millis

	// mu guards the fields below. It is a leaf lock.
	mu sync.Mutex
	// seen is when an engine for a class was last known.
	seen map[class]clock.Millis
	paid map[class]int
}

// class is what decides which engines can run a call.
type class struct {
	kind    wire.Kind
	service string
	model   string
}

func newRoom(now clock.Millis) *room {
	return &room{started: now, seen: map[class]clock.Millis{}, paid: map[class]int{}}
}

func classOf(request call.Call) class {
	if request.Kind == wire.Kind_KIND_MODEL {
		return class{kind: request.Kind, model: request.Model}
	}
	return class{kind: request.Kind, service: request.Service}
}

// note records that engines for a class are known. An old entry is good
// enough, so that the common path writes seldom.
func (room *room) note(of class, now clock.Millis) {
	room.mu.Lock()
	defer room.mu.Unlock()
	if now-room.seen[of] > clock.Second {
		room.seen[of] = now
	}
}

// expected tells whether an engine for a class may come soon.
func (room *room) expected(of class, now clock.Millis) bool {
	room.mu.Lock()
	defer room.mu.Unlock()
	seen, ok := room.seen[of]
	return now-room.started < grace || (ok && now-seen < absence)
}

// enter counts a waiting call; the function returned counts it off.
func (room *room) enter(request call.Call) func() {
	if request.Tier != wire.Tier_TIER_PAID {
		return func() {}
	}
	of := classOf(request)
	room.mu.Lock()
	defer room.mu.Unlock()
	room.paid[of]++
	return func() {
		room.mu.Lock()
		defer room.mu.Unlock()
		if room.paid[of]--; room.paid[of] == 0 {
			delete(room.paid, of)
		}
	}
}

// turn tells whether a call may take an engine before those that wait.
func (room *room) turn(request call.Call) bool {
	if request.Tier == wire.Tier_TIER_PAID {
		return true
	}
	room.mu.Lock()
	defer room.mu.Unlock()
	return room.paid[classOf(request)] == 0
}
