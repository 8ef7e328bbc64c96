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

// rank follows the rules of an engine.
type rank struct {
	swap.Rank
	newest   uint64
	copying  uint64
	copiedAt clock.Millis
}

// late is an order that is carried out some time after it was given.
type late struct {
	rank     int
	order    swap.Order
	expected uint64
	at       clock.Millis
}

// world is a group whose orders may be lost, late or unanswered, with
// coordinators that are replaced.
type world struct {
	ranks  []rank
	late   []late
	now    clock.Millis
	passAt clock.Millis
	random *rand.Rand
	// unanswered is the share of orders carried out late, idle that of time in
	// which the group makes no passes.
	unanswered, idle float64
	switched, stuck  int
	// frozen is the rank whose agent does not answer until thaw, and past the
	// states of all ranks from reportLag ago on.
	frozen int
	thaw   clock.Millis
	past   []instant
}

// instant is the state of all ranks at one time.
type instant struct {
	at    clock.Millis
	ranks []rank
}

func (world *world) take(at int, order swap.Order, expected uint64) bool {
	target := &world.ranks[at]
	switch order := order.(type) {
	case swap.Prepare:
		if order.Version == target.copying || order.Version == target.Prepared {
			return true
		}
		if expected != target.Sequence || order.Version <= target.newest || target.Armed != 0 {
			return false
		}
		target.newest, target.copying, target.copiedAt = order.Version, order.Version, world.now+clock.Millis(100+world.random.Int64N(400))
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
	case swap.Go:
		if target.Held == order.Step {
			target.Held = 0
		}
	}
	return true
}

func (world *world) give(send swap.Send, expected uint64) {
	if world.random.Float64() < world.unanswered {
		at := world.now + clock.Millis(2000+world.random.Int64N(10_000))
		world.late = append(world.late, late{send.Rank, send.Order, expected, at})
		return
	}
	world.take(send.Rank, send.Order, expected)
}

// pass begins the next pass unless a rank holds it, and checks the rule.
func (world *world) pass() error {
	step := world.ranks[0].Step + 1
	for _, rank := range world.ranks {
		if rank.Held == step {
			world.stuck++
			return nil
		}
	}
	for at := range world.ranks {
		rank := &world.ranks[at]
		rank.Step = step
		if rank.Armed != 0 && rank.ArmedStep == step {
			rank.Map, rank.Armed, rank.ArmedStep = rank.Armed, 0, 0
			world.switched++
		}
	}
	for at, rank := range world.ranks {
		if rank.Map != world.ranks[0].Map {
			return fmt.Errorf("at %s in step %d rank %d has map %d and rank 0 map %d", world.now, step, at, rank.Map, world.ranks[0].Map)
		}
	}
	return nil
}

func (world *world) advance(span clock.Millis) error {
	for end := world.now + span; world.now < end; world.now++ {
		for at := range world.ranks {
			rank := &world.ranks[at]
			if rank.copying != 0 && world.now >= rank.copiedAt {
				rank.Prepared, rank.copying = rank.copying, 0
			}
		}
		kept := world.late[:0]
		for _, order := range world.late {
			if order.at > world.now {
				kept = append(kept, order)
				continue
			}
			world.take(order.rank, order.order, order.expected)
		}
		world.late = kept
		if world.now < world.passAt {
			continue
		}
		world.passAt = world.now + clock.Millis(40+world.random.Int64N(80))
		if world.random.Float64() < world.idle {
			world.passAt += clock.Millis(world.random.Int64N(4000))
		}
		if err := world.pass(); err != nil {
			return err
		}
	}
	return nil
}

func (world *world) states() []swap.Rank {
	list := make([]swap.Rank, len(world.ranks))
	for at := range world.ranks {
		list[at] = world.ranks[at].Rank
	}
	return list
}

const (
	// freeze is how long an agent is stopped.
	freeze = 4 * clock.Second
	// reportLag is how old an engine's report is when another VM asks for it.
	reportLag = 300 * clock.Millis(1)
)

type script struct {
	Name       string  `json:"name"`
	Ranks      int     `json:"ranks"`
	Unanswered float64 `json:"unanswered"`
	Idle       float64 `json:"idle"`
	// Replaced is the share of rounds after which another coordinator goes on.
	Replaced float64 `json:"replaced"`
	// Frozen is the share of orders after which the rank's agent does not
	// answer for freeze; Rescued tells whether the coordinator goes around it.
	Frozen  float64 `json:"frozen"`
	Rescued bool    `json:"rescued"`
	// Lost is the share of orders that a coordinator does not get to give.
	Lost  float64      `json:"lost"`
	For   clock.Millis `json:"for"`
	Seeds int          `json:"seeds"`
	// Switches is the least number of maps that must come into force per seed.
	Switches int `json:"switches"`
}

