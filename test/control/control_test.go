// Package control_test runs control groups of real processes through scripted
// faults.
package control_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/procs"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Control")
}

const limit = 60 * time.Second

type script struct {
	Seed      uint64     `json:"seed"`
	Scenarios []scenario `json:"scenarios"`
}

// scenario is a list of steps. The first word of a step selects the action in
// runner.run, the rest is its argument.
type scenario struct {
	Name string `json:"name"`
	// Arguments are added to every control VM's command line.
	Arguments []string `json:"arguments"`
	// Seeded makes a group from seeds instead of listed members, with Spares control VMs
	// beside it that are not started.
	Seeded bool     `json:"seeded"`
	Spares int      `json:"spares"`
	Steps  []string `json:"steps"`
}

// runner runs a scenario on a control group and keeps the replies to its commands.
type runner struct {
	group  *procs.Group
	random *rand.Rand
	// up marks the members that run and are not paused.
	up []bool
	// victim is the index of the member that the last fault hit.
	victim int
	// replies holds the first reply to each command, by command id.
	replies map[string]*wire.CommandReply
	// texts holds the commands by id.
	texts map[string]string
}

func load() script {
	text, err := os.ReadFile("testdata/control.json")
	if err != nil {
		panic(err)
	}
	var script script
	if err := json.Unmarshal(text, &script); err != nil {
		panic(err)
	}
	return script
}

// Guards against accepted changes that are lost, repeated or reordered when
// control VMs crash, are paused, lose their disks, join or leave.
var _ = Describe("a group of control VMs", func() {
	script := load()
	for _, scenario := range script.Scenarios {
		It(scenario.Name, func() {
			group, err := scenario.newGroup()
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(group.Close)
			Expect(group.StartAll()).To(Succeed())
			runner := &runner{
				group: group, random: rand.New(rand.NewPCG(script.Seed, script.Seed)), up: append([]bool{true, true, true}, make([]bool, scenario.Spares)...),
				replies: map[string]*wire.CommandReply{}, texts: map[string]string{},
			}
			for _, step := range scenario.Steps {
				By(fmt.Sprintf("%s (seed %d)", step, script.Seed))
				word, rest, _ := strings.Cut(step, " ")
				runner.run(word, rest)
			}
		})
	}
})

func (scenario *scenario) newGroup() (*procs.Group, error) {
	if scenario.Seeded {
		return procs.NewSeededGroup(GinkgoT().TempDir(), scenario.Spares, scenario.Arguments...)
	}
	return procs.NewGroup(GinkgoT().TempDir(), 3, scenario.Arguments...)
}

func (runner *runner) run(word, rest string) {
	switch word {
	case "change":
		runner.createCustomers(number(rest))
	case "kill", "stop", "end":
		runner.halt(word, rest)
	case "start", "continue":
		runner.resume(word, rest)
	case "empty":
		Expect(runner.group.EmptyData(runner.victim)).To(Succeed())
	case "voters":
		runner.waitVoters(number(rest))
	case "level":
		runner.waitApplied()
	case "resend":
		runner.resend()
	case "refused":
		runner.expectUnavailable()
	case "accepted":
		runner.replies["refused"] = runner.execute("refused", runner.texts["refused"])
		Expect(runner.replies["refused"].GetCode()).To(BeEmpty())
	case "fresh", "aged":
		runner.waitAge(word)
	case "logged":
		Expect(runner.group.Process(runner.victim).Log()).To(ContainSubstring(rest))
	case "claim":
		runner.claim(rest, true)
	case "reclaim":
		runner.claim(rest, false)
	case "race":
		runner.race(number(rest))
	case "alter":
		runner.alter(number(rest))
	case "add":
		Expect(runner.group.Add(filepath.Join(GinkgoT().TempDir(), rest))).To(Succeed())
		runner.up = append(runner.up, false)
		runner.changeMembers("add", "add control "+rest)
	case "remove":
		runner.victim = runner.leader()
		runner.changeMembers("remove", "remove control "+runner.group.Name(runner.victim))
		runner.up[runner.victim] = false
	default:
		runner.runDisk(word, rest)
	}
}

func number(text string) int {
	value, err := strconv.Atoi(text)
	Expect(err).NotTo(HaveOccurred())
	return value
}

func (runner *runner) running() []int {
	var list []int
	for at, up := range runner.up {
		if up {
			list = append(list, at)
		}
	}
	return list
}

