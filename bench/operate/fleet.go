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
	startLimit  = 30 * time.Second
	inForceMost = 25 * time.Second
	pollEvery   = 2 * time.Millisecond
	// ticksPerSecond is the unit of CPU time in /proc on Linux.
	ticksPerSecond = 100
)

// watched is a process whose metrics are read.
type watched struct {
	process *procs.Process
	vars    string
}

// fleet is a system of real processes with fake engines in this process.
type fleet struct {
	group     *procs.Group
	entries   []watched
	endpoints []watched
	models    []*fake.Model
	pool      *link.Pool
	client    *http.Client
	revision  uint64
}

func startSystem(folder string) (*fleet, error) {
	system := &fleet{
		pool:   link.NewPool(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	group, err := procs.NewGroup(folder, zones)
	if err != nil {
		return system, err
	}
	system.group = group
	if err := group.StartAll(); err != nil {
		return system, err
	}
	for at := range entryVMs {
		if err := system.startEntry(at); err != nil {
			return system, err
		}
	}
	for at := range endpointVMs {
		if err := system.startEndpoint(at); err != nil {
			return system, err
		}
	}
	if err := system.execute("create customer load tier paid token load-token"); err != nil {
		return system, err
	}
	return system, system.waitKnown()
}

func (system *fleet) start(name string, arguments ...string) (watched, error) {
	metrics, err := procs.FreeAddress()
	if err != nil {
		return watched{}, err
	}
	process, err := procs.Start(name, "hibiscuslug", append(arguments, "--name", name, "--metrics-listen", metrics)...)
	return watched{process: process, vars: "http://" + metrics}, err
}

func (system *fleet) startEntry(at int) error {
	arguments := []string{"entry", "--zone", fmt.Sprintf("zone%d", at%zones+1), "--http-listen", "127.0.0.1:0", "--shutdown-limit", "2s"}
	for number := range zones {
		arguments = append(arguments, "--control", system.group.Address(number))
	}
	if at > 0 {
		arguments = append(arguments, "--peer", system.entries[0].process.Address)
	}
	started, err := system.start(fmt.Sprintf("entry%d", at+1), arguments...)
	if started.process != nil {
		system.entries = append(system.entries, started)
	}
	return err
}

// startEndpoint starts an endpoint process that meets an entry VM of its zone first.
func (system *fleet) startEndpoint(at int) error {
	model, err := fake.NewModel(fake.ModelSettings{Listen: "127.0.0.1:0", Interval: time.Millisecond})
	if err != nil {
		return err
	}
	system.models = append(system.models, model)
	started, err := system.start(fmt.Sprintf("endpoint%d", at+1), "endpoint", "--zone", fmt.Sprintf("zone%d", at%zones+1), "--shutdown-limit", "2s",
		"--entry", system.entries[at%zones].process.Address, "--engine", fmt.Sprintf("model,engine%d,%s,guide-1", at+1, model.URL()))
	if started.process != nil {
		system.endpoints = append(system.endpoints, started)
	}
	return err
}

func (system *fleet) all() []watched {
	return append(append([]watched(nil), system.entries...), system.endpoints...)
}

// execute runs a command at the first entry VM and keeps its revision.
func (system *fleet) execute(text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	reply, err := wire.NewDRPCOperateClient(system.pool.Conn(ctx, system.entries[0].process.Address)).Execute(ctx, &wire.Command{Id: rand.Text(), Text: text})
	if err != nil {
		return err
	}
	if reply.GetCode() != "" {
		return errors.Newf("%s: %s: %s", text, reply.GetCode(), reply.GetError())
	}
	system.revision = reply.GetRevision()
	return nil
}

// vars is what the suite reads of a process's metrics.
type vars struct {
	Members  map[string]int `json:"members"`
	BytesIn  float64        `json:"controlBytesIn"`
	BytesOut float64        `json:"controlBytesOut"`
}

func (system *fleet) read(url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), inForceMost)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := system.client.Do(request)
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(response.Body)
	return text, errors.CombineErrors(err, response.Body.Close())
}

