package swap_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/swap"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestSwap(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Swap")
}

// fakeRank accepts and refuses orders as an engine does.
type fakeRank struct {
	swap.Rank
	highest  uint64
	copying  uint64
	copiedAt clock.Millis
}

// delayedOrder is an order that is carried out some time after it was sent.
type delayedOrder struct {
	rank     int
	order    swap.Order
	expected uint64
	at       clock.Millis
}

// simulation is a group whose orders may be lost, delayed or unanswered, with
// coordinators that are replaced.
type simulation struct {
	ranks   []fakeRank
	delayed []delayedOrder
	now     clock.Millis
	passAt  clock.Millis
	random  *rand.Rand
	// unanswered is the share of orders that are carried out late without a
	// reply, idle the share of passes that are followed by a pause.
	unanswered, idle float64
	// sends is how often an agent sends an order that is not answered.
	sends                int
	switched, heldPasses int
	// frozen is the rank whose agent does not answer until frozenUntil. history
	// holds the states of all ranks since reportLag ago.
	frozen      int
	frozenUntil clock.Millis
	history     []snapshot
}

// snapshot holds the state of all ranks at one time.
type snapshot struct {
	at    clock.Millis
	ranks []fakeRank
}

func (group *simulation) apply(at int, order swap.Order, expected uint64) bool {
	target := &group.ranks[at]
	switch order := order.(type) {
	case swap.Prepare:
		if order.Version == target.copying || order.Version == target.Prepared {
			return true
		}
		if expected != target.Sequence || order.Version <= target.highest || target.Armed != 0 {
			return false
		}
		target.highest, target.copying, target.copiedAt = order.Version, order.Version, group.now+clock.Millis(100+group.random.Int64N(400))
		target.Prepared = 0
		target.Sequence++
	case swap.Arm:
		if target.Armed == order.Version && target.ArmedStep == order.Step {
			return true
		}
		if expected != target.Sequence || target.Prepared != order.Version || order.Step <= target.Step || target.Armed != 0 {
			return false
		}
		target.Armed, target.ArmedStep = order.Version, order.Step
		target.Sequence++
	case swap.Disarm:
		if expected != target.Sequence || order.Version == target.Map && order.Version != 0 {
			return false
		}
		if target.Armed == order.Version {
			target.Armed, target.ArmedStep = 0, 0
			target.Sequence++
		}
	case swap.Hold:
		if order.Step <= target.Step || target.Held != 0 && target.Held != order.Step {
			return false
		}
		target.Held = order.Step
	case swap.Release:
		if target.Held == order.Step {
			target.Held = 0
		}
	}
	return true
}

func (group *simulation) send(send swap.Send, expected uint64) {
	for range max(group.sends, 1) {
		if group.random.Float64() >= group.unanswered {
			group.apply(send.Rank, send.Order, expected)
			return
		}
		at := group.now + clock.Millis(2000+group.random.Int64N(10_000))
		group.delayed = append(group.delayed, delayedOrder{send.Rank, send.Order, expected, at})
	}
}

// pass begins the next pass unless a rank holds it, and returns an error if the
// ranks use different maps.
func (group *simulation) pass() error {
	step := group.ranks[0].Step + 1
	for _, rank := range group.ranks {
		if rank.Held == step {
			group.heldPasses++
			return nil
		}
	}
	for at := range group.ranks {
		rank := &group.ranks[at]
		rank.Step = step
		if rank.Armed != 0 && rank.ArmedStep == step {
			rank.Map, rank.Armed, rank.ArmedStep = rank.Armed, 0, 0
			group.switched++
		}
	}
	for at, rank := range group.ranks {
		if rank.Map != group.ranks[0].Map {
			return fmt.Errorf("at %s in step %d rank %d has map %d and rank 0 map %d", group.now, step, at, rank.Map, group.ranks[0].Map)
		}
	}
	return nil
}

