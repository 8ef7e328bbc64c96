package quorum

import (
	"slices"
	"strings"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// leaderlessTimeouts is the number of election timeouts without a leader after which a member
// of an open group asks to join again: it may have been removed while it was cut off, and
// nobody tells it.
const leaderlessTimeouts = 2

func (core *Core) isLeaderless() bool {
	return core.settings.Voters > 0 && core.now-core.leaderContact > leaderlessTimeouts*core.settings.ElectionTimeout
}

// tickJoin sends join messages to the members, the initial ones and the known processes
// while this member has no group, or no leader. A member of a group discovers no others, so
// that it never takes part in forming one.
// A member whose disk does not keep up does not ask, since it could not take the log.
func (core *Core) tickJoin() {
	if core.now < core.heartbeatDue || core.IsPaused() {
		return
	}
	core.heartbeatDue = core.now + core.settings.ElectionTimeout/heartbeatsPerTimeout + clock.Millis(1)
	if core.settings.JoinOnly || core.inGroup() {
		core.heartbeatDue = core.now + core.settings.ElectionTimeout
	}
	var discovered *wire.MemberSet
	if !core.inGroup() {
		core.tryBootstrap()
		if core.inGroup() {
			return
		}
		discovered = &wire.MemberSet{Members: core.discoveredMembers()}
	}
	asked := map[string]bool{core.self.Name: true}
	for _, other := range slices.Concat(core.members, core.settings.InitialMembers, core.known) {
		if name := other.GetName(); !asked[name] {
			asked[name] = true
			core.send(Peer{Name: other.GetName()}, other.GetAddress(), &wire.PeerMessage{
				Type: wire.PeerMessage_TYPE_JOIN, Members: discovered,
			}, true)
		}
	}
}

// discoveredMembers lists this member and those it has discovered, by name.
func (core *Core) discoveredMembers() []*wire.ControlMember {
	list := []*wire.ControlMember{{Name: core.self.Name, Address: core.settings.Address, Disk: core.self.DiskID, Voter: true, Zone: core.settings.Zone}}
	for _, member := range core.discovered {
		list = append(list, member)
	}
	slices.SortFunc(list, func(left, right *wire.ControlMember) int { return strings.Compare(left.GetName(), right.GetName()) })
	return list
}

// tryBootstrap creates the group if this member's name sorts first and every
// initial member has discovered all others with the same disk ids. A delayed
// message from before a disk was emptied lists the old disk id, so it does not
// match.
func (core *Core) tryBootstrap() {
	if core.settings.JoinOnly {
		return
	}
	members := core.discoveredMembers()
	if len(core.settings.InitialMembers) == 0 {
		core.bootstrap(members)
		return
	}
	if !core.isInitialMember(core.self.Name) || members[0].GetName() != core.self.Name || len(members) != len(core.settings.InitialMembers) {
		return
	}
	for _, list := range core.peerLists {
		if !containsAll(list, members) {
			return
		}
	}
	core.bootstrap(members)
}

// containsAll reports whether a list has every one of the members, each with the
// same disk.
func containsAll(list, members []*wire.ControlMember) bool {
	return !slices.ContainsFunc(members, func(member *wire.ControlMember) bool { return findMember(list, peerOf(member)) == nil })
}

func (core *Core) isInitialMember(name string) bool {
	return slices.ContainsFunc(core.settings.InitialMembers, func(initial *wire.ControlMember) bool { return initial.GetName() == name })
}

// bootstrap stores the initial member set as the log's first entry, in term 1,
// and sends it to the other members.
func (core *Core) bootstrap(members []*wire.ControlMember) {
	core.hard = HardState{Term: 1}
	core.saveHard()
	core.append([]*wire.Entry{{Index: 1, Term: 1, Body: &wire.Entry_Members{Members: &wire.MemberSet{Members: members}}}})
	core.electionDue = core.now + core.retryDelay()
	core.setRole(core.passiveRole())
	for _, member := range members {
		if peer := peerOf(member); peer != core.self {
			core.sendInitialMembers(peer, member.GetAddress())
		}
	}
	if len(members) == 1 {
		core.campaign(false, false)
	}
}

func (core *Core) sendInitialMembers(peer Peer, address string) {
	core.send(peer, address, &wire.PeerMessage{
		Type: wire.PeerMessage_TYPE_JOIN_REPLY, Term: 1, Members: &wire.MemberSet{Members: core.members},
	}, true)
}

func (core *Core) onJoin(message *wire.PeerMessage) {
	peer := Peer{message.GetFrom(), message.GetFromDisk()}
	switch {
	case !core.inGroup():
		core.discover(message, peer)
	case findMember(core.members, peer) != nil && core.membersIndex == 1 && core.log.base == 0:
		core.sendInitialMembers(peer, message.GetAddress())
	case core.role == Leader:
		core.addLearner(&wire.ControlMember{Name: peer.Name, Disk: peer.DiskID, Address: message.GetAddress(), Zone: message.GetZone()})
	default:
		core.forwardJoin(message)
	}
}

// discover records an initial member that has no group either, with the members
// that it has discovered. Of two disks with one name the later one counts.
func (core *Core) discover(message *wire.PeerMessage, peer Peer) {
	if !core.isInitialMember(peer.Name) || core.replacedDisks[peer] || findMember(message.GetMembers().GetMembers(), peer) == nil {
		return
	}
	if earlier := core.discovered[peer.Name]; earlier != nil && peerOf(earlier) != peer {
		core.replacedDisks[peerOf(earlier)] = true
	}
	core.discovered[peer.Name] = &wire.ControlMember{Name: peer.Name, Disk: peer.DiskID, Address: message.GetAddress(), Voter: true, Zone: message.GetZone()}
	core.peerLists[peer.Name] = message.GetMembers().GetMembers()
	core.tryBootstrap()
}

// onJoinReply stores the initial member set if it contains this disk. The member
// that created the set may have sent it before its disk was emptied. If its new
// disk has been discovered since, the set is ignored, because the new disk may
// create another one.
func (core *Core) onJoinReply(message *wire.PeerMessage) {
	if core.inGroup() || findMember(message.GetMembers().GetMembers(), core.self) == nil {
		return
	}
	sender := core.discovered[message.GetFrom()]
	fromFounder := message.GetMembers().GetMembers()[0].GetName() == message.GetFrom()
	if fromFounder && sender != nil && sender.GetDisk() != message.GetFromDisk() {
		return
	}
	core.hard = HardState{Term: 1}
	core.saveHard()
	core.append([]*wire.Entry{{Index: 1, Term: 1, Body: &wire.Entry_Members{Members: message.GetMembers()}}})
	core.electionDue = core.now + core.electionDelay()
	core.setRole(core.passiveRole())
}

// isResponding reports whether a member with the name has replied within an
// election timeout.
func (core *Core) isResponding(name string) bool {
	for peer, follower := range core.allProgress() {
		if peer.Name == name && follower.lastReply > 0 && core.now-follower.lastReply < core.settings.ElectionTimeout {
			return true
		}
	}
	return name == core.self.Name
}

// addLearner adds a new disk as a learner, in place of an earlier learner of the
// same name or of one that is paused. While the old disk still replies, two
// processes run with the same name by mistake, and the one already in the group stays.
func (core *Core) addLearner(learner *wire.ControlMember) {
	peer := peerOf(learner)
	if core.isResponding(peer.Name) {
		return
	}
	sameName := func(member *wire.ControlMember) bool { return member.GetName() == peer.Name }
	if !core.membersSettled() || findMember(core.members, peer) != nil {
		return
	}
	isReplaced := func(member *wire.ControlMember) bool {
		return !member.GetVoter() && (sameName(member) || core.isPausedMember(member))
	}
	kept := without(core.members, isReplaced)
	if !slices.ContainsFunc(core.members, sameName) && (hasLearner(kept) || !core.hasPlaceFor(learner, core.admitAfter())) {
		return
	}
	core.explain("learner admitted", learner)
	core.setMembers(append(kept, learner), "")
}

// forwardJoin passes a join message on to the leader.
func (core *Core) forwardJoin(message *wire.PeerMessage) {
	member := findMember(core.members, core.leader)
	if member == nil {
		return
	}
	forwarded := &wire.PeerMessage{
		Type: message.GetType(), From: message.GetFrom(), FromDisk: message.GetFromDisk(), To: member.GetName(),
		Address: message.GetAddress(), Members: message.GetMembers(), Zone: message.GetZone(),
	}
	core.emit(Send{Message: forwarded, Address: member.GetAddress()})
}
