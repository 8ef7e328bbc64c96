// Package faults_test injects faults into small fleets of real processes and
// checks what every caller gets, token by token.
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

// limit is long enough for any machine; no verdict depends on it.
const limit = 90 * time.Second

// step is one fault. On names where: endpoint, engine, entry or control for a
// process, toEndpoint, toEngine, toEntry or toControl for the way to it.
type step struct {
	Do    string `json:"do"`
	On    string `json:"on"`
	At    []int  `json:"at"`
	Ways  int    `json:"ways"`
	Pause string `json:"pause"`
}

// script is a load of streams, the faults that hit it once every caller has
// some tokens, and what must hold at the end.
type script struct {
	Name    string   `json:"name"`
	Entries int      `json:"entries"`
	VMs     int      `json:"vms"`
	Zones   int      `json:"zones"`
	Callers int      `json:"callers"`
	Tokens  int      `json:"tokens"`
	Engine  []string `json:"engine"`
	// After is the number of tokens that every caller has before the faults.
	After int    `json:"after"`
	Steps []step `json:"steps"`
}

func read[T any](path string) []T {
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

// Guards against answers that are lost, doubled, mixed up or cut short when
// processes and connections fail under load.
var _ = Describe("streams under faults", func() {
	for _, script := range read[script]("testdata/streams.json") {
		It(script.Name, func() { run(script) })
	}
})

func start(settings procs.ClusterSettings) *procs.Cluster {
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
	cluster := start(procs.ClusterSettings{
		Entries: script.Entries, VMs: script.VMs, Zones: script.Zones,
		Engine: append([]string{"--interval", "10ms"}, script.Engine...),
	})
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var far atomic.Int64
	var callers sync.WaitGroup
	failures := make(chan error, script.Callers)
	for number := range script.Callers {
		callers.Go(func() {
			body := fmt.Sprintf(`{"model":"guide-1","prompt":"%s, caller %d","max_tokens":%d,"stream":true}`, script.Name, number, script.Tokens)
			entry := cluster.Entries[number%len(cluster.Entries)]
			answer, err := procs.Complete(ctx, entry.URL(), "paid", body, func(count int) {
				if count == script.After {
					far.Add(1)
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
	Eventually(far.Load).WithTimeout(limit).Should(BeEquivalentTo(script.Callers))
	for _, step := range script.Steps {
		apply(cluster, step)
	}
	callers.Wait()
	close(failures)
	for failure := range failures {
		Expect(failure).NotTo(HaveOccurred())
	}
}

func apply(cluster *procs.Cluster, step step) {
	if step.Pause != "" {
		span, err := time.ParseDuration(step.Pause)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(span)
	}
	for _, at := range append([]int{}, step.At...) {
		if proxy := proxyOf(cluster, step.On, at); proxy != nil {
			disturb(proxy, step)
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

func disturb(proxy *fault.Proxy, step step) {
	ways := fault.Direction(step.Ways)
	switch step.Do {
	case "silence":
		proxy.Silence(ways)
	case "lose":
		proxy.Lose(ways)
	case "delay":
		proxy.Delay(ways, 200*time.Millisecond)
	case "cut":
		proxy.Cut()
	case "heal":
		proxy.Heal()
	case "close":
		proxy.CloseConnections()
	default:
		Fail("no such fault: " + step.Do)
	}
}
