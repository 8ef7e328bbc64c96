// Package operate_test runs hibctl commands against real processes.
package operate_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

func TestOperate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Operate")
}

// limit is generous, so that no result depends on the speed of the machine.
const limit = 30 * time.Second

// script is one call of hibctl with the expected exit code and output. Out must
// be in the output, Hidden must not.
type script struct {
	Name      string   `json:"name"`
	Arguments []string `json:"arguments"`
	Input     string   `json:"input"`
	Exit      int      `json:"exit"`
	Out       []string `json:"out"`
	Hidden    []string `json:"hidden"`
}

// jsonOutput is the output of hibctl with --json.
type jsonOutput struct {
	Revision uint64           `json:"revision"`
	Rows     []map[string]any `json:"rows"`
	Warnings []string         `json:"warnings"`
	Code     string           `json:"code"`
	Error    string           `json:"error"`
}

func start(name, program string, arguments ...string) *procs.Process {
	process, err := procs.Start(name, program, arguments...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(process.Stop)
	return process
}

// hibctl runs hibctl and returns its exit code and output.
func hibctl(input string, arguments ...string) (int, string) {
	command := exec.Command(procs.Binary("hibctl"), arguments...)
	command.Stdin = strings.NewReader(input)
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, &out
	err := command.Run()
	if exit := (*exec.ExitError)(nil); err != nil {
		Expect(err).To(BeAssignableToTypeOf(exit))
	}
	return command.ProcessState.ExitCode(), out.String()
}

// query runs a command with --json at an entry VM.
func query(entry *procs.Process, text string) jsonOutput {
	_, out := hibctl("", "--address", entry.Address, "--json", text)
	var output jsonOutput
	Expect(json.NewDecoder(strings.NewReader(out)).Decode(&output)).To(Succeed(), out)
	return output
}

var _ = Describe("the operators' commands", Ordered, func() {
	var control, first, second *procs.Process

	BeforeAll(func() {
		model := start("model", "hibfake", "--first-token", "10m")
		control = start("control1", "hibiscuslug", "control", "--name", "control1", "--zone", "zone1", "--data", GinkgoT().TempDir())
		entry := func(name string, extra ...string) *procs.Process {
			return start(name, "hibiscuslug", append([]string{"entry", "--name", name, "--zone", "zone1", "--http-listen", "127.0.0.1:0",
				"--shutdown-limit", "1s", "--control", control.Address}, extra...)...)
		}
		first = entry("entry1")
		second = entry("entry2", "--peer", first.Address)
		start("endpoint1", "hibiscuslug", "endpoint", "--name", "endpoint1", "--zone", "zone1", "--shutdown-limit", "1s",
			"--entry", first.Address, "--slots", "1", "--engine", "model,engine1,"+model.Address+",guide-1")
		code, out := hibctl("", "--address", first.Address, "create customer clinic tier paid token s3cret")
		Expect(code).To(BeZero(), out)
		Eventually(func() int { return len(query(second, "show nodes where revision = 1").Rows) }).WithTimeout(limit).Should(Equal(4))
	})

	// Guards against processes, revisions or ages missing from show nodes.
	It("lists every process with its revision", func() {
		// Node records are part of announcements, which take longer on a busy machine.
		Eventually(func(assert Gomega) {
			var nodes []string
			for _, row := range query(second, "show nodes").Rows {
				nodes = append(nodes, fmt.Sprint(row["name"], " ", row["role"], " ", row["revision"]))
				assert.Expect(row["age"]).To(BeNumerically("<", limit.Milliseconds()))
			}
			assert.Expect(nodes).To(ConsistOf("entry1 entry 1", "entry2 entry 1", "endpoint1 endpoint 1", "control1 control 1"))
		}).WithTimeout(limit).Should(Succeed())
	})

	// Guards against wrong output, wrong exit codes and leaked tokens.
	It("runs every command of the scripts", func() {
		text, err := os.ReadFile("testdata/commands.json")
		Expect(err).NotTo(HaveOccurred())
		var scripts []script
		Expect(json.Unmarshal(text, &scripts)).To(Succeed())
		for _, script := range scripts {
			By(script.Name)
			code, out := hibctl(script.Input, append([]string{"--address", "127.0.0.1:1", "--address", first.Address}, script.Arguments...)...)
			Expect(code).To(Equal(script.Exit), out)
			for _, expected := range script.Out {
				Expect(out).To(ContainSubstring(expected))
			}
			for _, hidden := range script.Hidden {
				Expect(out).NotTo(ContainSubstring(hidden))
			}
		}
	})

	Describe("a request that runs at another entry VM", Ordered, func() {
		var running, queued string
		answers := make(chan *http.Response, 2)

		post := func() {
			request, err := http.NewRequest(http.MethodPost, first.HTTP+"/v1/completions", strings.NewReader(`{"model":"guide-1","prompt":"x"}`))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Authorization", "Bearer s3cret")
			go func() {
				defer GinkgoRecover()
				response, err := http.DefaultClient.Do(request)
				Expect(err).NotTo(HaveOccurred())
				answers <- response
			}()
		}
		singleRow := func(text string) map[string]any {
			var row map[string]any
			Eventually(func(assert Gomega) {
				rows := query(second, text).Rows
				assert.Expect(rows).To(HaveLen(1))
				row = rows[0]
			}).WithTimeout(limit).Should(Succeed())
			return row
		}
		explain := func(id string) string {
			_, out := hibctl("", "--address", second.Address, "explain request "+id)
			return out
		}
		expectEnded := func(id string) {
			response := <-answers
			defer func() { _ = response.Body.Close() }()
			Expect(response.Header.Get("X-Request-Id")).To(Equal(id))
			Expect(response.Header.Get("X-Outcome")).To(BeElementOf("unknown", "notRun"))
		}

		BeforeAll(func() {
			post()
			running = singleRow("show requests where state = running and entry = entry1")["id"].(string)
			Eventually(func() string { return explain(running) }).WithTimeout(limit).Should(ContainSubstring("running at the endpoint process"))
			post()
			queued = singleRow("show requests where state = running and id != " + running)["id"].(string)
		})

		// Guards against output that does not explain why a request is slow.
		It("explains where it is and why it was placed there", func() {
			Eventually(func() string { return explain(queued) }).WithTimeout(limit).Should(And(
				ContainSubstring("queued at the endpoint process"), ContainSubstring("endpoint1/engine1"),
				ContainSubstring("holds the prompt's prefix"), ContainSubstring("tier paid"), ContainSubstring("waited")))
		})

		// Guards against a cancel after which the work continues.
		It("cancels it at the entry VM and at the endpoint process", func() {
			Expect(query(second, "cancel request "+running).Code).To(BeEmpty())
			expectEnded(running)
			Expect(explain(running)).To(ContainSubstring("canceled by an operator"))
			// The engine's only slot is free again, so the queued request runs.
			Eventually(func() string { return explain(queued) }).WithTimeout(limit).Should(ContainSubstring("running at the endpoint process"))
			Expect(query(second, "cancel request "+queued).Code).To(BeEmpty())
			expectEnded(queued)
			Eventually(func() int { return len(query(second, "show engines where running = 0 and waiting = 0").Rows) }).WithTimeout(limit).Should(Equal(1))
			Expect(query(second, "cancel request "+queued).Code).To(Equal("notFound"))
		})

		// Guards against one silent entry VM that hides the requests of the others.
		It("names an entry VM that does not answer and shows the rest", func() {
			Expect(second.Pause()).To(Succeed())
			DeferCleanup(func() { Expect(second.Signal(syscall.SIGCONT)).To(Succeed()) })
			output := query(first, "show requests")
			Expect(output.Rows).To(HaveLen(2))
			Expect(output.Warnings).To(ConsistOf(ContainSubstring("entry VM entry2 did not answer")))
		})
	})

	// Guards against a change that is lost or applied twice when the control VM is
	// down, and against a node list that omits the control VM.
	It("reports a control VM that is down", func() {
		Expect(control.Stop()).To(Succeed())
		code, out := hibctl("", "--address", first.Address, "--id", "late", "--timeout", "1s", "--rounds", "1", "alter customer clinic weight 9")
		Expect(code).To(Equal(3), out)
		Expect(out).To(ContainSubstring("--id late"))
		output := query(first, "show nodes where role = control")
		Expect(output.Rows).To(ConsistOf(HaveKeyWithValue("state", "silent")))
		Expect(output.Warnings).To(ConsistOf(ContainSubstring(control.Address)))
	})
})
