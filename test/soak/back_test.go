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

// events is the length of every stream.
const events = 12

// back is an endpoint. It runs requests, refuses some, loses some answers and
// breaks some streams off, and reports every run to the ledger.
type back struct {
	id     string
	server *httptest.Server
	ledger *ledger

	mu     sync.Mutex
	random *rand.Rand
	beats  int
	born   int64
}

func newBack(id string, seed uint64, ledger *ledger) *back {
	back := &back{id: id, ledger: ledger, random: rand.New(rand.NewPCG(seed, seed)), born: time.Now().UnixMilli()}
	back.server = httptest.NewServer(back)
	return back
}

func (back *back) address() string { return strings.TrimPrefix(back.server.URL, "http://") }

func (back *back) close() {
	back.server.CloseClientConnections()
	back.server.Close()
}

func (back *back) draw() float64 {
	back.mu.Lock()
	defer back.mu.Unlock()
	return back.random.Float64()
}

// heartbeat returns the next one, with the address of the proxy.
func (back *back) heartbeat(address string) string {
	back.mu.Lock()
	defer back.mu.Unlock()
	back.beats++
	return fmt.Sprintf(`{"service":"desk","address":%q,"zone":"z0","slots":8,"state":"ready","sequence":%d,"born":%d}`, address, back.beats, back.born)
}

func expected(id, body string) string { return "answer to " + id + " with " + body }

// ServeHTTP runs a request.
func (back *back) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(headerID)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	w.Header().Set(headerID, id)
	if expect := request.Header.Get("Hibiscuslug-Expect-Instance"); expect != back.id {
		w.Header().Set("Hibiscuslug-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if back.draw() < 0.05 {
		w.Header().Set("Hibiscuslug-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	back.ledger.ran(id, request.Header.Get("Hibiscuslug-Tenant"))
	w.Header().Set("Hibiscuslug-Response-Seal", "seal-"+id)
	if back.draw() < 0.03 {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(back.draw() * float64(30*time.Millisecond)))
	if strings.HasPrefix(request.URL.Path, "/draft/") {
		back.stream(w, request)
		return
	}
	// The caller may be gone.
	_, _ = io.WriteString(w, expected(id, string(body)))
}

func (back *back) stream(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	broken := 0
	if back.draw() < 0.1 {
		broken = first + int(back.draw()*events)
	}
	for number := first; number <= events; number++ {
		event := eventText(request.Header.Get(headerID), number)
		if number == broken {
			event = event[:len(event)/2]
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil || number == broken {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-request.Context().Done():
			return
		case <-time.After(time.Duration(back.draw() * float64(20*time.Millisecond))):
		}
	}
}

func eventText(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", number, id, number)
}