// drive runs one seed of a script.
func drive(script script, seed uint64) (*world, error) {
	world := &world{
		ranks: make([]rank, script.Ranks), random: rand.New(rand.NewPCG(seed, seed)), unanswered: script.Unanswered, idle: script.Idle,
	}
	for at := range world.ranks {
		world.ranks[at].Epoch = 1
	}
	var coordinator swap.Swap
	for world.now < script.For {
		states := world.states()
		if world.now < world.thaw {
			// The engine's own report of the frozen rank is old.
			states[world.frozen] = world.past[0].ranks[world.frozen].Rank
			if send, ok := coordinator.Rescue(states); ok && script.Rescued {
				world.direct(send, script.Unanswered, &coordinator)
			}
			if err := world.step(); err != nil {
				return world, err
			}
			continue
		}
		if !coordinator.Busy() {
			coordinator.Want(swap.Version(states), 1, world.now)
		}
		for _, send := range coordinator.Next(states, world.now) {
			if world.random.Float64() >= script.Lost {
				world.give(send, states[send.Rank].Sequence)
			}
			if world.random.Float64() < script.Frozen {
				world.freeze(send.Rank)
			}
		}
		if world.random.Float64() < script.Replaced {
			coordinator = swap.Swap{}
		}
		if err := world.step(); err != nil {
			return world, err
		}
	}
	return world, nil
}

// freeze stops the agent of a rank. Orders that it has are carried out after.
func (world *world) freeze(rank int) {
	world.frozen, world.thaw = rank, world.now+freeze
}

// direct gives an order to the engine itself, which may answer or not.
func (world *world) direct(send swap.Send, unanswered float64, coordinator *swap.Swap) {
	if world.random.Float64() < unanswered {
		at := world.now + clock.Millis(2000+world.random.Int64N(10_000))
		world.late = append(world.late, late{send.Rank, send.Order, world.ranks[send.Rank].Sequence, at})
		return
	}
	world.take(send.Rank, send.Order, world.ranks[send.Rank].Sequence)
	coordinator.Released()
}

// step advances by a short time and keeps the states before it.
func (world *world) step() error {
	world.past = append(world.past, instant{world.now, append([]rank(nil), world.ranks...)})
	for len(world.past) > 1 && world.past[1].at <= world.now-reportLag {
		world.past = world.past[1:]
	}
	return world.advance(clock.Millis(5 + world.random.Int64N(60)))
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
		// Guards against a pass that begins while two ranks have different maps,
		// and against a group that is held for good.
		It(script.Name, func() {
			for seed := range uint64(script.Seeds) {
				world, err := drive(script, seed)
				Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
				Expect(world.switched/script.Ranks).To(BeNumerically(">=", script.Switches), "seed %d", seed)
			}
		})
	}

	// Guards against a group that makes no pass for as long as the agent of the
	// rank that holds it is stopped (npwfa-doors trouble-2, node_freeze giver).
	It("stops a group for a shorter time when it ends the hold without the agent", func() {
		plain, rescued := 0, 0
		for seed := range uint64(50) {
			script := script{Ranks: 12, For: 60 * clock.Second, Frozen: 0.02}
			world, err := drive(script, seed)
			Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
			plain += world.stuck
			script.Rescued = true
			world, err = drive(script, seed)
			Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
			rescued += world.stuck
		}
		GinkgoWriter.Println("passes not made, with agents only and without:", plain, rescued)
		Expect(rescued).To(BeNumerically("<", plain/2))
	})

	// Guards against a group that is held for good because a rank refuses to
	// prepare the map in use again.
	It("ends a hold once no late order can come any more", func() {
		ranks := []swap.Rank{{Epoch: 1, Step: 9, Prepared: 3, Held: 11}, {Epoch: 1, Step: 9, Prepared: 3}}
		var coordinator swap.Swap
		first := coordinator.Next(ranks, 1000)
		Expect(first).To(HaveLen(2))
		Expect(first[0].Order).To(Equal(swap.Prepare{Version: 4, Void: true}))
		Expect(coordinator.Next(ranks, 13_900)).To(Equal(first))
		Expect(coordinator.Next(ranks, 14_100)).To(Equal([]swap.Send{{Rank: 0, Order: swap.Go{Step: 11}}}))
	})

	// Guards against a check that cannot fail: without holds, ranks that are
	// armed one by one begin a pass apart.
	It("is noticed when ranks switch at different steps", func() {
		world := &world{ranks: make([]rank, 2), random: rand.New(rand.NewPCG(1, 1))}
		world.ranks[0].Armed, world.ranks[0].ArmedStep = 1, 1
		Expect(world.pass()).To(MatchError(ContainSubstring("rank 1 has map 0 and rank 0 map 1")))
	})
})
