package route

import (
	"sync"

	"github.com/hibiscuslug/hibiscuslug/internal/call"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// waitPollInterval is the time between checks for an available engine.
	waitPollInterval = 20 * clock.Millis(1)
	// maxAbsence is how long a model or service may have no engine before
	// requests for it fail at once. A VM restarts within that time.
	maxAbsence = 30 * clock.Second
	// startGrace is how long an entry VM that has just started waits for the
	// first announcements.
	startGrace = 5 * clock.Second
)

// waitlist tracks the calls that wait because no engine is available. A free
// call proceeds only while no paid call waits for the same engines.
type waitlist struct {
	started clock.Millis

	// mu guards the fields below. No other lock is acquired while it is held.
	mu sync.Mutex
	// lastAvailable is when a class last had an engine.
	lastAvailable map[engineClass]clock.Millis
	// paidWaiting counts the paid calls that wait for a class.
	paidWaiting map[engineClass]int
}

// engineClass identifies the engines that can run a call.
type engineClass struct {
	kind    wire.Kind
	service string
	model   string
}

func newWaitlist(now clock.Millis) *waitlist {
	return &waitlist{started: now, lastAvailable: map[engineClass]clock.Millis{}, paidWaiting: map[engineClass]int{}}
}

func engineClassOf(request call.Call) engineClass {
	if request.Kind == wire.Kind_KIND_MODEL {
		return engineClass{kind: request.Kind, model: request.Model}
	}
	return engineClass{kind: request.Kind, service: request.Service}
}

// markAvailable records that a class has engines. It rewrites an entry only
// after a second, so that the common path rarely writes.
func (waitlist *waitlist) markAvailable(class engineClass, now clock.Millis) {
	waitlist.mu.Lock()
	defer waitlist.mu.Unlock()
	if now-waitlist.lastAvailable[class] > clock.Second {
		waitlist.lastAvailable[class] = now
	}
}

// mayAppear reports whether an engine for a class may become available soon.
func (waitlist *waitlist) mayAppear(class engineClass, now clock.Millis) bool {
	waitlist.mu.Lock()
	defer waitlist.mu.Unlock()
	last, ok := waitlist.lastAvailable[class]
	return now-waitlist.started < startGrace || (ok && now-last < maxAbsence)
}

// enter adds a waiting call; the function returned removes it.
func (waitlist *waitlist) enter(request call.Call) func() {
	if request.Tier != wire.Tier_TIER_PAID {
		return func() {}
	}
	class := engineClassOf(request)
	waitlist.mu.Lock()
	defer waitlist.mu.Unlock()
	waitlist.paidWaiting[class]++
	return func() {
		waitlist.mu.Lock()
		defer waitlist.mu.Unlock()
		if waitlist.paidWaiting[class]--; waitlist.paidWaiting[class] == 0 {
			delete(waitlist.paidWaiting, class)
		}
	}
}

// mayProceed reports whether a call may take an engine before those that wait.
func (waitlist *waitlist) mayProceed(request call.Call) bool {
	if request.Tier == wire.Tier_TIER_PAID {
		return true
	}
	waitlist.mu.Lock()
	defer waitlist.mu.Unlock()
	return waitlist.paidWaiting[engineClassOf(request)] == 0
}
