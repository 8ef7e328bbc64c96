package gate

import (
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/outage"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// probeInterval is the time between requests that probe whether a stalled group
	// works again; each probe of a group that is still stalled costs one refused request.
	probeInterval = 300 * clock.Millis(1)
	// maxRetryJitter is the upper bound of the random addition to Retry-After, so that
	// callers do not retry all at once.
	maxRetryJitter = 500 * clock.Millis(1)
)

// stall is the state of a group of ranks that refuses work because a rank is missing,
// or whose streams make no progress.
type stall struct {
	// epoch is the group's epoch when it stalled. The group works again in a later epoch,
	// unless it is reported as broken.
	epoch uint64
	// since is the time of the last observed progress, or of the refusal if none was
	// observed.
	since clock.Millis
	// reported is set when an endpoint reported that a rank is missing. Otherwise the
	// group is only silent, and callers that were not refused before are still sent
	// there.
	reported bool
	// nextProbe is the time from which one request may probe the group.
	nextProbe clock.Millis
}

// progress is the observed progress of a group's streams.
type progress struct {
	// streams counts the active streams, lastEvent is the time of the latest event of
	// any of them.
	streams   int
	lastEvent clock.Millis
}

// beginStream and endStream count the active streams of a group.
func (gateway *Gateway) beginStream(group string) { gateway.countStream(group, 1) }

func (gateway *Gateway) endStream(group string) { gateway.countStream(group, -1) }

func (gateway *Gateway) countStream(group string, change int) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	current := gateway.progress[group]
	current.streams += change
	if current.streams <= 0 {
		delete(gateway.progress, group)
		return
	}
	gateway.progress[group] = current
}

// markStalled marks a group as stalled after it refused work because of another rank.
func (gateway *Gateway) markStalled(group roster.Group) {
	if group.Name == "" {
		return
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	now := gateway.clock.Now()
	current, ok := gateway.stalls[group.Name]
	if !ok || group.Epoch > current.epoch {
		current = stall{epoch: group.Epoch, since: now}
		if observed, hasStreams := gateway.progress[group.Name]; hasStreams {
			current.since = observed.lastEvent
		}
	}
	current.nextProbe, current.reported = now+probeInterval, true
	gateway.stalls[group.Name] = current
}

// clearStall records progress of a group, which ends its stall.
func (gateway *Gateway) clearStall(group roster.Group) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	delete(gateway.stalls, group.Name)
	if current, ok := gateway.progress[group.Name]; ok {
		current.lastEvent = gateway.clock.Now()
		gateway.progress[group.Name] = current
	}
}

// detectSilence marks a group as stalled when none of its streams makes progress.
// The caller holds mu.
func (gateway *Gateway) detectSilence(group roster.Group, now clock.Millis) {
	if group.Name == "" {
		return
	}
	observed, ok := gateway.progress[group.Name]
	if _, stalled := gateway.stalls[group.Name]; !ok || stalled || !outage.IsSilent(observed.streams, now-observed.lastEvent) {
		return
	}
	gateway.stalls[group.Name] = stall{epoch: group.Epoch, since: observed.lastEvent, nextProbe: now + probeInterval}
	gateway.log.Write(event.GroupSilent, "group", group.Name, "epoch", group.Epoch, "streams", observed.streams, "quiet", now-observed.lastEvent)
}

// mustNotSend reports whether a request must not be sent to a group because it is
// stalled. A group that is only silent counts as stalled only for callers that retry.
//
// The call has side effects: it marks and logs a group whose streams have become
// silent, and for a stalled group it reports false once per probeInterval, so that one
// request probes the group.
func (gateway *Gateway) mustNotSend(group roster.Group, isCallerRetry bool) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	now := gateway.clock.Now()
	gateway.detectSilence(group, now)
	current, ok := gateway.stalls[group.Name]
	if !ok || group.Epoch > current.epoch && !group.Broken || !current.reported && !isCallerRetry {
		return false
	}
	if now < current.nextProbe {
		return true
	}
	current.nextProbe = now + probeInterval
	gateway.stalls[group.Name] = current
	return false
}

// stalledGroups returns the number of stalled groups.
func (gateway *Gateway) stalledGroups() int {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return len(gateway.stalls)
}

// stallAge returns how long a group has been stalled; 0 when it is not.
func (gateway *Gateway) stallAge(group string) clock.Millis {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	current, ok := gateway.stalls[group]
	if !ok {
		return 0
	}
	return gateway.clock.Now() - current.since
}

// retryAfter returns the Retry-After for a request that was not executed.
func (forwarder *forwarder) retryAfter() clock.Millis {
	if wait := forwarder.pauseWait(); wait > 0 {
		return forwarder.gateway.jitter(wait)
	}
	if forwarder.service.Engine == nil || forwarder.gateway.stalledGroups() == 0 {
		return busyRetryAfter
	}
	return forwarder.gateway.jitter(outage.StallRetryAfter)
}

// jitter adds a random time to a delay, so that callers do not retry all at once.
func (gateway *Gateway) jitter(minimum clock.Millis) clock.Millis {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return minimum + clock.Millis(gateway.random.Int64N(int64(maxRetryJitter)))
}
