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
	// maxUncommitted bounds the log entries that a majority has not acknowledged.
	maxUncommitted = 32_768
	// heartbeatsPerTimeout is the number of heartbeats per election timeout, so
	// that a few lost ones cause no election.
	heartbeatsPerTimeout = 8
	// leaseTenths is the lease duration in tenths of the election timeout. The
	// remaining tenth allows for clock drift.
	leaseTenths = 9
	// electionSpreadTenths is the width of the random wait before an election, in tenths of
	// the election timeout. It covers the messages and syncs of an election.
	electionSpreadTenths = 7
	// maxUnsyncedBytes bounds the entries and images that wait for the disk of a member.
	maxUnsyncedBytes = 16 << 20
	// maxRecoveryTimeouts is the number of election timeouts after which a
	// member with a damaged log takes part in elections again, even if no leader
	// has brought it up to date. Without this limit, a group whose disks were all
	// damaged by one power failure would never elect a leader.
	maxRecoveryTimeouts = 10
)

// Core is the consensus state machine of one member. It is not safe for
// concurrent use.
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
	log    memoryLog
	// image is the newest encoded image of the applied state. It is sent to
	// members that need entries no longer in memory.
	image      []byte
	imageIndex uint64
	imageTerm  uint64
	commit     uint64
	applied    uint64

	// members is the member set in effect: the latest in the log, whether
	// committed or not.
	members      []*wire.ControlMember
	membersIndex uint64
	// baseMembers is the member set at the log's base index.
	baseMembers []*wire.ControlMember

	// lastSave is the sequence number of the newest save.
	lastSave      uint64
	unsynced      []pendingSave
	unsyncedBytes int
	// syncedIndex is the index up to which the log is on disk.
	syncedIndex uint64
	diskFailing bool
	// recovering is set when the log was damaged. The member may have lost
	// entries that it had acknowledged, so it neither votes nor stands for
	// election until a leader has sent it all committed entries, or until
	// recoverUntil.
	recovering   bool
	recoverUntil clock.Millis

	electionDue clock.Millis
	// leaderContact is the time of the leader's last message.
	leaderContact clock.Millis
	votes         map[Peer]bool
	// preVoting is set while the candidate runs a pre-vote.
	preVoting bool
	// yieldedTo is the candidate that last got a pre-vote, and yieldUntil the time until
	// which it is preferred to candidates that it outranks.
	yieldedTo  Peer
	yieldUntil clock.Millis

	progress map[Peer]*progress
	// heard is when each member last replied to this member or, as far as it is known, to
	// a leader; at first when the member became known.
	heard map[Peer]clock.Millis
	// vacantSince is when the member set began to have fewer voters than an open group needs;
	// 0 while it has all.
	vacantSince clock.Millis
	// zones holds the availability zones that senders of messages told.
	zones map[Peer]string
	// heartbeatDue is when the leader sends the next heartbeat, or a member
	// without a leader the next join message.
	heartbeatDue clock.Millis
	// round numbers the leader's heartbeats; roundSent has their send times.
	round     uint64
	roundSent map[uint64]clock.Millis
	// leaseStart is the send time of the newest round that a majority has
	// acknowledged, or the time of the election before the first one.
	leaseStart clock.Millis
	// termStart is the index of the leader's first entry of its term. Until that
	// entry is committed, the applied state may lack entries of earlier terms.
	termStart uint64

	partial partialImage

	// known, discovered, peerLists and replacedDisks are used before the member belongs
	// to a group: the processes to ask besides the initial members, the others by name, the members that each of them has
	// discovered, and disks that a newer one of the same name has replaced.
	known         []*wire.ControlMember
	discovered    map[string]*wire.ControlMember
	peerLists     map[string][]*wire.ControlMember
	replacedDisks map[Peer]bool
}

// pendingSave is a save that is not synced yet, and the last log index then.
type pendingSave struct {
	sequence uint64
	last     uint64
	bytes    int
	since    clock.Millis
}

