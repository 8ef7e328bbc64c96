package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// heartbeatInterval is heartbeatMs of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// run is a request that reached an engine under its own id.
type run struct {
	engine *engine
	id     string
	path   string
	body   string
	// last is the id of the last event that the client has; 0 for none.
	last int
	at   time.Time
}

// engine is one start of an engine. It tells the control processes of itself and refuses
// requests that are meant for another engine.
type engine struct {
	fleet             *fleet
	id, service, zone string
	address           string
	born              int64
	// work answers a request that reached the engine.
	work func(w http.ResponseWriter, run run)

	server   *http.Server
	listener net.Listener
	quit     chan struct{}
	once     sync.Once

	// mu guards the fields below.
	mu       sync.Mutex
	sequence int
	silent   bool
	// held is how long its liveness reports are on their way; 0 for no time.
	held  time.Duration
	conns map[net.Conn]bool
}

// startEngine starts an engine at the address of an engine machine, by its number.
func (fleet *fleet) startEngine(number int, id, service string, work func(http.ResponseWriter, run)) (*engine, error) {
	return fleet.startHeld(number, id, service, 0, work)
}

// startHeld is startEngine for an engine whose liveness reports arrive late.
func (fleet *fleet) startHeld(number int, id, service string, held time.Duration, work func(http.ResponseWriter, run)) (*engine, error) {
	made := &engine{
		held: held, fleet: fleet, id: id, service: service, zone: zones[number%len(zones)], born: time.Now().UnixMilli(), work: work,
		address: fleet.at(fmt.Sprintf("%s.%d", fleet.network, 60+number), enginePort), quit: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	listener, err := listen(made.address)
	if err != nil {
		return nil, errors.Wrap(err, "start an engine")
	}
	made.listener = listener
	made.server = &http.Server{Handler: made, ReadHeaderTimeout: time.Minute, ConnState: made.follow}
	fleet.mu.Lock()
	fleet.engines = append(fleet.engines, made)
	fleet.mu.Unlock()
	fleet.record.note("engine %s starts at %s", id, made.address)
	fleet.engineWork.Add(2)
	go func() {
		defer fleet.engineWork.Done()
		// It ends with the engine.
		_ = made.server.Serve(listener)
	}()
	go func() {
		defer fleet.engineWork.Done()
		made.beat()
	}()
	return made, nil
}

func (engine *engine) follow(conn net.Conn, state http.ConnState) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	switch state {
	case http.StateNew:
		engine.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(engine.conns, conn)
	default:
	}
}

// beat reports the engine until it ends or is silent.
func (engine *engine) beat() {
	for first := 0; ; first++ {
		engine.fleet.engineWork.Add(1)
		go func() {
			defer engine.fleet.engineWork.Done()
			engine.report(first)
		}()
		select {
		case <-engine.quit:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// report sends one liveness report to one control process after the other until one
// acknowledges it.
func (engine *engine) report(first int) {
	engine.mu.Lock()
	engine.sequence++
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":12,"state":"ready","coldRemainingMs":0,"sequence":%d,"born":%d}`,
		engine.service, engine.address, engine.zone, engine.sequence, engine.born)
	silent, held, sequence := engine.silent, engine.held, engine.sequence
	engine.mu.Unlock()
	if silent {
		return
	}
	if held > 0 {
		time.Sleep(held)
		engine.fleet.record.note("report %d of engine %s arrives after %s", sequence, engine.id, held)
	}
	for offset := range engine.fleet.controls {
		control := engine.fleet.controls[(first+offset)%len(engine.fleet.controls)]
		if status, err := engine.fleet.post(control, "/Instances.Heartbeat/"+engine.id, body); err == nil && status == http.StatusOK {
			return
		}
	}
}

// leave deregisters the engine at a control process, and reports nothing from then on. It
// returns when the acknowledgement arrived.
func (engine *engine) leave(control *machine) (time.Time, error) {
	engine.mu.Lock()
	engine.silent = true
	engine.mu.Unlock()
	// The pages show this call without a body.
	status, err := engine.fleet.post(control, "/Instances.Deregister/"+engine.id, "")
	if err != nil || status != http.StatusOK {
		return time.Time{}, errors.Newf("no acknowledgement that %s leaves: status %d, %v", engine.id, status, err)
	}
	engine.fleet.record.note("engine %s: %s acknowledged that it leaves", engine.id, control.name)
	return time.Now(), nil
}

// hang makes the engine silent: it reports nothing, takes no new channels, and answers nothing
// on those that are open.
func (engine *engine) hang() {
	engine.mu.Lock()
	engine.silent = true
	engine.mu.Unlock()
	// An error tells that the listener was closed before.
	_ = engine.listener.Close()
}

// isSilent reports whether the engine reports and answers nothing.
func (engine *engine) isSilent() bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.silent
}

// end ends the engine as a crash does: its channels are reset, and nothing listens at its
// address.
func (engine *engine) end() {
	engine.once.Do(func() {
		engine.fleet.record.note("engine %s ends", engine.id)
		close(engine.quit)
		engine.mu.Lock()
		for conn := range engine.conns {
			if tcp, ok := conn.(*net.TCPConn); ok {
				// Without the option the channel is closed in order.
				_ = tcp.SetLinger(0)
			}
		}
		engine.mu.Unlock()
		// All channels are closed; an error tells of one that was closed before.
		_ = engine.server.Close()
	})
}

// ServeHTTP takes a request.
func (engine *engine) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	arrived := run{engine: engine, id: request.Header.Get(headerID), path: request.URL.Path, at: time.Now()}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	arrived.body = string(body)
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		arrived.last = last
	}
	w.Header().Set(headerID, arrived.id)
	if expected := request.Header.Get(headerExpect); expected != "" && expected != engine.id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	engine.fleet.record.note("reach %s at engine %s %s", arrived.id, engine.id, arrived.path)
	engine.work(w, arrived)
}

// seal states that the response is the engine's.
func seal(w http.ResponseWriter, run run) {
	w.Header().Set(headerSeal, "3e1b.07."+run.id)
}

// writeEvent sends an event of a stream and reports whether it was sent.
func writeEvent(w http.ResponseWriter, run run, number int) bool {
	if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", number, run.id, number); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
