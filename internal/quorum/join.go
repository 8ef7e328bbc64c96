package quorum

import (
	"slices"
	"strings"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// tickJoin announces a member without a group to the listed control VMs.
func (core *Core) tickJoin() {
	if core.now < core.beatDue {
		return
	}
	core.beatDue = core.now + core.settings.ElectionTimeout/heartbeatsPerTimeout + clock.Millis(1)
	if core.settings.JoinOnly {
		core.beatDue = core.now + core.settings.ElectionTimeout
	}
	core.form()
	if core.formed() {
		return
	}
	for _, other := range core.settings.First {
		if other.GetName() != core.self.Name {
			core.send(Peer{Name: other.GetName()}, other.GetAddress(), &wire.PeerMessage{
				Type: wire.PeerMessage_TYPE_JOIN, Members: &wire.MemberSet{Members: core.metMembers()},
			}, true)
		}
	}
}

func (core *Core) metMembers() []*wire.ControlMember {
	list := []*wire.ControlMember{{Name: core.self.Name, Address: core.settings.Address, Disk: core.self.Disk, Voter: true}}
	for _, member := range core.met {
		list = append(list, member)
	}
	slices.SortFunc(list, func(left, right *wire.ControlMember) int { return strings.Compare(left.GetName(), right.GetName()) })
	return list
}

// form makes the first member set when this one's name is the smallest and
// every listed control VM has met all others, each with the same empty disk. A
// late message from before a disk was emptied lists the old disk and so does
// not count.
func (core *Core) form() {
	if core.settings.JoinOnly {
		return
	}
	members := core.metMembers()
	if len(core.settings.First) == 0 {
		core.found(members)
		return
	}
	if !core.listed(core.self.Name) || members[0].GetName() != core.self.Name || len(members) != len(core.settings.First) {
		return
	}
	for _, list := range core.lists {
		if !agree(list, members) {
			return
		}
	}
	core.found(members)
}

func agree(list, members []*wire.ControlMember) bool {
	return !slices.ContainsFunc(members, func(member *wire.ControlMember) bool { return find(list, peerOf(member)) == nil })
}

func (core *Core) listed(name string) bool {
	return slices.ContainsFunc(core.settings.First, func(first *wire.ControlMember) bool { return first.GetName() == name })
}

// found stores the first member set as the log's first entry, in term 1.
func (core *Core) found(members []*wire.ControlMember) {
	core.hard = HardState{Term: 1}
	core.saveHard()
	core.append([]*wire.Entry{{Index: 1, Term: 1, Body: &wire.Entry_Members{Members: &wire.MemberSet{Members: members}}}})
	core.due = core.now + core.retryDelay()
	core.setRole(core.idleRole())
	for _, member := range members {
		if peer := peerOf(member); peer != core.self {
			core.sendFirst(peer, member.GetAddress())
		}
	}
	if len(members) == 1 {
		core.campaign(false, false)
	}
}

func (core *Core) sendFirst(peer Peer, address string) {
	core.send(peer, address, &wire.PeerMessage{
		Type: wire.PeerMessage_TYPE_JOIN_REPLY, Term: 1, Members: &wire.MemberSet{Members: core.members},
	}, true)
}

func (core *Core) onJoin(message *wire.PeerMessage) {
	peer := Peer{message.GetFrom(), message.GetFromDisk()}
	switch {
	case !core.formed():
		core.meet(message, peer)
	case find(core.members, peer) != nil && core.membersIndex == 1 && core.log.base == 0:
		core.sendFirst(peer, message.GetAddress())
	case core.role == Leader:
		core.admit(peer, message.GetAddress())
	default:
		core.forwardJoin(message)
	}
}

// meet remembers a listed control VM whose disk is empty too, with the list of
// those it has met. Of two disks of one name the one met later counts.
func (core *Core) meet(message *wire.PeerMessage, peer Peer) {
	if !core.listed(peer.Name) || core.emptied[peer] {
		return
	}
	if known := core.met[peer.Name]; known != nil && peerOf(known) != peer {
		core.emptied[peerOf(known)] = true
	}
	core.met[peer.Name] = &wire.ControlMember{Name: peer.Name, Disk: peer.Disk, Address: message.GetAddress(), Voter: true}
	core.lists[peer.Name] = message.GetMembers().GetMembers()
	core.form()
}

// onJoinReply stores the first member set if it names this disk. It refuses a
// set that its maker sent before the maker's disk was emptied, if the new disk
// was met already: the new disk may be making another set.
func (core *Core) onJoinReply(message *wire.PeerMessage) {
	if core.formed() || find(message.GetMembers().GetMembers(), core.self) == nil {
		return
	}
	known := core.met[message.GetFrom()]
	maker := message.GetMembers().GetMembers()[0].GetName() == message.GetFrom()
	if maker && known != nil && known.GetDisk() != message.GetFromDisk() {
		return
	}
	core.hard = HardState{Term: 1}
	core.saveHard()
	core.append([]*wire.Entry{{Index: 1, Term: 1, Body: &wire.Entry_Members{Members: message.GetMembers()}}})
	core.due = core.now + core.patience()
	core.setRole(core.idleRole())
}

// alive tells whether a member of a name has answered within an election timeout.
func (core *Core) alive(name string) bool {
	for peer, known := range core.ordered() {
		if peer.Name == name && known.heard > 0 && core.now-known.heard < core.settings.ElectionTimeout {
			return true
		}
	}
	return name == core.self.Name
}

// admit makes a new disk of a known name a learner, in the place of an earlier
// learner of that name. While the old disk answers, two processes have the same
// name by mistake, and the one in the group stays.
func (core *Core) admit(peer Peer, address string) {
	if core.alive(peer.Name) {
		return
	}
	known := func(member *wire.ControlMember) bool { return member.GetName() == peer.Name }
	if !core.membersSettled() || find(core.members, peer) != nil {
		return
	}
	if !slices.ContainsFunc(core.members, known) && !core.hasPlace() {
		return
	}
	kept := without(core.members, func(member *wire.ControlMember) bool { return known(member) && !member.GetVoter() })
	core.setMembers(append(kept, &wire.ControlMember{Name: peer.Name, Disk: peer.Disk, Address: address}), "")
}

// hasPlace tells whether an open group lacks a voter and no learner is on its
// way to become one.
func (core *Core) hasPlace() bool {
	if core.settings.Voters == 0 {
		return false
	}
	voters := 0
	for _, member := range core.members {
		if !member.GetVoter() {
			return false
		}
		if !core.lost(member) {
			voters++
		}
	}
	return voters < core.settings.Voters
}

// lost tells whether a member has not answered for so long that another may
// take its place.
func (core *Core) lost(member *wire.ControlMember) bool {
	peer := peerOf(member)
	known := core.progress[peer]
	if peer == core.self || known == nil {
		return false
	}
	return core.now-max(known.heard, known.since) > core.settings.ReplaceAfter
}

// removeLost takes a lost voter out of an open group that has enough others.
func (core *Core) removeLost() {
	if core.settings.Voters == 0 || !core.membersSettled() {
		return
	}
	voters := 0
	for _, member := range core.members {
		if member.GetVoter() {
			voters++
		}
	}
	for _, member := range core.members {
		if core.lost(member) && (!member.GetVoter() || voters > core.settings.Voters) {
			core.setMembers(without(core.members, func(other *wire.ControlMember) bool { return other == member }), "")
			return
		}
	}
}

func (core *Core) forwardJoin(message *wire.PeerMessage) {
	member := find(core.members, core.leader)
	if member == nil {
		return
	}
	forwarded := &wire.PeerMessage{
		Type: message.GetType(), From: message.GetFrom(), FromDisk: message.GetFromDisk(), To: member.GetName(),
		Address: message.GetAddress(), Members: message.GetMembers(),
	}
	core.act(Send{Message: forwarded, Address: member.GetAddress()})
}
