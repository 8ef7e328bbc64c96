package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// healthPath is the path of health probes, which are no requests.
const healthPath = "/healthz"

// arrival is a request that reached an engine.
type arrival struct {
	id, path, tenant string
	at               time.Time
}

// engine stands in for a server of a plain service: it runs what names its id, and
// reports to control machines as the platform's pages say.
type engine struct {
	system        *system
	id, service   string
	zone, address string
	born          int64
	server        *http.Server

	mu       sync.Mutex
	state    string
	sequence int
	arrivals []arrival
	ackedAt  time.Time
	stopped  chan struct{}
	once     sync.Once
}

func (system *system) newEngine(id, service string, number int) (*engine, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp4", system.ip(200+number)+":0")
	if err != nil {
		return nil, err
	}
	started := &engine{
		system: system, id: id, service: service, zone: zoneOf(number), address: listener.Addr().String(), born: time.Now().UnixMilli(),
		state: "ready", stopped: make(chan struct{}),
	}
	started.server = &http.Server{Handler: started, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = started.server.Serve(listener) }()
	go started.report()
	return started, nil
}

// ServeHTTP runs a request that names this engine.
func (engine *engine) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Hibiscuslug-Request-Id")
	w.Header().Set("Hibiscuslug-Request-Id", id)
	w.Header().Set("Hibiscuslug-Instance-Id", engine.id)
	w.Header().Set("Hibiscuslug-Server-Load", "0,0,6")
	if expected := request.Header.Get("Hibiscuslug-Expect-Instance"); expected != "" && expected != engine.id {
		w.Header().Set("Hibiscuslug-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == healthPath {
		return
	}
	seen := arrival{id: id, path: request.URL.Path, tenant: request.Header.Get("Hibiscuslug-Tenant"), at: time.Now()}
	engine.mu.Lock()
	engine.arrivals = append(engine.arrivals, seen)
	engine.mu.Unlock()
	engine.system.note("%s runs %s (%s, tenant %q)", engine.id, id, seen.path, seen.tenant)
	w.Header().Set("Hibiscuslug-Response-Seal", "seal-"+engine.id+"-"+id)
	_, _ = fmt.Fprintf(w, "ran %s", id)
}

// report sends heartbeats until the engine stops.
func (engine *engine) report() {
	for at := 0; ; at++ {
		engine.beat(at)
		select {
		case <-engine.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

// beat sends one heartbeat, to another control machine if one does not answer.
func (engine *engine) beat(first int) {
	engine.mu.Lock()
	engine.sequence++
	state := engine.state
	text, err := json.Marshal(map[string]any{
		"service": engine.service, "address": engine.address, "zone": engine.zone, "version": "v1", "slots": 6, "state": state,
		"coldRemainingMs": 0, "sequence": engine.sequence, "born": engine.born,
	})
	engine.mu.Unlock()
	if err != nil {
		return
	}
	controls := engine.system.controls
	for at := range controls {
		to := controls[(first+at)%len(controls)]
		if to.command == nil {
			continue
		}
		status, _, err := engine.system.call(http.MethodPost, engine.system.apiOf(to)+"/Instances.Heartbeat/"+engine.id, nil, text)
		if err != nil || status != http.StatusOK {
			continue
		}
		engine.mu.Lock()
		if state == "draining" && engine.ackedAt.IsZero() {
			engine.ackedAt = time.Now()
			engine.system.note("%s acknowledges that %s is draining", to.name, engine.id)
		}
		engine.mu.Unlock()
		return
	}
}

// drain reports from now on that the engine is draining.
func (engine *engine) drain() {
	engine.mu.Lock()
	engine.state = "draining"
	engine.mu.Unlock()
	engine.beat(0)
}

// drainedAt returns when the draining was acknowledged.
func (engine *engine) drainedAt() time.Time {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.ackedAt
}

// seen returns the requests that reached the engine.
func (engine *engine) seen() []arrival {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return append([]arrival(nil), engine.arrivals...)
}

// stop ends the engine.
func (engine *engine) stop() {
	engine.once.Do(func() {
		close(engine.stopped)
		_ = engine.server.Close()
	})
}
