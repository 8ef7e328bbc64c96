package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	stepTime        = 10 * clock.Millis(1)
	electionTimeout = 200 * clock.Millis(1)
	// maxSettleSteps is the limit for agreement after all faults have ended.
	maxSettleSteps = 3000
	// fullSteps is the longest time for which a disk is full.
	fullSteps = 600
)

// script is a schedule of faults. Fractions are probabilities per step and node
// or message.
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
	// Full is the probability that a disk is full from then on, for up to fullSteps steps and
	// never two disks at once.
	Full    float64 `json:"full"`
	Isolate bool    `json:"isolate"`
	// Voters makes the group an open one with that many voters, which the first nodes form.
	Voters int `json:"voters"`
}

// node is one control VM: its core, the contents of its disk, and the index and
// hash of the log prefix that it has applied.
type node struct {
	name   string
	disk   uint64
	stored quorum.Stored
	// isFounder is set while the disk may form the group.
	isFounder bool
	core      *quorum.Core
	// queue holds saves and durable messages until the next flush.
	queue   []quorum.Action
	applied uint64
	hash    uint64
	// refused is set once the disk refused a write, until it takes one.
	refused bool
}

// transit is a message on its way, to be delivered at a step.
type transit struct {
	at      int
	message *wire.PeerMessage
}

// position is the term of a committed entry and the hash of the log up to it.
type position struct {
	term uint64
	hash uint64
}

// cluster runs cores in virtual time and checks their invariants after every step.
type cluster struct {
	script script
	// fault names the bug to inject, if any.
	fault    string
	random   *rand.Rand
	step     int
	nodes    []*node
	inFlight []transit
	// blocked holds the directions "from>to" in which messages are dropped.
	blocked map[string]bool
	// leaders holds the leader of each term.
	leaders map[uint64]quorum.Peer
	// history holds the committed log by index.
	history []position
	// served is the highest index that a leader has applied and may have served.
	served uint64
	// members is the committed member set.
	members  []*wire.ControlMember
	proposed int
	// lastDisk is the disk id that was assigned last.
	lastDisk uint64
	// diskLosses counts disks that were emptied or damaged.
	diskLosses int
	isolated   *node
	// full is the node whose disk is full until the step roomAt, if any.
	full    *node
	roomAt  int
	fulls   int
	failure error
}

