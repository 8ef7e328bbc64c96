package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// attempt is one client attempt.
type attempt struct {
	id, path, machine string
	sent              time.Time
	status            int
	// retryAfter is the time that the answer asks the client to wait; 0 for none.
	retryAfter time.Duration
}

// client sends requests to one machine on a kept connection.
type client struct {
	site    *site
	machine *machine
	host    string
	key     string
	http    *http.Client
	// prefix begins the ids of requests.
	prefix string

	mu       sync.Mutex
	count    int
	attempts []attempt
}

// clientDeadline is how long a client waits.
const clientDeadline = time.Second

func newClient(machine *machine) *client {
	return &client{
		site: machine.site, machine: machine, host: hostName, key: clientKey,
		http: &http.Client{Timeout: 2 * clientDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}},
	}
}

// send sends one request and returns its status, or 0 without an answer. A POST, which
// Go's client never repeats by itself.
func (client *client) send(ctx context.Context, path string) int {
	client.mu.Lock()
	client.count++
	id := fmt.Sprintf("%s%s.%p.%d", client.prefix, client.machine.name, client, client.count)
	client.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+client.site.address(client.machine.host, frontPort)+path, nil)
	if err != nil {
		return 0
	}
	request.Host = client.host
	request.Header.Set(headerID, id)
	request.Header.Set(headerDeadline, fmt.Sprint(clientDeadline.Milliseconds()))
	if client.key != "" {
		request.Header.Set(headerKey, client.key)
	}
	made := attempt{id: id, path: path, machine: client.machine.name, sent: time.Now()}
	if response, err := client.http.Do(request); err == nil {
		made.status = response.StatusCode
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			made.retryAfter = time.Duration(seconds * float64(time.Second))
		}
		// Only the status counts here.
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	client.mu.Lock()
	client.attempts = append(client.attempts, made)
	client.mu.Unlock()
	return made.status
}

// pause returns the time until the next request: a random one of at most the given time,
// after what the last answer asked for, up to a third of the deadline.
func (client *client) pause(most time.Duration) time.Duration {
	client.mu.Lock()
	defer client.mu.Unlock()
	last := client.attempts[len(client.attempts)-1]
	return min(last.retryAfter, clientDeadline/3) + time.Duration(rand.Int64N(int64(most)))
}

// run sends requests to the paths in turn until the context ends.
func (client *client) run(ctx context.Context, pause time.Duration, paths ...string) {
	for count := 0; ctx.Err() == nil; count++ {
		client.send(ctx, paths[count%len(paths)])
		select {
		case <-ctx.Done():
		case <-time.After(client.pause(pause)):
		}
	}
}

// made returns the attempts so far.
func (client *client) made() []attempt {
	client.mu.Lock()
	defer client.mu.Unlock()
	return append([]attempt(nil), client.attempts...)
}
