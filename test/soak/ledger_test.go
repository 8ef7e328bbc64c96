package soak_test

import (
	"fmt"
	"sync"
	"time"
)

const headerID = "Hibiscuslug-Request-Id"

// asked is a request as its caller saw it.
type asked struct {
	kind, key string
	sent      time.Time
	// notRun is set when the caller was told that the request has not run.
	notRun bool
	status int
	runs   int
}

// ledger holds what callers and endpoints saw, and what is wrong with it.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*asked
	faults   []string
	answered map[string]int
	// acked is the newest configuration acknowledged, sent all those sent.
	acked uint64
	sent  map[uint64]string
	// revoked is when the removal of the second key was acknowledged.
	revoked time.Time
}

func newLedger() *ledger {
	return &ledger{requests: map[string]*asked{}, sent: map[uint64]string{}, answered: map[string]int{}}
}

func (ledger *ledger) wrong(format string, values ...any) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.faults = append(ledger.faults, fmt.Sprintf(format, values...))
}

func (ledger *ledger) ask(id, kind, key string) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.requests[id] = &asked{kind: kind, key: key, sent: time.Now()}
}

// ran notes a run at an endpoint.
func (ledger *ledger) ran(id, customer string) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	known := ledger.requests[id]
	switch {
	case known == nil:
		ledger.faults = append(ledger.faults, "an endpoint ran "+id+", which nobody asked for")
		return
	case customer != "customer-"+known.key:
		ledger.faults = append(ledger.faults, "an endpoint ran "+id+" for "+customer)
	}
	known.runs++
}

// end notes what the caller got.
func (ledger *ledger) end(id string, status int) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	known := ledger.requests[id]
	known.status = status
	known.notRun = status == 503 || status == 429 || status == 408 || status == 421
	ledger.answered[fmt.Sprintf("%s %d", known.kind, status)]++
}

// check returns everything that is wrong once all is quiet.
func (ledger *ledger) check() []string {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	faults := append([]string(nil), ledger.faults...)
	for id, known := range ledger.requests {
		if known.kind == "book" && known.runs > 1 {
			faults = append(faults, fmt.Sprintf("%s must not be repeated and ran %d times", id, known.runs))
		}
		if known.notRun && known.runs > 0 {
			faults = append(faults, fmt.Sprintf("%s was refused with %d and ran %d times", id, known.status, known.runs))
		}
		if known.status == 200 && known.runs == 0 {
			faults = append(faults, id+" was answered and has not run")
		}
		if known.key == "k2" && !ledger.revoked.IsZero() && known.runs > 0 && known.sent.Sub(ledger.revoked) > revokeLimit {
			faults = append(faults, fmt.Sprintf("%s ran with a key that was revoked %s before it was sent", id, known.sent.Sub(ledger.revoked)))
		}
	}
	return faults
}
