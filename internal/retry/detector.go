package retry

import (
	"maps"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// avoidScore is the score at which an engine is avoided. Two failures in a
	// row or a clear majority of failures reach it.
	avoidScore = 2.0
	// successFactor multiplies the score of an engine on each success.
	successFactor = 0.5
	// minAvoidTime and maxAvoidTime bound the time for which an engine is avoided.
	minAvoidTime = clock.Second
	maxAvoidTime = 30 * clock.Second
	// probeTimeout is the age at which a probe without a result no longer
	// delays the next one.
	probeTimeout = 5 * clock.Second
	// forgetAfter is the time since an engine's latest failure after which the
	// engine is dropped. It removes engines that get no more requests.
	forgetAfter = 5 * clock.Minute
)

// Health is the failure record of one engine.
type Health struct {
	score float64
	// avoidTime is the length of the latest avoidance; zero when healthy.
	avoidTime  clock.Millis
	avoidUntil clock.Millis
	// probedAt is when a probe was sent; zero when no probe is in flight.
	probedAt clock.Millis
	failedAt clock.Millis
}

// Detector detects engines that keep failing. It is an immutable value.
type Detector struct {
	engines map[string]Health
}

// Use states whether an engine may get a request.
type Use int

// Uses of an engine.
const (
	Normal Use = iota
	// Probe lets one request through to check whether the engine has recovered.
	Probe
	Avoid
)

// Use returns whether an engine may get a request now. At most one engine is
// probed at a time, which limits the probes of a fleet with many failures.
func (detector Detector) Use(engine string, now clock.Millis) Use {
	health := detector.engines[engine]
	switch {
	case health.avoidTime == 0:
		return Normal
	case now < health.avoidUntil || detector.probing(now):
		return Avoid
	}
	return Probe
}

// AllHealthy reports whether no engine has a failure on record.
func (detector Detector) AllHealthy() bool { return len(detector.engines) == 0 }

func (detector Detector) probing(now clock.Millis) bool {
	for _, health := range detector.engines {
		if health.probedAt > 0 && now-health.probedAt < probeTimeout {
			return true
		}
	}
	return false
}

// Usable returns the engines that may get a request now. When all are avoided
// it returns the one whose avoidance ends first, because the whole fleet must
// never be avoided.
func (detector Detector) Usable(engines []string, now clock.Millis) []string {
	var usable []string
	earliest, earliestUntil := "", clock.Millis(0)
	for _, engine := range engines {
		if detector.Use(engine, now) != Avoid {
			usable = append(usable, engine)
		}
		if until := detector.engines[engine].avoidUntil; earliest == "" || until < earliestUntil {
			earliest, earliestUntil = engine, until
		}
	}
	if len(usable) == 0 && earliest != "" {
		usable = append(usable, earliest)
	}
	return usable
}

// WithSent records a request to an engine. It counts as a probe if the engine
// is avoided.
func (detector Detector) WithSent(engine string, now clock.Millis) Detector {
	health, ok := detector.engines[engine]
	if !ok || health.avoidTime == 0 {
		return detector
	}
	health.probedAt = now
	return detector.with(engine, health)
}

// WithSuccess records a request that the engine answered.
func (detector Detector) WithSuccess(engine string) Detector {
	health, ok := detector.engines[engine]
	if !ok {
		return detector
	}
	health = Health{score: health.score * successFactor, failedAt: health.failedAt}
	if health.score < avoidScore/4 {
		next := maps.Clone(detector.engines)
		delete(next, engine)
		return Detector{engines: next}
	}
	return detector.with(engine, health)
}

// WithFailure records a request that the engine failed. A failed probe doubles
// the time for which the engine is avoided.
func (detector Detector) WithFailure(engine string, now clock.Millis) Detector {
	health := detector.engines[engine]
	health.score = min(health.score+1, 2*avoidScore)
	health.failedAt = now
	switch {
	case health.avoidTime > 0 && now < health.avoidUntil:
		// The request was sent before the engine was avoided, so its failure
		// does not extend the avoidance.
	case health.score >= avoidScore || health.avoidTime > 0:
		health.avoidTime = min(max(2*health.avoidTime, minAvoidTime), maxAvoidTime)
		health.avoidUntil, health.probedAt = now+health.avoidTime, 0
	}
	next := detector.with(engine, health)
	// The method with copies the map, so it may be modified here.
	maps.DeleteFunc(next.engines, func(_ string, old Health) bool { return now-old.failedAt > forgetAfter })
	return next
}

// WithNeutral records a request whose end says nothing about the engine's health.
func (detector Detector) WithNeutral(engine string) Detector {
	health, ok := detector.engines[engine]
	if !ok || health.probedAt == 0 {
		return detector
	}
	health.probedAt = 0
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
