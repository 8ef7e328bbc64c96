package operate

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/procs"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	startTimeout = 30 * time.Second
	// inForceTimeout is the timeout for a change to be in force on a process.
	inForceTimeout = 25 * time.Second
	pollInterval   = 2 * time.Millisecond
	// ticksPerSecond is the number of clock ticks, the unit of CPU time in /proc on
	// Linux, per second.
	ticksPerSecond = 100
)

// monitored is a process with the base URL of its metrics.
type monitored struct {
	process    *procs.Process
	metricsURL string
}

// fleet is a set of real processes. Its fake engines run in the benchmark's process.
type fleet struct {
	group     *procs.Group
	entries   []monitored
	endpoints []monitored
	models    []*fake.Model
	pool      *link.Pool
	client    *http.Client
	// revision is that of the last change.
	revision uint64
}

func startFleet(folder string) (*fleet, error) {
	fleet := &fleet{
		pool:   link.NewPool(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	group, err := procs.NewGroup(folder, zones)
	if err != nil {
		return fleet, err
	}
	fleet.group = group
	if err := group.StartAll(); err != nil {
		return fleet, err
	}
	for at := range entryVMs {
		if err := fleet.startEntry(at); err != nil {
			return fleet, err
		}
	}
	for at := range endpointVMs {
		if err := fleet.startEndpoint(at); err != nil {
			return fleet, err
		}
	}
	if err := fleet.execute("create customer load tier paid token load-token"); err != nil {
		return fleet, err
	}
	return fleet, fleet.waitForDiscovery()
}

func (fleet *fleet) start(name string, arguments ...string) (monitored, error) {
	metrics, err := procs.FreeAddress()
	if err != nil {
		return monitored{}, err
	}
	process, err := procs.Start(name, "hibiscuslug", append(arguments, "--name", name, "--metrics-listen", metrics)...)
	return monitored{process: process, metricsURL: "http://" + metrics}, err
}

func (fleet *fleet) startEntry(at int) error {
	arguments := []string{"entry", "--zone", fmt.Sprintf("zone%d", at%zones+1), "--http-listen", "127.0.0.1:0", "--shutdown-limit", "2s"}
	for number := range zones {
		arguments = append(arguments, "--control", fleet.group.Address(number))
	}
	if at > 0 {
		arguments = append(arguments, "--peer", fleet.entries[0].process.Address)
	}
	started, err := fleet.start(fmt.Sprintf("entry%d", at+1), arguments...)
	if started.process != nil {
		fleet.entries = append(fleet.entries, started)
	}
	return err
}

// startEndpoint starts an endpoint process that joins through an entry VM of its zone.
func (fleet *fleet) startEndpoint(at int) error {
	model, err := fake.NewModel(fake.ModelSettings{Listen: "127.0.0.1:0", Interval: time.Millisecond})
	if err != nil {
		return err
	}
	fleet.models = append(fleet.models, model)
	started, err := fleet.start(fmt.Sprintf("endpoint%d", at+1), "endpoint", "--zone", fmt.Sprintf("zone%d", at%zones+1), "--shutdown-limit", "2s",
		"--entry", fleet.entries[at%zones].process.Address, "--engine", fmt.Sprintf("model,engine%d,%s,guide-1", at+1, model.URL()))
	if started.process != nil {
		fleet.endpoints = append(fleet.endpoints, started)
	}
	return err
}

func (fleet *fleet) all() []monitored {
	return append(append([]monitored(nil), fleet.entries...), fleet.endpoints...)
}

// execute runs a command at the first entry VM and stores its revision.
func (fleet *fleet) execute(text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	reply, err := wire.NewDRPCOperateClient(fleet.pool.Conn(ctx, fleet.entries[0].process.Address)).Execute(ctx, &wire.Command{Id: rand.Text(), Text: text})
	if err != nil {
		return err
	}
	if reply.GetCode() != "" {
		return errors.Newf("%s: %s: %s", text, reply.GetCode(), reply.GetError())
	}
	fleet.revision = reply.GetRevision()
	return nil
}

// vars contains the metrics of a process that the suite reads.
type vars struct {
	Members  map[string]int `json:"members"`
	BytesIn  float64        `json:"controlBytesIn"`
	BytesOut float64        `json:"controlBytesOut"`
}

func (fleet *fleet) read(url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := fleet.client.Do(request)
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(response.Body)
	return text, errors.CombineErrors(err, response.Body.Close())
}

func (fleet *fleet) vars(process monitored) (vars, error) {
	var values vars
	text, err := fleet.read(process.metricsURL + "/debug/vars")
	if err != nil {
		return values, err
	}
	return values, json.Unmarshal(text, &values)
}

// waitForDiscovery waits until every entry VM has discovered the other entry VMs and
// at least as many endpoints as its zone has.
func (fleet *fleet) waitForDiscovery() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, entry := range fleet.entries {
			values, err := fleet.vars(entry)
			if err == nil && values.Members["entry"] >= entryVMs-1 && values.Members["endpoint"] >= endpointVMs/zones {
				ready++
			}
		}
		if ready == entryVMs {
			return nil
		}
	}
	return errors.Newf("entry VMs have not discovered each other and their endpoints after %s", startTimeout)
}

