package quorum_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	stepSpan        = 10 * clock.Millis(1)
	electionTimeout = 200 * clock.Millis(1)
	calmSteps       = 3000
)

// script is a schedule of faults; the numbers are chances for each step.
type script struct {
	Name      string  `json:"name"`
	Violation string  `json:"violation"`
	Nodes     int     `json:"nodes"`
	Seeds     uint64  `json:"seeds"`
	Steps     int     `json:"steps"`
	Propose   float64 `json:"propose"`
	Flush     float64 `json:"flush"`
	Compact   float64 `json:"compact"`
	Loss      float64 `json:"loss"`
	Duplicate float64 `json:"duplicate"`
	Delay     int     `json:"delay"`
	Crash     float64 `json:"crash"`
	Cut       float64 `json:"cut"`
	Empty     float64 `json:"empty"`
	Resign    float64 `json:"resign"`
	Damage    float64 `json:"damage"`
	Isolate   bool    `json:"isolate"`
}

// node is one control VM: a core, its disk and what it has applied.
type node struct {
	name    string
	disk    uint64
	stored  quorum.Stored
	core    *quorum.Core
	queue   []quorum.Action
	applied uint64
	hash    uint64
}

type flying struct {
	at      int
	message *wire.PeerMessage
}

// position is a committed place in the log, with a hash of all up to it.
type position struct {
	term uint64
	hash uint64
}

// cluster drives cores in virtual time and checks them after every step.
type cluster struct {
	script   script
	fault    string
	random   *rand.Rand
	step     int
	nodes    []*node
	flying   []flying
	cut      map[string]bool
	leaders  map[uint64]quorum.Peer
	history  []position
	served   uint64
	members  []*wire.ControlMember
	proposed int
	disks    uint64
	emptied  int
	isolated *node
	failure  error
}

func newCluster(script script, fault string, seed uint64) *cluster {
	run := &cluster{
		script: script, fault: fault, random: rand.New(rand.NewPCG(seed, 7)), cut: map[string]bool{},
		leaders: map[uint64]quorum.Peer{}, history: make([]position, 1),
	}
	for at := range script.Nodes {
		run.nodes = append(run.nodes, &node{name: fmt.Sprintf("control%d", at+1)})
	}
	for _, each := range run.nodes {
		run.empty(each)
	}
	return run
}

func (run *cluster) chance(of float64) bool { return run.random.Float64() < of }

func (run *cluster) fail(format string, values ...any) {
	if run.failure == nil {
		run.failure = fmt.Errorf("step %d: "+format, append([]any{run.step}, values...)...)
	}
}

// empty starts a node with a new, empty disk.
func (run *cluster) empty(each *node) {
	run.disks++
	each.disk, each.stored = run.disks, quorum.Stored{}
	run.start(each)
}

func (run *cluster) start(each *node) {
	var first []*wire.ControlMember
	for _, other := range run.nodes {
		first = append(first, &wire.ControlMember{Name: other.name, Address: other.name})
	}
	each.queue = nil
	each.applied, each.hash = each.stored.Image.GetIndex(), each.stored.Image.GetSettings().GetRevision()
	stored := each.stored
	stored.Entries = append([]*wire.Entry(nil), stored.Entries...)
	each.core = quorum.New(quorum.Settings{
		Self: quorum.Peer{Name: each.name, Disk: each.disk}, Address: each.name, First: first,
		ElectionTimeout: electionTimeout, Seed: run.random.Uint64(), KeptBehind: 20, PieceBytes: 64,
	}, stored, run.now(each))
}

// now is the node's clock. A slow one breaks the lease's assumption.
func (run *cluster) now(each *node) clock.Millis {
	span := clock.Millis(run.step) * stepSpan
	if run.fault == "slowClock" && each == run.nodes[0] {
		span /= 3
	}
	return 1000 + span
}

// crash restarts a node; of what was not synced, a part from the front survives.
func (run *cluster) crash(each *node) {
	for len(each.queue) > 0 && run.chance(0.5) {
		each.persist(each.queue[0], run.fault)
		each.queue = each.queue[1:]
	}
	run.start(each)
}

func (each *node) persist(action quorum.Action, fault string) {
	save, ok := action.(quorum.Save)
	if !ok {
		return
	}
	if save.Hard != nil {
		each.stored.Hard = *save.Hard
		if fault == "forgetVote" {
			each.stored.Hard = quorum.HardState{}
		}
	}
	if save.Image != nil {
		each.persistImage(save)
	}
	base := each.stored.Image.GetIndex()
	for _, entry := range save.Entries {
		if entry.GetIndex() > base {
			each.stored.Entries = append(each.stored.Entries[:entry.GetIndex()-base-1], entry)
		}
	}
}

func (each *node) persistImage(save quorum.Save) {
	image := &wire.Image{}
	if err := image.UnmarshalVT(save.Image); err != nil {
		panic(err)
	}
	var kept []*wire.Entry
	for _, entry := range each.stored.Entries {
		if entry.GetIndex() > save.ImageIndex && !save.Reset {
			kept = append(kept, entry)
		}
	}
	each.stored.Image, each.stored.Entries = image, kept
}

func (run *cluster) feed(each *node, event quorum.Event) {
	for _, action := range each.core.Step(run.now(each), event) {
		switch action := action.(type) {
		case quorum.Save:
			each.queue = append(each.queue, action)
			if run.fault == "ackBeforeSync" {
				defer run.feed(each, quorum.Synced{Sequence: action.Sequence})
			}
		case quorum.Send:
			if action.Durable && run.fault != "ackBeforeSync" {
				each.queue = append(each.queue, action)
			} else {
				run.send(action.Message)
			}
		case quorum.Apply:
			run.apply(each, action.Entries)
		case quorum.Restore:
			run.restore(each, action.Image)
		case quorum.RoleChanged:
			if action.Role == quorum.Leader {
				run.elected(each, action.Term)
			}
		}
	}
}

