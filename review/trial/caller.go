package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"

	headerID       = "Hibiscuslug-Request-Id"
	headerSeal     = "Hibiscuslug-Response-Seal"
	headerNotRun   = "Hibiscuslug-Not-Executed"
	headerExpect   = "Hibiscuslug-Expect-Instance"
	headerDeadline = "Hibiscuslug-Deadline-Ms"
)

// callers sends requests through gateways, on channels that stay open.
type callers struct {
	fleet  *fleet
	client *http.Client
	lastID atomic.Uint64
	work   sync.WaitGroup
	stop   chan struct{}
}

func newCallers(fleet *fleet) *callers {
	return &callers{fleet: fleet, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, stop: make(chan struct{})}
}

// request is one attempt of a client.
type request struct {
	gateway  *machine
	path     string
	body     string
	prompt   string
	deadline time.Duration
	// leaves is when the client closes its channel if it has no answer; 0 for the deadline.
	leaves time.Duration
}

// answer is what the client got; the status is 0 if there was no complete answer.
type answer struct {
	id     string
	sentAt time.Time
	status int
	sealed bool
	retry  time.Duration
	body   string
	err    error
}

// send sends a request and reads its answer.
func (callers *callers) send(sent request) answer {
	got := answer{id: fmt.Sprintf("%08x%08x", time.Now().Unix()&0xffffffff, callers.lastID.Add(1)), sentAt: time.Now()}
	leaves := sent.deadline
	if sent.leaves > 0 {
		leaves = sent.leaves
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaves)
	defer cancel()
	made, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers.fleet.at(sent.gateway.ip, frontPort)+sent.path, bytes.NewReader([]byte(sent.body)))
	if err != nil {
		got.err = err
		return got
	}
	// Only the client repeats a request, as an attempt with another id.
	made.GetBody = nil
	made.Host = host
	made.Header.Set(headerID, got.id)
	made.Header.Set("Hibiscuslug-Key", key)
	made.Header.Set(headerDeadline, strconv.FormatInt(sent.deadline.Milliseconds(), 10))
	if sent.prompt != "" {
		made.Header.Set("Hibiscuslug-Model", "m")
		made.Header.Set("Hibiscuslug-Token-Counts", "690,96")
		made.Header.Set("Hibiscuslug-Prompt-Prefix", sent.prompt)
	}
	callers.fleet.record.note("send %s to %s %s", got.id, sent.gateway.name, sent.path)
	response, err := callers.client.Do(made)
	if err != nil {
		got.err = err
		callers.fleet.record.note("answer %s none: %v", got.id, err)
		return got
	}
	text, err := io.ReadAll(response.Body)
	// The body was read to its end or failed, so that closing it tells nothing more.
	_ = response.Body.Close()
	got.body, got.err = string(text), err
	if err == nil {
		got.status, got.sealed = response.StatusCode, response.Header.Get(headerSeal) != ""
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			got.retry = time.Duration(seconds * float64(time.Second))
		}
	}
	callers.fleet.record.note("answer %s status=%d sealed=%t bytes=%d error=%v", got.id, got.status, got.sealed, len(text), err)
	return got
}

// every calls a function in a goroutine of its own at an interval, with the number of the
// call, until close.
func (callers *callers) every(interval time.Duration, call func(number int)) {
	callers.work.Add(1)
	go func() {
		defer callers.work.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-callers.stop:
				return
			case <-ticker.C:
			}
			callers.work.Add(1)
			go func() {
				defer callers.work.Done()
				call(number)
			}()
		}
	}()
}

// close ends the calls of every and waits for those that run.
func (callers *callers) close() {
	close(callers.stop)
	callers.work.Wait()
	callers.client.CloseIdleConnections()
}