func (system *fleet) vars(process watched) (vars, error) {
	var values vars
	text, err := system.read(process.vars + "/debug/vars")
	if err != nil {
		return values, err
	}
	return values, json.Unmarshal(text, &values)
}

// waitKnown waits until every entry VM knows all entry VMs and its endpoints.
func (system *fleet) waitKnown() error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, entry := range system.entries {
			values, err := system.vars(entry)
			if err == nil && values.Members["entry"] >= entryVMs-1 && values.Members["endpoint"] >= endpointVMs/zones {
				ready++
			}
		}
		if ready == entryVMs {
			return nil
		}
	}
	return errors.Newf("entry VMs do not know each other and their endpoints after %s", startLimit)
}

// changeEverywhere makes a change and returns the time from the accepted answer
// until it was in force on the last process.
func (system *fleet) changeEverywhere(weight int) (time.Duration, error) {
	before := system.revision
	processes := system.all()
	applied, failures := make([]time.Time, len(processes)), make([]error, len(processes))
	var waiting conc.WaitGroup
	for at, process := range processes {
		waiting.Go(func() {
			var text []byte
			text, failures[at] = system.read(fmt.Sprintf("%s/debug/revision?after=%d", process.vars, before))
			applied[at] = time.Now()
			if revision, err := strconv.ParseUint(string(text), 10, 64); failures[at] == nil && (err != nil || revision <= before) {
				failures[at] = errors.Newf("%s is at revision %q after %s", process.process.Name, text, inForceMost)
			}
		})
	}
	err := system.execute(fmt.Sprintf("alter customer load weight %d", weight))
	accepted := time.Now()
	waiting.Wait()
	var last time.Duration
	for at := range processes {
		err = errors.CombineErrors(err, failures[at])
		last = max(last, applied[at].Sub(accepted))
	}
	return last, err
}

// keepChanging makes a change at each interval for a while; none when it is 0.
func (system *fleet) keepChanging(interval, span time.Duration) error {
	end := time.Now().Add(span)
	if interval == 0 {
		time.Sleep(span)
		return nil
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number := 1; time.Now().Before(end); number++ {
		<-ticker.C
		if err := system.execute(fmt.Sprintf("alter customer load weight %d", number)); err != nil {
			return err
		}
	}
	return nil
}

// usage is what all entry VMs have used so far.
type usage struct {
	// cpu is in seconds, memory and bytes in bytes.
	cpu, memory, bytes float64
}

func (system *fleet) usage() (usage, error) {
	var sum usage
	for _, entry := range system.entries {
		values, err := system.vars(entry)
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
		// Fields count from behind the program's name, which may have spaces.
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

// started returns how many attempts began on an endpoint's engine.
func (system *fleet) started(at int) int { return len(system.models[at].Runs()) }

// drain drains an endpoint, returns the time from the answer until the last
// new attempt began there, and ends the drain.
func (system *fleet) drain(at int) (time.Duration, error) {
	if err := system.execute(fmt.Sprintf("drain endpoint endpoint%d", at+1)); err != nil {
		return 0, err
	}
	accepted, last, count := time.Now(), time.Duration(0), system.started(at)
	for time.Since(accepted) < drainLook {
		time.Sleep(pollEvery)
		if now := system.started(at); now != count {
			count, last = now, time.Since(accepted)
		}
	}
	return last, system.execute(fmt.Sprintf("undrain endpoint endpoint%d", at+1))
}

func (system *fleet) close() error {
	var failure error
	for _, process := range system.all() {
		failure = errors.CombineErrors(failure, process.process.Stop())
	}
	if system.group != nil {
		failure = errors.CombineErrors(failure, system.group.Close())
	}
	for _, model := range system.models {
		failure = errors.CombineErrors(failure, model.Close())
	}
	return errors.CombineErrors(failure, system.pool.Close())
}
