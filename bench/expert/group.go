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
	delayLeast  = 1
	delaySpread = 20
	// lateSpan is how much later a late message arrives.
	lateSpan = 20_000
	loadTime = 2_000
)

// Faults are the chances of trouble, each for one tick of the group or for one
// message.
type Faults struct {
	Lose        float64 `json:"lose"`
	Late        float64 `json:"late"`
	Repeat      float64 `json:"repeat"`
	Restart     float64 `json:"restart"`
	Stall       float64 `json:"stall"`
	CutRank     float64 `json:"cutRank"`
	Coordinator float64 `json:"coordinator"`
	// NewMap is the chance that control accepts another map.
	NewMap float64 `json:"newMap"`
}

// Fault is a rule that a group can be made to break, to show that the check notices.
type Fault int

// Planted faults.
const (
	None Fault = iota
	// IgnoreHold lets ranks begin a step that they hold.
	IgnoreHold
	// ActivateEarly puts a map in force on each rank that holds, without waiting
	// for the others.
	ActivateEarly
)

type message struct {
	at     clock.Millis
	rank   int
	order  expert.Order
	status *expert.Status
}

type rank struct {
	gate  expert.Gate
	life  uint64
	begun bool
	epoch uint64
	// ready is when the rank may begin its next step, stalled until when it does nothing.
	ready   clock.Millis
	stalled clock.Millis
	cut     clock.Millis
	loaded  clock.Millis
	loading uint64
}

// Group is a rank group in lock-step with its gates and coordinator, in
// virtual time. A step is complete when every rank has begun it.
type Group struct {
	random      *rand.Rand
	faults      Faults
	fault       Fault
	now         clock.Millis
	ranks       []*rank
	coordinator *expert.Coordinator
	ballot      uint64
	wanted      uint64
	mail        []message

	// Steps counts complete steps, Mixed those in which ranks ran different
	// maps, Switched the maps that took force.
	Steps, Mixed, Switched int
	// Waited is the time in which the group ran no step.
	Waited clock.Millis
	epoch  uint64
	last   clock.Millis
}

// NewGroup returns a group whose ranks have just started.
func NewGroup(seed uint64, ranks int, faults Faults, fault Fault) *Group {
	group := &Group{random: rand.New(rand.NewPCG(seed, 7)), faults: faults, fault: fault, wanted: 1, epoch: 1}
	for at := range ranks {
		group.ranks = append(group.ranks, &rank{life: 1, gate: expert.NewGate(at, 1)})
	}
	group.restartCoordinator()
	return group
}

func (group *Group) restartCoordinator() {
	group.ballot++
	group.coordinator = expert.NewCoordinator(len(group.ranks), group.ballot, group.wanted)
}

func (group *Group) chance(share float64) bool { return group.random.Float64() < share }

// Run goes on until a number of steps is complete or the time is over.
func (group *Group) Run(steps int, limit clock.Millis) {
	for group.Steps < steps && group.now < limit {
		group.now += tick
		group.trouble()
		group.deliver()
		for _, send := range group.coordinator.Tick(group.now) {
			group.post(message{rank: send.Rank, order: send.Order})
		}
		group.step()
	}
}

func (group *Group) trouble() {
	if group.chance(group.faults.NewMap) {
		group.wanted++
	}
	// Another control leader may send what an earlier one had accepted.
	group.coordinator.SetTarget(group.wanted - uint64(group.random.IntN(2)))
	group.coordinator.SetTarget(group.wanted)
	if group.chance(group.faults.Coordinator) {
		group.restartCoordinator()
	}
	victim := group.ranks[group.random.IntN(len(group.ranks))]
	if group.chance(group.faults.Restart) {
		victim.life++
		victim.gate = expert.NewGate(victim.gate.Status().Rank, victim.life)
		victim.begun, victim.loading = false, 0
	}
	if group.chance(group.faults.Stall) {
		victim.stalled = group.now + clock.Millis(group.random.IntN(5_000))
	}
	if group.chance(group.faults.CutRank) {
		victim.cut = group.now + clock.Millis(group.random.IntN(10_000))
	}
}

// post sends a message with the network's faults.
func (group *Group) post(sent message) {
	if group.ranks[sent.rank].cut > group.now || group.chance(group.faults.Lose) {
		return
	}
	copies := 1
	if group.chance(group.faults.Repeat) {
		copies++
	}
	for range copies {
		sent.at = group.now + delayLeast + clock.Millis(group.random.IntN(delaySpread))
		if group.chance(group.faults.Late) {
			sent.at += clock.Millis(group.random.IntN(lateSpan))
		}
		group.mail = append(group.mail, sent)
	}
}

func (group *Group) deliver() {
	due := group.mail
	group.mail = nil
	for _, sent := range due {
		if sent.at > group.now {
			group.mail = append(group.mail, sent)
			continue
		}
		if sent.status != nil {
			group.coordinator.HandleStatus(*sent.status)
			continue
		}
		group.obey(sent.rank, sent.order)
	}
}

func (group *Group) obey(at int, order expert.Order) {
	target := group.ranks[at]
	if target.stalled > group.now {
		group.mail = append(group.mail, message{at: target.stalled, rank: at, order: order})
		return
	}
	target.gate = target.gate.WithOrder(order)
	if hold, ok := order.(expert.Hold); ok && group.fault == ActivateEarly {
		target.gate = target.gate.WithOrder(expert.Activate(hold))
	}
	if loading := target.gate.Loading(); loading != 0 && loading != target.loading {
		target.loading, target.loaded = loading, group.now+clock.Millis(group.random.IntN(loadTime))
	}
	status := target.gate.Status()
	group.post(message{rank: at, status: &status})
}

// step lets every rank begin that may, and completes the step when all have.
func (group *Group) step() {
	all := true
	for _, target := range group.ranks {
		group.load(target)
		if !target.begun && target.stalled <= group.now && target.ready <= group.now {
			target.epoch, target.begun = group.begin(target)
		}
		all = all && target.begun
	}
	if !all {
		return
	}
	group.complete()
}

func (group *Group) load(target *rank) {
	if target.loading != 0 && target.loaded <= group.now {
		target.gate = target.gate.WithLoaded(target.loading)
		target.loading = 0
	}
}

func (group *Group) begin(target *rank) (uint64, bool) {
	epoch, ok := target.gate.Begin()
	if !ok && group.fault == IgnoreHold && target.gate.Status().Joined {
		return target.gate.Status().Epoch, true
	}
	return epoch, ok
}

func (group *Group) complete() {
	group.Steps++
	mixed := false
	for _, target := range group.ranks {
		mixed = mixed || target.epoch != group.ranks[0].epoch
		target.gate = target.gate.WithStep()
		target.begun, target.ready = false, group.now+stepTime
	}
	if mixed {
		group.Mixed++
	}
	if group.ranks[0].epoch != group.epoch {
		group.Switched++
		group.epoch = group.ranks[0].epoch
	}
	if group.last > 0 {
		group.Waited += max(0, group.now-group.last-stepTime-tick)
	}
	group.last = group.now
}
