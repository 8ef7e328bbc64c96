package soak_test

import (
	"fmt"
	"sync"
	"time"
)

const headerID = "Hibiscuslug-Request-Id"

// callerRequest is a request with its result at the caller and its runs at the
// endpoints.
type callerRequest struct {
	kind, key string
	sent      time.Time
	// notRun is set if the status means that the request has not run.
	notRun bool
	status int
	runs   int
}

// recorder records the requests of callers, the runs at endpoints and all
// violations of the guarantees.
type recorder struct {
	mu         sync.Mutex
	requests   map[string]*callerRequest
	violations []string
	answered   map[string]int
	// acknowledged is the highest configuration version acknowledged; sent holds
	// all configurations sent, by version.
	acknowledged uint64
	sent         map[uint64]string
	// evacuated is when the evacuation of each zone was acknowledged; zones for
	// which it was not, or for which its end was sent, are missing.
	evacuated map[string]time.Time
	// zoneRuns counts the runs in each zone.
	zoneRuns map[string]int
	// revoked is when the removal of the second key was acknowledged.
	revoked time.Time
}

func newRecorder() *recorder {
	return &recorder{requests: map[string]*callerRequest{}, sent: map[uint64]string{}, answered: map[string]int{}, evacuated: map[string]time.Time{}, zoneRuns: map[string]int{}}
}

func (recorder *recorder) addViolation(format string, values ...any) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.violations = append(recorder.violations, fmt.Sprintf(format, values...))
}

func (recorder *recorder) recordRequest(id, kind, key string) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.requests[id] = &callerRequest{kind: kind, key: key, sent: time.Now()}
}

// recordRun records a run at an endpoint.
func (recorder *recorder) recordRun(id, zone, customer string) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.zoneRuns[zone]++
	if since, ok := recorder.evacuated[zone]; ok && time.Since(since) > evacuateLimit {
		recorder.violations = append(recorder.violations, fmt.Sprintf("%s ran in zone %s, evacuated for %s", id, zone, time.Since(since)))
	}
	entry := recorder.requests[id]
	switch {
	case entry == nil:
		recorder.violations = append(recorder.violations, "an endpoint ran "+id+", which no caller sent")
		return
	case customer != "customer-"+entry.key:
		recorder.violations = append(recorder.violations, "an endpoint ran "+id+" for "+customer)
	}
	entry.runs++
}

// runsIn returns the number of runs in a zone.
func (recorder *recorder) runsIn(zone string) int {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return recorder.zoneRuns[zone]
}

// recordOrder records an acknowledged evacuation of a zone, or its end before that is
// sent.
func (recorder *recorder) recordOrder(zone string, active bool) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	delete(recorder.evacuated, zone)
	if active {
		recorder.evacuated[zone] = time.Now()
	}
}

// recordStatus records the status that the caller got.
func (recorder *recorder) recordStatus(id string, status int) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	entry := recorder.requests[id]
	entry.status = status
	entry.notRun = status == 503 || status == 429 || status == 408 || status == 421
	recorder.answered[fmt.Sprintf("%s %d", entry.kind, status)]++
}

// check returns all violations, once no request is in flight.
func (recorder *recorder) check() []string {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	violations := append([]string(nil), recorder.violations...)
	for id, entry := range recorder.requests {
		if entry.kind == "book" && entry.runs > 1 {
			violations = append(violations, fmt.Sprintf("%s must not be repeated and ran %d times", id, entry.runs))
		}
		if entry.notRun && entry.runs > 0 {
			violations = append(violations, fmt.Sprintf("%s was refused with %d and ran %d times", id, entry.status, entry.runs))
		}
		if entry.status == 200 && entry.runs == 0 {
			violations = append(violations, id+" was answered and has not run")
		}
		if entry.key == "k2" && !recorder.revoked.IsZero() && entry.runs > 0 && entry.sent.Sub(recorder.revoked) > revokeLimit {
			violations = append(violations, fmt.Sprintf("%s ran with a key that was revoked %s before it was sent", id, entry.sent.Sub(recorder.revoked)))
		}
	}
	return violations
}
