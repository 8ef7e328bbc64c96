package operate

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// meanRequestGap is the mean time between the requests of one entry VM.
const meanRequestGap = 50 * time.Millisecond

// load sends short requests to every entry VM at random intervals, without waiting
// for the answers.
type load struct {
	fleet        *fleet
	sent, failed atomic.Int64
	cancel       context.CancelFunc
	running      conc.WaitGroup
}

func (fleet *fleet) startLoad(seed uint64) *load {
	ctx, cancel := context.WithCancel(context.Background())
	load := &load{fleet: fleet, cancel: cancel}
	for at := range fleet.entries {
		load.running.Go(func() { load.send(ctx, at, rand.New(rand.NewPCG(seed, uint64(at)))) })
	}
	return load
}

func (load *load) send(ctx context.Context, at int, random *rand.Rand) {
	var open conc.WaitGroup
	defer open.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanRequestGap)))
		open.Go(func() { load.sendOne(at, number) })
	}
}

func (load *load) sendOne(at, number int) {
	load.sent.Add(1)
	body := fmt.Sprintf(`{"model":"guide-1","prompt":"%d-%d","max_tokens":8}`, at, number)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		load.fleet.entries[at].process.HTTP+"/v1/completions", strings.NewReader(body))
	if err != nil {
		load.failed.Add(1)
		return
	}
	request.Header.Set("Authorization", "Bearer load-token")
	response, err := load.fleet.client.Do(request)
	if err != nil {
		load.failed.Add(1)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		load.failed.Add(1)
	}
}

func (load *load) counts() (sent, failed int64) { return load.sent.Load(), load.failed.Load() }

func (load *load) stop() {
	load.cancel()
	load.running.Wait()
}
