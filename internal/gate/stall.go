package gate

import (
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/hold"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// probeEvery is the time between requests that find out whether a stalled
	// group is back; each costs one refused request.
	probeEvery = 300 * clock.Millis(1)
	// retrySpread is drawn on top, so that callers do not return all at once.
	retrySpread = 500 * clock.Millis(1)
)

// stall is a group of ranks that takes no work because one of them is missing.
type stall struct {
	// epoch is the group's as known at the refusal; a later one works again.
	epoch uint64
	// since is when it last showed progress, as far as known.
	since clock.Millis
	// told is set when an endpoint said that a rank is missing. Otherwise the
	// group is only silent, and those who come first are sent there.
	told bool
	// probe is when the next request may find out whether the group is back.
	probe clock.Millis
}

// pulse is what the streams of a group show.
type pulse struct {
	// streams counts those that have begun and not ended, last is when one of
	// them had an event.
	streams int
	last    clock.Millis
}

// beginStream and endStream count the streams of a group that have begun.
func (gateway *Gateway) beginStream(group string) { gateway.countStream(group, 1) }

func (gateway *Gateway) endStream(group string) { gateway.countStream(group, -1) }

func (gateway *Gateway) countStream(group string, change int) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	known := gateway.pulses[group]
	known.streams += change
	if known.streams <= 0 {
		delete(gateway.pulses, group)
		return
	}
	gateway.pulses[group] = known
}

// stall notes that a group refused work for the fault of another rank.
func (gateway *Gateway) stall(group roster.Group) {
	if group.Name == "" {
		return
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	now := gateway.clock.Now()
	known, ok := gateway.stalls[group.Name]
	if !ok || group.Epoch > known.epoch {
		known = stall{epoch: group.Epoch, since: now}
		if pulse, beats := gateway.pulses[group.Name]; beats {
			known.since = pulse.last
		}
	}
	known.probe, known.told = now+probeEvery, true
	gateway.stalls[group.Name] = known
}

// resume notes that a group works.
func (gateway *Gateway) resume(group roster.Group) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	delete(gateway.stalls, group.Name)
	if known, ok := gateway.pulses[group.Name]; ok {
		known.last = gateway.clock.Now()
		gateway.pulses[group.Name] = known
	}
}

// noticeSilence marks a group as stalled when none of its streams makes progress. The
// caller holds mu.
func (gateway *Gateway) noticeSilence(group roster.Group, now clock.Millis) {
	if group.Name == "" {
		return
	}
	pulse, ok := gateway.pulses[group.Name]
	if _, isKnown := gateway.stalls[group.Name]; !ok || isKnown || !hold.IsSilent(pulse.streams, now-pulse.last) {
		return
	}
	gateway.stalls[group.Name] = stall{epoch: group.Epoch, since: pulse.last, probe: now + probeEvery}
	gateway.log.Write(event.GroupSilent, "group", group.Name, "epoch", group.Epoch, "streams", pulse.streams, "quiet", now-pulse.last)
}

// isStalled tells whether a group takes no work of a caller that has returned or
// not. It lets one request through from time to time.
func (gateway *Gateway) isStalled(group roster.Group, returned bool) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	now := gateway.clock.Now()
	gateway.noticeSilence(group, now)
	known, ok := gateway.stalls[group.Name]
	if !ok || group.Epoch > known.epoch && !group.Broken || !known.told && !returned {
		return false
	}
	if now < known.probe {
		return true
	}
	known.probe = now + probeEvery
	gateway.stalls[group.Name] = known
	return false
}

// stalled counts the groups that take no work.
func (gateway *Gateway) stalled() int {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return len(gateway.stalls)
}

// stallAge returns how long a group has taken no work; 0 when it does.
func (gateway *Gateway) stallAge(group string) clock.Millis {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	known, ok := gateway.stalls[group]
	if !ok {
		return 0
	}
	return gateway.clock.Now() - known.since
}

// comeBack is when the caller of a request that was not run may return.
func (on *journey) comeBack() clock.Millis {
	if on.service.Engine == nil || on.gateway.stalled() == 0 {
		return busyRetry
	}
	return on.gateway.spread(hold.StallRetryAfter)
}

// spread draws a time to come back, so that callers do not return all at once.
func (gateway *Gateway) spread(least clock.Millis) clock.Millis {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return least + clock.Millis(gateway.random.Int64N(int64(retrySpread)))
}
