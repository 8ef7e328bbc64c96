package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// maxLatency is the upper bound of the histograms, in microseconds.
	maxLatency        = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// workload is one kind of traffic.
type workload struct {
	name string
	// interval is the mean time between requests.
	interval clock.Millis
	token    string
	path     string
	// tokens is the maximum length of a completion; 0 means the request is no
	// completion.
	tokens int
}

var workloads = []workload{
	{name: "paid completions", interval: 12, token: "agency-token", path: "/v1/completions", tokens: 40},
	{name: "free completions", interval: 8, token: "walkin-token", path: "/v1/completions", tokens: 60},
	{name: "bookings", interval: 40, token: "agency-token", path: "/services/desk/book"},
	{name: "stock look-ups", interval: 25, token: "agency-token", path: "/services/stock/rail"},
}

// workloadStats holds the results of a workload as its callers saw them.
type workloadStats struct {
	sent, wrong      int
	outcomes         map[string]int
	firstByte, total *hdrhistogram.Histogram
}

// load sends requests of every workload to all entry VMs.
type load struct {
	bases  []string
	seed   uint64
	client *http.Client

	// mu guards results.
	mu      sync.Mutex
	results []workloadStats
}

func newLoad(bases []string, seed uint64) *load {
	load := &load{bases: bases, seed: seed, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
	for range workloads {
		load.results = append(load.results, workloadStats{
			outcomes:  map[string]int{},
			firstByte: hdrhistogram.New(1, maxLatency, significantDigits), total: hdrhistogram.New(1, maxLatency, significantDigits),
		})
	}
	return load
}

// run sends requests until the context ends and waits for the last responses.
func (load *load) run(ctx context.Context) {
	var sending conc.WaitGroup
	for at := range workloads {
		sending.Go(func() { load.send(ctx, at) })
	}
	sending.Wait()
	load.client.CloseIdleConnections()
}

// send starts requests at random intervals, whether or not earlier ones have ended.
func (load *load) send(ctx context.Context, at int) {
	random := rand.New(rand.NewPCG(load.seed, uint64(at)))
	ticker := clock.NewSystem()
	var pending conc.WaitGroup
	defer pending.Wait()
	for number := 0; ; number++ {
		pause := clock.Millis(random.ExpFloat64() * float64(workloads[at].interval))
		if err := ticker.Sleep(ctx, pause); err != nil {
			return
		}
		base, tokens := load.bases[random.IntN(len(load.bases))], 1+random.IntN(max(workloads[at].tokens, 1))
		pending.Go(func() { load.sendOne(at, number, base, tokens) })
	}
}

// sendOne sends one request and checks that the response is complete and belongs
// to the request.
func (load *load) sendOne(at, number int, base string, tokens int) {
	workload := workloads[at]
	body := fmt.Appendf(nil, "kit %d-%d", at, number)
	if workload.tokens > 0 {
		body = fmt.Appendf(nil, `{"model":%q,"prompt":"rail cut list %d-%d","max_tokens":%d,"stream":true}`, modelName, at, number, tokens)
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, base+workload.path, bytes.NewReader(body))
	if err != nil {
		load.record(at, "no answer", 0, 0, false)
		return
	}
	request.Header.Set("Authorization", "Bearer "+workload.token)
	request.Header.Set("Idempotency-Key", fmt.Sprintf("demo-%d-%d", at, number))
	start := time.Now()
	response, err := load.client.Do(request)
	if err != nil {
		load.record(at, "no answer", 0, 0, false)
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, firstByte := read(response.Body, start)
	outcome := response.Header.Get("X-Outcome")
	if outcome == "" {
		outcome = "ok"
	}
	load.record(at, outcome, firstByte, time.Since(start), outcome == "ok" && !complete(workload, body, text, tokens))
}

// read returns a body and the time from the start until its first byte.
func read(body io.Reader, start time.Time) ([]byte, time.Duration) {
	var text bytes.Buffer
	buffer := make([]byte, 4096)
	var firstByte time.Duration
	for {
		count, err := body.Read(buffer)
		if count > 0 && firstByte == 0 {
			firstByte = time.Since(start)
		}
		text.Write(buffer[:count])
		if err != nil {
			return text.Bytes(), firstByte
		}
	}
}

// complete reports whether a response has every token of its request and the
// closing event or, for other work, repeats the request with a count of 1.
func complete(workload workload, body, text []byte, tokens int) bool {
	if workload.tokens == 0 {
		return bytes.Contains(text, body) && bytes.Contains(text, []byte(`"count":1`))
	}
	for n := range tokens {
		if !bytes.Contains(text, []byte(fake.Token(body, n))) {
			return false
		}
	}
	return bytes.Contains(text, []byte("data: [DONE]"))
}

func (load *load) record(at int, outcome string, firstByte, total time.Duration, wrong bool) {
	load.mu.Lock()
	defer load.mu.Unlock()
	result := &load.results[at]
	result.sent++
	result.outcomes[outcome]++
	if wrong {
		result.wrong++
	}
	if outcome == "ok" {
		// This cannot fail: min limits the values to the range of the histogram.
		_ = result.firstByte.RecordValue(min(firstByte.Microseconds(), maxLatency))
		_ = result.total.RecordValue(min(total.Microseconds(), maxLatency))
	}
}

func (load *load) print(out io.Writer) error {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(writer, "\tsent\tok\tnotRun\tunknown\tfailed\tno answer\twrong\tfirst p50\tfirst p99\tall p50\tall p99\t")
	for at, workload := range workloads {
		result := load.results[at]
		fmt.Fprintf(writer, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n", workload.name, result.sent, result.outcomes["ok"],
			result.outcomes["notRun"], result.outcomes["unknown"], result.outcomes["failed"], result.outcomes["no answer"], result.wrong,
			quantile(result.firstByte, 50), quantile(result.firstByte, 99), quantile(result.total, 50), quantile(result.total, 99))
	}
	return writer.Flush()
}

func quantile(values *hdrhistogram.Histogram, percent float64) string {
	return fmt.Sprintf("%.1f ms", float64(values.ValueAtQuantile(percent))/1000)
}

// check returns an error if a caller got a wrong response or none, or if a
// workload had no successful request.
func (load *load) check() error {
	for at, workload := range workloads {
		result := load.results[at]
		if result.wrong > 0 || result.outcomes["no answer"] > 0 || result.outcomes["ok"] == 0 {
			return errors.Newf("%s: %d wrong answers, %d without an answer, %d ok of %d",
				workload.name, result.wrong, result.outcomes["no answer"], result.outcomes["ok"], result.sent)
		}
	}
	return nil
}
