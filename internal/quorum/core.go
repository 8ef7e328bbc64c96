package quorum

import (
	"math/rand/v2"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// maxBatchBytes keeps an append well below the 4 MiB limit of a frame.
	maxBatchBytes   = 1 << 20
	maxBatchEntries = 2048
	// maxPending bounds the entries that wait for a majority.
	maxPending = 32_768
	// heartbeatsPerTimeout leaves room for several lost heartbeats.
	heartbeatsPerTimeout = 8
	// leaseParts is the part of the election timeout, in tenths, for which a
	// confirmed round is a lease; the rest allows for clocks that drift.
	leaseParts = 9
	// cautiousTimeouts ends the caution when no leader appears, so that a group
	// whose disks were all damaged by one power failure comes back.
	cautiousTimeouts = 10
)

// Core decides for one member. It is not safe for concurrent use.
type Core struct {
	settings Settings
	self     Peer
	random   *rand.Rand
	now      clock.Millis
	actions  []Action

	hard HardState
	role Role
	// leader is the leader of the current term, if known.
	leader Peer
	log    records
	// image is the newest encoded image, for members that are far behind.
	image      []byte
	imageIndex uint64
	imageTerm  uint64
	commit     uint64
	applied    uint64

	// members is the set in force: the latest in the log, committed or not.
	members      []*wire.ControlMember
	membersIndex uint64
	// baseMembers is the set at the start of the kept log.
	baseMembers []*wire.ControlMember

	saves    uint64
	unsynced []pendingSave
	synced   uint64
	failing  bool
	// cautious is set after damage to the log: the member may have acknowledged
	// entries that it lost, so it takes no part in elections until a leader has
	// brought it up to date.
	cautious      bool
	cautiousUntil clock.Millis

	due   clock.Millis
	heard clock.Millis
	votes map[Peer]bool
	// preVoting is set while the candidate only asks whether it would be elected.
	preVoting bool

	progress  map[Peer]*progress
	beatDue   clock.Millis
	round     uint64
	roundSent map[uint64]clock.Millis
	confirmed clock.Millis
	// firstIndex is the leader's first entry of its term; nothing is current before it commits.
	firstIndex uint64

	partial partialImage

	// met, lists and emptied are what a member without a group knows of the
	// others: their disks, whom they have met, and disks that were replaced.
	met     map[string]*wire.ControlMember
	lists   map[string][]*wire.ControlMember
	emptied map[Peer]bool
}

type pendingSave struct {
	sequence uint64
	last     uint64
}

// progress is what the leader knows of another member.
type progress struct {
	match uint64
	next  uint64
	// probing is set until the common part of the logs is known; one append is sent at a time.
	probing bool
	round   uint64
	// matchRound is the newest round whose append the peer took.
	matchRound uint64
	// offset is the start of the image piece that the peer needs next.
	offset  uint64
	address string
	// heard is the instant of the peer's last reply, since that of its entry here.
	heard clock.Millis
	since clock.Millis
}

// New returns a member with what its disk holds.
func New(settings Settings, stored Stored, now clock.Millis) *Core {
	seed := settings.Seed ^ settings.Self.Disk
	core := &Core{
		settings: settings, self: settings.Self, random: rand.New(rand.NewPCG(seed, seed)), now: now,
		hard: stored.Hard, role: Follower, heard: now,
		met: map[string]*wire.ControlMember{}, lists: map[string][]*wire.ControlMember{}, emptied: map[Peer]bool{},
	}
	if image := stored.Image; image != nil {
		core.setBase(image)
		// The image was decoded from its own encoding; encoding it again cannot fail.
		core.image, _ = image.MarshalVT()
	}
	core.log.entries = stored.Entries
	core.synced = core.log.last()
	core.findMembers()
	core.hard.Term = max(core.hard.Term, core.log.lastTerm())
	core.cautious = stored.Damaged
	core.cautiousUntil = now + cautiousTimeouts*settings.ElectionTimeout
	core.due = now + core.patience()
	core.role = core.idleRole()
	if core.alone() {
		core.due = now
	}
	return core
}

func (core *Core) setBase(image *wire.Image) {
	core.log = records{base: image.GetIndex(), baseTerm: image.GetTerm()}
	core.commit, core.applied = image.GetIndex(), image.GetIndex()
	core.imageIndex, core.imageTerm = image.GetIndex(), image.GetTerm()
	core.baseMembers = image.GetMembers().GetMembers()
	core.hard.Term = max(core.hard.Term, image.GetTerm())
}

// Step takes an event and returns what must be done.
func (core *Core) Step(now clock.Millis, event Event) []Action {
	core.now = max(core.now, now)
	core.actions = nil
	switch event := event.(type) {
	case Tick:
		core.tick()
	case Received:
		core.receive(event.Message)
	case Propose:
		core.propose(event)
	case ChangeMember:
		core.changeMember(event)
	case Synced:
		core.markSynced(event.Sequence)
	case DiskState:
		core.failing = event.Failing
		if event.Failing {
			core.resign()
		}
	case Compact:
		core.compact(event)
	case Resign:
		core.resign()
	}
	return core.actions
}

// electable tells whether the member may vote and stand.
func (core *Core) electable() bool {
	return core.formed() && !core.failing && (!core.cautious || core.now >= core.cautiousUntil)
}

func (core *Core) act(action Action) { core.actions = append(core.actions, action) }

func (core *Core) tick() {
	switch {
	case !core.formed():
		core.tickJoin()
	case core.role == Leader:
		core.tickLeader()
	case core.now >= core.due:
		core.campaign(true, false)
	}
}

