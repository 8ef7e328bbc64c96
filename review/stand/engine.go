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

// run is one request that an engine ran.
type run struct {
	id, engine, service string
	at                  time.Time
}

// engine is a stand-in for an engine of a service without model engines.
type engine struct {
	site     *site
	id       string
	service  string
	zone     string
	host     string
	born     int64
	controls func() []string
	server   *http.Server
	cancel   context.CancelFunc
	beating  sync.WaitGroup

	mu       sync.Mutex
	sequence int
	state    string
	runs     []run
}

// newEngine starts an engine and its heartbeats.
func (site *site) newEngine(id, service, zone string, controls func() []string) (*engine, error) {
	made := &engine{
		site: site, id: id, service: service, zone: zone, host: site.add(id, "engine", zone).host,
		born: time.Now().UnixMilli(), controls: controls, state: "ready",
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", site.address(made.host, enginePort))
	if err != nil {
		return nil, err
	}
	made.server = &http.Server{Handler: made, ReadHeaderTimeout: time.Minute}
	go func() {
		// Serve returns once the engine is closed.
		_ = made.server.Serve(listener)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	made.cancel = cancel
	made.beating.Add(1)
	go made.beat(ctx)
	return made, nil
}

func (engine *engine) close() {
	engine.cancel()
	engine.beating.Wait()
	// Requests in progress are of no interest any more.
	_ = engine.server.Close()
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

// heartbeat sends one heartbeat, and reports whether it was acknowledged.
func (engine *engine) heartbeat(ctx context.Context) bool {
	engine.mu.Lock()
	engine.sequence++
	body, err := json.Marshal(map[string]any{
		"service": engine.service, "address": engine.site.address(engine.host, enginePort), "zone": engine.zone, "version": "v1",
		"slots": 8, "state": engine.state, "coldRemainingMs": 0, "sequence": engine.sequence, "born": engine.born,
	})
	engine.mu.Unlock()
	if err != nil {
		return false
	}
	for _, control := range engine.controls() {
		if call(ctx, http.MethodPost, "http://"+control+"/Instances.Heartbeat/"+engine.id, string(body)) == http.StatusOK {
			return true
		}
	}
	return false
}

// ServeHTTP runs a request.
func (engine *engine) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if request.Header.Get(headerInstance) != engine.id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	engine.mu.Lock()
	engine.runs = append(engine.runs, run{id: id, engine: engine.id, service: engine.service, at: time.Now()})
	engine.mu.Unlock()
	w.Header().Set(headerSeal, "seal."+id)
	// The client may have gone.
	_, _ = fmt.Fprintf(w, "%s ran %s with %d bytes\n", engine.id, id, len(body))
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

// call makes one call of the control interface and returns its status, or 0 without an
// answer.
func call(ctx context.Context, method, url, body string) int {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
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
