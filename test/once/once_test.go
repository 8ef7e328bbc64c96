// Package once_test kills and pauses real processes at each step of a booking and
// compares the responses to callers with the counts of the order desk.
package once_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/procs"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Once")
}

const (
	limit = 30 * time.Second
	kit   = "kit"
)

// step is one action of a script. As names a booking, to which later steps refer.
type step struct {
	Do      string `json:"do"`
	What    string `json:"what"`
	Through string `json:"through"`
	As      string `json:"as"`
	Body    string `json:"body"`
	Callers int    `json:"callers"`
	Count   int    `json:"count"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
}

// script is a list of steps and the expected number of bookings at the desk.
type script struct {
	Name         string `json:"name"`
	RequestLimit string `json:"requestLimit"`
	Booked       int    `json:"booked"`
	Steps        []step `json:"steps"`
}

// response is the result of a request at its caller.
type response struct {
	err     error
	status  int
	outcome string
	body    string
}

// deployment is one control VM, two entry VMs and an endpoint process with a fake
// order desk. The desk runs in the test, so that the test can block a booking.
type deployment struct {
	script script
	desk   *fake.Desk
	// hold blocks bookings at the desk until it is closed.
	hold      chan struct{}
	processes map[string]*procs.Process
	// responses and callers hold the channel for the responses and the number of
	// callers of each booking.
	responses map[string]chan response
	callers   map[string]int
	data      string
}

// Guards against a second booking for a key, and against the outcome notRun for a
// booking that ran.
var _ = Describe("a booking", func() {
	text, err := os.ReadFile("testdata/steps.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			deployment := newDeployment(script)
			for _, step := range script.Steps {
				By(step.Do + " " + step.What + step.Through + " " + step.As)
				deployment.runStep(step)
			}
			Expect(deployment.desk.Booked()[kit]).To(Equal(script.Booked))
			Expect(deployment.desk.Booked()).NotTo(HaveKey("another kit"))
		})
	}
})

func newDeployment(script script) *deployment {
	desk, err := fake.NewDesk("127.0.0.1:0", 0)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(desk.Close)
	deployment := &deployment{
		script: script, desk: desk, processes: map[string]*procs.Process{}, responses: map[string]chan response{},
		callers: map[string]int{}, data: GinkgoT().TempDir(),
	}
	DeferCleanup(deployment.close)
	for _, name := range []string{"control1", "entry1", "entry2", "endpoint1"} {
		deployment.start(name)
	}
	for _, command := range []string{"create customer clinic tier paid token paidtoken", "create rule booking path /services/desk/book kind order repeat never"} {
		out, err := exec.Command(procs.Binary("hibctl"), append([]string{"--address", deployment.processes["control1"].Address}, strings.Fields(command)...)...).CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	}
	deployment.waitServing("entry1")
	deployment.waitServing("entry2")
	return deployment
}

// start starts a process. An entry VM that ran before is restarted at the same
// address.
func (deployment *deployment) start(name string) {
	common := []string{"--name", name, "--zone", "zone1"}
	var arguments []string
	switch strings.TrimRight(name, "12") {
	case "control":
		arguments = append([]string{"control", "--data", deployment.data, "--election-timeout", "100ms"}, common...)
	case "entry":
		arguments = append([]string{"entry", "--http-listen", "127.0.0.1:0", "--control", deployment.processes["control1"].Address, "--request-limit", orDefault(deployment.script.RequestLimit, "25s")}, common...)
		if previous, ok := deployment.processes[name]; ok {
			arguments = append(arguments, "--listen", previous.Address)
		}
	default:
		arguments = append([]string{
			"endpoint", "--entry", deployment.processes["entry1"].Address, "--entry", deployment.processes["entry2"].Address,
			"--engine", "order,desk1," + deployment.desk.URL() + ",desk",
		}, common...)
	}
	process, err := procs.Start(name, "hibiscuslug", arguments...)
	Expect(err).NotTo(HaveOccurred())
	deployment.processes[name] = process
	if name == "entry1" && len(arguments) > 0 && deployment.processes["endpoint1"] != nil {
		deployment.waitServing(name)
	}
}

func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

func (deployment *deployment) close() {
	for name, process := range deployment.processes {
		// The script may have killed the process already.
		_ = process.Kill()
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Println(name + ":\n" + process.Log())
		}
	}
}

// waitServing waits until an entry VM has the configuration and lists the endpoint.
func (deployment *deployment) waitServing(name string) {
	Eventually(func() int { return deployment.send(name, "warm", "warm").status }).WithTimeout(limit).Should(Equal(http.StatusOK))
}

func (deployment *deployment) send(through, key, body string) response {
	request, err := http.NewRequest(http.MethodPost, deployment.processes[through].HTTP+"/services/desk/book", strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	request.Close = true
	request.Header.Set("Authorization", "Bearer paidtoken")
	request.Header.Set("Idempotency-Key", key)
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = reply.Body.Close() }()
	text, err := io.ReadAll(reply.Body)
	return response{err: err, status: reply.StatusCode, outcome: reply.Header.Get("X-Outcome"), body: string(text)}
}

func (deployment *deployment) runStep(step step) {
	switch step.Do {
	case "book":
		deployment.book(step)
	case "answer", "broken":
		deployment.check(step)
	case "stop":
		Expect(deployment.processes[step.What].Signal(syscall.SIGSTOP)).To(Succeed())
		// On a busy machine a process may run on for a while after the signal.
		Eventually(func() error { return deployment.probe(step.What) }).WithTimeout(limit).ShouldNot(Succeed())
	case "resume":
		Expect(deployment.processes[step.What].Signal(syscall.SIGCONT)).To(Succeed())
	case "kill":
		Expect(deployment.processes[step.What].Kill()).To(Succeed())
	case "start":
		deployment.start(step.What)
	case "hold":
		deployment.hold = make(chan struct{})
		deployment.desk.Hold(deployment.hold)
	case "release":
		close(deployment.hold)
	case "booked":
		Eventually(func() int { return deployment.desk.Booked()[kit] }).WithTimeout(limit).Should(Equal(step.Count))
	case "served":
		Eventually(func() int { return deployment.desk.Served()[kit] }).WithTimeout(limit).Should(Equal(1))
	case "settling":
		Eventually(deployment.processes["entry1"].Log).WithTimeout(limit).Should(ContainSubstring("event=210"))
	case "claimed":
		Eventually(deployment.claimState).WithTimeout(limit).ShouldNot(Equal(wire.ClaimState_CLAIM_STATE_UNSPECIFIED))
	case "recorded":
		// Until the result is recorded, a resent booking whose endpoint process is
		// gone correctly gets the outcome unknown.
		Eventually(deployment.claimState).WithTimeout(limit).Should(Equal(wire.ClaimState_CLAIM_STATE_DONE))
	default:
		Fail("unknown step " + step.Do)
	}
}

func (deployment *deployment) book(step step) {
	count := max(step.Callers, 1)
	responses := make(chan response, count)
	deployment.responses[step.As], deployment.callers[step.As] = responses, count
	for range count {
		go func() { responses <- deployment.send(step.Through, "k", orDefault(step.Body, kit)) }()
	}
}

func (deployment *deployment) check(step step) {
	for range deployment.callers[step.As] {
		var result response
		Eventually(deployment.responses[step.As]).WithTimeout(2 * limit).Should(Receive(&result))
		if step.Do == "broken" {
			Expect(result.err).To(HaveOccurred())
			continue
		}
		Expect(result.err).NotTo(HaveOccurred())
		Expect(result.status).To(Equal(step.Status), result.body)
		Expect(result.outcome).To(Equal(step.Outcome), result.body)
		if step.Status == http.StatusOK {
			Expect(result.body).To(ContainSubstring(`"count":1`))
		}
	}
}

// probe sends a process a request that it answers immediately.
func (deployment *deployment) probe(name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := link.NewPool().Fresh(ctx, deployment.processes[name].Address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if strings.HasPrefix(name, "control") {
		_, err = wire.NewDRPCClaimsClient(conn).Apply(ctx, &wire.ClaimOp{Customer: "none", Key: "none", Lookup: true})
		return err
	}
	_, err = wire.NewDRPCRelayClient(conn).Ask(ctx, &wire.AskRequest{RequestId: "none"})
	return err
}

// claimState returns the state of the key's claim at the control VM.
func (deployment *deployment) claimState() wire.ClaimState {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := link.NewPool().Fresh(ctx, deployment.processes["control1"].Address)
	if err != nil {
		return wire.ClaimState_CLAIM_STATE_UNSPECIFIED
	}
	defer func() { _ = conn.Close() }()
	hash := sha256.Sum256([]byte("POST\x00/services/desk/book\x00" + kit))
	reply, err := wire.NewDRPCClaimsClient(conn).Apply(ctx, &wire.ClaimOp{Customer: "clinic", Key: "k", BodyHash: hash[:], Lookup: true})
	if err != nil {
		return wire.ClaimState_CLAIM_STATE_UNSPECIFIED
	}
	return reply.GetState()
}
