package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Bounds of the users' sites with three machines that serve control.
const (
	stableWindow = 3 * time.Second
	configApply  = 2 * time.Second
	seedLag      = 3 * time.Second
	// settle is the time between two planned changes of the core: catchUpS and
	// stableWindowMs, and one second for the start.
	settle = 8 * time.Second
	// replacementDelay is the time after which an empty machine replaces one that is gone.
	replacementDelay = time.Second
	// freezeTime is the longest freeze of a machine of the core on npwfa-doors.
	freezeTime = 7400 * time.Millisecond
	// replacements is how often the machine of the zone is replaced.
	replacements = 3
	clientPause  = 100 * time.Millisecond
)

// Paths and services of the configurations.
const (
	pathMoved  = "/moved/"
	pathKeyed  = "/keyed/"
	serviceOld = "service-old"
	serviceNew = "service-new"
	hostName   = "review.example"
	clientKey  = "key-one"
)

func routes(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"moved","host":%q,"pathPrefix":%q,"kind":"idempotent","timeoutMs":1000,"targetLatencyMs":150,"priority":1,"service":%q,"attempts":2,"authExempt":true},
{"name":"keyed","host":%q,"pathPrefix":%q,"kind":"idempotent","timeoutMs":1000,"targetLatencyMs":150,"priority":1,"service":%q,"attempts":2,"authExempt":false}],
"services":[{"name":%q,"healthPath":"/healthz","maxConnections":248,"protocol":"h1","tls":false},{"name":%q,"healthPath":"/healthz","maxConnections":248,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"tenant-one","apiKeys":[%q],"priority":1}]}`,
		version, hostName, pathMoved, service, hostName, pathKeyed, service, serviceOld, serviceNew, clientKey)
}

// starved shows that a gateway can lose all control machines although only one of them
// is frozen, when machines of its zone have been replaced before.
type starved struct {
	site     *site
	record   *record
	trouble  bool
	controls []*machine
	gateways []*machine
	engines  []*engine
	clients  []*client

	mu       sync.Mutex
	serving  []string
	acked    time.Time
	frozenAt time.Time
	thawedAt time.Time
}

// addresses returns the control addresses that engines and the operator use.
func (starved *starved) addresses() []string {
	starved.mu.Lock()
	defer starved.mu.Unlock()
	return append([]string(nil), starved.serving...)
}

func (starved *starved) setAddresses() []string {
	var list []string
	for _, control := range starved.controls {
		list = append(list, starved.site.address(control.host, controlPort))
	}
	starved.mu.Lock()
	starved.serving = list
	starved.mu.Unlock()
	return list
}

func (starved *starved) put(ctx context.Context, version int, service string) bool {
	for _, address := range starved.addresses() {
		status := post(ctx, "http://"+address+"/Config.Put", routes(version, service))
		starved.record.note("operator sends version %d to %s: %d", version, address, status)
		if status == http.StatusOK {
			return true
		}
	}
	return false
}

func (starved *starved) start(ctx context.Context) error {
	for _, zone := range []string{"za", "zb", "zc"} {
		starved.controls = append(starved.controls, starved.site.control("control-"+zone+"-1", zone))
	}
	for _, name := range []string{"za-1", "zb-1", "zc-1", "zc-2"} {
		starved.gateways = append(starved.gateways, starved.site.gateway("front-"+name, name[:2]))
	}
	starved.site.seeds = starved.setAddresses()
	for _, machine := range append(append([]*machine(nil), starved.controls...), starved.gateways...) {
		if err := machine.start(true); err != nil {
			return err
		}
	}
	for _, zone := range []string{"za", "zb", "zc"} {
		for _, service := range []string{serviceOld, serviceNew} {
			made := starved.site.newEngine("i-"+service+"-"+zone, service, zone, starved.addresses)
			if err := made.start(); err != nil {
				return err
			}
			starved.engines = append(starved.engines, made)
		}
	}
	if err := await("the first configuration is acknowledged", func() bool { return starved.put(ctx, 1, serviceOld) }); err != nil {
		return err
	}
	for _, gateway := range starved.gateways {
		probe := newClient(gateway)
		if err := await(gateway.name+" serves", func() bool { return probe.send(ctx, pathKeyed) == http.StatusOK }); err != nil {
			return err
		}
		starved.clients = append(starved.clients, newClient(gateway))
	}
	return nil
}

func (starved *starved) closeEngines() {
	for _, engine := range starved.engines {
		engine.close()
	}
}

// replace replaces the machine of zone zc that serves control by an empty one at another
// address.
func (starved *starved) replace(number int) error {
	last := len(starved.controls) - 1
	if err := starved.controls[last].remove(); err != nil {
		return err
	}
	time.Sleep(replacementDelay)
	starved.controls[last] = starved.site.control(fmt.Sprint("control-zc-", number), "zc")
	if err := starved.controls[last].start(false); err != nil {
		return err
	}
	seeds := starved.setAddresses()
	time.Sleep(seedLag)
	if err := starved.site.setSeeds(seeds); err != nil {
		return err
	}
	time.Sleep(settle - seedLag)
	return nil
}

// restart stops and starts a machine that serves control, as planned work.
func (starved *starved) restart(machine *machine) error {
	machine.end(syscall.SIGTERM)
	if err := machine.start(false); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

func (starved *starved) disrupt() error {
	for number := range replacements {
		if err := starved.replace(number + 2); err != nil {
			return err
		}
	}
	for _, machine := range starved.controls[:2] {
		if err := starved.restart(machine); err != nil {
			return err
		}
	}
	return nil
}

// play runs the case and returns the number of requests that were handled as only the
// older version allows.
func (starved *starved) play(ctx context.Context) (int, error) {
	if err := starved.start(ctx); err != nil {
		return 0, err
	}
	defer starved.closeEngines()
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	for _, client := range starved.clients {
		running.Add(1)
		go func() {
			defer running.Done()
			client.run(sending, clientPause, pathMoved, pathKeyed)
		}()
	}
	var freezing sync.WaitGroup
	starved.frozenAt = time.Now()
	time.Sleep(settle)
	starved.frozenAt = time.Now()
	if starved.trouble {
		if err := starved.disrupt(); err != nil {
			return 0, err
		}
		starved.frozenAt = time.Now()
		freezing.Add(1)
		go func() {
			defer freezing.Done()
			starved.controls[2].freeze(freezeTime)
		}()
	}
	starved.thawedAt = starved.frozenAt.Add(freezeTime)
	// From here on the core is stable again, and the gateways are in touch.
	time.Sleep(time.Until(starved.frozenAt.Add(stableWindow)))
	if !starved.put(ctx, 2, serviceNew) {
		return 0, fmt.Errorf("version 2 was not acknowledged")
	}
	starved.acked = time.Now()
	starved.record.note("version 2 is acknowledged; the route %s goes to %s", pathMoved, serviceNew)
	time.Sleep(time.Until(starved.thawedAt.Add(time.Second)))
	stop()
	running.Wait()
	freezing.Wait()
	return starved.check(), nil
}

// check counts the requests that were sent later than configApplyMs after the
// acknowledgement, and before the frozen machine woke, and that ran at the old service.
func (starved *starved) check() int {
	ranAt := map[string]run{}
	for _, engine := range starved.engines {
		for _, ran := range engine.ran() {
			ranAt[ran.id] = ran
		}
	}
	broken := 0
	for _, client := range starved.clients {
		sent, old, refused := 0, 0, 0
		for _, made := range client.made() {
			ran := ranAt[made.id]
			starved.record.note("request %s to %s on %s sent at %.3f: status %d, ran at %q of %q", made.id, made.path, made.machine,
				starved.record.at(made.sent), made.status, ran.engine, ran.service)
			if made.sent.Before(starved.acked.Add(configApply)) || made.sent.After(starved.thawedAt) {
				continue
			}
			sent++
			if made.status == http.StatusServiceUnavailable {
				refused++
			}
			if ran.service == serviceOld {
				old++
			}
		}
		starved.record.note("%s: %d requests sent from %.3f to %.3f, %d refused with 503, %d ran at the old service", client.machine.name, sent,
			starved.record.at(starved.acked.Add(configApply)), starved.record.at(starved.thawedAt), refused, old)
		broken += old
	}
	return broken
}
