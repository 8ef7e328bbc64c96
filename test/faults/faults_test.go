// Package faults_test injects faults into small clusters of real processes and
// checks the response to every caller, token by token.
package faults_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fault"
	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

func TestFaults(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Faults")
}

// limit is generous, so that no result depends on the speed of the machine.
const limit = 90 * time.Second

// step is one fault.
type step struct {
	// Do is a signal or a method of fault.Proxy.
	Do string `json:"do"`
	// On is the target: a process (endpoint, engine, entry or control) or the
	// proxy in front of it (toEndpoint, toEngine, toEntry or toControl).
	On string `json:"on"`
	// At holds the indexes of the targets.
	At []int `json:"at"`
	// Directions is a fault.Direction.
	Directions int `json:"ways"`
	// Pause is the time to wait before the step.
	Pause string `json:"pause"`
}

// script is a load of streams with the faults that are injected while they run.
type script struct {
	Name    string   `json:"name"`
	Entries int      `json:"entries"`
	VMs     int      `json:"vms"`
	Zones   int      `json:"zones"`
	Callers int      `json:"callers"`
	Tokens  int      `json:"tokens"`
	Engine  []string `json:"engine"`
	// After is the number of tokens that every caller has received before the
	// first fault.
	After int    `json:"after"`
	Steps []step `json:"steps"`
}

func readScripts[T any](path string) []T {
	text, err := os.ReadFile(path)
	if err != nil {
		panic(err)
	}
	var scripts []T
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	return scripts
}

// Guards against responses that are lost, duplicated, mixed up or truncated when
// processes and connections fail under load.
var _ = Describe("streams under faults", func() {
	for _, script := range readScripts[script]("testdata/streams.json") {
		It(script.Name, func() { run(script) })
	}
})

func startCluster(settings procs.ClusterSettings) *procs.Cluster {
	settings.Dir = GinkgoT().TempDir()
	cluster, err := procs.NewCluster(settings)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			for _, entry := range cluster.Entries {
				GinkgoWriter.Println(entry.Process.Log())
			}
			for _, vm := range cluster.VMs {
				GinkgoWriter.Println(vm.Endpoint.Log())
			}
		}
		_ = cluster.Close()
	})
	return cluster
}

func run(script script) {
	cluster := startCluster(procs.ClusterSettings{
		Entries: script.Entries, VMs: script.VMs, Zones: script.Zones,
		Engine: append([]string{"--interval", "10ms"}, script.Engine...),
	})
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var streaming atomic.Int64
	var callers sync.WaitGroup
	failures := make(chan error, script.Callers)
	for number := range script.Callers {
		callers.Go(func() {
			body := fmt.Sprintf(`{"model":"guide-1","prompt":"%s, caller %d","max_tokens":%d,"stream":true}`, script.Name, number, script.Tokens)
			entry := cluster.Entries[number%len(cluster.Entries)]
			answer, err := procs.Complete(ctx, entry.URL(), "paid", body, func(count int) {
				if count == script.After {
					streaming.Add(1)
				}
			})
			if err == nil {
				err = answer.Check(body, script.Tokens)
			}
			if err != nil {
				failures <- err
			}
		})
	}
	Eventually(streaming.Load).WithTimeout(limit).Should(BeEquivalentTo(script.Callers))
	for _, step := range script.Steps {
		applyStep(cluster, step)
	}
	callers.Wait()
	close(failures)
	for failure := range failures {
		Expect(failure).NotTo(HaveOccurred())
	}
}

func applyStep(cluster *procs.Cluster, step step) {
	if step.Pause != "" {
		delay, err := time.ParseDuration(step.Pause)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(delay)
	}
	for _, at := range append([]int{}, step.At...) {
		if proxy := proxyOf(cluster, step.On, at); proxy != nil {
			injectFault(proxy, step)
			continue
		}
		signal := map[string]syscall.Signal{"kill": syscall.SIGKILL, "stop": syscall.SIGSTOP, "continue": syscall.SIGCONT, "leave": syscall.SIGTERM}[step.Do]
		Expect(processOf(cluster, step.On, at).Signal(signal)).To(Succeed())
	}
}

func proxyOf(cluster *procs.Cluster, on string, at int) *fault.Proxy {
	switch on {
	case "toEndpoint":
		return cluster.VMs[at].ToEndpoint
	case "toEngine":
		return cluster.VMs[at].ToEngine
	case "toEntry":
		return cluster.Entries[at].ToEntry
	case "toControl":
		return cluster.ToControl
	}
	return nil
}

func processOf(cluster *procs.Cluster, on string, at int) *procs.Process {
	switch on {
	case "endpoint":
		return cluster.VMs[at].Endpoint
	case "engine":
		return cluster.VMs[at].Engine
	case "entry":
		return cluster.Entries[at].Process
	}
	return cluster.Control
}

func injectFault(proxy *fault.Proxy, step step) {
	directions := fault.Direction(step.Directions)
	switch step.Do {
	case "silence":
		proxy.Silence(directions)
	case "lose":
		proxy.Lose(directions)
	case "delay":
		proxy.Delay(directions, 200*time.Millisecond)
	case "cut":
		proxy.Cut()
	case "heal":
		proxy.Heal()
	case "close":
		proxy.CloseConnections()
	default:
		Fail("unknown fault " + step.Do)
	}
}
