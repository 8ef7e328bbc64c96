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

// Target describes a request that is sent repeatedly.
type Target struct {
	URL  string
	Body string
	// Keyed gives each request a unique Idempotency-Key and body.
	Keyed bool
	// Prefix starts the idempotency keys, so that those of different runs differ.
	Prefix string
}

// Client sends requests over persistent connections.
type Client struct {
	http *fasthttp.Client
	// sent numbers the requests, since fake engines identify them by X-Request-Id.
	sent atomic.Uint64
}

// Once sends one request and returns the size of the response body. A status other
// than 200 is an error.
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
		err = errors.Newf("%s returned status %d", target.URL, response.StatusCode())
	}
	return size, err
}

// Times are the results of a run, with its latencies in ascending order.
type Times struct {
	latencies []time.Duration
	// Failed is the number of failed requests, which have no latency.
	Failed int
	// Err is the error of the first failed request, with later ones attached.
	Err error
	// Rate is the number of successful responses per second.
	Rate float64
}

// Percentile returns a percentile of the latencies, or 0 if there are none.
func (times Times) Percentile(percent float64) time.Duration {
	if len(times.latencies) == 0 {
		return 0
	}
	return times.latencies[min(int(float64(len(times.latencies))*percent/100), len(times.latencies)-1)]
}

// Open generates open-loop load: it sends requests to all targets concurrently, each
// at a constant rate that does not depend on the responses. Latency is measured from
// the time the request was sent rather than due, since the sender's sleep overshoots
// by more than a response takes.
func Open(client *Client, rate int, length time.Duration, targets ...Target) []Times {
	results := make([]Times, len(targets))
	var running conc.WaitGroup
	for at, target := range targets {
		// The offset prevents requests to different targets from starting together.
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
			latency := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				times.Failed++
				times.Err = errors.CombineErrors(times.Err, err)
				return
			}
			times.latencies = append(times.latencies, latency)
		})
	}
	running.Wait()
	times.Rate = float64(len(times.latencies)) / time.Since(began).Seconds()
	slices.Sort(times.latencies)
	return times
}
