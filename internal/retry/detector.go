package retry

import (
	"maps"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// failing is the score at which an engine is avoided: two failures in a
	// row, or a clear majority of failures.
	failing = 2.0
	// forgive is what one success leaves of the score.
	forgive = 0.5
	// leastAway and mostAway bound the time for which an engine is avoided.
	leastAway = clock.Second
	mostAway  = 30 * clock.Second
	// probeLimit is when a probe that has not ended stops holding up the next.
	probeLimit = 5 * clock.Second
	// forgotten is when an engine that gets no requests any more is dropped.
	forgotten = 5 * clock.Minute
)

// Health is what a detector knows of one engine.
type Health struct {
	score float64
	// away is the time for which the engine was last avoided; zero when healthy.
	away  clock.Millis
	until clock.Millis
	// probed is when a probe was sent; zero when none is on its way.
	probed clock.Millis
	failed clock.Millis
}

// Detector tells engines that fail from the others. It is an immutable value.
type Detector struct {
	engines map[string]Health
}

// Use is whether an engine may get a request.
type Use int

// Uses of an engine.
const (
	Normal Use = iota
	// Probe lets one request through to find out whether the engine is back.
	Probe
	Avoid
)

// Use tells whether an engine may get a request now. At most one engine is
// probed at a time, so that probes of a failing fleet stay few.
func (detector Detector) Use(engine string, now clock.Millis) Use {
	health := detector.engines[engine]
	switch {
	case health.away == 0:
		return Normal
	case now < health.until || detector.probing(now):
		return Avoid
	}
	return Probe
}

// Quiet tells whether no engine is avoided or close to it.
func (detector Detector) Quiet() bool { return len(detector.engines) == 0 }

func (detector Detector) probing(now clock.Millis) bool {
	for _, health := range detector.engines {
		if health.probed > 0 && now-health.probed < probeLimit {
			return true
		}
	}
	return false
}

// Usable returns the engines that may get a request now. When all are avoided
// it returns the one that comes back first: the whole fleet is never avoided.
func (detector Detector) Usable(engines []string, now clock.Millis) []string {
	var usable []string
	first, due := "", clock.Millis(0)
	for _, engine := range engines {
		if detector.Use(engine, now) != Avoid {
			usable = append(usable, engine)
		}
		if until := detector.engines[engine].until; first == "" || until < due {
			first, due = engine, until
		}
	}
	if len(usable) == 0 && first != "" {
		usable = append(usable, first)
	}
	return usable
}

// WithSent notes a request to an engine, which is its probe when it is avoided.
func (detector Detector) WithSent(engine string, now clock.Millis) Detector {
	health, ok := detector.engines[engine]
	if !ok || health.away == 0 {
		return detector
	}
	health.probed = now
	return detector.with(engine, health)
}

// WithSuccess notes a request that the engine answered.
func (detector Detector) WithSuccess(engine string) Detector {
	health, ok := detector.engines[engine]
	if !ok {
		return detector
	}
	health = Health{score: health.score * forgive, failed: health.failed}
	if health.score < failing/4 {
		next := maps.Clone(detector.engines)
		delete(next, engine)
		return Detector{engines: next}
	}
	return detector.with(engine, health)
}

// WithFailure notes a request that the engine failed. A failed probe doubles
// the time for which the engine is avoided.
func (detector Detector) WithFailure(engine string, now clock.Millis) Detector {
	health := detector.engines[engine]
	health.score = min(health.score+1, 2*failing)
	health.failed = now
	switch {
	case health.away > 0 && now < health.until:
		// A request sent before the engine was avoided tells nothing new.
	case health.score >= failing || health.away > 0:
		health.away = min(max(2*health.away, leastAway), mostAway)
		health.until, health.probed = now+health.away, 0
	}
	next := detector.with(engine, health)
	// The map was copied by with.
	maps.DeleteFunc(next.engines, func(_ string, old Health) bool { return now-old.failed > forgotten })
	return next
}

// WithNeutral notes a request that ended without telling anything of the engine.
func (detector Detector) WithNeutral(engine string) Detector {
	health, ok := detector.engines[engine]
	if !ok || health.probed == 0 {
		return detector
	}
	health.probed = 0
	return detector.with(engine, health)
}

func (detector Detector) with(engine string, health Health) Detector {
	next := maps.Clone(detector.engines)
	if next == nil {
		next = map[string]Health{}
	}
	next[engine] = health
	return Detector{engines: next}
}