// flush syncs all that waits, then sends the messages that depended on it.
func (run *cluster) flush(each *node) {
	queue := each.queue
	each.queue = nil
	for _, action := range queue {
		each.persist(action, run.fault)
	}
	for _, action := range queue {
		if send, ok := action.(quorum.Send); ok {
			run.send(send.Message)
		}
	}
	for _, action := range queue {
		if save, ok := action.(quorum.Save); ok {
			run.feed(each, quorum.Synced{Sequence: save.Sequence})
		}
	}
}

func (run *cluster) send(message *wire.PeerMessage) {
	// The receiver must not share memory with the sender.
	encoded, err := message.MarshalVT()
	if err != nil {
		panic(err)
	}
	copies := 1
	if run.chance(run.script.Duplicate) {
		copies = 2
	}
	for range copies {
		if run.chance(run.script.Loss) {
			continue
		}
		received := &wire.PeerMessage{}
		if err := received.UnmarshalVT(encoded); err != nil {
			panic(err)
		}
		if run.fault == "alterEntry" && len(received.GetEntries()) > 0 && run.chance(0.05) && received.Entries[0].GetChange() != nil {
			received.Entries[0].GetChange().CommandId += "altered"
		}
		run.flying = append(run.flying, flying{at: run.step + run.random.IntN(run.script.Delay+1), message: received})
	}
}

func (run *cluster) deliver() {
	waiting := run.flying
	run.flying = nil
	for _, each := range waiting {
		if each.at > run.step {
			run.flying = append(run.flying, each)
			continue
		}
		from, to := each.message.GetFrom(), each.message.GetTo()
		if run.cut[from+">"+to] {
			if run.fault == "forgeAcks" && run.isolated != nil && run.isolated.name == from {
				run.forge(each.message)
			}
			continue
		}
		for _, receiver := range run.nodes {
			if receiver.name == to {
				run.feed(receiver, quorum.Received{Message: each.message})
			}
		}
	}
}

// forge acknowledges an isolated leader's append without a follower.
func (run *cluster) forge(message *wire.PeerMessage) {
	run.feed(run.isolated, quorum.Received{Message: &wire.PeerMessage{
		Type: wire.PeerMessage_TYPE_APPEND_REPLY, From: message.GetTo(), FromDisk: message.GetToDisk(), To: message.GetFrom(),
		ToDisk: message.GetFromDisk(), Term: message.GetTerm(), Round: message.GetRound(),
		Index: message.GetIndex() + uint64(len(message.GetEntries())),
	}})
}

func (run *cluster) compact(each *node) {
	if each.applied <= each.stored.Image.GetIndex() {
		return
	}
	term, members := each.core.MembersAt(each.applied)
	encoded, err := (&wire.Image{
		Index: each.applied, Term: term, Members: members, Settings: &wire.Snapshot{Revision: each.hash},
	}).MarshalVT()
	if err != nil {
		panic(err)
	}
	run.feed(each, quorum.Compact{Index: each.applied, Encoded: encoded})
}

// repaired tells whether every voter of the committed set has its current disk.
func (run *cluster) repaired() bool {
	voters := 0
	for _, member := range run.members {
		for _, each := range run.nodes {
			if member.GetVoter() && each.name == member.GetName() && each.disk == member.GetDisk() {
				voters++
			}
		}
	}
	return voters == len(run.nodes) && len(run.members) == len(run.nodes)
}

// level tells whether every node has applied all that was ever committed.
func (run *cluster) level() bool {
	for _, each := range run.nodes {
		if each.applied+1 != uint64(len(run.history)) {
			return false
		}
	}
	return run.repaired()
}

// damage restarts a node whose disk lost the end of its synced log.
func (run *cluster) damage(each *node) {
	lost := min(len(each.stored.Entries), 1+run.random.IntN(10))
	each.stored.Entries = each.stored.Entries[:len(each.stored.Entries)-lost]
	each.stored.Damaged = true
	run.start(each)
	each.stored.Damaged = false
}

func (run *cluster) disturb() {
	each := run.nodes[run.random.IntN(len(run.nodes))]
	if run.chance(run.script.Crash) {
		run.crash(each)
	}
	if run.chance(run.script.Empty) && run.repaired() {
		run.emptied++
		run.empty(each)
	}
	if run.chance(run.script.Damage) && run.level() {
		run.emptied++
		run.damage(each)
	}
	if run.chance(run.script.Compact) {
		run.compact(each)
	}
	if run.chance(run.script.Resign) {
		run.feed(each, quorum.Resign{})
	}
	other := run.nodes[run.random.IntN(len(run.nodes))]
	if run.chance(run.script.Cut) {
		run.cut[each.name+">"+other.name] = true
	}
	if run.chance(run.script.Cut) && len(run.cut) > 0 {
		run.cut = map[string]bool{}
	}
}

// advance runs one step: time, messages, disks, proposals, checks.
func (run *cluster) advance() {
	run.step++
	run.deliver()
	for _, each := range run.nodes {
		run.feed(each, quorum.Tick{})
		if run.chance(run.script.Flush) {
			run.flush(each)
		}
		if run.chance(run.script.Propose) {
			run.proposed++
			change := &wire.Change{CommandId: fmt.Sprint(run.proposed)}
			run.feed(each, quorum.Propose{Entries: []*wire.Entry{{Body: &wire.Entry_Change{Change: change}}}})
		}
	}
	run.checkLeases()
}
