package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Headers of the users' platform.
const (
	headerID       = "Hibiscuslug-Request-Id"
	headerInstance = "Hibiscuslug-Expect-Instance"
	headerSeal     = "Hibiscuslug-Response-Seal"
	headerNotRun   = "Hibiscuslug-Not-Executed"
	headerDeadline = "Hibiscuslug-Deadline-Ms"
	headerKey      = "Hibiscuslug-Key"
)

// heartbeatInterval is heartbeatMs of the sites.
const heartbeatInterval = 1200 * time.Millisecond

// crashTime is the time after which an engine that crashed is back.
const crashTime = 3 * time.Second

// run is one request that an engine ran.
type run struct {
	id, engine, service string
	at                  time.Time
}

// engine is a stand-in for an engine of a service without model engines.
type engine struct {
	site     *site
	name     string
	id       string
	service  string
	zone     string
	host     string
	born     int64
	controls func() []string
	server   *http.Server
	cancel   context.CancelFunc
	beating  sync.WaitGroup
	// work is how long a request takes.
	work time.Duration
	// crashes reports whether a request ends the engine as it begins to run; nil for none.
	crashes func(request *http.Request) bool

	mu       sync.Mutex
	sequence int
	state    string
	runs     []run
	// starts counts the starts; each has an id of its own.
	starts int
	down   bool
	// places bounds the requests that run or wait, slots those that run. Each boot has its
	// own.
	places, slots chan struct{}
}

// Sizes of an engine of the order desk: the requests that it runs at a time, and those
// that it queues.
const (
	engineSlots = 6
	engineQueue = 24
)

// newEngine returns an engine that has not started.
func (site *site) newEngine(name, service, zone string, controls func() []string) *engine {
	return &engine{
		site: site, name: name, service: service, zone: zone, host: site.add(name, "engine", zone).host, controls: controls, state: "ready",
	}
}

// start starts the engine and its heartbeats.
func (engine *engine) start() error {
	if err := engine.listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	engine.cancel = cancel
	engine.beating.Add(1)
	go engine.beat(ctx)
	return nil
}

// listen begins a boot of the engine.
func (engine *engine) listen() error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", engine.site.address(engine.host, enginePort))
	if err != nil {
		return err
	}
	engine.mu.Lock()
	engine.starts++
	engine.id, engine.born, engine.sequence, engine.down = fmt.Sprintf("%s-%d", engine.name, engine.starts), time.Now().UnixMilli(), 0, false
	engine.places, engine.slots = make(chan struct{}, engineSlots+engineQueue), make(chan struct{}, engineSlots)
	server := &http.Server{Handler: engine, ReadHeaderTimeout: time.Minute}
	engine.server = server
	engine.mu.Unlock()
	go func() {
		// Serve returns once the engine is closed.
		_ = server.Serve(listener)
	}()
	return nil
}

func (engine *engine) close() {
	engine.cancel()
	engine.beating.Wait()
	// Requests in progress are of no interest any more.
	_ = engine.server.Close()
}

// crash ends the engine with all its connections and starts it again after a time.
func (engine *engine) crash(request *http.Request, span time.Duration) {
	engine.mu.Lock()
	if engine.down {
		engine.mu.Unlock()
		return
	}
	engine.down = true
	id, server := engine.id, engine.server
	engine.mu.Unlock()
	engine.site.record.note("%s begins to run %s and crashes", id, request.Header.Get(headerID))
	// Close returns the error of the listener, which is of no interest any more.
	_ = server.Close()
	time.AfterFunc(span, func() {
		if err := engine.listen(); err != nil {
			engine.site.record.note("%s cannot start again: %v", engine.name, err)
			return
		}
		engine.heartbeat(context.Background())
	})
}

// beat sends heartbeats until the context ends, each to the first control address that
// acknowledges it.
func (engine *engine) beat(ctx context.Context) {
	defer engine.beating.Done()
	for ctx.Err() == nil {
		engine.heartbeat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat sends one heartbeat, to the first control address that acknowledges it.
func (engine *engine) heartbeat(ctx context.Context) {
	engine.mu.Lock()
	if engine.down {
		engine.mu.Unlock()
		return
	}
	engine.sequence++
	id := engine.id
	body, err := json.Marshal(map[string]any{
		"service": engine.service, "address": engine.site.address(engine.host, enginePort), "zone": engine.zone, "version": "v1",
		"slots": engineSlots, "state": engine.state, "coldRemainingMs": 0, "sequence": engine.sequence, "born": engine.born,
	})
	engine.mu.Unlock()
	if err != nil {
		return
	}
	for _, control := range engine.controls() {
		if post(ctx, "http://"+control+"/Instances.Heartbeat/"+id, string(body)) == http.StatusOK {
			return
		}
	}
}

// ServeHTTP runs a request.
func (engine *engine) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	engine.mu.Lock()
	instance, places, slots := engine.id, engine.places, engine.slots
	engine.mu.Unlock()
	id := request.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if request.Header.Get(headerInstance) != instance {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case places <- struct{}{}:
	default:
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-places }()
	select {
	case slots <- struct{}{}:
	case <-request.Context().Done():
		return
	}
	defer func() { <-slots }()
	if !engine.begin(id, instance) {
		return
	}
	if engine.crashes != nil && engine.crashes(request) {
		engine.crash(request, crashTime)
		return
	}
	time.Sleep(engine.work)
	w.Header().Set(headerSeal, "seal."+id)
	// The client may have gone.
	_, _ = fmt.Fprintf(w, "%s ran %s with %d bytes\n", instance, id, len(body))
}

// begin records that a request begins to run, unless the boot that took it has ended.
func (engine *engine) begin(id, instance string) bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.down || engine.id != instance {
		return false
	}
	engine.runs = append(engine.runs, run{id: id, engine: instance, service: engine.service, at: time.Now()})
	return true
}

// ran returns the runs so far.
func (engine *engine) ran() []run {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return append([]run(nil), engine.runs...)
}

// callTimeout is the time after which operators and engines call another machine.
const callTimeout = time.Second

var caller = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// post makes one call of the control interface and returns its status, or 0 without an
// answer.
func post(ctx context.Context, url, body string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := caller.Do(request)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	if closing := response.Body.Close(); err != nil || closing != nil {
		return 0
	}
	return response.StatusCode
}
