package expert

import (
	"math/rand/v2"

	"github.com/hibiscuslug/hibiscuslug/internal/expert"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// The model's times, in milliseconds of virtual time.
const (
	tick        = 5 * clock.Millis(1)
	stepTime    = 33 * clock.Millis(1)
	minDelay    = 1
	delaySpread = 20
	// maxLateDelay limits the additional delay of a late message.
	maxLateDelay = 20_000
	// maxLoadTime limits the time that a rank takes to load a map.
	maxLoadTime = 2_000
)

// Faults are the probabilities of faults: Lose, Late and Repeat for each message, the
// others for each tick of the group.
type Faults struct {
	Lose    float64 `json:"lose"`
	Late    float64 `json:"late"`
	Repeat  float64 `json:"repeat"`
	Restart float64 `json:"restart"`
	Stall   float64 `json:"stall"`
	// CutRank is the probability that a rank loses its connection for a while.
	CutRank float64 `json:"cutRank"`
	// Coordinator is the probability that the coordinator restarts.
	Coordinator float64 `json:"coordinator"`
	// NewMap is the probability that control accepts a new map.
	NewMap float64 `json:"newMap"`
}

// Violation is a protocol rule that a group is made to break, to verify that the check
// detects it.
type Violation int

// Violations that can be injected.
const (
	None Violation = iota
	// IgnoreHold lets ranks begin steps while they hold.
	IgnoreHold
	// ActivateEarly activates a map on each rank as soon as it holds, without
	// waiting for the others.
	ActivateEarly
)

// message is an order to a rank, or a status from it if status is set.
type message struct {
	at     clock.Millis
	rank   int
	order  expert.Order
	status *expert.Status
}

type rank struct {
	gate        expert.Gate
	incarnation uint64
	// begun is set once the rank has begun the present step, with the map of epoch.
	begun bool
	epoch uint64
	// readyAt is the time from which the rank can begin its next step.
	readyAt clock.Millis
	// stalledUntil is the time until which the rank does nothing, and cutUntil the
	// time until which its messages are lost.
	stalledUntil clock.Millis
	cutUntil     clock.Millis
	// loadedAt is the time when the map that the rank loads, loading, is loaded.
	// loading is 0 if the rank loads none.
	loadedAt clock.Millis
	loading  uint64
}

// Group simulates a rank group that runs in lockstep, with its gates and coordinator,
// in virtual time. A step is complete when every rank has begun it.
type Group struct {
	random      *rand.Rand
	faults      Faults
	violation   Violation
	now         clock.Millis
	ranks       []*rank
	coordinator *expert.Coordinator
	ballot      uint64
	// target is the latest map that control accepted.
	target   uint64
	inFlight []message

	// Steps counts complete steps, Mixed the steps in which ranks ran different
	// maps, and Switched the changes of the active map.
	Steps, Mixed, Switched int
	// Waited is the total time by which steps were delayed.
	Waited clock.Millis
	// epoch is the map of the last complete step, which ended at lastStep.
	epoch    uint64
	lastStep clock.Millis
}

// NewGroup returns a group whose ranks have just started.
func NewGroup(seed uint64, ranks int, faults Faults, violation Violation) *Group {
	group := &Group{random: rand.New(rand.NewPCG(seed, 7)), faults: faults, violation: violation, target: 1, epoch: 1}
	for at := range ranks {
		group.ranks = append(group.ranks, &rank{incarnation: 1, gate: expert.NewGate(at, 1)})
	}
	group.restartCoordinator()
	return group
}

func (group *Group) restartCoordinator() {
	group.ballot++
	group.coordinator = expert.NewCoordinator(len(group.ranks), group.ballot, group.target)
}

func (group *Group) chance(share float64) bool { return group.random.Float64() < share }

// Run simulates until a number of steps is complete or a time is reached.
func (group *Group) Run(steps int, limit clock.Millis) {
	for group.Steps < steps && group.now < limit {
		group.now += tick
		group.injectFaults()
		group.deliver()
		for _, send := range group.coordinator.Tick(group.now) {
			group.send(message{rank: send.Rank, order: send.Order})
		}
		group.step()
	}
}

// injectFaults changes the target map and injects faults for one tick.
func (group *Group) injectFaults() {
	if group.chance(group.faults.NewMap) {
		group.target++
	}
	// After a change of the control leader, an earlier target can arrive again.
	group.coordinator.SetTarget(group.target - uint64(group.random.IntN(2)))
	group.coordinator.SetTarget(group.target)
	if group.chance(group.faults.Coordinator) {
		group.restartCoordinator()
	}
	victim := group.ranks[group.random.IntN(len(group.ranks))]
	if group.chance(group.faults.Restart) {
		victim.incarnation++
		victim.gate = expert.NewGate(victim.gate.Status().Rank, victim.incarnation)
		victim.begun, victim.loading = false, 0
	}
	if group.chance(group.faults.Stall) {
		victim.stalledUntil = group.now + clock.Millis(group.random.IntN(5_000))
	}
	if group.chance(group.faults.CutRank) {
		victim.cutUntil = group.now + clock.Millis(group.random.IntN(10_000))
	}
}

// send sends a message over a network that can lose, delay and repeat it.
func (group *Group) send(sent message) {
	if group.ranks[sent.rank].cutUntil > group.now || group.chance(group.faults.Lose) {
		return
	}
	copies := 1
	if group.chance(group.faults.Repeat) {
		copies++
	}
	for range copies {
		sent.at = group.now + minDelay + clock.Millis(group.random.IntN(delaySpread))
		if group.chance(group.faults.Late) {
			sent.at += clock.Millis(group.random.IntN(maxLateDelay))
		}
		group.inFlight = append(group.inFlight, sent)
	}
}

func (group *Group) deliver() {
	due := group.inFlight
	group.inFlight = nil
	for _, sent := range due {
		if sent.at > group.now {
			group.inFlight = append(group.inFlight, sent)
			continue
		}
		if sent.status != nil {
			group.coordinator.HandleStatus(*sent.status)
			continue
		}
		group.handleOrder(sent.rank, sent.order)
	}
}

// handleOrder applies an order to a rank's gate and sends the rank's status. A stalled
// rank receives the order when it continues.
func (group *Group) handleOrder(at int, order expert.Order) {
	member := group.ranks[at]
	if member.stalledUntil > group.now {
		group.inFlight = append(group.inFlight, message{at: member.stalledUntil, rank: at, order: order})
		return
	}
	member.gate = member.gate.WithOrder(order)
	if hold, ok := order.(expert.Hold); ok && group.violation == ActivateEarly {
		member.gate = member.gate.WithOrder(expert.Activate(hold))
	}
	if loading := member.gate.Loading(); loading != 0 && loading != member.loading {
		member.loading, member.loadedAt = loading, group.now+clock.Millis(group.random.IntN(maxLoadTime))
	}
	status := member.gate.Status()
	group.send(message{rank: at, status: &status})
}

// step begins the step on every rank that can, and completes it once all ranks have
// begun.
func (group *Group) step() {
	all := true
	for _, member := range group.ranks {
		group.load(member)
		if !member.begun && member.stalledUntil <= group.now && member.readyAt <= group.now {
			member.epoch, member.begun = group.begin(member)
		}
		all = all && member.begun
	}
	if !all {
		return
	}
	group.complete()
}

func (group *Group) load(member *rank) {
	if member.loading != 0 && member.loadedAt <= group.now {
		member.gate = member.gate.WithLoaded(member.loading)
		member.loading = 0
	}
}

func (group *Group) begin(member *rank) (uint64, bool) {
	epoch, ok := member.gate.Begin()
	if !ok && group.violation == IgnoreHold && member.gate.Status().Joined {
		return member.gate.Status().Epoch, true
	}
	return epoch, ok
}

func (group *Group) complete() {
	group.Steps++
	mixed := false
	for _, member := range group.ranks {
		mixed = mixed || member.epoch != group.ranks[0].epoch
		member.gate = member.gate.WithStep()
		member.begun, member.readyAt = false, group.now+stepTime
	}
	if mixed {
		group.Mixed++
	}
	if group.ranks[0].epoch != group.epoch {
		group.Switched++
		group.epoch = group.ranks[0].epoch
	}
	if group.lastStep > 0 {
		group.Waited += max(0, group.now-group.lastStep-stepTime-tick)
	}
	group.lastStep = group.now
}
