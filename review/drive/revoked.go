package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// cutTime is how long the gateway is cut off, and cutBefore how long it is before the key
	// is taken away.
	cutTime   = 8 * time.Second
	cutBefore = 300 * time.Millisecond
	// moreRoutes is the number of routes by which the configuration grows at a time, and
	// growths how often it does.
	moreRoutes = 350
	growths    = 8
	// impatient is the number of clients that ask again soon, whatever they are told, and
	// askPause the time between two of their requests.
	impatient = 60
	askPause  = 100 * time.Millisecond
	// pressBefore and pressAfter are how long they do so before and after the cut.
	pressBefore = time.Second
	pressAfter  = 2 * time.Second
)

// routes returns the route of the requests and a number of others.
func routes(others int) []map[string]any {
	list := []map[string]any{route("r-1", "/lohu930/", "non_idempotent")}
	for number := range others {
		list = append(list, route(fmt.Sprintf("r-more-%d", number), fmt.Sprintf("/puxa%d/", number), "idempotent"))
	}
	return list
}

// errNoChannel is the error of a client that would need a new channel: the platform gives
// none to a gateway that is not ready.
var errNoChannel = errors.New("no new channels to this gateway")

// crowd is a number of clients, each of which keeps the channel that it opened.
type crowd struct {
	// closed is set once no more channels may be opened.
	closed   atomic.Bool
	sent     sync.Map
	statuses [600]atomic.Int64
	running  sync.WaitGroup
}

// client returns a client with a channel of its own.
func (crowd *crowd) client() *http.Client {
	var dialer net.Dialer
	return &http.Client{Timeout: callTime, Transport: &http.Transport{
		DisableCompression: true, MaxConnsPerHost: 1,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if crowd.closed.Load() {
				return nil, errNoChannel
			}
			return dialer.DialContext(ctx, network, address)
		},
	}}
}

// press lets clients send requests with a key to a gateway until a time.
func (system *system) press(gateway *machine, key string, until time.Time) *crowd {
	pressing := &crowd{}
	for number := range impatient {
		pressing.running.Add(1)
		go func() {
			defer pressing.running.Done()
			// The clients do not ask all at once.
			time.Sleep(askPause * time.Duration(number) / impatient)
			client := pressing.client()
			defer client.CloseIdleConnections()
			for time.Now().Before(until) {
				id := fmt.Sprintf("%016x", lastRequest.Add(1))
				pressing.sent.Store(id, time.Now())
				pressing.statuses[system.attempt(client, gateway, id, key)].Add(1)
				time.Sleep(askPause)
			}
		}()
	}
	return pressing
}

// wait waits until the clients have ended and notes what they got.
func (system *system) wait(pressing *crowd) {
	pressing.running.Wait()
	for status := range pressing.statuses {
		if count := pressing.statuses[status].Load(); count > 0 {
			system.note("%d requests with the key that is taken away got status %d", count, status)
		}
	}
}

// attempt sends one request and returns its status, or 0 without an answer.
func (system *system) attempt(client *http.Client, gateway *machine, id, key string) int {
	url := fmt.Sprintf("http://%s:%d/lohu930/2f", gateway.ip, system.callers)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, nil)
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("Hibiscuslug-Request-Id", id)
	request.Header.Set("Hibiscuslug-Deadline-Ms", "1000")
	request.Header.Set("Hibiscuslug-Key", key)
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// revokedKey takes a key away while a gateway is cut off from the control machines, and
// judges whether requests with that key, sent later than allowed after the acknowledgement,
// run once the cut is over.
func revokedKey(system *system, trouble bool) (int, error) {
	system.links = &links{}
	if err := system.begin(5); err != nil {
		return noCase, err
	}
	started, err := system.newEngine("i-7f3a91c1", plainService, 1)
	if err != nil {
		return noCase, err
	}
	defer started.stop()
	const kept, revoked = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"
	for growth := range growths + 1 {
		if err := system.put(config(3+growth, tenant(kept, revoked), routes(growth*moreRoutes)...), system.controls); err != nil {
			return noCase, err
		}
	}
	if err := system.awaitReady(); err != nil {
		return noCase, err
	}
	time.Sleep(4 * time.Second)
	apart := system.gateways[0]
	if status := system.request(apart, http.MethodPost, "/lohu930/2f", revoked); status != http.StatusOK {
		return noCase, fmt.Errorf("a request with a valid key got status %d", status)
	}
	began := time.Now().Add(pressBefore)
	pressing := system.press(apart, revoked, began.Add(cutTime+pressAfter))
	time.Sleep(time.Until(began))
	pressing.closed.Store(true)
	if trouble {
		system.note("%s is cut off from the control machines", apart.name)
		system.links.setCut(apart.name)
	}
	time.Sleep(cutBefore)
	if err := system.put(config(20, tenant(kept), routes(growths*moreRoutes)...), system.controls); err != nil {
		return noCase, err
	}
	acked := time.Now()
	time.Sleep(time.Until(began.Add(cutTime)))
	system.links.setCut("")
	system.note("the cut is over after %s", time.Since(began))
	system.wait(pressing)
	late := 0
	for _, seen := range started.seen() {
		if at, ok := pressing.sent.Load(seen.id); ok && at.(time.Time).Sub(acked) > revoke {
			late++
		}
	}
	system.note("%d requests ran that were sent later than %s after the key was taken away", late, revoke)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