func (runner *runner) randomRunning() int {
	list := runner.running()
	return list[runner.random.IntN(len(list))]
}

func (runner *runner) leader() int {
	at, err := runner.group.Leader(limit, runner.running()...)
	Expect(err).NotTo(HaveOccurred())
	return at
}

// execute sends a command with the same id to random members until one replies.
func (runner *runner) execute(id, text string) *wire.CommandReply {
	var reply *wire.CommandReply
	Eventually(func(assert Gomega) {
		answer, err := runner.group.Execute(runner.randomRunning(), id, text)
		assert.Expect(err).NotTo(HaveOccurred())
		assert.Expect(answer.GetCode()).NotTo(Equal("unavailable"), answer.GetError())
		reply = answer
	}).WithTimeout(limit).Should(Succeed(), id)
	return reply
}

// changeMembers sends a membership command twice with the same id. The second
// reply must repeat the first one, instead of an error that the change is already
// in force.
func (runner *runner) changeMembers(id, text string) {
	for range 2 {
		reply := runner.execute(id, text)
		Expect(reply.GetCode()).To(BeEmpty(), reply.GetError())
	}
}

func (runner *runner) createCustomers(count int) {
	for range count {
		id := fmt.Sprintf("c%d", len(runner.replies)+1)
		runner.texts[id] = "create customer " + id + " tier paid"
		runner.replies[id] = runner.execute(id, runner.texts[id])
		Expect(runner.replies[id].GetCode()).To(BeEmpty(), runner.replies[id].GetError())
		Expect(runner.replies[id].GetRevision()).To(Equal(uint64(len(runner.replies))), "each change increments the revision by one")
	}
}

// halt kills, pauses or stops the leader, a follower or all running members.
func (runner *runner) halt(how, whom string) {
	if whom == "all" {
		for _, at := range runner.running() {
			runner.victim = at
			runner.haltOne(how)
		}
		return
	}
	runner.pick(whom)
	runner.haltOne(how)
}

// other returns a running member besides one.
func (runner *runner) other(than int) int {
	found := than
	for _, at := range runner.running() {
		if at != than {
			found = at
		}
	}
	return found
}

func (runner *runner) haltOne(how string) {
	process := runner.group.Process(runner.victim)
	runner.up[runner.victim] = false
	switch how {
	case "kill":
		Expect(process.Kill()).To(Succeed())
	case "stop":
		Expect(process.Signal(syscall.SIGSTOP)).To(Succeed())
	case "end":
		Expect(process.Stop()).To(Succeed())
	}
}

// resume restarts or continues the victim, a member with a name or number, or all members.
func (runner *runner) resume(how, whom string) {
	for at, up := range runner.up {
		selected := whom == "all" || whom == "victim" && at == runner.victim || whom == runner.group.Name(at) || whom == strconv.Itoa(at+1)
		if up || !selected {
			continue
		}
		if how == "continue" {
			Expect(runner.group.Process(at).Signal(syscall.SIGCONT)).To(Succeed())
		} else {
			Expect(runner.group.Start(at)).To(Succeed())
		}
		runner.up[at] = true
	}
}

// waitVoters waits until the group has exactly count members and all of them
// may vote with their present disks.
func (runner *runner) waitVoters(count int) {
	Eventually(func(assert Gomega) {
		rows, err := runner.group.Rows(runner.randomRunning())
		assert.Expect(err).NotTo(HaveOccurred())
		assert.Expect(rows).To(HaveLen(count))
		for _, row := range rows {
			assert.Expect(row["role"]).To(Or(Equal("leader"), Equal("follower")), "%v", rows)
		}
	}).WithTimeout(limit).Should(Succeed())
}

// waitApplied waits until all running members have applied all accepted changes.
func (runner *runner) waitApplied() {
	for _, at := range runner.running() {
		Eventually(func(assert Gomega) {
			rows, err := runner.group.Rows(at)
			assert.Expect(err).NotTo(HaveOccurred())
			for _, row := range rows {
				assert.Expect(row["revision"]).To(Equal(strconv.Itoa(len(runner.replies))), "%v", rows)
			}
		}).WithTimeout(limit).Should(Succeed())
	}
}

// resend sends every command again, to a random member, and expects the first reply.
func (runner *runner) resend() {
	for id, first := range runner.replies {
		again := runner.execute(id, runner.texts[id])
		Expect(again.GetRevision()).To(Equal(first.GetRevision()), id)
		Expect(again.GetCode()).To(Equal(first.GetCode()), id)
	}
}

