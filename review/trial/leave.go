package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	leaveEngines = 18
	// leaveRounds is the number of zones that leave, one after the other.
	leaveRounds = 2
	// leaveRest is the time from the restart of a control process to the next round.
	leaveRest = 8 * time.Second
	// leaveLead is the time between the last liveness reports of the engines and the first
	// one that leaves.
	leaveLead = 50 * time.Millisecond
	// leavePause is the time between the reports of two engines that leave together.
	leavePause = 2 * time.Millisecond
	// leaveDown is how long the control process that acknowledged them is down, as in the list
	// of the site for node_kill of the core.
	leaveDown = 3500 * time.Millisecond
	// leaveServes is how long an engine goes on serving after the acknowledgement.
	leaveServes = 3450 * time.Millisecond
	// leaveWork is the time that a booking takes, within its objective.
	leaveWork = 120 * time.Millisecond
	// leaveMargin keeps requests out of the check that were sent about when the core became
	// stable, or ceased to be.
	leaveMargin = 20 * time.Millisecond
)

const leaveRoutes = `{"name":"r-book","host":"` + host + `","pathPrefix":"/puxa403/","kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":150,` +
	`"priority":2,"service":"wuno96b","attempts":1,"authExempt":false,"sessionAffinity":false,"streamResume":false,"targetGapMs":0}`

// leaveSite is a deployment whose engines of one zone after the other leave.
type leaveSite struct {
	fleet   *fleet
	trouble bool
	engines []*engine

	// mu guards the fields below.
	mu     sync.Mutex
	runs   []run
	sentAt map[string]time.Time
}

// playLeave lets the engines of one zone leave. Right after the last acknowledgement, the
// control process that gave them is killed. The same follows with another zone and another
// control process.
func playLeave(fleet *fleet, trouble bool) (verdict, error) {
	site := &leaveSite{fleet: fleet, trouble: trouble, sentAt: map[string]time.Time{}}
	if err := fleet.start(); err != nil {
		return verdict{}, err
	}
	for number := range leaveEngines {
		started, err := fleet.startEngine(number, fmt.Sprintf("i-%08x", 0x7f3a0000+number), "wuno96b", site.work)
		if err != nil {
			return verdict{}, err
		}
		site.engines = append(site.engines, started)
	}
	if err := fleet.configure(document(leaveRoutes, "wuno96b")); err != nil {
		return verdict{}, err
	}
	callers, results := newCallers(fleet), &counts{}
	callers.every(20*time.Millisecond, func(number int) {
		got := callers.send(request{gateway: fleet.gateways[number%3], path: "/puxa403/2f", body: "kit " + strconv.Itoa(number), deadline: 2 * time.Second})
		site.mu.Lock()
		site.sentAt[got.id] = got.sentAt
		site.mu.Unlock()
		results.add("bookings " + strconv.Itoa(got.status))
	})
	time.Sleep(stable + heartbeatInterval)
	var rounds []leaveRound
	for number := range leaveRounds {
		if number > 0 {
			time.Sleep(leaveRest)
		}
		round, err := site.round(number)
		if err != nil {
			return verdict{}, err
		}
		rounds = append(rounds, round)
	}
	callers.close()
	late := 0
	for _, round := range rounds {
		late += site.late(round)
	}
	return verdict{broken: late > 0, summary: fmt.Sprintf(
		"%d requests reached engines that had left, later than %s after the acknowledgement, from machines in touch (allowed: 0); %d requests in all; answers by status: %v",
		late, drain, len(site.runs), results.all())}, nil
}

// work runs a booking.
func (site *leaveSite) work(w http.ResponseWriter, run run) {
	site.mu.Lock()
	site.runs = append(site.runs, run)
	site.mu.Unlock()
	time.Sleep(leaveWork)
	seal(w, run)
	// The client may have gone.
	_, _ = fmt.Fprint(w, "booked "+run.body)
}

// leaveRound is when each engine of a zone was acknowledged, and when the control process was
// killed.
type leaveRound struct {
	acked    map[string]time.Time
	killedAt time.Time
}

// round lets the engines of a zone leave at the control process of that zone.
func (site *leaveSite) round(number int) (leaveRound, error) {
	var leaving []*engine
	for at, engine := range site.engines {
		if at%len(zones) == number {
			leaving = append(leaving, engine)
		}
	}
	control := site.fleet.controls[number]
	round, err := site.leaveAll(control, leaving)
	if err != nil {
		return leaveRound{}, err
	}
	time.Sleep(time.Until(round.killedAt.Add(leaveServes)))
	for _, engine := range leaving {
		engine.end()
	}
	time.Sleep(time.Until(round.killedAt.Add(leaveDown)))
	if !site.trouble {
		return round, nil
	}
	return round, site.fleet.restart(control, zones[number])
}

// late counts the requests that reached engines of a round too late, from machines in touch.
func (site *leaveSite) late(round leaveRound) int {
	site.mu.Lock()
	defer site.mu.Unlock()
	late := 0
	for _, run := range site.runs {
		sent := site.sentAt[run.id]
		inTouch := !site.trouble || sent.After(round.killedAt.Add(stable+leaveMargin)) && run.at.Before(round.killedAt.Add(leaveDown-leaveMargin))
		if at, left := round.acked[run.engine.id]; left && run.at.After(at.Add(drain+leaveMargin)) && inTouch {
			late++
			site.fleet.record.note("late %s at engine %s, %s after the acknowledgement", run.id, run.engine.id, run.at.Sub(at))
		}
	}
	return late
}

// leaveAll deregisters engines at a control process and kills it.
func (site *leaveSite) leaveAll(control *machine, leaving []*engine) (leaveRound, error) {
	for at, engine := range leaving {
		engine.report(at)
	}
	time.Sleep(leaveLead)
	round := leaveRound{acked: map[string]time.Time{}}
	for at, engine := range leaving {
		if at > 0 {
			time.Sleep(leavePause)
		}
		ackedAt, err := engine.leave(control)
		if err != nil {
			return leaveRound{}, err
		}
		round.acked[engine.id] = ackedAt
	}
	round.killedAt = time.Now()
	if !site.trouble {
		return round, nil
	}
	return round, site.fleet.kill(control)
}
