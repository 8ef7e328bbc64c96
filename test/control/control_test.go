// Package control_test runs groups of control VMs as real processes and
// injects faults by script.
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

type page struct {
	Seed      uint64     `json:"seed"`
	Scenarios []scenario `json:"scenarios"`
}

// scenario is a list of steps; each is a method of stage by its first word.
type scenario struct {
	Name string `json:"name"`
	// Arguments are added to every control VM's command line.
	Arguments []string `json:"arguments"`
	Steps     []string `json:"steps"`
}

// stage is a running group with what its operator knows.
type stage struct {
	group  *procs.Group
	random *rand.Rand
	// up tells which members run and answer.
	up     []bool
	victim int
	// answers holds the first answer to each command, by id.
	answers map[string]*wire.CommandReply
	texts   map[string]string
}

func load() page {
	text, err := os.ReadFile("testdata/control.json")
	if err != nil {
		panic(err)
	}
	var all page
	if err := json.Unmarshal(text, &all); err != nil {
		panic(err)
	}
	return all
}

// Guards against accepted changes that are lost, repeated or reordered when
// control VMs die, stop, lose their disks, join or leave.
var _ = Describe("a group of control VMs", func() {
	all := load()
	for _, script := range all.Scenarios {
		It(script.Name, func() {
			group, err := procs.NewGroup(GinkgoT().TempDir(), 3, script.Arguments...)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(group.Close)
			Expect(group.StartAll()).To(Succeed())
			run := &stage{
				group: group, random: rand.New(rand.NewPCG(all.Seed, all.Seed)), up: []bool{true, true, true},
				answers: map[string]*wire.CommandReply{}, texts: map[string]string{},
			}
			for _, step := range script.Steps {
				By(fmt.Sprintf("%s (seed %d)", step, all.Seed))
				word, rest, _ := strings.Cut(step, " ")
				run.do(word, rest)
			}
		})
	}
})

func (run *stage) do(word, rest string) {
	switch word {
	case "change":
		run.change(number(rest))
	case "kill", "stop", "end":
		run.halt(word, rest)
	case "start", "continue":
		run.resume(word, rest)
	case "empty":
		Expect(run.group.EmptyData(run.victim)).To(Succeed())
	case "voters":
		run.voters(number(rest))
	case "level":
		run.level()
	case "resend":
		run.resend()
	case "refused":
		run.refused()
	case "accepted":
		run.answers["refused"] = run.execute("refused", run.texts["refused"])
		Expect(run.answers["refused"].GetCode()).To(BeEmpty())
	case "fresh", "aged":
		run.age(word)
	case "logged":
		Expect(run.group.Process(run.victim).Log()).To(ContainSubstring(rest))
	case "race":
		run.race(number(rest))
	case "alter":
		run.alter(number(rest))
	case "add":
		Expect(run.group.Add(filepath.Join(GinkgoT().TempDir(), rest))).To(Succeed())
		run.up = append(run.up, false)
		run.execute("add", "add control "+rest)
	case "remove":
		run.victim = run.leader()
		run.execute("remove", "remove control "+run.group.Name(run.victim))
		run.up[run.victim] = false
	default:
		Fail("unknown step " + word)
	}
}

func number(text string) int {
	value, err := strconv.Atoi(text)
	Expect(err).NotTo(HaveOccurred())
	return value
}

func (run *stage) running() []int {
	var list []int
	for at, up := range run.up {
		if up {
			list = append(list, at)
		}
	}
	return list
}

func (run *stage) any() int {
	list := run.running()
	return list[run.random.IntN(len(list))]
}

func (run *stage) leader() int {
	at, err := run.group.Leader(limit, run.running()...)
	Expect(err).NotTo(HaveOccurred())
	return at
}

// execute sends one command with one id until a member answers it.
func (run *stage) execute(id, text string) *wire.CommandReply {
	var reply *wire.CommandReply
	Eventually(func(assert Gomega) {
		answered, err := run.group.Execute(run.any(), id, text)
		assert.Expect(err).NotTo(HaveOccurred())
		assert.Expect(answered.GetCode()).NotTo(Equal("unavailable"), answered.GetError())
		reply = answered
	}).WithTimeout(limit).Should(Succeed(), id)
	return reply
}

func (run *stage) change(count int) {
	for range count {
		id := fmt.Sprintf("c%d", len(run.answers)+1)
		run.texts[id] = "create customer " + id + " tier paid"
		run.answers[id] = run.execute(id, run.texts[id])
		Expect(run.answers[id].GetCode()).To(BeEmpty(), run.answers[id].GetError())
		Expect(run.answers[id].GetRevision()).To(Equal(uint64(len(run.answers))), "each change makes the next revision, once")
	}
}

func (run *stage) halt(how, whom string) {
	if whom == "all" {
		for _, at := range run.running() {
			run.victim = at
			run.haltOne(how)
		}
		return
	}
	run.victim = run.leader()
	if whom == "follower" {
		leader := run.victim
		for _, at := range run.running() {
			if at != leader {
				run.victim = at
			}
		}
	}
	run.haltOne(how)
}

