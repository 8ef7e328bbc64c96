package soak_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// events is the number of events of every stream.
const events = 12

// leavingTime is the time after which an endpoint that leaves starts again.
const leavingTime = time.Second

// backend is an endpoint. It refuses some requests, asks for pauses, leaves and starts
// again, drops some responses, truncates some streams and reports every run to the
// recorder.
type backend struct {
	id, zone string
	server   *httptest.Server
	recorder *recorder

	mu       sync.Mutex
	random   *rand.Rand
	sequence int
	started  int64
	// leavesAt is when the endpoint began to leave; zero if it does not.
	leavesAt time.Time
	// isSilent is set while the endpoint sends no heartbeats of its own accord, endedAt when it
	// was acknowledged that it leaves, and lateRuns counts the requests too long after that.
	isSilent bool
	endedAt  time.Time
	lateRuns int
	runs     int
}

func newBackend(id, zone string, seed uint64, recorder *recorder) *backend {
	backend := &backend{id: id, zone: zone, recorder: recorder, random: rand.New(rand.NewPCG(seed, seed)), started: time.Now().UnixMilli()}
	backend.server = httptest.NewServer(backend)
	return backend
}

func (backend *backend) address() string { return strings.TrimPrefix(backend.server.URL, "http://") }

func (backend *backend) close() {
	backend.server.CloseClientConnections()
	backend.server.Close()
}

func (backend *backend) randomFloat() float64 {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return backend.random.Float64()
}

// heartbeat returns the body of the next heartbeat, with the address of the proxy.
func (backend *backend) heartbeat(address string) string {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	backend.sequence++
	if !backend.leavesAt.IsZero() && time.Since(backend.leavesAt) > leavingTime {
		backend.leavesAt, backend.started = time.Time{}, time.Now().UnixMilli()
	}
	return fmt.Sprintf(`{"service":"desk","address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","sequence":%d,"born":%d}`, address, backend.zone, backend.sequence, backend.started)
}

// isLeaving reports whether the endpoint leaves, which it begins to do at random.
func (backend *backend) isLeaving() bool {
	begins := backend.randomFloat() < 0.002
	backend.mu.Lock()
	defer backend.mu.Unlock()
	if begins && backend.leavesAt.IsZero() {
		backend.leavesAt = time.Now()
	}
	return !backend.leavesAt.IsZero()
}

func expectedResponse(id, body string) string { return "answer to " + id + " with " + body }

// ServeHTTP runs a request.
func (backend *backend) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(headerID)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	w.Header().Set(headerID, id)
	if expect := request.Header.Get("Hibiscuslug-Expect-Instance"); expect != backend.id {
		w.Header().Set("Hibiscuslug-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if backend.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	if backend.randomFloat() < 0.05 {
		w.Header().Set("Hibiscuslug-Not-Executed", "1")
		if backend.randomFloat() < 0.3 {
			w.Header().Set("Retry-After", "0.4")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	backend.countRun()
	backend.recorder.recordRun(id, backend.zone, request.Header.Get("Hibiscuslug-Tenant"))
	w.Header().Set("Hibiscuslug-Response-Seal", "seal-"+id)
	if backend.randomFloat() < 0.03 {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(backend.randomFloat() * float64(30*time.Millisecond)))
	if strings.HasPrefix(request.URL.Path, "/draft/") {
		backend.stream(w, request)
		return
	}
	// The caller may have disconnected.
	_, _ = io.WriteString(w, expectedResponse(id, string(body)))
}

func (backend *backend) stream(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	truncated := 0
	if backend.randomFloat() < 0.1 {
		truncated = first + int(backend.randomFloat()*events)
	}
	for number := first; number <= events; number++ {
		event := eventText(request.Header.Get(headerID), number)
		if number == truncated {
			event = event[:len(event)/2]
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil || number == truncated {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-request.Context().Done():
			return
		case <-time.After(time.Duration(backend.randomFloat() * float64(20*time.Millisecond))):
		}
	}
}

func eventText(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", number, id, number)
}
