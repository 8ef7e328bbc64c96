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
	// slowest bounds the histograms, in microseconds.
	slowest = int64(time.Minute / time.Microsecond)
	digits  = 3
)

// stream is one kind of traffic.
type stream struct {
	name string
	// every is the mean time between requests.
	every clock.Millis
	token string
	path  string
	// tokens bounds the length of a completion; 0 is for other work.
	tokens int
}

var streams = []stream{
	{name: "paid completions", every: 12, token: "agency-token", path: "/v1/completions", tokens: 40},
	{name: "free completions", every: 8, token: "walkin-token", path: "/v1/completions", tokens: 60},
	{name: "bookings", every: 40, token: "agency-token", path: "/services/desk/book"},
	{name: "stock look-ups", every: 25, token: "agency-token", path: "/services/stock/rail"},
}

// measured is what the callers of a stream saw.
type measured struct {
	sent, wrong int
	outcomes    map[string]int
	first, all  *hdrhistogram.Histogram
}

// load sends requests of every stream to all entry VMs.
type load struct {
	bases  []string
	seed   uint64
	client *http.Client

	// mu guards results.
	mu      sync.Mutex
	results []measured
}

func newLoad(bases []string, seed uint64) *load {
	load := &load{bases: bases, seed: seed, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
	for range streams {
		load.results = append(load.results, measured{
			outcomes: map[string]int{},
			first:    hdrhistogram.New(1, slowest, digits), all: hdrhistogram.New(1, slowest, digits),
		})
	}
	return load
}

// run sends until the context ends and waits for the last answers.
func (load *load) run(ctx context.Context) {
	var sending conc.WaitGroup
	for at := range streams {
		sending.Go(func() { load.send(ctx, at) })
	}
	sending.Wait()
	load.client.CloseIdleConnections()
}

// send starts requests at random intervals, whether or not earlier ones have ended.
func (load *load) send(ctx context.Context, at int) {
	random := rand.New(rand.NewPCG(load.seed, uint64(at)))
	ticker := clock.NewSystem()
	var open conc.WaitGroup
	defer open.Wait()
	for number := 0; ; number++ {
		pause := clock.Millis(random.ExpFloat64() * float64(streams[at].every))
		if err := ticker.Sleep(ctx, pause); err != nil {
			return
		}
		base, tokens := load.bases[random.IntN(len(load.bases))], 1+random.IntN(max(streams[at].tokens, 1))
		open.Go(func() { load.one(at, number, base, tokens) })
	}
}

// one sends a request and checks that its answer is whole and its own.
func (load *load) one(at, number int, base string, tokens int) {
	kind := streams[at]
	body := fmt.Appendf(nil, "kit %d-%d", at, number)
	if kind.tokens > 0 {
		body = fmt.Appendf(nil, `{"model":%q,"prompt":"rail cut list %d-%d","max_tokens":%d,"stream":true}`, modelName, at, number, tokens)
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, base+kind.path, bytes.NewReader(body))
	if err != nil {
		load.record(at, "no answer", 0, 0, false)
		return
	}
	request.Header.Set("Authorization", "Bearer "+kind.token)
	request.Header.Set("Idempotency-Key", fmt.Sprintf("demo-%d-%d", at, number))
	began := time.Now()
	response, err := load.client.Do(request)
	if err != nil {
		load.record(at, "no answer", 0, 0, false)
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, first := read(response.Body, began)
	outcome := response.Header.Get("X-Outcome")
	if outcome == "" {
		outcome = "ok"
	}
	load.record(at, outcome, first, time.Since(began), outcome == "ok" && !whole(kind, body, text, tokens))
}

// read returns a body and the time to its first byte.
func read(body io.Reader, began time.Time) ([]byte, time.Duration) {
	var text bytes.Buffer
	piece := make([]byte, 4096)
	var first time.Duration
	for {
		count, err := body.Read(piece)
		if count > 0 && first == 0 {
			first = time.Since(began)
		}
		text.Write(piece[:count])
		if err != nil {
			return text.Bytes(), first
		}
	}
}

// whole tells whether an answer has every token of its own request, or the
// booking's first count.
func whole(kind stream, body, text []byte, tokens int) bool {
	if kind.tokens == 0 {
		return bytes.Contains(text, body) && bytes.Contains(text, []byte(`"count":1`))
	}
	for n := range tokens {
		if !bytes.Contains(text, []byte(fake.Token(body, n))) {
			return false
		}
	}
	return bytes.Contains(text, []byte("data: [DONE]"))
}

func (load *load) record(at int, outcome string, first, all time.Duration, wrong bool) {
	load.mu.Lock()
	defer load.mu.Unlock()
	result := &load.results[at]
	result.sent++
	result.outcomes[outcome]++
	if wrong {
		result.wrong++
	}
	if outcome == "ok" {
		// Values beyond the histogram's bounds are cut by min, so this cannot fail.
		_ = result.first.RecordValue(min(first.Microseconds(), slowest))
		_ = result.all.RecordValue(min(all.Microseconds(), slowest))
	}
}

func (load *load) print(out io.Writer) error {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(writer, "\tsent\tok\tnotRun\tunknown\tfailed\tno answer\twrong\tfirst p50\tfirst p99\tall p50\tall p99\t")
	for at, kind := range streams {
		result := load.results[at]
		fmt.Fprintf(writer, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n", kind.name, result.sent, result.outcomes["ok"],
			result.outcomes["notRun"], result.outcomes["unknown"], result.outcomes["failed"], result.outcomes["no answer"], result.wrong,
			quantile(result.first, 50), quantile(result.first, 99), quantile(result.all, 50), quantile(result.all, 99))
	}
	return writer.Flush()
}

func quantile(values *hdrhistogram.Histogram, percent float64) string {
	return fmt.Sprintf("%.1f ms", float64(values.ValueAtQuantile(percent))/1000)
}

// verdict returns an error when a caller got a wrong answer or none at all.
func (load *load) verdict() error {
	for at, kind := range streams {
		result := load.results[at]
		if result.wrong > 0 || result.outcomes["no answer"] > 0 || result.outcomes["ok"] == 0 {
			return errors.Newf("%s: %d wrong answers, %d without an answer, %d ok of %d",
				kind.name, result.wrong, result.outcomes["no answer"], result.outcomes["ok"], result.sent)
		}
	}
	return nil
}
