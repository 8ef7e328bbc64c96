package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host = "ficu95.example"
	// plainService is the service of all routes.
	plainService = "wuno96b"
)

// route returns a route of the configuration.
func route(name, prefix, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 1,
		"service": plainService, "attempts": 2, "authExempt": false, "sessionAffinity": false, "streamResume": false,
	}
}

// config returns a configuration of one plain service.
func config(version int, tenants any, routes ...map[string]any) map[string]any {
	made := map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": plainService, "healthPath": healthPath, "maxConnections": 248, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if tenants != nil {
		made["tenants"] = tenants
	}
	return made
}

// tenant returns a list with one tenant, which holds the keys.
func tenant(keys ...string) []any {
	return []any{map[string]any{"name": "hule930", "apiKeys": keys, "priority": 1}}
}

// begin starts three control machines, which are the seeds, and gateways.
func (system *system) begin(gateways int) error {
	for number := 1; number <= 3; number++ {
		system.seeds = append(system.seeds, fmt.Sprintf("%s:%d", system.addControl(number).ip, system.api))
	}
	for _, control := range system.controls {
		if err := system.start(control, true); err != nil {
			return err
		}
	}
	for number := 1; number <= gateways; number++ {
		if err := system.start(system.addGateway(number), true); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all gateways say that they are ready.
func (system *system) awaitReady() error {
	return system.await("all gateways are ready", startTime, func() bool {
		for _, gateway := range system.gateways {
			status, _, err := system.call(http.MethodGet, fmt.Sprintf("http://%s:%d/readyz", gateway.ip, system.ready), nil, nil)
			if err != nil || status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

var lastRequest atomic.Int64

// request sends one client attempt and returns its status.
func (system *system) request(gateway *machine, method, path, key string) int {
	id := fmt.Sprintf("%016x", lastRequest.Add(1))
	header := map[string]string{"Hibiscuslug-Request-Id": id, "Hibiscuslug-Deadline-Ms": "1000"}
	if key != "" {
		header["Hibiscuslug-Key"] = key
	}
	header["Host"] = host
	status, _, err := system.call(method, fmt.Sprintf("http://%s:%d%s", gateway.ip, system.callers, path), header, []byte("{}"))
	system.note("client gets status %d for %s (%s %s at %s), error %v", status, id, method, path, gateway.name, err)
	return status
}

// secondGroup adds control machines, names them as the seeds and restarts the control
// machines in turn. It then judges whether all read the configuration that was
// acknowledged last.
func secondGroup(system *system, trouble bool) (int, error) {
	if err := system.begin(2); err != nil {
		return noCase, err
	}
	first := route("r-1", "/lohu930/", "idempotent")
	if err := system.put(config(3, nil, first), system.controls); err != nil {
		return noCase, err
	}
	var added []string
	for number := 4; number <= 6; number++ {
		control := system.addControl(number)
		added = append(added, fmt.Sprintf("%s:%d", control.ip, system.api))
		if err := system.start(control, false); err != nil {
			return noCase, err
		}
	}
	time.Sleep(6 * time.Second)
	if trouble {
		system.note("the seeds are exchanged")
		system.seeds = added
		for _, machine := range append(append([]*machine(nil), system.controls...), system.gateways...) {
			if err := system.write(machine, false); err != nil {
				return noCase, err
			}
		}
		time.Sleep(5 * time.Second)
	}
	for _, control := range system.controls {
		if err := system.restart(control); err != nil {
			return noCase, err
		}
		time.Sleep(3 * time.Second)
	}
	time.Sleep(5 * time.Second)
	return system.judgeReads(first)
}

// judgeReads sends changes to the control machines in turn, and after each reads the
// configuration at all of them once the time to apply it has passed.
func (system *system) judgeReads(first map[string]any) (int, error) {
	status := held
	for number, at := range []int{3, 0, 4} {
		version := 10 + 3*number
		order := append(append([]*machine(nil), system.controls[at:]...), system.controls[:at]...)
		if err := system.put(config(version, nil, first, route("r-2", fmt.Sprintf("/puxa%d/", version), "idempotent")), order); err != nil {
			return noCase, err
		}
		time.Sleep(configApply + 500*time.Millisecond)
		for _, control := range system.controls {
			if read := system.version(control); read != 0 && read < uint64(version) {
				system.note("BROKEN: %s answers with version %d; version %d was acknowledged more than %s before", control.name, read, version, configApply)
				status = broken
			}
		}
	}
	return status, nil
}

// clients sends requests in turn to all gateways until the returned function is called.
func (system *system) clients(method, path, key string, pause time.Duration) func() {
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		for at := 0; ; at++ {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			system.request(system.gateways[at%len(system.gateways)], method, path, key)
		}
	}()
	return func() {
		close(stop)
		running.Wait()
	}
}

// beatOfOther sends a heartbeat of another writer for an engine. It lacks zone, version and
// slots, and its writer numbers its calls by the time of day.
func (system *system) beatOfOther(named *engine) error {
	text, err := json.Marshal(map[string]any{
		"service": named.service, "address": named.address, "state": "ready", "coldRemainingMs": 0, "born": named.born, "sequence": time.Now().Unix(),
	})
	if err != nil {
		return err
	}
	to := system.controls[1]
	status, _, err := system.call(http.MethodPost, system.apiOf(to)+"/Instances.Heartbeat/"+named.id, nil, text)
	system.note("another writer sends %s a heartbeat for %s: %s: status %d, error %v", to.name, named.id, text, status, err)
	return nil
}

// otherWriter sends one heartbeat of another writer, in which fields are missing, for each
// engine. One of them then drains. It judges whether requests reach that engine later than
// allowed after its draining was acknowledged.
func otherWriter(system *system, trouble bool) (int, error) {
	if err := system.begin(2); err != nil {
		return noCase, err
	}
	var engines []*engine
	for number := 1; number <= 2; number++ {
		started, err := system.newEngine(fmt.Sprintf("i-7f3a91c%d", number), plainService, number)
		if err != nil {
			return noCase, err
		}
		defer started.stop()
		engines = append(engines, started)
	}
	keys := tenant("n2ctnfzs989anu6wsjnb")
	if err := system.put(config(3, keys, route("r-1", "/lohu930/", "non_idempotent")), system.controls); err != nil {
		return noCase, err
	}
	if err := system.awaitReady(); err != nil {
		return noCase, err
	}
	time.Sleep(4 * time.Second)
	end := system.clients(http.MethodPost, "/lohu930/2f", "n2ctnfzs989anu6wsjnb", 50*time.Millisecond)
	defer func() {
		if end != nil {
			end()
		}
	}()
	time.Sleep(4 * time.Second)
	if trouble {
		for _, named := range engines {
			if err := system.beatOfOther(named); err != nil {
				return noCase, err
			}
		}
	}
	leaving := engines[0]
	time.Sleep(2 * time.Second)
	leaving.drain()
	if leaving.drainedAt().IsZero() {
		return noCase, fmt.Errorf("the draining of %s was not acknowledged", leaving.id)
	}
	time.Sleep(drain + 6*time.Second)
	end()
	end = nil
	late := 0
	for _, seen := range leaving.seen() {
		if seen.at.Sub(leaving.drainedAt()) > drain {
			late++
		}
	}
	system.note("%d requests reached %s later than %s after it was acknowledged as draining", late, leaving.id, drain)
	if len(engines[1].seen()) == 0 {
		return noCase, fmt.Errorf("no request reached %s", engines[1].id)
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