// progress is the leader's replication state for another member.
type progress struct {
	// match is the index up to which the peer has synced the leader's log, and
	// next the index of the next entry to send.
	match uint64
	next  uint64
	// probing is set until the leader knows up to which index the logs agree.
	// Meanwhile appends carry no entries.
	probing bool
	// round is the newest round that the peer has replied to.
	round uint64
	// matchRound is the newest round whose append the peer accepted.
	matchRound uint64
	// offset is the start of the image chunk that the peer needs next.
	offset  uint64
	address string
	// lastReply is the time of the peer's last reply.
	lastReply clock.Millis
	// trackedSince is when the leader began to track the peer.
	trackedSince clock.Millis
	// paused is set while the peer takes no entries and images.
	paused bool
}

// New returns a member that starts from the contents of its disk.
func New(settings Settings, stored Stored, now clock.Millis) *Core {
	core := &Core{
		settings: settings, self: settings.Self, random: rand.New(rand.NewPCG(settings.Seed, settings.Self.DiskID)), now: now,
		hard: stored.Hard, role: Follower, leaderContact: now, heard: map[Peer]clock.Millis{}, zones: map[Peer]string{settings.Self: settings.Zone},
		discovered: map[string]*wire.ControlMember{}, peerLists: map[string][]*wire.ControlMember{}, replacedDisks: map[Peer]bool{},
	}
	if image := stored.Image; image != nil {
		core.setBase(image)
		// The image was decoded from its encoding, so encoding it again cannot fail.
		core.image, _ = image.MarshalVT()
	}
	core.log.entries = stored.Entries
	core.syncedIndex = core.log.last()
	core.loadMembers()
	core.hard.Term = max(core.hard.Term, core.log.lastTerm())
	core.recovering = stored.Damaged
	core.recoverUntil = now + maxRecoveryTimeouts*settings.ElectionTimeout
	core.electionDue = now + core.electionDelay()
	core.role = core.passiveRole()
	if core.soleVoter() {
		core.electionDue = now
	}
	return core
}

func (core *Core) setBase(image *wire.Image) {
	core.log = memoryLog{base: image.GetIndex(), baseTerm: image.GetTerm()}
	core.commit, core.applied = image.GetIndex(), image.GetIndex()
	core.imageIndex, core.imageTerm = image.GetIndex(), image.GetTerm()
	core.baseMembers = image.GetMembers().GetMembers()
	core.hard.Term = max(core.hard.Term, image.GetTerm())
}

// Step processes an event and returns the actions that the caller must carry out.
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
	case DiskHealth:
		core.diskFailing = event.Failing
		if event.Failing {
			core.resign()
		}
	case Compact:
		core.compact(event)
	case Resign:
		core.resign()
	case Known:
		core.known = event.Members
	}
	return core.actions
}

// electable reports whether the member may vote and stand for election.
func (core *Core) electable() bool {
	return core.inGroup() && !core.diskFailing && (!core.recovering || core.now >= core.recoverUntil)
}

func (core *Core) emit(action Action) { core.actions = append(core.actions, action) }

func (core *Core) tick() {
	switch {
	case !core.inGroup():
		core.tickJoin()
	case core.role == Leader:
		core.tickLeader()
	default:
		if core.isLeaderless() {
			core.tickJoin()
		}
		if core.now >= core.electionDue {
			core.campaign(true, false)
		}
	}
}

func (core *Core) receive(message *wire.PeerMessage) {
	from := Peer{message.GetFrom(), message.GetFromDisk()}
	if message.GetTo() != core.self.Name || from == core.self {
		return
	}
	// The sender of a join message does not know the disk ids of the others yet.
	if message.GetType() != wire.PeerMessage_TYPE_JOIN && message.GetToDisk() != core.self.DiskID {
		return
	}
	core.hear(message, from)
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
		core.onImage(message, from)
	case wire.PeerMessage_TYPE_SNAPSHOT_REPLY:
		core.onImageReply(message, from)
	case wire.PeerMessage_TYPE_TRANSFER:
		if message.GetTerm() == core.hard.Term && core.role != Leader {
			core.campaign(false, true)
		}
	default:
	}
}

// send fills in the sender and receiver of a message and emits it.
func (core *Core) send(to Peer, address string, message *wire.PeerMessage, durable bool) {
	message.From, message.FromDisk = core.self.Name, core.self.DiskID
	message.To, message.ToDisk = to.Name, to.DiskID
	message.Address, message.Zone = core.settings.Address, core.settings.Zone
	core.emit(Send{Message: message, Address: address, Durable: durable, Expires: core.now + core.settings.ElectionTimeout})
}