func (core *Core) receive(message *wire.PeerMessage) {
	from := Peer{message.GetFrom(), message.GetFromDisk()}
	if message.GetTo() != core.self.Name || from == core.self {
		return
	}
	// A member without a group does not know the disk ids of the others yet.
	if message.GetType() != wire.PeerMessage_TYPE_JOIN && message.GetToDisk() != core.self.Disk {
		return
	}
	switch message.GetType() {
	case wire.PeerMessage_TYPE_JOIN:
		core.onJoin(message)
	case wire.PeerMessage_TYPE_JOIN_REPLY:
		core.onJoinReply(message)
	case wire.PeerMessage_TYPE_PRE_VOTE:
		core.onPreVote(message)
	case wire.PeerMessage_TYPE_PRE_VOTE_REPLY:
		core.onVoteReply(message, from, true)
	case wire.PeerMessage_TYPE_VOTE:
		core.onVote(message, from)
	case wire.PeerMessage_TYPE_VOTE_REPLY:
		core.onVoteReply(message, from, false)
	case wire.PeerMessage_TYPE_APPEND:
		core.onAppend(message, from)
	case wire.PeerMessage_TYPE_APPEND_REPLY:
		core.onAppendReply(message, from)
	case wire.PeerMessage_TYPE_SNAPSHOT:
		core.onSnapshot(message, from)
	case wire.PeerMessage_TYPE_SNAPSHOT_REPLY:
		core.onSnapshotReply(message, from)
	case wire.PeerMessage_TYPE_TRANSFER:
		if message.GetTerm() == core.hard.Term && core.role != Leader {
			core.campaign(false, true)
		}
	default:
	}
}

// send fills in the addresses of a message for a member.
func (core *Core) send(to Peer, address string, message *wire.PeerMessage, durable bool) {
	message.From, message.FromDisk = core.self.Name, core.self.Disk
	message.To, message.ToDisk = to.Name, to.Disk
	message.Address = core.settings.Address
	core.act(Send{Message: message, Address: address, Durable: durable})
}

// reply answers a message once everything saved so far is on disk.
func (core *Core) reply(to *wire.PeerMessage, answer *wire.PeerMessage) {
	core.send(Peer{to.GetFrom(), to.GetFromDisk()}, to.GetAddress(), answer, true)
}

func (core *Core) save(save Save) {
	core.saves++
	save.Sequence = core.saves
	core.unsynced = append(core.unsynced, pendingSave{core.saves, core.log.last()})
	core.act(save)
}

func (core *Core) saveHard() {
	hard := core.hard
	core.save(Save{Hard: &hard})
}

func (core *Core) markSynced(sequence uint64) {
	for len(core.unsynced) > 0 && core.unsynced[0].sequence <= sequence {
		core.synced = max(core.synced, core.unsynced[0].last)
		core.unsynced = core.unsynced[1:]
	}
	if core.role == Leader {
		core.advanceCommit()
	}
}

// truncate drops entries that another leader's log contradicts. A sync that is
// still on its way confirms only what remains.
func (core *Core) truncate(from uint64) {
	core.log.truncate(from)
	core.synced = min(core.synced, from-1)
	for at := range core.unsynced {
		core.unsynced[at].last = min(core.unsynced[at].last, from-1)
	}
	if core.membersIndex >= from {
		core.findMembers()
	}
}

// append adds entries to the log and saves them.
func (core *Core) append(entries []*wire.Entry) {
	core.log.entries = append(core.log.entries, entries...)
	core.save(Save{Entries: entries})
	for _, entry := range entries {
		if entry.GetMembers() != nil {
			core.findMembers()
			return
		}
	}
}

// setCommit applies the entries up to an index.
func (core *Core) setCommit(index uint64) {
	index = min(index, core.log.last())
	if index <= core.commit {
		return
	}
	core.commit = index
	entries := core.log.slice(core.applied+1, index)
	core.applied = index
	core.act(Apply{Entries: entries})
}

func (core *Core) setRole(role Role) {
	if core.role == role {
		return
	}
	core.role = role
	core.act(RoleChanged{Role: role, Term: core.hard.Term})
}

// follow makes the member a follower of a term, with or without a known leader.
func (core *Core) follow(term uint64, leader Peer) {
	if term > core.hard.Term {
		core.hard = HardState{Term: term}
		core.saveHard()
	}
	core.leader = leader
	core.progress, core.votes = nil, nil
	core.due = core.now + core.patience()
	core.setRole(core.idleRole())
}

func (core *Core) idleRole() Role {
	if member := find(core.members, core.self); member != nil && member.GetVoter() {
		return Follower
	}
	return Learner
}

// patience is the randomised time without a leader before an election.
func (core *Core) patience() clock.Millis {
	timeout := core.settings.ElectionTimeout
	return timeout + clock.Millis(core.random.Int64N(int64(timeout)))
}

// formed tells whether the member belongs to a group.
func (core *Core) formed() bool { return len(core.members) > 0 || core.log.last() > 0 }

// Status returns the member's view.
func (core *Core) Status() Status {
	status := Status{
		Role: core.role, Term: core.hard.Term, Last: core.log.last(), Commit: core.commit, Applied: core.applied,
		Leader: core.leader, Members: core.members,
	}
	if core.role == Leader {
		status.Match = map[Peer]uint64{core.self: core.synced}
		for peer, known := range core.progress {
			status.Match[peer] = known.match
		}
	}
	return status
}
