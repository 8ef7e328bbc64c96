package crowd_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

// target is the process that a crowd meets.
type target struct {
	process *procs.Process
	// address is the one that the crowd connects to.
	address string
	// ask sends an ordinary request and returns its status and body.
	ask func() (int, string)
}

const configuration = `{"version":1,"routes":[
	{"name":"look","host":"h","pathPrefix":"/look/","kind":"idempotent","timeoutMs":30000,"service":"desk"}],
	"services":[{"name":"desk"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304}}`

func freeAddress() string {
	address, err := procs.FreeAddress()
	Expect(err).NotTo(HaveOccurred())
	return address
}

func start(name, program string, arguments ...string) *procs.Process {
	process, err := procs.Start(name, program, arguments...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(process.Kill)
	return process
}

// startTested starts the process that is tested, with the settings of the case in a file.
func (test crowdCase) startTested(arguments ...string) *procs.Process {
	file := filepath.Join(GinkgoT().TempDir(), "settings")
	Expect(os.WriteFile(file, []byte(strings.Join(test.Settings, "\n")+"\n"), 0o600)).To(Succeed())
	return start(test.Role, "hibiscuslug", append([]string{test.Role, "--name", test.Role, "--zone", "z", "--settings", file}, arguments...)...)
}

func startTarget(test crowdCase) target {
	switch test.Role {
	case "gateway":
		return startGateway(test)
	case "control":
		return startControl(test)
	}
	return startEntry(test)
}

// startControlled starts a control VM with a configuration and an endpoint that sends
// heartbeats. It returns the addresses for other processes and for operators.
func startControlled(run func(arguments ...string) *procs.Process) (process *procs.Process, peers, api string) {
	peers, api = freeAddress(), freeAddress()
	process = run("--listen", peers, "--seed", peers, "--bootstrap", "--tolerance", "0", "--api-listen", api, "--data", GinkgoT().TempDir())
	Eventually(func() int {
		status, _ := ask(http.MethodPost, "http://"+api+"/Config.Put", configuration, nil)
		return status
	}).WithTimeout(waitLimit).Should(Equal(http.StatusOK))
	server := httptest.NewServer(http.HandlerFunc(serveEndpoint))
	DeferCleanup(server.Close)
	DeferCleanup(server.CloseClientConnections)
	ctx, cancel := context.WithCancel(context.Background())
	var beating conc.WaitGroup
	DeferCleanup(func() { cancel(); beating.Wait() })
	born := time.Now().UnixMilli()
	beating.Go(func() {
		defer GinkgoRecover()
		for sequence := 1; ctx.Err() == nil; sequence++ {
			ask(http.MethodPost, "http://"+api+"/Instances.Heartbeat/e1", fmt.Sprintf(
				`{"service":"desk","address":%q,"zone":"z","version":"v1","slots":1000,"state":"ready","sequence":%d,"born":%d}`,
				strings.TrimPrefix(server.URL, "http://"), sequence, born), nil)
			select {
			case <-ctx.Done():
			case <-time.After(300 * time.Millisecond):
			}
		}
	})
	return process, peers, api
}

// serveEndpoint answers a request, except those that ask it to hang.
func serveEndpoint(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Hibiscuslug-Request-Id", request.Header.Get("Hibiscuslug-Request-Id"))
	if strings.HasSuffix(request.URL.Path, "/hang") {
		<-request.Context().Done()
		return
	}
	w.Header().Set("Hibiscuslug-Response-Seal", "seal")
	// The caller may have disconnected.
	_, _ = io.Copy(w, request.Body)
}

func startGateway(test crowdCase) target {
	_, peers, _ := startControlled(func(arguments ...string) *procs.Process {
		return start("control", "hibiscuslug", append([]string{"control", "--name", "control", "--zone", "z"}, arguments...)...)
	})
	ready, metrics := freeAddress(), freeAddress()
	// A gateway finds control VMs at the port that it listens on itself.
	_, port, err := net.SplitHostPort(peers)
	Expect(err).NotTo(HaveOccurred())
	process := test.startTested("--listen", "127.0.0.2:"+port, "--http-listen", "127.0.0.1:0", "--ready-listen", ready, "--metrics-listen", metrics, "--seed", peers)
	callers := process.Address
	askCaller := func() (int, string) {
		return ask(http.MethodPost, "http://"+callers+"/look/1", "body", map[string]string{
			"Host": "h", "Hibiscuslug-Request-Id": "ordinary", "Hibiscuslug-Deadline-Ms": "20000",
		})
	}
	Eventually(func() int { status, _ := askCaller(); return status }).WithTimeout(waitLimit).Should(Equal(http.StatusOK))
	return test.target(process, map[string]listener{
		"callers": {callers, askCaller},
		"ready":   {ready, func() (int, string) { return ask(http.MethodGet, "http://"+ready+"/readyz", "", nil) }},
		"metrics": {metrics, func() (int, string) { return ask(http.MethodGet, "http://"+metrics+"/debug/vars", "", nil) }},
	})
}

type listener struct {
	address string
	ask     func() (int, string)
}

func (test crowdCase) target(process *procs.Process, listeners map[string]listener) target {
	used, ok := listeners[test.Listener]
	Expect(ok).To(BeTrue(), "listener %q of %s", test.Listener, test.Role)
	return target{process: process, address: used.address, ask: used.ask}
}

func startControl(test crowdCase) target {
	process, peers, api := startControlled(test.startTested)
	read := func() (int, string) { return ask(http.MethodGet, "http://"+api+"/Config.Get", "", nil) }
	show := func() (int, string) { return command(peers, "show config") }
	return test.target(process, map[string]listener{"api": {api, read}, "peers": {peers, show}})
}

func startEntry(test crowdCase) target {
	control := start("control", "hibiscuslug", "control", "--name", "control", "--zone", "z", "--data", GinkgoT().TempDir())
	metrics := freeAddress()
	process := test.startTested("--http-listen", "127.0.0.1:0", "--metrics-listen", metrics, "--control", control.Address)
	engine := start("engine", "hibfake")
	start("endpoint", "hibiscuslug", "endpoint", "--name", "endpoint", "--zone", "z", "--engine", "model,engine,"+engine.Address+",guide-1", "--entry", process.Address)
	status, out := command(process.Address, "create customer payer tier paid token paid")
	Expect(status).To(Equal(http.StatusOK), out)
	askCaller := func() (int, string) {
		return ask(http.MethodPost, process.HTTP+"/v1/completions", `{"model":"guide-1","prompt":"p","max_tokens":1}`,
			map[string]string{"Authorization": "Bearer paid", "Content-Type": "application/json"})
	}
	Eventually(func() int { status, _ := askCaller(); return status }).WithTimeout(waitLimit).Should(Equal(http.StatusOK))
	return test.target(process, map[string]listener{
		"callers": {strings.TrimPrefix(process.HTTP, "http://"), askCaller},
		"metrics": {metrics, func() (int, string) { return ask(http.MethodGet, "http://"+metrics+"/debug/vars", "", nil) }},
		"peers":   {process.Address, func() (int, string) { return command(process.Address, "show config") }},
	})
}

// command runs a command of operators at the address for other processes. It returns 200
// if it succeeds, and what it prints.
func command(address, text string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	out, err := exec.CommandContext(ctx, procs.Binary("hibctl"), append([]string{"--address", address}, strings.Fields(text)...)...).CombinedOutput()
	if err != nil {
		return 0, err.Error() + ": " + string(out)
	}
	return http.StatusOK, string(out)
}
