// Package once_test kills and stops real processes at each step of a booking
// and compares what callers heard with the order desk's own counts.
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

type script struct {
	Name         string `json:"name"`
	RequestLimit string `json:"requestLimit"`
	Booked       int    `json:"booked"`
	Steps        []step `json:"steps"`
}

// heard is what one caller saw.
type heard struct {
	err     error
	status  int
	outcome string
	body    string
}

// fleet is one control VM, two entry VMs and an endpoint process before a
// desk that lives in the test, so that the test can hold a booking.
type fleet struct {
	script    script
	desk      *fake.Desk
	gate      chan struct{}
	processes map[string]*procs.Process
	waiting   map[string]chan heard
	callers   map[string]int
	data      string
}

// Guards against a second booking for a key, and against notRun for one that ran.
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
			fleet := newFleet(script)
			for _, step := range script.Steps {
				By(step.Do + " " + step.What + step.Through + " " + step.As)
				fleet.take(step)
			}
			Expect(fleet.desk.Booked()[kit]).To(Equal(script.Booked))
			Expect(fleet.desk.Booked()).NotTo(HaveKey("another kit"))
		})
	}
})

func newFleet(script script) *fleet {
	desk, err := fake.NewDesk("127.0.0.1:0", 0)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(desk.Close)
	fleet := &fleet{
		script: script, desk: desk, processes: map[string]*procs.Process{}, waiting: map[string]chan heard{},
		callers: map[string]int{}, data: GinkgoT().TempDir(),
	}
	DeferCleanup(fleet.end)
	for _, name := range []string{"control1", "entry1", "entry2", "endpoint1"} {
		fleet.start(name)
	}
	for _, command := range []string{"create customer clinic tier paid token paidtoken", "create rule booking path /services/desk/book kind order repeat never"} {
		out, err := exec.Command(procs.Binary("hibctl"), append([]string{"--address", fleet.processes["control1"].Address}, strings.Fields(command)...)...).CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	}
	fleet.warm("entry1")
	fleet.warm("entry2")
	return fleet
}

// start runs a process, at its former address when it is an entry VM that ran before.
func (fleet *fleet) start(name string) {
	common := []string{"--name", name, "--zone", "zone1"}
	var arguments []string
	switch strings.TrimRight(name, "12") {
	case "control":
		arguments = append([]string{"control", "--data", fleet.data, "--election-timeout", "100ms"}, common...)
	case "entry":
		arguments = append([]string{"entry", "--http-listen", "127.0.0.1:0", "--control", fleet.processes["control1"].Address, "--request-limit", or(fleet.script.RequestLimit, "25s")}, common...)
		if former, ok := fleet.processes[name]; ok {
			arguments = append(arguments, "--listen", former.Address)
		}
	default:
		arguments = append([]string{
			"endpoint", "--entry", fleet.processes["entry1"].Address, "--entry", fleet.processes["entry2"].Address,
			"--engine", "order,desk1," + fleet.desk.URL() + ",desk",
		}, common...)
	}
	process, err := procs.Start(name, "hibiscuslug", arguments...)
	Expect(err).NotTo(HaveOccurred())
	fleet.processes[name] = process
	if name == "entry1" && len(arguments) > 0 && fleet.processes["endpoint1"] != nil {
		fleet.warm(name)
	}
}

func or(text, standard string) string {
	if text == "" {
		return standard
	}
	return text
}

func (fleet *fleet) end() {
	for name, process := range fleet.processes {
		// A process that the script killed has ended already.
		_ = process.Kill()
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Println(name + ":\n" + process.Log())
		}
	}
}

// warm waits until an entry VM has the configuration and the endpoint.
func (fleet *fleet) warm(name string) {
	Eventually(func() int { return fleet.send(name, "warm", "warm").status }).WithTimeout(limit).Should(Equal(http.StatusOK))
}

func (fleet *fleet) send(through, key, body string) heard {
	request, err := http.NewRequest(http.MethodPost, fleet.processes[through].HTTP+"/services/desk/book", strings.NewReader(body))
	if err != nil {
		return heard{err: err}
	}
	request.Close = true
	request.Header.Set("Authorization", "Bearer paidtoken")
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return heard{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return heard{err: err, status: response.StatusCode, outcome: response.Header.Get("X-Outcome"), body: string(text)}
}

func (fleet *fleet) take(step step) {
	switch step.Do {
	case "book":
		fleet.book(step)
	case "answer", "broken":
		fleet.check(step)
	case "stop":
		Expect(fleet.processes[step.What].Signal(syscall.SIGSTOP)).To(Succeed())
	case "resume":
		Expect(fleet.processes[step.What].Signal(syscall.SIGCONT)).To(Succeed())
	case "kill":
		Expect(fleet.processes[step.What].Kill()).To(Succeed())
	case "start":
		fleet.start(step.What)
	case "hold":
		fleet.gate = make(chan struct{})
		fleet.desk.Hold(fleet.gate)
	case "release":
		close(fleet.gate)
	case "booked":
		Eventually(func() int { return fleet.desk.Booked()[kit] }).WithTimeout(limit).Should(Equal(step.Count))
	case "served":
		Eventually(func() int { return fleet.desk.Served()[kit] }).WithTimeout(limit).Should(Equal(1))
	case "settling":
		Eventually(fleet.processes["entry1"].Log).WithTimeout(limit).Should(ContainSubstring("event=210"))
	case "claimed":
		Eventually(fleet.claim).WithTimeout(limit).ShouldNot(Equal(wire.ClaimState_CLAIM_STATE_UNSPECIFIED))
	case "recorded":
		// Until then a resend finds the endpoint process gone and rightly hears unknown.
		Eventually(fleet.claim).WithTimeout(limit).Should(Equal(wire.ClaimState_CLAIM_STATE_DONE))
	default:
		Fail("no step " + step.Do)
	}
}

func (fleet *fleet) book(step step) {
	count := max(step.Callers, 1)
	results := make(chan heard, count)
	fleet.waiting[step.As], fleet.callers[step.As] = results, count
	for range count {
		go func() { results <- fleet.send(step.Through, "k", or(step.Body, kit)) }()
	}
}

func (fleet *fleet) check(step step) {
	for range fleet.callers[step.As] {
		var caller heard
		Eventually(fleet.waiting[step.As]).WithTimeout(2 * limit).Should(Receive(&caller))
		if step.Do == "broken" {
			Expect(caller.err).To(HaveOccurred())
			continue
		}
		Expect(caller.err).NotTo(HaveOccurred())
		Expect(caller.status).To(Equal(step.Status), caller.body)
		Expect(caller.outcome).To(Equal(step.Outcome), caller.body)
		if step.Status == http.StatusOK {
			Expect(caller.body).To(ContainSubstring(`"count":1`))
		}
	}
}

// claim returns where the key's claim stands at the control VM.
func (fleet *fleet) claim() wire.ClaimState {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := link.NewPool().Fresh(ctx, fleet.processes["control1"].Address)
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