func (run *stage) haltOne(how string) {
	process := run.group.Process(run.victim)
	run.up[run.victim] = false
	switch how {
	case "kill":
		Expect(process.Kill()).To(Succeed())
	case "stop":
		Expect(process.Signal(syscall.SIGSTOP)).To(Succeed())
	case "end":
		Expect(process.Stop()).To(Succeed())
	}
}

func (run *stage) resume(how, whom string) {
	for at, up := range run.up {
		wanted := whom == "all" || whom == "victim" && at == run.victim || whom == run.group.Name(at)
		if up || !wanted {
			continue
		}
		if how == "continue" {
			Expect(run.group.Process(at).Signal(syscall.SIGCONT)).To(Succeed())
		} else {
			Expect(run.group.Start(at)).To(Succeed())
		}
		run.up[at] = true
	}
}

// voters waits until so many members with their present disks may vote, and no
// others are listed.
func (run *stage) voters(count int) {
	Eventually(func(assert Gomega) {
		rows, err := run.group.Rows(run.any())
		assert.Expect(err).NotTo(HaveOccurred())
		assert.Expect(rows).To(HaveLen(count))
		for _, row := range rows {
			assert.Expect(row["role"]).To(Or(Equal("leader"), Equal("follower")), "%v", rows)
		}
	}).WithTimeout(limit).Should(Succeed())
}

// level waits until all running members have applied all accepted changes.
func (run *stage) level() {
	for _, at := range run.running() {
		Eventually(func(assert Gomega) {
			rows, err := run.group.Rows(at)
			assert.Expect(err).NotTo(HaveOccurred())
			for _, row := range rows {
				assert.Expect(row["revision"]).To(Equal(strconv.Itoa(len(run.answers))), "%v", rows)
			}
		}).WithTimeout(limit).Should(Succeed())
	}
}

// resend sends every command again, to any member, and expects the first answer.
func (run *stage) resend() {
	for id, first := range run.answers {
		again := run.execute(id, run.texts[id])
		Expect(again.GetRevision()).To(Equal(first.GetRevision()), id)
		Expect(again.GetCode()).To(Equal(first.GetCode()), id)
	}
}

// refused sends a change that is not answered as accepted. A member may still
// hold it in its log, so the same id is sent again later and counts once.
func (run *stage) refused() {
	run.texts["refused"] = "create customer refused tier paid"
	reply, err := run.group.Execute(run.any(), "refused", run.texts["refused"])
	Expect(err).NotTo(HaveOccurred())
	Expect(reply.GetCode()).To(Equal("unavailable"))
}

// age watches every running member for a confirmation that is recent, or old.
func (run *stage) age(wanted string) {
	for _, at := range run.running() {
		Eventually(func(assert Gomega) {
			item, err := run.group.Watch(at)
			assert.Expect(err).NotTo(HaveOccurred())
			assert.Expect(item.GetRevision()).To(Equal(uint64(len(run.answers))))
			assert.Expect(item.GetAge() < 1000).To(Equal(wanted == "fresh"), "age %d ms", item.GetAge())
		}).WithTimeout(limit).Should(Succeed())
	}
}

// race sends two commands against one revision to two members at once.
func (run *stage) race(rounds int) {
	for round := range rounds {
		revision := len(run.answers)
		replies := make([]*wire.CommandReply, 2)
		var sending conc.WaitGroup
		for at := range replies {
			sending.Go(func() {
				defer GinkgoRecover()
				name := fmt.Sprintf("race%d-%d", round, at)
				reply, err := run.group.Execute((round+at)%3, name, fmt.Sprintf("create customer %s tier paid if revision %d", name, revision))
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
		run.answers[fmt.Sprintf("race%d", round)] = replies[winner]
	}
}

// alter changes two fields of one customer at once, each by another member.
func (run *stage) alter(rounds int) {
	for round := range rounds {
		var sending conc.WaitGroup
		for at, field := range []string{"weight", "priority"} {
			id := fmt.Sprintf("alter%d-%s", round, field)
			run.answers[id] = &wire.CommandReply{}
			sending.Go(func() {
				defer GinkgoRecover()
				reply, err := run.group.Execute((round+at)%3, id, fmt.Sprintf("alter customer c1 %s %d", field, round+2))
				Expect(err).NotTo(HaveOccurred())
				Expect(reply.GetCode()).To(BeEmpty(), reply.GetError())
			})
		}
		sending.Wait()
		item, err := run.group.Watch(run.leader())
		Expect(err).NotTo(HaveOccurred())
		var weight, priority int
		for _, change := range item.GetChanges() {
			weight, priority = int(change.GetChange().GetCustomer().GetWeight()), int(change.GetChange().GetCustomer().GetPriority())
		}
		Expect([]int{weight, priority}).To(Equal([]int{round + 2, round + 2}))
	}
}