// reply sends a response to a message once every save so far is on disk.
func (core *Core) reply(request *wire.PeerMessage, response *wire.PeerMessage) {
	core.send(Peer{request.GetFrom(), request.GetFromDisk()}, request.GetAddress(), response, true)
}

func (core *Core) save(save Save) {
	core.lastSave++
	save.Sequence = core.lastSave
	bytes := len(save.Image)
	for _, entry := range save.Entries {
		bytes += entry.SizeVT()
	}
	core.unsynced = append(core.unsynced, pendingSave{sequence: core.lastSave, last: core.log.last(), bytes: bytes, since: core.now})
	core.unsyncedBytes += bytes
	core.emit(save)
}

func (core *Core) saveHard() {
	hard := core.hard
	core.save(Save{Hard: &hard})
}

func (core *Core) markSynced(sequence uint64) {
	for len(core.unsynced) > 0 && core.unsynced[0].sequence <= sequence {
		core.syncedIndex = max(core.syncedIndex, core.unsynced[0].last)
		core.unsyncedBytes -= core.unsynced[0].bytes
		core.unsynced = core.unsynced[1:]
	}
	if core.role == Leader {
		core.advanceCommit()
	}
}

// truncate drops the entries from an index on, which conflict with the leader's
// log. A pending sync then confirms only the entries that remain.
func (core *Core) truncate(from uint64) {
	core.log.truncate(from)
	core.syncedIndex = min(core.syncedIndex, from-1)
	for at := range core.unsynced {
		core.unsynced[at].last = min(core.unsynced[at].last, from-1)
	}
	if core.membersIndex >= from {
		core.loadMembers()
	}
}

// append adds entries to the log, saves them, and puts a member set among them
// into effect.
func (core *Core) append(entries []*wire.Entry) {
	core.log.entries = append(core.log.entries, entries...)
	core.save(Save{Entries: entries})
	for _, entry := range entries {
		if entry.GetMembers() != nil {
			core.loadMembers()
			return
		}
	}
}

// setCommit raises the commit index and applies the entries up to it.
func (core *Core) setCommit(index uint64) {
	index = min(index, core.log.last())
	if index <= core.commit {
		return
	}
	core.commit = index
	entries := core.log.slice(core.applied+1, index)
	core.applied = index
	core.emit(Apply{Entries: entries})
}

func (core *Core) setRole(role Role) {
	if core.role == role {
		return
	}
	core.role = role
	core.emit(RoleChanged{Role: role, Term: core.hard.Term})
}

// follow makes the member passive (follower or learner) in a term. The leader may be empty if it is
// not known yet.
func (core *Core) follow(term uint64, leader Peer) {
	if term > core.hard.Term {
		core.hard = HardState{Term: term}
		core.saveHard()
	}
	core.leader = leader
	core.progress, core.votes = nil, nil
	core.electionDue = core.now + core.electionDelay()
	core.setRole(core.passiveRole())
}

// passiveRole returns the role of a member that is not leading or campaigning:
// follower for a voter, learner otherwise.
func (core *Core) passiveRole() Role {
	if member := findMember(core.members, core.self); member != nil && member.GetVoter() {
		return Follower
	}
	return Learner
}

// electionDelay returns the randomised time without contact to a leader after
// which a member starts an election.
func (core *Core) electionDelay() clock.Millis {
	timeout := core.settings.ElectionTimeout
	return timeout + clock.Millis(core.random.Int64N(max(int64(timeout)*electionSpreadTenths/10, 1)))
}

// inGroup reports whether the member belongs to a group.
func (core *Core) inGroup() bool { return len(core.members) > 0 || core.log.last() > 0 }

// Status returns the member's current status.
func (core *Core) Status() Status {
	status := Status{
		Role: core.role, Term: core.hard.Term, Last: core.log.last(), Commit: core.commit, Applied: core.applied,
		Leader: core.leader, Members: core.members,
	}
	if core.role == Leader {
		status.Match = map[Peer]uint64{core.self: core.syncedIndex}
		for peer, follower := range core.progress {
			status.Match[peer] = follower.match
		}
	}
	return status
}
