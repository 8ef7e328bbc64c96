package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	leaveEngines = 12
	// leaveLead is the time between the last liveness reports of the engines and the first
	// one that leaves.
	leaveLead = 50 * time.Millisecond
	// leavePause is the time between the reports of two engines that leave together.
	leavePause = 4 * time.Millisecond
	// leaveDown is how long the control process that acknowledged them is down, the default
	// of the bench for how long a machine is dark.
	leaveDown = 5 * time.Second
	// leaveServes is how long an engine goes on serving after the acknowledgement.
	leaveServes = 3600 * time.Millisecond
	// leaveWork is the time that a booking takes, within its objective.
	leaveWork = 120 * time.Millisecond
	// leaveMargin keeps requests out of the check that were sent about when the core became
	// stable, or ceased to be.
	leaveMargin = 100 * time.Millisecond
)

const leaveRoutes = `{"name":"r-book","host":"` + host + `","pathPrefix":"/puxa403/","kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":150,` +
	`"priority":2,"service":"wuno96b","attempts":1,"authExempt":false,"sessionAffinity":false,"streamResume":false,"targetGapMs":0}`

// playLeave lets the engines of one zone leave. Right after the last acknowledgement, the
// control process that gave them is killed.
func playLeave(fleet *fleet, trouble bool) (verdict, error) {
	if err := fleet.start(3); err != nil {
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
	var leaving []*engine
	for number := range leaveEngines {
		started, err := fleet.startEngine(number, fmt.Sprintf("i-%08x", 0x7f3a0000+number), "wuno96b", work)
		if err != nil {
			return verdict{}, err
		}
		if number%len(zones) == 0 {
			leaving = append(leaving, started)
		}
	}
	if err := fleet.configure(document(leaveRoutes, "wuno96b")); err != nil {
		return verdict{}, err
	}
	callers, results := newCallers(fleet), &counts{}
	var sentMu sync.Mutex
	sentAt := map[string]time.Time{}
	callers.every(20*time.Millisecond, func(number int) {
		got := callers.send(request{gateway: fleet.gateways[number%3], path: "/puxa403/2f", body: "kit " + strconv.Itoa(number), deadline: 2 * time.Second})
		sentMu.Lock()
		sentAt[got.id] = got.sentAt
		sentMu.Unlock()
		results.add("bookings " + strconv.Itoa(got.status))
	})
	time.Sleep(stable + heartbeatInterval)
	acked, killedAt, err := leaveAll(fleet, leaving, trouble)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Until(killedAt.Add(leaveServes)))
	for _, engine := range leaving {
		engine.end()
	}
	time.Sleep(time.Until(killedAt.Add(leaveDown)))
	if trouble {
		if err := fleet.restart(fleet.controls[0], zones[0]); err != nil {
			return verdict{}, err
		}
	}
	callers.close()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, run := range runs {
		sent := sentAt[run.id]
		inTouch := !trouble || sent.After(killedAt.Add(stable+leaveMargin)) && run.at.Before(killedAt.Add(leaveDown-leaveMargin))
		if at, left := acked[run.engine.id]; left && run.at.After(at.Add(drain+leaveMargin)) && inTouch {
			late++
			fleet.record.note("late %s at engine %s, %s after the acknowledgement", run.id, run.engine.id, run.at.Sub(at))
		}
	}
	return verdict{broken: late > 0, summary: fmt.Sprintf(
		"%d requests reached engines that had left, later than %s after the acknowledgement, from machines in touch (allowed: 0); %d requests in all; answers by status: %v",
		late, drain, len(runs), results.all())}, nil
}

// leaveAll deregisters engines at the first control process and kills it. It returns when
// each acknowledgement arrived and when the process was killed.
func leaveAll(fleet *fleet, leaving []*engine, trouble bool) (map[string]time.Time, time.Time, error) {
	for at, engine := range leaving {
		engine.report(at)
	}
	time.Sleep(leaveLead)
	acked := map[string]time.Time{}
	for at, engine := range leaving {
		if at > 0 {
			time.Sleep(leavePause)
		}
		ackedAt, err := engine.leave(fleet.controls[0])
		if err != nil {
			return nil, time.Time{}, err
		}
		acked[engine.id] = ackedAt
	}
	killedAt := time.Now()
	if !trouble {
		return acked, killedAt, nil
	}
	return acked, killedAt, fleet.kill(fleet.controls[0])
}
