package scale

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/figure"
	"github.com/hibiscuslug/hibiscuslug/internal/opcli"
	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

const (
	readyTimeout = 20 * time.Second
	// slots is large enough for all streams of the measurement to run at once.
	slots = 4096
	// clockTickMillis is the unit of CPU time in /proc, in milliseconds.
	clockTickMillis = 10.0
	pageSize        = 4096.0
	// tokenInterval is the time between two tokens of a stream.
	tokenInterval = "33ms"
	body          = `{"model":"guide-1","prompt":"rail cut list","max_tokens":%MAX%,"stream":true}`
)

// fleet is a minimal fleet of real processes: one of each role and a fake engine.
type fleet struct {
	processes []*procs.Process
	entry     *procs.Process
	endpoint  *procs.Process
}

func startFleet(folder, interval string) (*fleet, error) {
	built := &fleet{}
	start := func(name, program string, arguments ...string) (*procs.Process, error) {
		process, err := procs.Start(name, program, arguments...)
		if err == nil {
			built.processes = append(built.processes, process)
		}
		return process, err
	}
	model, err := start("model", "hibfake", "--interval", interval)
	if err != nil {
		return built, err
	}
	control, err := start("control1", "hibiscuslug", "control", "--name", "control1", "--zone", "zone1", "--data", folder)
	if err != nil {
		return built, err
	}
	built.entry, err = start("entry1", "hibiscuslug", "entry", "--name", "entry1", "--zone", "zone1", "--http-listen", "127.0.0.1:0", "--control", control.Address)
	if err != nil {
		return built, err
	}
	built.endpoint, err = start("endpoint1", "hibiscuslug", "endpoint", "--name", "endpoint1", "--zone", "zone1", "--entry", built.entry.Address,
		"--slots", strconv.Itoa(slots), "--engine", "model,engine1,"+model.Address+",guide-1")
	if err != nil {
		return built, err
	}
	if _, err := opcli.Run([]string{"--address", control.Address, "create", "customer", "clinic", "tier", "paid", "token", "s3cret"}, nil, io.Discard, io.Discard); err != nil {
		return built, err
	}
	return built, built.wait()
}

// wait waits until a request succeeds.
func (fleet *fleet) wait() error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := fleet.call(1)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (fleet *fleet) close() {
	for at := len(fleet.processes) - 1; at >= 0; at-- {
		// The measurement is over; a process that does not stop is killed by Stop.
		_ = fleet.processes[at].Stop()
	}
}

// call sends one streaming request and reads the stream to its end.
func (fleet *fleet) call(tokens int) error {
	text := strings.Replace(body, "%MAX%", strconv.Itoa(tokens), 1)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, fleet.entry.HTTP+"/v1/completions", strings.NewReader(text))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer s3cret")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return readStream(response)
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots}}

