package gate_test

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
)

// keptScript is a series of requests to one endpoint, which keeps its connections.
type keptScript struct {
	Name   string `json:"name"`
	Guards string `json:"guards"`
	// Group is set when the endpoint is a rank of a group.
	Group bool        `json:"group"`
	Steps []fake.Step `json:"steps"`
	Sends []struct {
		ID       string `json:"id"`
		Path     string `json:"path"`
		Patience int    `json:"patience"`
		// Pause is the time before the request, in milliseconds.
		Pause  int    `json:"pause"`
		Status int    `json:"status"`
		Body   string `json:"body"`
	} `json:"sends"`
	// Received is the number of requests that the endpoint gets.
	Received int `json:"received"`
}

func (script keptScript) run() {
	site := newSite()
	backend := site.startBackend(script.Steps, 1)
	if script.Group {
		Expect(site.control.Heard(context.Background(), roster.Record{
			ID: "e0", Service: "desk", Address: backend.Addresses()[0], Born: 1, Sequence: 2, Slots: 6, ReceivedAt: site.control.Now(),
			Group: roster.Group{Name: "g", Epoch: 1, Size: 2},
		})).To(Succeed())
		Eventually(func() string { return site.gateway.Endpoints("desk")[0].Group.Name }).WithTimeout(limit).Should(Equal("g"))
	}
	for at, send := range script.Sends {
		time.Sleep(time.Duration(send.Pause) * time.Millisecond)
		asked := request(keptRequest(send.Path, send.Patience))
		asked.Header.Set(idHeader, send.ID)
		response, body, err := site.send(asked) //nolint:bodyclose // send closes it.
		Expect(err).NotTo(HaveOccurred(), "request %d", at)
		Expect(response.StatusCode).To(Equal(send.Status), "request %d", at)
		if send.Status == http.StatusOK {
			Expect(string(body)).To(Equal(send.Body), "request %d", at)
		}
	}
	Expect(backend.Requests()).To(HaveLen(script.Received))
}

func keptRequest(path string, patience int) script {
	return script{Method: "POST", Path: path, Send: "p", Patience: patience}
}

var _ = Describe("an endpoint that writes an earlier refusal once more on a kept connection", func() {
	text, err := os.ReadFile("testdata/kept.json")
	if err != nil {
		panic(err)
	}
	var scripts []keptScript
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, script.run)
	}
})
