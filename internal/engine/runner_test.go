package engine_test

import (
	"context"
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/engine"
	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Engine")
}

// script is the answer of an engine and what the attempt's reader gets.
type script struct {
	Name string `json:"name"`
	fake.Step
	// Send is the size of the request's body, in bytes; Repeat is how often it is sent.
	Send   int `json:"send"`
	Repeat int `json:"repeat"`
	// Outcome is that of the attempt; Status and Body are what is passed on, checked if set.
	Outcome string `json:"outcome"`
	Status  int    `json:"status"`
	Body    string `json:"body"`
}

// answer keeps what an engine's answer is passed on as.
type answer struct {
	status int
	body   string
}

func (answer *answer) Head(status int, _ string, _ []*wire.Header) { answer.status = status }

func (answer *answer) Data(events [][]byte) error {
	for _, event := range events {
		answer.body += string(event)
	}
	return nil
}

// Guards against bytes of a faulty engine that an endpoint process passes on as an answer,
// or frames in another way than a gateway does.
var _ = Describe("the answer of an engine", func() {
	text, err := os.ReadFile("testdata/answers.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It("is read: "+script.Name, func() {
			backend, err := fake.NewBackend("X-Request-Id", []fake.Step{script.Step}, 1)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(backend.Close)
			runner := engine.NewRunner(clock.NewSystem())
			DeferCleanup(runner.Close)
			target := engine.Plain{Name: "e1", URL: "http://" + backend.Addresses()[0], Service: "s"}
			for range max(script.Repeat, 1) {
				got := &answer{}
				result := runner.Run(context.Background(), target, &wire.Attempt{
					RequestId: "r1", Attempt: 1, Method: "POST", Path: "/services/s/a%20b//c?q=1", Body: make([]byte, script.Send), Idempotent: true,
				}, got)
				Expect(result.Outcome.String()).To(Equal("OUTCOME_"+script.Outcome), "%v", result.Err)
				if script.Repeat > 0 {
					continue
				}
				Expect(got.status).To(Equal(script.Status))
				Expect(got.body).To(Equal(script.Body))
			}
			Expect(backend.Requests()[0].Target).To(Equal("/a%20b//c?q=1"))
		})
	}

	// Guards against a path that adds lines to the request.
	It("is not asked for by a path with a line end", func() {
		runner := engine.NewRunner(clock.NewSystem())
		DeferCleanup(runner.Close)
		result := runner.Run(context.Background(), engine.Plain{Name: "e1", URL: "http://127.0.0.1:1", Service: "s"}, &wire.Attempt{
			RequestId: "r1", Attempt: 1, Method: "GET", Path: "/services/s/a\r\nX: 1",
		}, &answer{})
		Expect(result.Outcome).To(Equal(wire.Outcome_OUTCOME_NOT_RUN))
	})
})