// changeEverywhere makes a change and returns the time from the answer that accepts
// it until it is in force on all processes.
func (fleet *fleet) changeEverywhere(weight int) (time.Duration, error) {
	before := fleet.revision
	processes := fleet.all()
	applied, failures := make([]time.Time, len(processes)), make([]error, len(processes))
	var waiting conc.WaitGroup
	for at, process := range processes {
		waiting.Go(func() {
			var text []byte
			text, failures[at] = fleet.read(fmt.Sprintf("%s/debug/revision?after=%d", process.metricsURL, before))
			applied[at] = time.Now()
			if revision, err := strconv.ParseUint(string(text), 10, 64); failures[at] == nil && (err != nil || revision <= before) {
				failures[at] = errors.Newf("%s reports revision %q after %s; the change is not in force there", process.process.Name, text, inForceTimeout)
			}
		})
	}
	err := fleet.execute(fmt.Sprintf("alter customer load weight %d", weight))
	accepted := time.Now()
	waiting.Wait()
	var last time.Duration
	for at := range processes {
		err = errors.CombineErrors(err, failures[at])
		last = max(last, applied[at].Sub(accepted))
	}
	return last, err
}

// keepChanging makes a change at each interval for a span of time, or no change if
// the interval is 0.
func (fleet *fleet) keepChanging(interval, span time.Duration) error {
	end := time.Now().Add(span)
	if interval == 0 {
		time.Sleep(span)
		return nil
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number := 1; time.Now().Before(end); number++ {
		<-ticker.C
		if err := fleet.execute(fmt.Sprintf("alter customer load weight %d", number)); err != nil {
			return err
		}
	}
	return nil
}

// usage sums up the resources that all entry VMs have used since their start.
type usage struct {
	// cpu is CPU time in seconds, memory the resident memory in bytes, and bytes
	// the control traffic in both directions.
	cpu, memory, bytes float64
}

func (fleet *fleet) usage() (usage, error) {
	var sum usage
	for _, entry := range fleet.entries {
		values, err := fleet.vars(entry)
		if err != nil {
			return sum, err
		}
		folder := fmt.Sprintf("/proc/%d/", entry.process.ID())
		stat, err := os.ReadFile(folder + "stat")
		if err != nil {
			return sum, err
		}
		statm, err := os.ReadFile(folder + "statm")
		if err != nil {
			return sum, err
		}
		// Fields are counted after the program's name, which may contain spaces.
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		user, userErr := strconv.ParseFloat(fields[11], 64)
		kernel, kernelErr := strconv.ParseFloat(fields[12], 64)
		pages, pagesErr := strconv.ParseFloat(strings.Fields(string(statm))[1], 64)
		if err := errors.Join(userErr, kernelErr, pagesErr); err != nil {
			return sum, err
		}
		sum.cpu += (user + kernel) / ticksPerSecond
		sum.memory += pages * float64(os.Getpagesize())
		sum.bytes += values.BytesIn + values.BytesOut
	}
	return sum, nil
}

// attempts returns the number of attempts that an endpoint's engine has started.
func (fleet *fleet) attempts(at int) int { return len(fleet.models[at].Runs()) }

// drain drains an endpoint, returns the time from the answer until the last new
// attempt began there, and undrains the endpoint.
func (fleet *fleet) drain(at int) (time.Duration, error) {
	if err := fleet.execute(fmt.Sprintf("drain endpoint endpoint%d", at+1)); err != nil {
		return 0, err
	}
	accepted, last, count := time.Now(), time.Duration(0), fleet.attempts(at)
	for time.Since(accepted) < drainWindow {
		time.Sleep(pollInterval)
		if now := fleet.attempts(at); now != count {
			count, last = now, time.Since(accepted)
		}
	}
	return last, fleet.execute(fmt.Sprintf("undrain endpoint endpoint%d", at+1))
}

func (fleet *fleet) close() error {
	var failure error
	for _, process := range fleet.all() {
		failure = errors.CombineErrors(failure, process.process.Stop())
	}
	if fleet.group != nil {
		failure = errors.CombineErrors(failure, fleet.group.Close())
	}
	for _, model := range fleet.models {
		failure = errors.CombineErrors(failure, model.Close())
	}
	return errors.CombineErrors(failure, fleet.pool.Close())
}
