package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// allowedCrashes and allowedRetries are the figures of the rule.
	allowedCrashes = 3
	allowedRetries = 3
	// poisonAttempts is how often the client sends the request, poisonPause the time
	// between.
	poisonAttempts = 10
	poisonPause    = 5 * time.Second
	// lookupWork is the time of a request, the longest one of the sheets.
	lookupWork = 220 * time.Millisecond
	// lookupClients send lookups, each again after a random pause of at most lookupPause.
	// The first hotClients of them send one and the same: 0.27 of the class, where the
	// largest hot_key of the site has 0.28.
	lookupClients  = 60
	hotClients     = 16
	lookupPause    = 40 * time.Millisecond
	pathLookup     = "/keyed/stock/17"
	pathOther      = "/keyed/stock/other-"
	pathPoison     = "/keyed/stock/99"
	enginesPerZone = 1
)

// poison shows that a request which crashes the engines that run it is let through again
// and again while another request is often in flight at the same engines.
type poison struct {
	site     *site
	record   *record
	trouble  bool
	controls []string
	gateways []*machine
	engines  []*engine

	mu      sync.Mutex
	crashes []time.Time
}

func (poison *poison) start(ctx context.Context) error {
	var machines []*machine
	for _, zone := range []string{"za", "zb", "zc"} {
		control, gateway := poison.site.control("control-"+zone, zone), poison.site.gateway("front-"+zone, zone)
		machines = append(machines, control, gateway)
		poison.gateways = append(poison.gateways, gateway)
		poison.controls = append(poison.controls, poison.site.address(control.host, controlPort))
	}
	poison.site.seeds = poison.controls
	for _, machine := range machines {
		if err := machine.start(true); err != nil {
			return err
		}
	}
	for _, zone := range []string{"za", "zb", "zc"} {
		for number := range enginesPerZone {
			made := poison.site.newEngine(fmt.Sprintf("i-%s-%d", zone, number), serviceOld, zone, func() []string { return poison.controls })
			made.work, made.crashes = lookupWork, poison.isPoison
			if err := made.start(); err != nil {
				return err
			}
			poison.engines = append(poison.engines, made)
		}
	}
	if err := await("the configuration is acknowledged", func() bool {
		return post(ctx, "http://"+poison.controls[0]+"/Config.Put", routes(1, serviceOld)) == http.StatusOK
	}); err != nil {
		return err
	}
	for _, gateway := range poison.gateways {
		probe := newClient(gateway)
		if err := await(gateway.name+" serves", func() bool { return probe.send(ctx, pathKeyed) == http.StatusOK }); err != nil {
			return err
		}
	}
	return nil
}

// isPoison reports whether a request crashes the engine, and notes the crash.
func (poison *poison) isPoison(request *http.Request) bool {
	if !poison.trouble || !strings.HasPrefix(request.URL.Path, pathPoison) {
		return false
	}
	poison.mu.Lock()
	defer poison.mu.Unlock()
	poison.crashes = append(poison.crashes, time.Now())
	return true
}

// play runs the case and returns by how many the retries exceed those allowed.
func (poison *poison) play(ctx context.Context) (int, error) {
	if err := poison.start(ctx); err != nil {
		return 0, err
	}
	defer func() {
		for _, engine := range poison.engines {
			engine.close()
		}
	}()
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	var lookups []*client
	if os.Getenv("LOOKUPS") != "0" {
		for number := range lookupClients {
			made := newClient(poison.gateways[number%len(poison.gateways)])
			lookups = append(lookups, made)
			running.Add(1)
			go func() {
				defer running.Done()
				path := pathLookup
				if number >= hotClients {
					path = fmt.Sprint(pathOther, number)
				}
				made.run(sending, lookupPause, path)
			}()
		}
	}
	// The core is stable and the gateways are in touch.
	time.Sleep(stableWindow)
	for number := range poisonAttempts {
		sender := newClient(poison.gateways[number%len(poison.gateways)])
		sender.prefix = fmt.Sprint("poison-", number, "-")
		sent := time.Now()
		status := sender.send(ctx, pathPoison)
		poison.record.note("request %s sent at %.3f: status %d", sender.made()[0].id, poison.record.at(sent), status)
		time.Sleep(time.Until(sent.Add(poisonPause)))
	}
	stop()
	running.Wait()
	statuses := map[int]int{}
	for _, client := range lookups {
		for _, made := range client.made() {
			statuses[made.status]++
		}
	}
	poison.record.note("lookups by status: %v", statuses)
	return poison.check(), nil
}

// check counts the runs of the request that began later than stableWindowMs after it had
// crashed the third engine.
func (poison *poison) check() int {
	poison.mu.Lock()
	defer poison.mu.Unlock()
	poison.record.note("%d crashes", len(poison.crashes))
	if len(poison.crashes) < allowedCrashes {
		return 0
	}
	from := poison.crashes[allowedCrashes-1].Add(stableWindow)
	late := 0
	for _, at := range poison.crashes {
		if at.After(from) {
			late++
		}
	}
	poison.record.note("%d retries reached engines later than %.3f, 3 s after the third crash; %d are allowed", late, poison.record.at(from), allowedRetries)
	return max(late-allowedRetries, 0)
}
