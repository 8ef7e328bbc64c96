package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	lateEngines = 6
	// lateHeld is how long the liveness reports of the new engine are on their way.
	lateHeld = 3 * time.Second
	// lateLeaves is when it leaves, counted from its start.
	lateLeaves = 2 * time.Second
	// lateServes is how long it goes on serving after the acknowledgement.
	lateServes = 6 * time.Second
	// lateMargin is added to the bound for the time on the way.
	lateMargin = 100 * time.Millisecond
)

// playLate starts an engine whose liveness reports arrive late, so that its deregistration is
// the first that the system hears of it.
func playLate(fleet *fleet, trouble bool) (verdict, error) {
	if err := fleet.start(); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	var runs []run
	work := func(w http.ResponseWriter, run run) {
		mu.Lock()
		runs = append(runs, run)
		mu.Unlock()
		time.Sleep(leaveWork)
		seal(w, run)
		// The client may have gone.
		_, _ = fmt.Fprint(w, "booked "+run.body)
	}
	for number := range lateEngines {
		if _, err := fleet.startEngine(number, fmt.Sprintf("i-%08x", 0x7f3a0000+number), "wuno96b", work); err != nil {
			return verdict{}, err
		}
	}
	if err := fleet.configure(document(leaveRoutes, "wuno96b")); err != nil {
		return verdict{}, err
	}
	callers, results := newCallers(fleet), &counts{}
	callers.every(20*time.Millisecond, func(number int) {
		got := callers.send(request{gateway: fleet.gateways[number%3], path: "/puxa403/2f", body: "kit " + strconv.Itoa(number), deadline: 2 * time.Second})
		results.add("bookings " + strconv.Itoa(got.status))
	})
	time.Sleep(stable)
	held := time.Duration(0)
	if trouble {
		held = lateHeld
	}
	leaving, err := fleet.startHeld(lateEngines, fmt.Sprintf("i-%08x", 0x7f3a0000+lateEngines), "wuno96b", held, work)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(lateLeaves)
	ackedAt, err := leaving.leave(fleet.controls[0])
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(lateServes)
	leaving.end()
	callers.close()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, run := range runs {
		if run.engine == leaving && run.at.After(ackedAt.Add(drain+lateMargin)) {
			late++
		}
	}
	return verdict{broken: late > 0, summary: fmt.Sprintf(
		"%d requests reached the engine that had left, later than %s after the acknowledgement (allowed: 0); %d requests in all; answers by status: %v",
		late, drain, len(runs), results.all())}, nil
}
