package fake_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
)

func TestFake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fake")
}

const limit = 20 * time.Second

func send(method, address, id string, priority int, body string) string {
	request, err := http.NewRequest(method, address, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Priority", fmt.Sprint(priority))
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

func load(model *fake.Model, id string) func() fake.Load {
	return func() fake.Load {
		var report fake.Load
		Expect(json.Unmarshal([]byte(send("GET", model.URL()+"/engine/load?id="+id, "", 0, "")), &report)).To(Succeed())
		return report
	}
}

// Guards against a fake engine that runs more requests than it has slots, or
// starts waiting requests in another order than by priority.
var _ = It("limits concurrent requests, schedules them by priority and reassigns the slot of a paused one", func() {
	model, err := fake.NewModel(fake.ModelSettings{Listen: "127.0.0.1:0", Interval: 10 * time.Millisecond, Slots: 1})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(model.Close)
	ended := make(chan string, 3)
	start := func(id string, priority, tokens int) {
		body := fmt.Sprintf(`{"max_tokens":%d,"stream":true}`, tokens)
		go func() {
			defer GinkgoRecover()
			text := send("POST", model.URL()+"/v1/completions", id, priority, body)
			for n := range tokens {
				Expect(text).To(ContainSubstring(fake.Token([]byte(body), n)))
			}
			ended <- id
		}()
		Eventually(load(model, id)).WithTimeout(limit).ShouldNot(HaveField("Request.State", "gone"))
	}
	start("long", 0, 200)
	start("low", 0, 3)
	start("high", 5, 3)
	Expect(load(model, "high")()).To(And(HaveField("Running", 1), HaveField("Waiting", 2), HaveField("Request.State", "waiting")))
	send("POST", model.URL()+"/engine/pause?id=long", "", 0, "")
	Eventually(ended).WithTimeout(limit).Should(Receive(Equal("high")))
	Eventually(ended).WithTimeout(limit).Should(Receive(Equal("low")))
	Expect(load(model, "long")()).To(And(HaveField("Paused", 1), HaveField("Request.State", "paused")))
	send("POST", model.URL()+"/engine/resume?id=long", "", 0, "")
	Eventually(ended).WithTimeout(limit).Should(Receive(Equal("long")))
	Expect(model.Runs()).To(Equal(map[string]int{"long": 1, "low": 1, "high": 1}))
})
