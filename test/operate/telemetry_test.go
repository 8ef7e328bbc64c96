package operate_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

const (
	callerTrace = "0af7651916cd43dd8448eb211c80319c"
	callerSpan  = "b7ad6b7169203331"
)

// exportedSpan holds the fields of a span in a trace file that the test checks.
type exportedSpan struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

func get(url string) string {
	response, err := http.Get(url)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// spans returns the name of the parent of each span in the files, by span name.
func spans(files ...string) map[string]string {
	names, parents := map[string]string{callerSpan: "caller"}, map[string]string{}
	var all []exportedSpan
	for _, file := range files {
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		for decoder := json.NewDecoder(strings.NewReader(string(text))); decoder.More(); {
			var span exportedSpan
			Expect(decoder.Decode(&span)).To(Succeed())
			Expect(span.SpanContext.TraceID).To(Equal(callerTrace))
			names[span.SpanContext.SpanID] = span.Name
			all = append(all, span)
		}
	}
	for _, span := range all {
		parents[span.Name] = names[span.Parent.SpanID]
	}
	return parents
}

// Guards against hops without a span or with the wrong parent, and against
// metrics that are not updated.
var _ = It("a traced request has a span for each hop and is counted", func() {
	folder := GinkgoT().TempDir()
	file := func(name string) string { return filepath.Join(folder, name) }
	freeAddress := func() string {
		listen, err := procs.FreeAddress()
		Expect(err).NotTo(HaveOccurred())
		return listen
	}
	telemetryArguments := func(name string) ([]string, string) {
		metrics := freeAddress()
		return []string{"--trace-file", file(name), "--trace-ratio", "1", "--metrics-listen", metrics, "--shutdown-limit", "1s"}, "http://" + metrics
	}
	model := start("model", "hibfake")
	controlExtra, controlMetrics := telemetryArguments("control1")
	control := start("control1", "hibiscuslug", append([]string{"control", "--name", "control1", "--zone", "zone1", "--data", file("data")}, controlExtra...)...)
	entryExtra, entryMetrics := telemetryArguments("entry1")
	entry, err := procs.Start("entry1", "hibiscuslug", append([]string{"entry", "--name", "entry1", "--zone", "zone1",
		"--http-listen", "127.0.0.1:0", "--control", control.Address}, entryExtra...)...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(entry.Stop)
	endpointExtra, endpointMetrics := telemetryArguments("endpoint1")
	endpoint, err := procs.Start("endpoint1", "hibiscuslug", append([]string{"endpoint", "--name", "endpoint1", "--zone", "zone1",
		"--entry", entry.Address, "--engine", "model,engine1," + model.Address + ",guide-1"}, endpointExtra...)...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(endpoint.Stop)
	code, out := hibctl("", "--address", entry.Address, "create customer clinic tier paid token s3cret")
	Expect(code).To(BeZero(), out)
	for _, metrics := range []string{controlMetrics, entryMetrics, endpointMetrics} {
		Expect(get(metrics + "/debug/revision?after=0")).To(Equal("1"))
	}
	Eventually(func() int { return len(query(entry, "show endpoints").Rows) }).WithTimeout(limit).Should(Equal(1))

	request, err := http.NewRequest(http.MethodPost, entry.HTTP+"/v1/completions", strings.NewReader(`{"model":"guide-1","prompt":"x","max_tokens":3}`))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer s3cret")
	request.Header.Set("Traceparent", fmt.Sprintf("00-%s-%s-01", callerTrace, callerSpan))
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))

	var vars map[string]any
	Eventually(func() any {
		Expect(json.Unmarshal([]byte(get(entryMetrics+"/debug/vars")), &vars)).To(Succeed())
		return vars["requests"]
	}).WithTimeout(limit).Should(HaveKeyWithValue("paid.ok", 1.0))
	Expect(vars).To(And(HaveKeyWithValue("inFlight", 0.0), HaveKeyWithValue("revision", 1.0), HaveKeyWithValue("attempts", HaveKeyWithValue("ok", 1.0))))
	Expect(vars["members"]).To(HaveKeyWithValue("endpoint", 1.0))
	Expect(vars["controlBytesIn"]).To(BeNumerically(">", 0))
	Expect(get(endpointMetrics + "/")).To(ContainSubstring(`queueLength {"engine1":0} attempts`))
	Expect(endpoint.Stop()).To(Succeed())
	Expect(entry.Stop()).To(Succeed())
	Expect(spans(file("entry1"), file("endpoint1"))).To(Equal(map[string]string{
		"request": "caller", "wait": "request", "attempt": "request", "queue": "attempt", "run": "attempt", "engine": "run",
	}))
})
