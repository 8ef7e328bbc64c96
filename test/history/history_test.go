// Package history_test records the results of concurrent clients of a deployment
// of real processes under faults, and checks the recorded history.
package history_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestHistory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "History")
}

const (
	// defaultSeeds is the number of histories if HIB_HISTORY_SEEDS is not set.
	defaultSeeds = 1
	readyLimit   = 60 * time.Second
	outFolder    = "../out"
)

// settings hold the number of seconds and clients of a run.
type settings struct {
	Span      int      `json:"span"`
	Operators int      `json:"operators"`
	Bookers   int      `json:"bookers"`
	Streamers int      `json:"streamers"`
	Watchers  int      `json:"watchers"`
	Commands  []string `json:"commands"`
	// Planted holds the names of the violations that the check must detect.
	Planted []string `json:"planted"`
}

func loadSettings() settings {
	text, err := os.ReadFile("testdata/history.json")
	Expect(err).NotTo(HaveOccurred())
	var read settings
	Expect(json.Unmarshal(text, &read)).To(Succeed())
	return read
}

func seeds() uint64 {
	count, err := strconv.ParseUint(os.Getenv("HIB_HISTORY_SEEDS"), 10, 64)
	if err != nil {
		return defaultSeeds
	}
	return count
}

// Guards against lost, duplicate and reverted changes, duplicate bookings, wrong
// notRun outcomes, and answers that are incomplete or belong to another caller.
var _ = It("finds no violation in recorded histories and detects every planted one", func() {
	settings := loadSettings()
	operations, violations, own := 0, 0, 0
	var last *history
	for seed := uint64(1); seed <= seeds(); seed++ {
		recorded := record(settings, seed)
		found := recorded.violations()
		operations += recorded.operations()
		violations += len(found)
		own += len(recorded.Own)
		if len(found) > 0 {
			recorded.save()
			AddReportEntry(fmt.Sprintf("seed %d", seed), strings.Join(found, "\n"))
			fmt.Fprintf(GinkgoWriter, "seed %d: %s\n", seed, strings.Join(found, "\n"))
		}
		last = recorded
	}
	fmt.Printf("figure history.operations %d operations\n", operations)
	fmt.Printf("figure history.violations %d violations\n", violations)
	AddReportEntry(fmt.Sprintf("%d changes by the system itself", own))
	Expect(violations).To(BeZero(), "histories are in %s", outFolder)
	caught := 0
	for _, name := range settings.Planted {
		if len(plantViolation(last, name).violations()) > 0 {
			caught++
		} else {
			fmt.Fprintf(GinkgoWriter, "planted violation %s was not detected\n", name)
		}
	}
	fmt.Printf("figure history.planted %d violations\n", len(settings.Planted))
	fmt.Printf("figure history.caught %d violations\n", caught)
	Expect(caught).To(Equal(len(settings.Planted)))
})

// record runs one deployment under faults and returns the history of its clients.
func record(settings settings, seed uint64) *history {
	deployment, err := newDeployment(GinkgoT().TempDir())
	defer func() { Expect(deployment.close()).To(Succeed()) }()
	Expect(err).NotTo(HaveOccurred())
	recorded := &history{Seed: seed}
	clients := newClients(deployment, recorded)
	defer func() { _ = clients.pool.Close() }()
	clients.prepare(settings)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(settings.Span)*time.Second)
	defer cancel()
	injector := &injector{deployment: deployment, random: rand.New(rand.NewPCG(seed, 1))}
	var running conc.WaitGroup
	start := func(name string, count int, client func(context.Context, string, *rand.Rand)) {
		for at := range count {
			random := rand.New(rand.NewPCG(seed, uint64(len(name)*100+at)))
			running.Go(func() { client(ctx, fmt.Sprintf("%s%d", name, at), random) })
		}
	}
	start("operator", settings.Operators, clients.operate)
	start("booker", settings.Bookers, clients.book)
	start("streamer", settings.Streamers, clients.stream)
	for at := range settings.Watchers {
		running.Go(func() { clients.watch(ctx, at, settings.Watchers) })
	}
	failure := injector.run(ctx)
	running.Wait()
	Expect(failure).NotTo(HaveOccurred())
	recorded.Faults = injector.list
	clients.finish()
	return recorded
}

// prepare runs the setup commands and waits until every entry VM serves.
func (clients *clients) prepare(settings settings) {
	random := rand.New(rand.NewPCG(1, 1))
	for at, text := range settings.Commands {
		Eventually(func() string {
			command := clients.command(change{ID: fmt.Sprintf("prepare-%d", at), Text: text}, random)
			clients.history.Start = command.Revision
			return command.Outcome
		}).WithTimeout(readyLimit).Should(Equal("accepted"))
	}
	for _, entry := range clients.deployment.entries {
		Eventually(func() string {
			answer := clients.send(entry, "/v1/completions", `{"model":"guide-1","prompt":"ready","max_tokens":1,"stream":true}`, "")
			return fmt.Sprintf("%d %s", answer.Status, answer.Text)
		}).WithTimeout(readyLimit).Should(HavePrefix("200 "), entry.name)
	}
}