// expectUnavailable sends a change that must not be accepted. A member may still
// hold it in its log; it is resent later with the same id and must count once.
func (runner *runner) expectUnavailable() {
	runner.texts["refused"] = "create customer refused tier paid"
	reply, err := runner.group.Execute(runner.randomRunning(), "refused", runner.texts["refused"])
	Expect(err).NotTo(HaveOccurred())
	Expect(reply.GetCode()).To(Equal("unavailable"))
}

// waitAge waits until the configuration of every running member is fresh, that
// is confirmed within the last second, or not.
func (runner *runner) waitAge(freshness string) {
	for _, at := range runner.running() {
		Eventually(func(assert Gomega) {
			item, err := runner.group.Watch(at)
			assert.Expect(err).NotTo(HaveOccurred())
			assert.Expect(item.GetRevision()).To(Equal(uint64(len(runner.replies))))
			assert.Expect(item.GetAge() < 1000).To(Equal(freshness == "fresh"), "age %d ms", item.GetAge())
		}).WithTimeout(limit).Should(Succeed())
	}
}

// claim sends one claim for each of ten keys to a random member. A key can be
// granted to only one request.
func (runner *runner) claim(request string, granted bool) {
	for key := range 10 {
		Eventually(func(assert Gomega) {
			reply, err := runner.group.Claim(runner.randomRunning(), &wire.ClaimOp{
				Customer: "clinic", Key: fmt.Sprint(key), BodyHash: []byte("body"), RequestId: request + fmt.Sprint(key), Attempt: 1,
				Endpoint: "endpoint1", Incarnation: 1, At: time.Now().UnixMilli(),
			})
			assert.Expect(err).NotTo(HaveOccurred())
			assert.Expect(reply.GetUnavailable()).To(BeFalse())
			assert.Expect(reply.GetState() == wire.ClaimState_CLAIM_STATE_GRANTED).To(Equal(granted))
		}).WithTimeout(limit).Should(Succeed())
	}
}

// race concurrently sends two commands with the same revision condition to two
// members. Exactly one of them must be accepted.
func (runner *runner) race(rounds int) {
	for round := range rounds {
		revision := len(runner.replies)
		replies := make([]*wire.CommandReply, 2)
		var sending conc.WaitGroup
		for at := range replies {
			sending.Go(func() {
				defer GinkgoRecover()
				name := fmt.Sprintf("race%d-%d", round, at)
				reply, err := runner.group.Execute((round+at)%3, name, fmt.Sprintf("create customer %s tier paid if revision %d", name, revision))
				Expect(err).NotTo(HaveOccurred())
				replies[at] = reply
			})
		}
		sending.Wait()
		winner := 0
		if replies[0].GetCode() != "" {
			winner = 1
		}
		Expect(replies[winner].GetCode()).To(BeEmpty(), replies[winner].GetError())
		Expect(replies[1-winner].GetCode()).To(Equal("conflict"))
		Expect(replies[1-winner].GetError()).To(ContainSubstring(fmt.Sprintf("race%d-%d", round, winner)))
		runner.replies[fmt.Sprintf("race%d", round)] = replies[winner]
	}
}

// alter concurrently changes two fields of a customer through two members.
func (runner *runner) alter(rounds int) {
	for round := range rounds {
		var sending conc.WaitGroup
		for at, field := range []string{"weight", "priority"} {
			id := fmt.Sprintf("alter%d-%s", round, field)
			runner.replies[id] = &wire.CommandReply{}
			sending.Go(func() {
				defer GinkgoRecover()
				reply, err := runner.group.Execute((round+at)%3, id, fmt.Sprintf("alter customer c1 %s %d", field, round+2))
				Expect(err).NotTo(HaveOccurred())
				Expect(reply.GetCode()).To(BeEmpty(), reply.GetError())
			})
		}
		sending.Wait()
		item, err := runner.group.Watch(runner.leader())
		Expect(err).NotTo(HaveOccurred())
		var weight, priority int
		for _, change := range item.GetChanges() {
			weight, priority = int(change.GetChange().GetCustomer().GetWeight()), int(change.GetChange().GetCustomer().GetPriority())
		}
		Expect([]int{weight, priority}).To(Equal([]int{round + 2, round + 2}))
	}
}
