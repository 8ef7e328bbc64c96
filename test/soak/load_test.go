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

// methods holds the HTTP method of each route. None is GET: Go's client resends
// a GET with the same id when a reused connection breaks, while callers of a
// deployment give each attempt a new id.
var methods = map[string]string{"look": "POST", "book": "POST", "draft": "POST"}

// configuration returns the configuration of a version, with or without the
// second key.
func configuration(version uint64, second bool) string {
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

// call sends one request, records the result and returns the status, or 0 if the
// response is missing or incomplete.
func (deployment *deployment) call(ctx context.Context, client *http.Client, random *rand.Rand, id string) int {
	kind := []string{"look", "book", "draft"}[random.IntN(3)]
	key := []string{"k1", "k2"}[random.IntN(2)]
	body := ""
	if methods[kind] == "POST" {
		body = fmt.Sprint("body of ", id, strings.Repeat("x", random.IntN(2000)))
	}
	gateway := deployment.gateway[random.IntN(len(deployment.gateway))]
	request, err := http.NewRequestWithContext(ctx, methods[kind], "http://"+gateway+"/"+kind+"/1", strings.NewReader(body))
	if err != nil {
		deployment.recorder.addViolation("request %s: %v", id, err)
		return 0
	}
	request.Host = "h"
	request.Header.Set(headerID, id)
	request.Header.Set("Hibiscuslug-Key", key)
	request.Header.Set("Hibiscuslug-Deadline-Ms", "2500")
	deployment.recorder.recordRequest(id, kind, key)
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	got, err := io.ReadAll(response.Body)
	if closing := response.Body.Close(); err != nil || closing != nil {
		deployment.checkPartial(id, kind, string(got))
		return 0
	}
	deployment.recorder.recordStatus(id, response.StatusCode)
	if response.StatusCode == http.StatusOK {
		deployment.checkComplete(id, kind, body, string(got), response.Header)
	}
	return response.StatusCode
}

// checkComplete checks a response that arrived without an error.
func (deployment *deployment) checkComplete(id, kind, body, got string, header http.Header) {
	want := expectedResponse(id, body)
	if kind == "draft" {
		want = ""
		for number := 1; number <= events; number++ {
			want += eventText(id, number)
		}
	}
	if got != want || header.Get("Hibiscuslug-Response-Seal") != "seal-"+id {
		deployment.recorder.addViolation("%s got %q signed %q", id, got, header.Get("Hibiscuslug-Response-Seal"))
	}
}

// checkPartial checks the part of a response that arrived before an error.
func (deployment *deployment) checkPartial(id, kind, got string) {
	want := ""
	for number := 1; kind == "draft" && number <= events; number++ {
		want += eventText(id, number)
	}
	if kind == "draft" && !strings.HasPrefix(want, got) {
		deployment.recorder.addViolation("%s broke off after %q", id, got)
	}
}

// runCaller sends requests one after the other until the context ends.
func (deployment *deployment) runCaller(ctx context.Context, number int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	client := &http.Client{Timeout: 4 * time.Second, Transport: transport}
	defer transport.CloseIdleConnections()
	for count := 0; ctx.Err() == nil; count++ {
		deployment.call(ctx, client, random, fmt.Sprintf("r%d-%d", number, count))
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// sendHeartbeats sends the heartbeats of the endpoints, each to the first control VM
// that accepts it.
func (deployment *deployment) sendHeartbeats(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 77))
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		for at, backend := range deployment.backends {
			if backend.silent() {
				continue
			}
			for _, number := range random.Perm(controls) {
				url := fmt.Sprintf("http://%s/Instances.Heartbeat/%s", deployment.control[number], backend.id)
				if post(ctx, client, url, backend.heartbeat(deployment.backendProxies[at].Address())) == http.StatusOK {
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

// runOperator sends new configurations, without the second key from half on.
func (deployment *deployment) runOperator(ctx context.Context, seed uint64, first uint64, half time.Time) {
	random := rand.New(rand.NewPCG(seed, 78))
	client := &http.Client{Timeout: 2500 * time.Millisecond}
	for version := first; ctx.Err() == nil; version += 1 + uint64(random.IntN(3)) {
		second := time.Now().Before(half)
		text := configuration(version, second)
		deployment.recorder.mu.Lock()
		deployment.recorder.sent[version] = text
		deployment.recorder.mu.Unlock()
		for range 3 {
			if post(ctx, client, "http://"+deployment.control[random.IntN(controls)]+"/Config.Put", text) != http.StatusOK {
				continue
			}
			deployment.recorder.mu.Lock()
			deployment.recorder.acknowledged = max(deployment.recorder.acknowledged, version)
			if !second && deployment.recorder.revoked.IsZero() {
				deployment.recorder.revoked = time.Now()
			}
			deployment.recorder.mu.Unlock()
			break
		}
		time.Sleep(time.Duration(100+random.IntN(400)) * time.Millisecond)
	}
}

// read reads the configuration from one control VM and checks it. It reports
// whether the control VM returned one.
func (deployment *deployment) read(ctx context.Context, number int) bool {
	deployment.recorder.mu.Lock()
	acknowledged := deployment.recorder.acknowledged
	deployment.recorder.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+deployment.control[number]+"/Config.Get", nil)
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
		deployment.recorder.addViolation("control%d reads back %q", number, body)
		return false
	}
	deployment.recorder.mu.Lock()
	defer deployment.recorder.mu.Unlock()
	if got.Version < acknowledged || deployment.recorder.sent[got.Version] != string(body) {
		deployment.recorder.violations = append(deployment.recorder.violations, fmt.Sprintf("control%d reads back version %d after %d was acknowledged", number, got.Version, acknowledged))
	}
	return true
}

// runReader reads the configuration from random control VMs until the context ends.
func (deployment *deployment) runReader(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 79))
	for ctx.Err() == nil {
		deployment.read(ctx, random.IntN(controls))
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
	}
}