// readOwn reads the changes that the system made itself: blocks of requests that crash
// endpoints, which entry VMs propose. A change that nobody is known to have made is a
// violation.
func (clients *clients) readOwn(random *rand.Rand) {
	known := map[string]bool{}
	for _, command := range clients.history.Changes {
		known[command.ID] = true
	}
	var rows []*wire.Row
	Eventually(func() string {
		control := clients.deployment.controls[random.IntN(controls)]
		ctx, cancel := context.WithTimeout(context.Background(), commandLimit)
		defer cancel()
		reply, err := wire.NewDRPCOperateClient(clients.pool.Conn(ctx, control.listen)).Execute(ctx, &wire.Command{Id: "read-own", Text: "show config limit 1000"})
		if err != nil {
			clients.pool.Discard(control.listen)
			return err.Error()
		}
		rows = reply.GetTable().GetRows()
		return reply.GetCode()
	}).WithTimeout(readyLimit).Should(BeEmpty())
	for _, row := range rows {
		cells := row.GetCells()
		revision, err := strconv.ParseUint(cells[0], 10, 64)
		Expect(err).NotTo(HaveOccurred())
		if made := (change{ID: cells[4], Text: cells[3], Revision: revision}); !known[made.ID] && revision > clients.history.Start {
			clients.history.Own = append(clients.history.Own, made)
		}
	}
}

// finish resends every command and then, once no request can be in flight, reads
// the counts of the order desk and the engines.
func (clients *clients) finish() {
	random := rand.New(rand.NewPCG(2, 2))
	clients.readOwn(random)
	for _, command := range clients.history.Changes {
		resent := clients.command(change{ID: command.ID, Text: command.Text, Call: clients.now()}, random)
		clients.history.Resent = append(clients.history.Resent, resent)
	}
	recorded := clients.history
	recorded.Booked, recorded.Ran = clients.deployment.desk.Booked(), map[string]int{}
	for _, model := range clients.deployment.models {
		for id, count := range model.Runs() {
			recorded.Ran[id[:strings.LastIndex(id, ".")]] += count
		}
	}
}

func (history *history) save() {
	text, err := json.MarshalIndent(history, "", "  ")
	Expect(err).NotTo(HaveOccurred())
	Expect(os.MkdirAll(outFolder, 0o750)).To(Succeed())
	path := filepath.Join(outFolder, fmt.Sprintf("history-%d.json", history.Seed))
	Expect(os.WriteFile(path, text, 0o600)).To(Succeed())
}

// plantViolation returns a copy of a history with one violation.
func plantViolation(recorded *history, name string) *history {
	text, err := json.Marshal(recorded)
	Expect(err).NotTo(HaveOccurred())
	damaged := &history{}
	Expect(json.Unmarshal(text, damaged)).To(Succeed())
	switch name {
	case "lostChange":
		accepted(damaged, 0).Outcome = "conflict"
	case "doubledRevision":
		accepted(damaged, 1).Revision = accepted(damaged, 0).Revision
	case "otherFirstAnswer":
		damaged.Resent[0].Revision += 1000
	case "revertedRevision":
		reverted := newest(damaged)
		reverted.Revision--
		damaged.Observations = append(damaged.Observations, reverted)
	case "otherContents":
		damaged.Observations = append(damaged.Observations, damaged.Observations[0])
		damaged.Observations[len(damaged.Observations)-1].Node, damaged.Observations[len(damaged.Observations)-1].Content = "other", ""
	case "doubledBooking":
		damaged.Booked[booked(damaged).Body] = 2
	case "falseNotRunBooking":
		key := booked(damaged).Key
		for at := range damaged.Bookings {
			if damaged.Bookings[at].Key == key {
				damaged.Bookings[at].Outcome, damaged.Bookings[at].Status = "notRun", 503
			}
		}
	case "otherBookingAnswer":
		booked(damaged).Text = "{}"
	case "falseNotRunStream":
		streamed(damaged).Outcome = "notRun"
	case "foreignToken":
		streamed(damaged).Text = strings.Replace(streamed(damaged).Text, "t0-", "t0-0", 1)
	case "missingToken":
		text := streamed(damaged).Text
		streamed(damaged).Text = text[strings.Index(text, "\n\n")+2:]
	default:
		Fail("unknown planted violation " + name)
	}
	return damaged
}

// accepted returns the nth accepted unconditional change.
func accepted(recorded *history, nth int) *change {
	for at := range recorded.Changes {
		if command := &recorded.Changes[at]; command.Outcome == "accepted" && command.IfRevision == 0 {
			if nth == 0 {
				return command
			}
			nth--
		}
	}
	Fail("the history has too few accepted changes")
	return nil
}

// newest returns an observation with the highest revision. The first one is no
// use: a process that has just started may be at revision 0, which cannot decrease.
func newest(recorded *history) observation {
	found := recorded.Observations[0]
	for _, observed := range recorded.Observations {
		if observed.Revision > found.Revision {
			found = observed
		}
	}
	return found
}

// booked returns a successful booking.
func booked(recorded *history) *answer {
	for at := range recorded.Bookings {
		if recorded.Bookings[at].Status == 200 && recorded.Bookings[at].Outcome == "" {
			return &recorded.Bookings[at]
		}
	}
	Fail("the history has no successful booking")
	return nil
}

// streamed returns a successful stream.
func streamed(recorded *history) *answer {
	for at := range recorded.Streams {
		if recorded.Streams[at].Status == 200 && recorded.Streams[at].Outcome == "" {
			return &recorded.Streams[at]
		}
	}
	Fail("the history has no successful stream")
	return nil
}
