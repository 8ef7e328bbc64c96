package quorum

import (
	"iter"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func peerOf(member *wire.ControlMember) Peer { return Peer{member.GetName(), member.GetDisk()} }

func find(members []*wire.ControlMember, peer Peer) *wire.ControlMember {
	for _, member := range members {
		if peerOf(member) == peer {
			return member
		}
	}
	return nil
}

// majority tells whether more than half of the voters satisfy a condition.
func (core *Core) majority(holds func(Peer) bool) bool {
	voters, held := 0, 0
	for _, member := range core.members {
		if !member.GetVoter() {
			continue
		}
		voters++
		if holds(peerOf(member)) {
			held++
		}
	}
	return held > voters/2
}

// findMembers takes the latest member set of the log into force.
func (core *Core) findMembers() {
	core.members, core.membersIndex = core.baseMembers, core.log.base
	for at := len(core.log.entries) - 1; at >= 0; at-- {
		if set := core.log.entries[at].GetMembers(); set != nil {
			core.members, core.membersIndex = set.GetMembers(), core.log.entries[at].GetIndex()
			break
		}
	}
	if core.role == Leader {
		core.trackMembers()
	}
}

func (core *Core) membersAt(index uint64) []*wire.ControlMember {
	members := core.baseMembers
	for _, entry := range core.log.slice(core.log.base+1, index) {
		if set := entry.GetMembers(); set != nil {
			members = set.GetMembers()
		}
	}
	return members
}

// trackMembers keeps the leader's table in step with the member set.
func (core *Core) trackMembers() {
	for _, member := range core.members {
		peer := peerOf(member)
		if peer == core.self || peer.Disk == 0 {
			continue
		}
		if core.progress[peer] == nil {
			core.progress[peer] = &progress{next: core.log.last() + 1, probing: true, since: core.now}
		}
		core.progress[peer].address = member.GetAddress()
	}
	for peer := range core.progress {
		if find(core.members, peer) == nil {
			delete(core.progress, peer)
		}
	}
}

// ordered lists the leader's table in the order of the member set.
func (core *Core) ordered() iter.Seq2[Peer, *progress] {
	return func(yield func(Peer, *progress) bool) {
		for _, member := range core.members {
			known := core.progress[peerOf(member)]
			if known != nil && !yield(peerOf(member), known) {
				return
			}
		}
	}
}

// membersSettled tells whether the next member change may start: the last one
// and an entry of this term are committed.
func (core *Core) membersSettled() bool {
	return core.role == Leader && !core.failing && core.commit >= core.firstIndex && core.membersIndex <= core.commit
}

// setMembers appends a member set that differs by one voter at most.
func (core *Core) setMembers(members []*wire.ControlMember, commandID string) uint64 {
	index := core.log.last() + 1
	core.append([]*wire.Entry{{
		Index: index, Term: core.hard.Term, Body: &wire.Entry_Members{Members: &wire.MemberSet{Members: members, CommandId: commandID}},
	}})
	core.replicate()
	return index
}

func (core *Core) changeMember(event ChangeMember) {
	reason := core.refusal()
	if reason == nil && !core.membersSettled() {
		reason = ErrMembership
	}
	if reason != nil {
		core.act(Refused{ID: event.ID, Reason: reason})
		return
	}
	var index uint64
	if event.Remove {
		index = core.setMembers(without(core.members, func(member *wire.ControlMember) bool {
			return member.GetName() == event.Name
		}), event.CommandID)
	} else {
		// Disk 0 marks a name that may join and has not yet.
		index = core.setMembers(append(slices.Clone(core.members), &wire.ControlMember{Name: event.Name}), event.CommandID)
	}
	core.act(Accepted{ID: event.ID, Index: index, Term: core.hard.Term})
}

func without(members []*wire.ControlMember, gone func(*wire.ControlMember) bool) []*wire.ControlMember {
	return slices.DeleteFunc(slices.Clone(members), gone)
}

// repairMembers makes a learner that has caught up a voter. An old disk of the
// same name is removed first, in a change of its own.
func (core *Core) repairMembers() {
	if !core.membersSettled() {
		return
	}
	for _, member := range core.members {
		known := core.progress[peerOf(member)]
		if member.GetVoter() || known == nil || known.probing || known.match < core.commit {
			continue
		}
		old := func(other *wire.ControlMember) bool {
			return other.GetName() == member.GetName() && other.GetDisk() != member.GetDisk()
		}
		if slices.ContainsFunc(core.members, old) {
			core.setMembers(without(core.members, old), "")
			return
		}
		core.setMembers(replaced(core.members, member, &wire.ControlMember{
			Name: member.GetName(), Disk: member.GetDisk(), Address: member.GetAddress(), Voter: true,
		}), "")
		return
	}
}

func replaced(members []*wire.ControlMember, old, next *wire.ControlMember) []*wire.ControlMember {
	list := slices.Clone(members)
	list[slices.Index(list, old)] = next
	return list
}

// afterCommit ends the leadership of a member that was removed.
func (core *Core) afterCommit() {
	if core.membersIndex > core.commit || core.idleRole() != Learner {
		return
	}
	core.heartbeat()
	core.resign()
	if core.role == Leader {
		core.follow(core.hard.Term, Peer{})
	}
}
