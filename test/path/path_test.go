// Package path_test sends requests through real processes end to end.
package path_test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

func TestPath(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Path")
}

const limit = 20 * time.Second

// script is one request and the expected response.
type script struct {
	Name    string            `json:"name"`
	Method  string            `json:"method"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Status  int               `json:"status"`
	Outcome string            `json:"outcome"`
	// Tokens is the number of tokens of the complete response.
	Tokens   int    `json:"tokens"`
	Contains string `json:"contains"`
}

// testData holds the setup commands and the requests of the test.
type testData struct {
	Commands []string `json:"commands"`
	Requests []script `json:"requests"`
}

// Guards against responses that are incomplete, belong to another request, or have
// the wrong status or outcome.
var _ = Describe("a small deployment of real processes", Ordered, func() {
	var entry *procs.Process
	var data testData

	BeforeAll(func() {
		text, err := os.ReadFile("testdata/path.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Unmarshal(text, &data)).To(Succeed())
		start := func(name, program string, arguments ...string) *procs.Process {
			process, err := procs.Start(name, program, arguments...)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(process.Stop)
			return process
		}
		model := start("model", "hibfake", "--interval", "1ms")
		desk := start("desk", "hibfake", "--kind", "desk")
		control := start("control1", "hibiscuslug", "control", "--name", "control1", "--zone", "zone1", "--data", GinkgoT().TempDir())
		entry = start("entry1", "hibiscuslug", "entry", "--name", "entry1", "--zone", "zone1", "--http-listen", "127.0.0.1:0", "--control", control.Address)
		start("endpoint1", "hibiscuslug", "endpoint", "--name", "endpoint1", "--zone", "zone1", "--entry", entry.Address,
			"--engine", "model,engine1,"+model.Address+",guide-1", "--engine", "order,desk1,"+desk.Address+",desk")
		for _, command := range data.Commands {
			out, err := exec.Command(procs.Binary("hibctl"), append([]string{"--address", entry.Address}, strings.Fields(command)...)...).CombinedOutput()
			Expect(err).NotTo(HaveOccurred(), string(out))
		}
		Eventually(func() string {
			out, _ := exec.Command(procs.Binary("hibctl"), "--address", entry.Address, "show", "nodes").CombinedOutput()
			return string(out)
		}).WithTimeout(limit).Should(ContainSubstring("endpoint1"))
	})

	It("answers every request of the scripts completely", func() {
		for _, script := range data.Requests {
			By(script.Name)
			run(entry.HTTP, script)
		}
	})
})

func run(base string, script script) {
	var status int
	var header http.Header
	var body string
	send := func(assert Gomega) {
		request, err := http.NewRequest(script.Method, base+script.Path, strings.NewReader(script.Body))
		assert.Expect(err).NotTo(HaveOccurred())
		for name, value := range script.Headers {
			request.Header.Set(name, value)
		}
		response, err := http.DefaultClient.Do(request)
		assert.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(response.Body)
		assert.Expect(err).NotTo(HaveOccurred())
		status, header, body = response.StatusCode, response.Header, string(text)
		// A new customer may not have reached the entry VM yet.
		assert.Expect(status).To(Equal(script.Status), body)
	}
	Eventually(send).WithTimeout(limit).Should(Succeed())
	Expect(header.Get("X-Request-Id")).NotTo(BeEmpty())
	Expect(header.Get("X-Outcome")).To(Equal(script.Outcome), body)
	Expect(body).To(ContainSubstring(script.Contains))
	for n := range script.Tokens {
		Expect(body).To(ContainSubstring(fake.Token([]byte(script.Body), n)))
	}
}
