package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// paths gives the method of each kind. Go's client sends a GET again by itself,
// under the same id, when a kept connection breaks; callers of a deployment give
// each attempt an id of its own.
var paths = map[string]string{"look": "POST", "book": "POST", "draft": "POST"}

// document is a configuration; its version decides which keys it holds.
func document(version uint64, second bool) string {
	keys := `{"name":"customer-k1","apiKeys":["k1"]}`
	if second {
		keys += `,{"name":"customer-k2","apiKeys":["k2"]}`
	}
	return fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"look","host":"h","pathPrefix":"/look/","kind":"idempotent","timeoutMs":3000,"service":"desk","attempts":2},
		{"name":"book","host":"h","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":3000,"service":"desk","attempts":1},
		{"name":"draft","host":"h","pathPrefix":"/draft/","kind":"streaming","timeoutMs":3000,"targetLatencyMs":500,"service":"desk","attempts":2,"streamResume":true},
		{"name":"v%d","host":"h","pathPrefix":"/v%d/","kind":"idempotent","timeoutMs":3000,"service":"desk"}],
		"services":[{"name":"desk"}],"tenants":[%s]}`, version, version, version, keys)
}

// call sends one request and notes what came of it.
func (world *world) call(ctx context.Context, client *http.Client, random *rand.Rand, id string) int {
	kind := []string{"look", "book", "draft"}[random.IntN(3)]
	key := []string{"k1", "k2"}[random.IntN(2)]
	body := ""
	if paths[kind] == "POST" {
		body = fmt.Sprint("body of ", id, strings.Repeat("x", random.IntN(2000)))
	}
	gateway := world.gateway[random.IntN(len(world.gateway))]
	request, err := http.NewRequestWithContext(ctx, paths[kind], "http://"+gateway+"/"+kind+"/1", strings.NewReader(body))
	if err != nil {
		world.ledger.wrong("request %s: %v", id, err)
		return 0
	}
	request.Host = "h"
	request.Header.Set(headerID, id)
	request.Header.Set("Hibiscuslug-Key", key)
	request.Header.Set("Hibiscuslug-Deadline-Ms", "2500")
	world.ledger.ask(id, kind, key)
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	got, err := io.ReadAll(response.Body)
	if closing := response.Body.Close(); err != nil || closing != nil {
		world.partial(id, kind, string(got))
		return 0
	}
	world.ledger.end(id, response.StatusCode)
	if response.StatusCode == http.StatusOK {
		world.whole(id, kind, body, string(got), response.Header)
	}
	return response.StatusCode
}

// whole checks an answer that looks complete.
func (world *world) whole(id, kind, body, got string, header http.Header) {
	want := expected(id, body)
	if kind == "draft" {
		want = ""
		for number := 1; number <= events; number++ {
			want += eventText(id, number)
		}
	}
	if got != want || header.Get("Hibiscuslug-Response-Seal") != "seal-"+id {
		world.ledger.wrong("%s got %q signed %q", id, got, header.Get("Hibiscuslug-Response-Seal"))
	}
}

// partial checks what came of an answer that broke off.
func (world *world) partial(id, kind, got string) {
	want := ""
	for number := 1; kind == "draft" && number <= events; number++ {
		want += eventText(id, number)
	}
	if kind == "draft" && !strings.HasPrefix(want, got) {
		world.ledger.wrong("%s broke off after %q", id, got)
	}
}

func (world *world) callers(ctx context.Context, number int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	client := &http.Client{Timeout: 4 * time.Second, Transport: transport}
	defer transport.CloseIdleConnections()
	for count := 0; ctx.Err() == nil; count++ {
		world.call(ctx, client, random, fmt.Sprintf("r%d-%d", number, count))
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// heartbeats makes the endpoints known, to one control VM at a time.
func (world *world) heartbeats(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 77))
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		for at, back := range world.backs {
			for _, number := range random.Perm(controls) {
				url := fmt.Sprintf("http://%s/Instances.Heartbeat/%s", world.control[number], back.id)
				if post(ctx, client, url, back.heartbeat(world.backWays[at].Address())) == http.StatusOK {
					break
				}
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func post(ctx context.Context, client *http.Client, url, body string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	if response.Body.Close() != nil {
		return 0
	}
	return response.StatusCode
}

// operator sends configurations, and takes the second key away half way.
func (world *world) operator(ctx context.Context, seed uint64, first uint64, half time.Time) {
	random := rand.New(rand.NewPCG(seed, 78))
	client := &http.Client{Timeout: 2500 * time.Millisecond}
	for version := first; ctx.Err() == nil; version += 1 + uint64(random.IntN(3)) {
		second := time.Now().Before(half)
		text := document(version, second)
		world.ledger.mu.Lock()
		world.ledger.sent[version] = text
		world.ledger.mu.Unlock()
		for range 3 {
			if post(ctx, client, "http://"+world.control[random.IntN(controls)]+"/Config.Put", text) != http.StatusOK {
				continue
			}
			world.ledger.mu.Lock()
			world.ledger.acked = max(world.ledger.acked, version)
			if !second && world.ledger.revoked.IsZero() {
				world.ledger.revoked = time.Now()
			}
			world.ledger.mu.Unlock()
			break
		}
		time.Sleep(time.Duration(100+random.IntN(400)) * time.Millisecond)
	}
}

// read asks one control VM for the configuration and checks what it says.
func (world *world) read(ctx context.Context, number int) bool {
	world.ledger.mu.Lock()
	acked := world.ledger.acked
	world.ledger.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+world.control[number]+"/Config.Get", nil)
	if err != nil {
		return false
	}
	response, err := (&http.Client{Timeout: 2 * time.Second}).Do(request)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(response.Body)
	if closing := response.Body.Close(); err != nil || closing != nil || response.StatusCode != http.StatusOK {
		return false
	}
	var got struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &got); err != nil {
		world.ledger.wrong("control%d reads back %q", number, body)
		return false
	}
	world.ledger.mu.Lock()
	defer world.ledger.mu.Unlock()
	if got.Version < acked || world.ledger.sent[got.Version] != string(body) {
		world.ledger.faults = append(world.ledger.faults, fmt.Sprintf("control%d reads back version %d after %d was acknowledged", number, got.Version, acked))
	}
	return true
}

func (world *world) reader(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 79))
	for ctx.Err() == nil {
		world.read(ctx, random.IntN(controls))
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
	}
}
