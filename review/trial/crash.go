package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	crashEngines = 6
	// crashDown is the time after which an engine that crashed is back as a new boot.
	crashDown = 3 * time.Second
	// crashSpan is the time in which the request that crashes engines comes again and again,
	// and crashPause the time between two of its attempts.
	crashSpan  = 30 * time.Second
	crashPause = time.Second
	// eventGap is the time between two events of a sound stream of streamEvents events.
	eventGap     = 30 * time.Millisecond
	streamEvents = 24
	// streamGap is the gap after which clients abandon a stream, also before its first event.
	streamGap = 2 * time.Second
	// bookingWork is the time that a booking takes.
	bookingWork = 30 * time.Millisecond
	// freeRetries is how many retries may reach engines later than the window after the third
	// crash.
	freeRetries = 3
	// poison is the body of the request that crashes engines.
	poison = "a rail that crashes the engine"
)

const crashRoutes = `{"name":"r-draft","host":"` + host + `","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":500,` +
	`"priority":1,"service":"huvo11a","attempts":2,"authExempt":false,"sessionAffinity":true,"streamResume":true,"targetGapMs":120},` +
	`{"name":"r-book","host":"` + host + `","pathPrefix":"/puxa403/","kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":150,` +
	`"priority":2,"service":"huvo11a","attempts":1,"authExempt":false,"sessionAffinity":false,"streamResume":false,"targetGapMs":0}`

// crashSite is the engines of a service of which one request crashes each that begins to run
// it.
type crashSite struct {
	fleet   *fleet
	trouble bool
	// events is the number of events that an engine sends of the answer before it crashes.
	events int
	// dark is set when an engine that crashes goes silent: its open channels are reset only
	// when it is back.
	dark bool

	// mu guards the fields below.
	mu sync.Mutex
	// reached and crashed are when the request reached engines and when it crashed one.
	reached, crashed []time.Time
	starts           int
	ended            bool
}

// playCrash sends one request again and again, which crashes each engine that begins to run
// it, beside sound requests.
func playCrash(fleet *fleet, trouble bool) (verdict, error) {
	site := &crashSite{fleet: fleet, trouble: trouble, events: 1}
	if text := os.Getenv("EVENTS"); text != "" {
		events, err := strconv.Atoi(text)
		if err != nil {
			return verdict{}, err
		}
		site.events = events
	}
	return site.play()
}

// playDark is playCrash with engines that go silent before the first event, and a client that
// leaves after the gap that clients bear.
func playDark(fleet *fleet, trouble bool) (verdict, error) {
	return (&crashSite{fleet: fleet, trouble: trouble, dark: true}).play()
}

func (site *crashSite) play() (verdict, error) {
	fleet := site.fleet
	if err := fleet.start(); err != nil {
		return verdict{}, err
	}
	for number := range crashEngines {
		if err := site.startEngine(number); err != nil {
			return verdict{}, err
		}
	}
	if err := fleet.configure(document(crashRoutes, "huvo11a")); err != nil {
		return verdict{}, err
	}
	callers, results := newCallers(fleet), &counts{}
	callers.every(100*time.Millisecond, func(number int) {
		site.draft(callers, results, number)
	})
	callers.every(50*time.Millisecond, func(number int) {
		got := callers.send(request{gateway: fleet.gateways[number%3], path: "/puxa403/2f", body: "kit " + strconv.Itoa(number), deadline: 2 * time.Second})
		results.add("bookings " + strconv.Itoa(got.status))
	})
	time.Sleep(stable)
	for number, ends := 0, time.Now().Add(crashSpan); time.Now().Before(ends); number++ {
		got := callers.send(request{
			gateway: fleet.gateways[number%3], path: "/lohu930/9a", body: poison, prompt: "5c1e07a2:40,91bd3f06:650", deadline: 8 * time.Second, leaves: site.patience(),
		})
		results.add("attempts of the request " + strconv.Itoa(got.status))
		time.Sleep(crashPause)
	}
	callers.close()
	return site.judge(results), nil
}

// patience returns when the client of the request leaves; 0 for its deadline.
func (site *crashSite) patience() time.Duration {
	if site.dark {
		return streamGap
	}
	return 0
}

// draft sends a sound stream and counts whether it was complete.
func (site *crashSite) draft(callers *callers, results *counts, number int) {
	got := callers.send(request{
		gateway: site.fleet.gateways[number%3], path: "/lohu930/2f", body: "draft " + strconv.Itoa(number),
		prompt: fmt.Sprintf("aa%06x:40,bb%06x:650", number%60, number), deadline: 8 * time.Second,
	})
	results.add("drafts " + strconv.Itoa(got.status))
}

func (site *crashSite) startEngine(number int) error {
	site.mu.Lock()
	defer site.mu.Unlock()
	if site.ended {
		return nil
	}
	site.starts++
	_, err := site.fleet.startEngine(number, fmt.Sprintf("i-%08x", 0x7f3a0000+site.starts), "huvo11a", func(w http.ResponseWriter, run run) {
		site.work(w, run, number)
	})
	return err
}

// work runs a request.
func (site *crashSite) work(w http.ResponseWriter, run run, number int) {
	if run.path == "/puxa403/2f" {
		time.Sleep(bookingWork)
		if run.engine.isSilent() {
			<-run.engine.quit
			return
		}
		seal(w, run)
		// The client may have gone.
		_, _ = fmt.Fprint(w, "booked "+run.body)
		return
	}
	seal(w, run)
	w.Header().Set("Content-Type", "text/event-stream")
	deadly := run.body == poison
	if deadly {
		site.mu.Lock()
		site.reached = append(site.reached, run.at)
		site.mu.Unlock()
	}
	for event := run.last + 1; event <= streamEvents; event++ {
		if deadly && site.trouble && event > run.last+site.events {
			site.crash(run, number)
			<-run.engine.quit
			panic(http.ErrAbortHandler)
		}
		time.Sleep(eventGap)
		if run.engine.isSilent() {
			<-run.engine.quit
			return
		}
		if !writeEvent(w, run, event) {
			return
		}
	}
}

// crash ends an engine and starts it again after a while.
func (site *crashSite) crash(run run, number int) {
	site.mu.Lock()
	site.crashed = append(site.crashed, time.Now())
	site.mu.Unlock()
	site.fleet.record.note("engine %s crashes of %s", run.engine.id, run.id)
	if site.dark {
		run.engine.hang()
	} else {
		run.engine.end()
	}
	time.AfterFunc(crashDown, func() {
		run.engine.end()
		if err := site.startEngine(number); err != nil {
			site.fleet.record.note("engine %d does not start: %v", number, err)
		}
	})
}

func (site *crashSite) judge(results *counts) verdict {
	site.mu.Lock()
	defer site.mu.Unlock()
	site.ended = true
	late := 0
	if len(site.crashed) >= 3 {
		for _, at := range site.reached {
			if at.After(site.crashed[2].Add(stable)) {
				late++
			}
		}
	}
	return verdict{broken: late > freeRetries, summary: fmt.Sprintf(
		"the request reached engines %d times and crashed %d; %d times later than %s after the third crash (allowed: %d); answers by status: %v",
		len(site.reached), len(site.crashed), late, stable, freeRetries, results.all())}
}
