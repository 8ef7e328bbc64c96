package queue_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/queue"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Queue")
}

// step is one event and the decisions expected from it.
type step struct {
	At       clock.Millis `json:"at"`
	Push     *queue.Item  `json:"push"`
	End      string       `json:"end"`
	Remove   string       `json:"remove"`
	Progress string       `json:"progress"`
	Produced uint32       `json:"produced"`
	Want     []string     `json:"want"`
}

type script struct {
	Name     string         `json:"name"`
	Settings queue.Settings `json:"settings"`
	Steps    []step         `json:"steps"`
}

var _ = Describe("the queue's decisions", func() {
	text, err := os.ReadFile("testdata/decisions.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			subject := queue.New(script.Settings)
			for number, step := range script.Steps {
				Expect(describe(play(subject, step))).To(Equal(append([]string{}, step.Want...)), "step %d", number)
			}
		})
	}

	// Guards against inconsistent decisions: a slot assigned twice, a paid attempt
	// that waits while free work that could be preempted runs, or a lost attempt.
	It("keeps its invariants over random events", func() {
		for seed := range uint64(30) {
			checkRandomEvents(seed)
		}
	})
})

func play(subject *queue.Queue, step step) []queue.Decision {
	switch {
	case step.Push != nil:
		step.Push.Arrived = step.At
		return subject.Push(step.At, *step.Push)
	case step.End != "":
		return subject.End(step.At, step.End)
	case step.Progress != "":
		subject.Progress(step.Progress, step.Produced)
	case step.Remove != "":
		subject.Remove(step.Remove)
	}
	return subject.Tick(step.At)
}

func describe(decisions []queue.Decision) []string {
	list := []string{}
	for _, decision := range decisions {
		switch decision := decision.(type) {
		case queue.Start:
			list = append(list, "start "+decision.ID)
		case queue.Pause:
			list = append(list, "pause "+decision.ID)
		case queue.Resume:
			list = append(list, "resume "+decision.ID)
		case queue.Cancel:
			list = append(list, "cancel "+decision.ID)
		case queue.Refuse:
			list = append(list, "refuse "+decision.ID+": "+string(decision.Reason))
		}
	}
	return list
}

// model is the state of an engine that carries out the queue's decisions.
type model struct {
	seed    uint64
	slots   int
	items   map[string]queue.Item
	running map[string]bool
	paused  map[string]bool
	waiting map[string]bool
}

func (model *model) apply(decisions []queue.Decision) {
	takeFrom := func(set map[string]bool, id string) {
		Expect(set).To(HaveKey(id), "seed %d", model.seed)
		delete(set, id)
	}
	for _, decision := range decisions {
		switch decision := decision.(type) {
		case queue.Start:
			takeFrom(model.waiting, decision.ID)
			model.running[decision.ID] = true
		case queue.Resume:
			takeFrom(model.paused, decision.ID)
			model.running[decision.ID] = true
		case queue.Pause:
			takeFrom(model.running, decision.ID)
			Expect(model.items[decision.ID].Fixed).To(BeFalse(), "seed %d", model.seed)
			model.paused[decision.ID] = true
		case queue.Cancel:
			Expect(model.items[decision.ID].Fixed).To(BeFalse(), "seed %d", model.seed)
			if model.paused[decision.ID] {
				delete(model.paused, decision.ID)
			} else {
				takeFrom(model.running, decision.ID)
			}
		case queue.Refuse:
			takeFrom(model.waiting, decision.ID)
		}
		Expect(len(model.running)).To(BeNumerically("<=", model.slots), "seed %d", model.seed)
	}
}

// check compares the queue's load with the model, and requires that no slot is idle
// while work waits and that free work runs beside waiting paid work only if fixed.
func (model *model) check(subject *queue.Queue) {
	load := subject.Load()
	Expect(load.Running).To(Equal(len(model.running)), "seed %d", model.seed)
	Expect(load.Waiting).To(Equal(len(model.waiting)+len(model.paused)), "seed %d", model.seed)
	if load.Waiting > 0 {
		Expect(load.Running).To(Equal(model.slots), "seed %d", model.seed)
	}
	for id := range model.running {
		if load.WaitingPaid > 0 && model.items[id].Tier == wire.Tier_TIER_FREE {
			Expect(model.items[id].Fixed).To(BeTrue(), "free %s runs while paid work waits, seed %d", id, model.seed)
		}
	}
}

// checkRandomEvents checks the decisions on a random sequence of events.
func checkRandomEvents(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	settings := queue.Defaults(4, true)
	settings.MaxWaiting, settings.MaxPerCustomer = 20, 15
	subject := queue.New(settings)
	state := &model{seed: seed, slots: 4, items: map[string]queue.Item{}, running: map[string]bool{}, paused: map[string]bool{}, waiting: map[string]bool{}}
	for now := range clock.Millis(3000) {
		running := ""
		for id := range state.running {
			running = max(running, id)
		}
		switch kind := random.IntN(10); {
		case kind < 4:
			item := queue.Item{
				ID: fmt.Sprint("r", now), Customer: fmt.Sprint("c", random.IntN(4)), Tier: wire.Tier(1 + random.IntN(2)),
				Priority: int32(random.IntN(2)), Weight: uint32(1 + random.IntN(3)), Size: uint32(1 + random.IntN(1000)),
				Arrived: now, Deadline: now + clock.Millis(1+random.IntN(200)), Fixed: random.IntN(10) == 0, Counted: random.IntN(4) > 0,
			}
			state.items[item.ID] = item
			state.waiting[item.ID] = true
			state.apply(subject.Push(now, item))
		case kind < 6 && running != "":
			delete(state.running, running)
			state.apply(subject.End(now, running))
		case kind < 9 && running != "":
			subject.Progress(running, uint32(random.IntN(2000)))
			state.apply(subject.Tick(now))
		default:
			state.apply(subject.Tick(now))
		}
		state.check(subject)
	}
}