func (group *simulation) advance(span clock.Millis) error {
	for end := group.now + span; group.now < end; group.now++ {
		for at := range group.ranks {
			rank := &group.ranks[at]
			if rank.copying != 0 && group.now >= rank.copiedAt {
				rank.Prepared, rank.copying = rank.copying, 0
			}
		}
		kept := group.delayed[:0]
		for _, order := range group.delayed {
			if order.at > group.now {
				kept = append(kept, order)
				continue
			}
			group.apply(order.rank, order.order, order.expected)
		}
		group.delayed = kept
		if group.now < group.passAt {
			continue
		}
		group.passAt = group.now + clock.Millis(40+group.random.Int64N(80))
		if group.random.Float64() < group.idle {
			group.passAt += clock.Millis(group.random.Int64N(4000))
		}
		if err := group.pass(); err != nil {
			return err
		}
	}
	return nil
}

func (group *simulation) states() []swap.Rank {
	list := make([]swap.Rank, len(group.ranks))
	for at := range group.ranks {
		list[at] = group.ranks[at].Rank
	}
	return list
}

const (
	// freezeTime is how long an agent stays frozen.
	freezeTime = 4 * clock.Second
	// reportLag is the age of an engine's report when it is read from another
	// VM.
	reportLag = 300 * clock.Millis(1)
)

type script struct {
	Name       string  `json:"name"`
	Ranks      int     `json:"ranks"`
	Unanswered float64 `json:"unanswered"`
	// Sends is how often an agent sends an order that is not answered.
	Sends int     `json:"sends"`
	Idle  float64 `json:"idle"`
	// Replaced is the share of rounds after which a new coordinator takes over.
	Replaced float64 `json:"replaced"`
	// Frozen is the share of orders after which the rank's agent is frozen.
	// ForceRelease lets the coordinator send to the engine directly meanwhile.
	Frozen       float64 `json:"frozen"`
	ForceRelease bool    `json:"rescued"`
	// Lost is the share of orders that never reach a rank.
	Lost  float64      `json:"lost"`
	For   clock.Millis `json:"for"`
	Seeds int          `json:"seeds"`
	// Switches is the minimum number of maps that must come into force per
	// seed.
	Switches int `json:"switches"`
}

// simulate runs a script with one seed.
func simulate(script script, seed uint64) (*simulation, error) {
	group := &simulation{
		ranks: make([]fakeRank, script.Ranks), random: rand.New(rand.NewPCG(seed, seed)), unanswered: script.Unanswered, idle: script.Idle, sends: script.Sends,
	}
	for at := range group.ranks {
		group.ranks[at].Epoch = 1
	}
	var coordinator swap.Swap
	for group.now < script.For {
		states := group.states()
		if group.now < group.frozenUntil {
			// The coordinator gets an outdated report of the frozen rank from
			// its engine.
			states[group.frozen] = group.history[0].ranks[group.frozen].Rank
			if send, ok := coordinator.ForceRelease(states); ok && script.ForceRelease {
				group.sendDirect(send, script.Unanswered, &coordinator)
			}
			if err := group.step(); err != nil {
				return group, err
			}
			continue
		}
		if !coordinator.Busy() {
			coordinator.Start(swap.NextVersion(states), 1, group.now)
		}
		for _, send := range coordinator.Next(states, group.now) {
			if group.random.Float64() >= script.Lost {
				group.send(send, states[send.Rank].Sequence)
			}
			if group.random.Float64() < script.Frozen {
				group.freeze(send.Rank)
			}
		}
		if group.random.Float64() < script.Replaced {
			coordinator = swap.Swap{}
		}
		if err := group.step(); err != nil {
			return group, err
		}
	}
	return group, nil
}

// freeze stops the agent of a rank. The agent carries out orders it already has
// after the freeze.
func (group *simulation) freeze(rank int) {
	group.frozen, group.frozenUntil = rank, group.now+freezeTime
}

