package small

import (
	"io"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Target is a request that is sent many times.
type Target struct {
	URL  string
	Body string
	// Keyed gives each request a new Idempotency-Key and body.
	Keyed bool
	// Prefix tells the keys of runs apart.
	Prefix string
}

// Client sends requests.
type Client struct {
	http *fasthttp.Client
	// sent numbers the requests: a fake engine tells them apart by X-Request-Id.
	sent atomic.Uint64
}

// Once sends one request and returns the size of its answer.
func (client *Client) Once(target Target, number int) (int64, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(target.URL)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set("Authorization", "Bearer benchtoken")
	request.Header.Set("X-Request-Id", strconv.FormatUint(client.sent.Add(1), 10))
	request.SetBodyString(target.Body)
	if target.Keyed {
		key := target.Prefix + strconv.Itoa(number)
		request.Header.Set("Idempotency-Key", key)
		request.SetBodyString(target.Body + key)
	}
	if err := client.http.Do(request, response); err != nil {
		return 0, err
	}
	size, err := io.Copy(io.Discard, response.BodyStream())
	err = errors.CombineErrors(err, response.CloseBodyStream())
	if err == nil && response.StatusCode() != fasthttp.StatusOK {
		err = errors.Newf("status %d", response.StatusCode())
	}
	return size, err
}

// Times are the latencies of a run, in order of size.
type Times struct {
	spans  []time.Duration
	Failed int
	// Err is the first failure.
	Err error
	// Rate is the number of answers each second that the run got.
	Rate float64
}

// Percentile returns a percentile.
func (times Times) Percentile(percent float64) time.Duration {
	if len(times.spans) == 0 {
		return 0
	}
	return times.spans[min(int(float64(len(times.spans))*percent/100), len(times.spans)-1)]
}

// Open sends requests at a steady rate to all targets side by side, whatever
// the answers take. A latency counts from the time the request was sent, since
// a sleep of the sender overshoots by more than the answers take.
func Open(client *Client, rate int, length time.Duration, targets ...Target) []Times {
	results := make([]Times, len(targets))
	var running conc.WaitGroup
	for at, target := range targets {
		// Targets take turns, so that no request starts together with another target's.
		offset := time.Duration(at) * time.Second / time.Duration(rate*len(targets))
		running.Go(func() { results[at] = open(client, rate, length, offset, target) })
	}
	running.Wait()
	return results
}

func open(client *Client, rate int, length, offset time.Duration, target Target) Times {
	count := int(length.Seconds() * float64(rate))
	var mu sync.Mutex
	var times Times
	var running conc.WaitGroup
	began := time.Now().Add(offset)
	for number := range count {
		due := began.Add(time.Duration(number) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		running.Go(func() {
			sent := time.Now()
			_, err := client.Once(target, number)
			span := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				times.Failed++
				times.Err = errors.CombineErrors(times.Err, err)
				return
			}
			times.spans = append(times.spans, span)
		})
	}
	running.Wait()
	times.Rate = float64(len(times.spans)) / time.Since(began).Seconds()
	slices.Sort(times.spans)
	return times
}
