package gate_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/ctrl"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/gate"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/ports"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/internal/task"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/platform"
)

func TestGate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Gate")
}

const (
	limit    = 30 * time.Second
	idHeader = "Hibiscuslug-Request-Id"
	key      = "k1"
)

type script struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Send   string `json:"send"`
	Key    string `json:"key"`
	// Patience is the caller's wait limit that the request states, in ms.
	Patience int `json:"patience"`
	// Steps are the scripted responses of the endpoints in the order of the requests;
	// Copies is the number of endpoints.
	Steps  []fake.Step `json:"steps"`
	Copies int         `json:"copies"`
	Status int         `json:"status"`
	Body   string      `json:"body"`
	// Broken is set when the caller must see a truncated response; Prefix is the part
	// that it receives.
	Broken      bool              `json:"broken"`
	Prefix      string            `json:"prefix"`
	Header      map[string]string `json:"header"`
	HasHeader   []string          `json:"hasHeader"`
	LacksHeader []string          `json:"lacksHeader"`
	// Runs is the number of requests that the endpoints received.
	Runs int `json:"runs"`
	// LastEvent is the Last-Event-Id header of the last request to an endpoint.
	LastEvent string `json:"lastEvent"`
}

// document is the configuration of the deployment under test.
func document(version int, keys string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
		{"name":"look","host":"h.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":5000,"service":"desk","attempts":2},
		{"name":"book","host":"h.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":5000,"service":"desk","attempts":1},
		{"name":"long","host":"h.example","pathPrefix":"/long/","kind":"streaming","timeoutMs":400000,"targetLatencyMs":20000,"service":"desk","attempts":2,"streamResume":true},
		{"name":"draft","host":"h.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":5000,"service":"desk","attempts":2,"streamResume":true},
		{"name":"once","host":"h.example","pathPrefix":"/once/","kind":"streaming","timeoutMs":5000,"service":"desk","attempts":2},
		{"name":"wait","host":"h.example","pathPrefix":"/wait/","kind":"streaming","timeoutMs":400000,"targetLatencyMs":20000,"service":"desk","attempts":2}],
		"services":[{"name":"desk"}],"limits":{"maxBodyBytes":32},"tenants":[{"name":"clinic","apiKeys":[%s]}]}`, version, keys)
}

// free returns an address without a listener.
func free() string {
	listener, err := ports.Listen()
	Expect(err).NotTo(HaveOccurred())
	Expect(listener.Close()).To(Succeed())
	return listener.Addr().String()
}

// site is a control VM and a gateway that run in the test process.
type site struct {
	control *ctrl.Control
	gateway *gate.Gateway
}

func newSite() *site {
	address := free()
	control := newControl(address)
	return &site{control: control, gateway: newGateway(address, clock.Second)}
}

// newControl starts a control VM and deploys a configuration.
func newControl(address string) *ctrl.Control {
	return startControl(address, "z1", GinkgoT().TempDir(), 1, `"k1"`)
}

// startControl starts a control VM with a data folder and deploys a configuration with
// keys.
func startControl(address, zone, folder string, version int, keys string) *ctrl.Control {
	node := opts.Node{Name: "control1", Zone: zone, Listen: address, ShutdownLimit: clock.Second}
	control, err := ctrl.New(ctrl.Settings{Node: node, Control: opts.Control{
		Data: folder, Seed: []string{address}, Bootstrap: true, ElectionTimeout: 200, CommitLimit: 2 * clock.Second, SnapshotBytes: 1 << 20,
	}}, clock.NewSystem(), event.Discard())
	Expect(err).NotTo(HaveOccurred())
	// The test may have closed it already, so an error is ignored.
	DeferCleanup(func() { _ = control.Close() })
	Eventually(func() error { return control.Deploy(context.Background(), uint64(version), document(version, keys)) }).WithTimeout(limit).Should(Succeed())
	return control
}

func newGateway(control string, startWait clock.Millis) *gate.Gateway {
	return startGateway("gateway1", control, startWait)
}

func newNamedGateway(name, control string) *gate.Gateway {
	return startGateway(name, control, clock.Second)
}

func startGateway(name, control string, startWait clock.Millis) *gate.Gateway {
	return startGatewayWith(platform.Dialect{}, name, control, startWait)
}

func startGatewayWith(dialect task.Dialect, name, control string, startWait clock.Millis) *gate.Gateway {
	gateway, err := gate.New(gate.Settings{
		Node: opts.Node{Name: name, Zone: "z1", Listen: control},
		Gateway: opts.Gateway{
			HTTPListen: "127.0.0.1:0", Seed: []string{control}, RevokeLimit: 5 * clock.Second, Grace: 2 * clock.Second,
			RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * clock.Second, StartWait: startWait,
			ColdOver: coldOver, ColdSlack: coldSlack,
		},
		Dialect: dialect,
	}, clock.NewSystem(), event.Discard())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = gateway.Close() })
	return gateway
}

// startBackend starts endpoints and waits until the gateway has them, its configuration
// and its share of the retry budget.
func (site *site) startBackend(steps []fake.Step, count int) *fake.Backend {
	backend, err := fake.NewBackend(idHeader, steps, count)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(backend.Close)
	for number, address := range backend.Addresses() {
		Expect(site.control.Heard(context.Background(), roster.Record{
			ID: fmt.Sprintf("e%d", number), Service: "desk", Address: address, Born: 1, Sequence: 1, Slots: 6, ReceivedAt: site.control.Now(),
		})).To(Succeed())
	}
	Eventually(func() int { return len(site.gateway.Endpoints("desk")) }).WithTimeout(limit).Should(Equal(count))
	Eventually(site.gateway.Ready).WithTimeout(limit).Should(BeTrue())
	Eventually(site.gateway.Gateways).WithTimeout(limit).Should(Equal(1))
	return backend
}

func request(script script) *http.Request {
	body := io.Reader(http.NoBody)
	if script.Send != "" {
		body = strings.NewReader(script.Send)
	}
	built, err := http.NewRequestWithContext(context.Background(), script.Method, "http://h.example"+script.Path, body)
	Expect(err).NotTo(HaveOccurred())
	built.Header.Set(idHeader, "id1")
	built.Header.Set("Hibiscuslug-Deadline-Ms", "4000")
	if script.Patience > 0 {
		built.Header.Set("Hibiscuslug-Deadline-Ms", strconv.Itoa(script.Patience))
	}
	built.Header.Set("Hibiscuslug-Tenant", "forged")
	built.Header.Set("X-Passed", "on")
	built.Header.Set("Hibiscuslug-Key", key)
	if script.Key != "" {
		built.Header.Set("Hibiscuslug-Key", script.Key)
	}
	return built
}

func (site *site) send(request *http.Request) (*http.Response, []byte, error) {
	transport := &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, site.gateway.Address())
	}}
	// A test that sends for seconds would run out of descriptors otherwise.
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport, Timeout: limit}).Do(request)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(response.Body)
	Expect(response.Body.Close()).To(Succeed())
	return response, body, err
}

// status sends a request and returns the status of the response, or 0 without one.
func (site *site) status(request *http.Request) int {
	response, _, err := site.send(request) //nolint:bodyclose // send closes it.
	if err != nil {
		return 0
	}
	return response.StatusCode
}

var _ = Describe("a gateway", func() {
	text, err := os.ReadFile("testdata/answers.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			site := newSite()
			backend := site.startBackend(script.Steps, max(script.Copies, 1))
			response, body, err := site.send(request(script))
			if script.Broken {
				Expect(err).To(HaveOccurred())
				Expect(string(body)).To(Equal(script.Prefix))
			} else {
				Expect(err).NotTo(HaveOccurred())
				Expect(response.StatusCode).To(Equal(script.Status))
				if script.Status == http.StatusOK {
					Expect(string(body)).To(Equal(script.Body))
				}
				checkHeader(script, response.Header)
			}
			checkReceived(script, backend.Requests())
		})
	}
})

func checkHeader(script script, header http.Header) {
	for name, value := range script.Header {
		Expect(header.Get(name)).To(Equal(value), name)
	}
	for _, name := range script.HasHeader {
		Expect(header).To(HaveKey(name))
	}
	for _, name := range script.LacksHeader {
		Expect(header).NotTo(HaveKey(name))
	}
}

func checkReceived(script script, received []fake.ReceivedRequest) {
	Expect(received).To(HaveLen(script.Runs))
	for _, got := range received {
		Expect(got.Method).To(Equal(script.Method))
		Expect(got.Target).To(Equal(script.Path))
		Expect(got.Body).To(Equal(script.Send))
		Expect(got.Header.Get(idHeader)).To(Equal("id1"))
		Expect(got.Header.Get("Hibiscuslug-Tenant")).To(Equal("clinic"))
		Expect(got.Header).NotTo(HaveKey("Hibiscuslug-Key"))
		Expect(got.Header.Get("X-Passed")).To(Equal("on"))
		Expect(got.Header.Get("Hibiscuslug-Expect-Instance")).To(HavePrefix("e"))
	}
	if script.LastEvent != "" {
		Expect(received[len(received)-1].Header.Get("Last-Event-Id")).To(Equal(script.LastEvent))
	}
}

// hanging is a stream that sends one event and does not end.
const hanging = "HTTP/1.1 200 OK\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n"

// Guards against endpoints that keep processing requests of disconnected callers.
var _ = It("cancels the request at the endpoint at once when the caller disconnects", func() {
	site := newSite()
	backend := site.startBackend([]fake.Step{{Text: hanging, Then: "hang"}}, 1)
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", site.gateway.Address())
	Expect(err).NotTo(HaveOccurred())
	Expect(request(script{Method: "POST", Path: "/draft/1", Send: "p"}).Write(conn)).To(Succeed())
	line, err := bufio.NewReader(conn).ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
	Expect(line).To(ContainSubstring("200"))
	Expect(conn.Close()).To(Succeed())
	Eventually(backend.Requests()[0].Disconnected).WithTimeout(limit).Should(BeClosed())
})

// Guards against a shutdown that truncates a response in progress.
var _ = It("waits for a response in progress before it stops", func() {
	site := newSite()
	site.startBackend([]fake.Step{{Text: hanging, Then: "hang"}}, 1)
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", site.gateway.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(request(script{Method: "POST", Path: "/draft/1", Send: "p"}).Write(conn)).To(Succeed())
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	Expect(err).NotTo(HaveOccurred())
	// The truncated body makes Close return an error, which is ignored.
	DeferCleanup(func() { _ = response.Body.Close() })
	began := time.Now()
	var closing conc.WaitGroup
	DeferCleanup(closing.Wait)
	closing.Go(func() { Expect(site.gateway.Close()).To(Succeed()) })
	event := make([]byte, 15)
	_, err = io.ReadFull(response.Body, event)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(response.Body)
	Expect(err).To(HaveOccurred())
	// The stream never ends, so the gateway waits for the grace period less its margin.
	Expect(time.Since(began)).To(BeNumerically(">", time.Second))
})

// Guards against a revoked key that is still accepted: the gateway must refuse it as
// soon as it receives the new configuration, and must refuse all keys when it has had
// no contact with a control VM for too long.
var _ = It("refuses a revoked key, and all keys without a recent confirmation", func() {
	site := newSite()
	site.startBackend([]fake.Step{{Text: "HTTP/1.1 200 OK\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok"}}, 1)
	status := func(key string) func() int {
		return func() int {
			response, _, err := site.send(request(script{Method: "GET", Path: "/look/1", Key: key}))
			if err != nil {
				return 0
			}
			return response.StatusCode
		}
	}
	Expect(status("k1")()).To(Equal(http.StatusOK))
	Expect(site.control.Deploy(context.Background(), 2, document(2, `"k2"`))).To(Succeed())
	Eventually(status("k1")).WithTimeout(limit).Should(Equal(http.StatusUnauthorized))
	Expect(status("k2")()).To(Equal(http.StatusOK))
	Expect(site.control.Close()).To(Succeed())
	Eventually(status("k2")).WithTimeout(limit).Should(Equal(http.StatusServiceUnavailable))
})