// sendDirect sends an order to the engine itself, which may carry it out late and
// without a reply.
func (group *simulation) sendDirect(send swap.Send, unanswered float64, coordinator *swap.Swap) {
	if group.random.Float64() < unanswered {
		at := group.now + clock.Millis(2000+group.random.Int64N(10_000))
		group.delayed = append(group.delayed, delayedOrder{send.Rank, send.Order, group.ranks[send.Rank].Sequence, at})
		return
	}
	group.apply(send.Rank, send.Order, group.ranks[send.Rank].Sequence)
	coordinator.Released()
}

// step records the states and then advances by a short random time.
func (group *simulation) step() error {
	group.history = append(group.history, snapshot{group.now, append([]fakeRank(nil), group.ranks...)})
	for len(group.history) > 1 && group.history[1].at <= group.now-reportLag {
		group.history = group.history[1:]
	}
	return group.advance(clock.Millis(5 + group.random.Int64N(60)))
}

var _ = Describe("the switch of a group to another map", func() {
	text, err := os.ReadFile("testdata/switches.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		// Guards against a pass that begins while two ranks use different maps, and
		// against a hold that never ends.
		It(script.Name, func() {
			for seed := range uint64(script.Seeds) {
				group, err := simulate(script, seed)
				Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
				Expect(group.switched/script.Ranks).To(BeNumerically(">=", script.Switches), "seed %d", seed)
			}
		})
	}

	// Guards against a group that makes no pass while the agent of the rank with the
	// hold is frozen.
	It("stops a group for a shorter time when it ends the hold without the agent", func() {
		agentsOnly, forced := 0, 0
		for seed := range uint64(50) {
			script := script{Ranks: 12, For: 60 * clock.Second, Frozen: 0.02}
			group, err := simulate(script, seed)
			Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
			agentsOnly += group.heldPasses
			script.ForceRelease = true
			group, err = simulate(script, seed)
			Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
			forced += group.heldPasses
		}
		GinkgoWriter.Println("passes held, with agents only and with forced releases:", agentsOnly, forced)
		Expect(forced).To(BeNumerically("<", agentsOnly/2))
	})

	// Guards against a large group that stands still while engines leave half of the
	// orders unanswered: then hardly any round reaches all ranks.
	It("holds a large group for a shorter time when agents send orders again", func() {
		var held, switched [2]float64
		for seed := range uint64(6) {
			script := script{Ranks: 63, For: 60 * clock.Second, Unanswered: 0.5}
			for at, sends := range []int{1, 8} {
				script.Sends = sends
				group, err := simulate(script, seed)
				Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
				held[at] += float64(group.heldPasses)
				switched[at] += float64(group.switched) / float64(script.Ranks)
			}
		}
		GinkgoWriter.Println("passes held and switches, sent once and again:", held, switched)
		Expect(held[1] / switched[1]).To(BeNumerically("<", held[0]/max(switched[0], 1)/4))
		Expect(switched[1]).To(BeNumerically(">", 4*switched[0]))
	})

	// Guards against a hold that never ends because a rank refuses to prepare the
	// map in use again.
	It("ends a hold once no order can still arrive late", func() {
		ranks := []swap.Rank{{Epoch: 1, Step: 9, Prepared: 3, Held: 11}, {Epoch: 1, Step: 9, Prepared: 3}}
		var coordinator swap.Swap
		first := coordinator.Next(ranks, 1000)
		Expect(first).To(HaveLen(2))
		Expect(first[0].Order).To(Equal(swap.Prepare{Version: 4, Fence: true}))
		Expect(coordinator.Next(ranks, 13_900)).To(Equal(first))
		Expect(coordinator.Next(ranks, 14_100)).To(Equal([]swap.Send{{Rank: 0, Order: swap.Release{Step: 11}}}))
	})

	// Guards against a check that cannot fail: without a hold, ranks that are armed
	// one after the other use different maps in one pass.
	It("is noticed when ranks switch at different steps", func() {
		group := &simulation{ranks: make([]fakeRank, 2), random: rand.New(rand.NewPCG(1, 1))}
		group.ranks[0].Armed, group.ranks[0].ArmedStep = 1, 1
		Expect(group.pass()).To(MatchError(ContainSubstring("rank 1 has map 0 and rank 0 map 1")))
	})
})