// readStream reads a stream and fails if it is incomplete.
func readStream(response *http.Response) error {
	reader, last := bufio.NewReader(response.Body), []byte(nil)
	for {
		line, err := reader.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			last = line
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	if response.StatusCode != http.StatusOK || !bytes.HasPrefix(last, []byte("data: [DONE]")) {
		return errors.Newf("status %d, last line %s", response.StatusCode, last)
	}
	return nil
}

// usage is a process's CPU time, or CPU time per second, in milliseconds and its
// resident memory in bytes.
type usage struct {
	cpu      float64
	resident float64
}

// readUsage reads a process's total CPU time and its resident memory from /proc.
func readUsage(process *procs.Process) (usage, error) {
	folder := "/proc/" + strconv.Itoa(process.ID())
	stat, err := os.ReadFile(folder + "/stat")
	if err != nil {
		return usage{}, err
	}
	// The first field after the program's name in parentheses is the third of stat.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return usage{}, err
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	if err != nil {
		return usage{}, err
	}
	pages, err := strconv.ParseFloat(fields[21], 64)
	return usage{cpu: (user + system) * clockTickMillis, resident: pages * pageSize}, err
}

// measureStreams measures the memory and the CPU time of an entry VM and an endpoint
// process per stream in flight, at the design's token rate.
func measureStreams(report *figure.Report, folder string) error {
	running, err := startFleet(folder, tokenInterval)
	defer running.close()
	if err != nil {
		return err
	}
	var entryMemory, endpointMemory, entryCPU, endpointCPU []point
	for _, streams := range []int{50, 100, 200, 400} {
		entry, endpoint, err := running.hold(streams)
		if err != nil {
			return err
		}
		entryMemory = append(entryMemory, point{float64(streams), entry.resident})
		endpointMemory = append(endpointMemory, point{float64(streams), endpoint.resident})
		entryCPU = append(entryCPU, point{float64(streams), entry.cpu})
		endpointCPU = append(endpointCPU, point{float64(streams), endpoint.cpu})
	}
	fit(entryMemory).report(report, "entryStreamMemory", "B", "stream")
	fit(endpointMemory).report(report, "endpointStreamMemory", "B", "stream")
	fit(entryCPU).report(report, "entryStreamCPU", "ms/s", "stream")
	fit(endpointCPU).report(report, "endpointStreamCPU", "ms/s", "stream")
	return nil
}

// hold keeps a number of streams running and returns the usage of the entry VM and
// the endpoint process: CPU time per second, and memory at the end.
func (fleet *fleet) hold(streams int) (usage, usage, error) {
	const tokens, settle, span = 240, 2 * time.Second, 4 * time.Second
	var calls conc.WaitGroup
	var failed atomic.Int64
	for range streams {
		calls.Go(func() {
			if fleet.call(tokens) != nil {
				failed.Add(1)
			}
		})
	}
	time.Sleep(settle)
	entry, endpoint, err := fleet.measureUsage(span)
	calls.Wait()
	if failed.Load() > 0 {
		return entry, endpoint, errors.Newf("%d of %d streams failed", failed.Load(), streams)
	}
	return entry, endpoint, err
}

// measureUsage returns the CPU time per second over a span, and the memory at its
// end, of the entry VM and the endpoint process.
func (fleet *fleet) measureUsage(span time.Duration) (usage, usage, error) {
	entryBefore, err := readUsage(fleet.entry)
	if err != nil {
		return usage{}, usage{}, err
	}
	endpointBefore, err := readUsage(fleet.endpoint)
	if err != nil {
		return usage{}, usage{}, err
	}
	time.Sleep(span)
	entry, err := readUsage(fleet.entry)
	if err != nil {
		return usage{}, usage{}, err
	}
	endpoint, err := readUsage(fleet.endpoint)
	entry.cpu = (entry.cpu - entryBefore.cpu) / span.Seconds()
	endpoint.cpu = (endpoint.cpu - endpointBefore.cpu) / span.Seconds()
	return entry, endpoint, err
}

// measureRequests measures the CPU time of an entry VM and an endpoint process per
// rate of short requests.
func measureRequests(report *figure.Report, folder string) error {
	running, err := startFleet(folder, "0s")
	defer running.close()
	if err != nil {
		return err
	}
	var entryCPU, endpointCPU []point
	for _, rate := range []int{50, 100, 200, 400} {
		entry, endpoint, err := running.load(rate)
		if err != nil {
			return err
		}
		entryCPU = append(entryCPU, point{float64(rate), entry.cpu})
		endpointCPU = append(endpointCPU, point{float64(rate), endpoint.cpu})
	}
	fit(entryCPU).report(report, "entryRequestCPU", "ms/s", "(request/s)")
	fit(endpointCPU).report(report, "endpointRequestCPU", "ms/s", "(request/s)")
	return nil
}

// load sends requests of one token at a constant rate and returns the usage of the
// entry VM and the endpoint process.
func (fleet *fleet) load(rate int) (usage, usage, error) {
	const span = 4 * time.Second
	var calls conc.WaitGroup
	var failed atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	calls.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for ctx.Err() == nil {
			<-ticker.C
			calls.Go(func() {
				if fleet.call(1) != nil {
					failed.Add(1)
				}
			})
		}
	})
	time.Sleep(span / 4)
	entry, endpoint, err := fleet.measureUsage(span)
	cancel()
	calls.Wait()
	if failed.Load() > 0 {
		return entry, endpoint, errors.Newf("%d requests failed at %d/s", failed.Load(), rate)
	}
	return entry, endpoint, err
}