func newCluster(script script, fault string, seed uint64) *cluster {
	run := &cluster{
		script: script, fault: fault, random: rand.New(rand.NewPCG(seed, 7)), blocked: map[string]bool{},
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

// empty restarts a node with a new, empty disk.
func (run *cluster) empty(each *node) {
	run.lastDisk++
	each.disk, each.stored = run.lastDisk, quorum.Stored{}
	each.isFounder = run.step == 0
	run.start(each)
}

func (run *cluster) start(each *node) {
	var initial []*wire.ControlMember
	joinOnly, zone := false, ""
	for at, other := range run.nodes {
		if other == each && run.script.Voters > 0 {
			joinOnly, zone = !each.isFounder || at >= run.script.Voters, string(rune('a'+at%run.script.Voters))
		}
		if run.script.Voters == 0 || at < run.script.Voters {
			initial = append(initial, &wire.ControlMember{Name: other.name, Address: other.name})
		}
	}
	each.queue, each.refused = nil, false
	each.applied, each.hash = each.stored.Image.GetIndex(), each.stored.Image.GetSettings().GetRevision()
	stored := each.stored
	stored.Entries = append([]*wire.Entry(nil), stored.Entries...)
	each.core = quorum.New(quorum.Settings{
		Self: quorum.Peer{Name: each.name, DiskID: each.disk}, Address: each.name, InitialMembers: initial,
		JoinOnly: joinOnly, Zone: zone, Voters: run.script.Voters, ReplaceAfter: 5 * electionTimeout, RelocateAfter: 20 * electionTimeout,
		ElectionTimeout: electionTimeout, Seed: run.random.Uint64(), CatchUpEntries: 20, ImageChunkBytes: 64,
	}, stored, run.now(each))
	if run.script.Voters > 0 {
		// A process hears of the others from those that poll it.
		var known []*wire.ControlMember
		for _, other := range run.nodes {
			known = append(known, &wire.ControlMember{Name: other.name, Address: other.name})
		}
		run.feed(each, quorum.Known{Members: known})
	}
}

// now returns the time of the node's clock. The injected slow clock violates the
// bound on drift that leases rely on.
func (run *cluster) now(each *node) clock.Millis {
	span := clock.Millis(run.step) * stepTime
	if run.fault == "slowClock" && each == run.nodes[0] {
		span /= 3
	}
	return 1000 + span
}

// crash restarts a node. A random prefix of its unsynced saves survives.
func (run *cluster) crash(each *node) {
	for len(each.queue) > 0 && run.chance(0.5) && run.full != each {
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

// flush syncs all queued saves, then sends the messages that waited for them.
func (run *cluster) flush(each *node) {
	if run.full == each {
		run.refuse(each)
		return
	}
	if each.refused {
		each.refused = false
		run.feed(each, quorum.DiskHealth{})
	}
	queue := each.queue
	each.queue = nil
	for _, action := range queue {
		each.persist(action, run.fault)
	}
	for _, action := range queue {
		if send, ok := action.(quorum.Send); ok && run.now(each) <= send.Expires {
			run.send(send.Message)
		}
	}
	for _, action := range queue {
		if save, ok := action.(quorum.Save); ok {
			run.feed(each, quorum.Synced{Sequence: save.Sequence})
		}
	}
}

// refuse fails the first queued save. Messages before it are sent.
func (run *cluster) refuse(each *node) {
	for len(each.queue) > 0 {
		send, ok := each.queue[0].(quorum.Send)
		if !ok {
			break
		}
		each.queue = each.queue[1:]
		run.send(send.Message)
	}
	if len(each.queue) > 0 && !each.refused {
		each.refused = true
		run.feed(each, quorum.DiskHealth{Failing: true})
	}
}

// fill fills the disk of a node, and frees the one that is full when its time is over.
func (run *cluster) fill(each *node) {
	switch {
	case run.full != nil && run.step >= run.roomAt:
		run.full = nil
	case run.full == nil && run.chance(run.script.Full):
		run.full, run.roomAt = each, run.step+1+run.random.IntN(fullSteps)
		run.fulls++
	}
}

func (run *cluster) send(message *wire.PeerMessage) {
	// A receiver must not share memory with the sender, so messages are copied.
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
		run.inFlight = append(run.inFlight, transit{at: run.step + run.random.IntN(run.script.Delay+1), message: received})
	}
}

func (run *cluster) deliver() {
	waiting := run.inFlight
	run.inFlight = nil
	for _, each := range waiting {
		if each.at > run.step {
			run.inFlight = append(run.inFlight, each)
			continue
		}
		from, to := each.message.GetFrom(), each.message.GetTo()
		if run.blocked[from+">"+to] {
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

// forge sends an isolated leader an acknowledgement that no follower has given.
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

// repaired reports whether the committed member set has every node as a voter
// with its current disk, or as many as an open group needs.
func (run *cluster) repaired() bool {
	voters := 0
	for _, member := range run.members {
		for _, each := range run.nodes {
			if member.GetVoter() && each.name == member.GetName() && each.disk == member.GetDisk() {
				voters++
			}
		}
	}
	wanted := len(run.nodes)
	if run.script.Voters > 0 {
		wanted = run.script.Voters
	}
	return voters == wanted && len(run.members) == wanted
}

// isVoter reports whether the committed member set has a node as a voter.
func (run *cluster) isVoter(each *node) bool {
	return slices.ContainsFunc(run.members, func(member *wire.ControlMember) bool {
		return member.GetVoter() && member.GetName() == each.name && member.GetDisk() == each.disk
	})
}

// caughtUp reports whether the group is repaired and every voter has applied all
// committed entries.
func (run *cluster) caughtUp() bool {
	for _, each := range run.nodes {
		if run.isVoter(each) && each.applied+1 != uint64(len(run.history)) {
			return false
		}
	}
	return run.repaired()
}

// damage restarts a node whose disk lost the last entries of its synced log.
func (run *cluster) damage(each *node) {
	lost := min(len(each.stored.Entries), 1+run.random.IntN(10))
	each.stored.Entries = each.stored.Entries[:len(each.stored.Entries)-lost]
	each.stored.Damaged = true
	run.start(each)
	each.stored.Damaged = false
}

// injectFaults applies the faults of the script to randomly chosen nodes.
func (run *cluster) injectFaults() {
	each := run.nodes[run.random.IntN(len(run.nodes))]
	if run.script.Full > 0 {
		run.fill(each)
	}
	if run.chance(run.script.Crash) {
		run.crash(each)
	}
	if run.chance(run.script.Empty) && run.full == nil && run.repaired() {
		run.diskLosses++
		run.empty(each)
	}
	if run.chance(run.script.Damage) && run.full == nil && run.caughtUp() {
		run.diskLosses++
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
		run.blocked[each.name+">"+other.name] = true
	}
	if run.chance(run.script.Cut) && len(run.blocked) > 0 {
		run.blocked = map[string]bool{}
	}
}

// advance runs one step: it delivers messages, passes time, flushes disks,
// proposes entries and checks leases.
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
