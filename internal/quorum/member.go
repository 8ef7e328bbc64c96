package quorum

import (
	"iter"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func peerOf(member *wire.ControlMember) Peer { return Peer{member.GetName(), member.GetDisk()} }

func findMember(members []*wire.ControlMember, peer Peer) *wire.ControlMember {
	for _, member := range members {
		if peerOf(member) == peer {
			return member
		}
	}
	return nil
}

// majority reports whether a condition holds for more than half of the voters.
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

// loadMembers puts the latest member set in the log into effect.
func (core *Core) loadMembers() {
	core.members, core.membersIndex = core.baseMembers, core.log.base
	for at := len(core.log.entries) - 1; at >= 0; at-- {
		if set := core.log.entries[at].GetMembers(); set != nil {
			core.members, core.membersIndex = set.GetMembers(), core.log.entries[at].GetIndex()
			break
		}
	}
	core.trackSilence()
	if core.role == Leader {
		core.trackMembers()
	}
}

// membersAt returns the member set in effect at an index.
func (core *Core) membersAt(index uint64) []*wire.ControlMember {
	members := core.baseMembers
	for _, entry := range core.log.slice(core.log.base+1, index) {
		if set := entry.GetMembers(); set != nil {
			members = set.GetMembers()
		}
	}
	return members
}

// trackMembers adds and removes the leader's progress entries to match the member
// set.
func (core *Core) trackMembers() {
	for _, member := range core.members {
		peer := peerOf(member)
		if peer == core.self || peer.DiskID == 0 {
			continue
		}
		if core.progress[peer] == nil {
			core.progress[peer] = &progress{next: core.log.last() + 1, probing: true, trackedSince: core.now}
		}
		core.progress[peer].address = member.GetAddress()
	}
	for peer := range core.progress {
		if findMember(core.members, peer) == nil {
			delete(core.progress, peer)
		}
	}
}

// allProgress iterates over the progress entries in the order of the member set,
// so that the order of messages is deterministic.
func (core *Core) allProgress() iter.Seq2[Peer, *progress] {
	return func(yield func(Peer, *progress) bool) {
		for _, member := range core.members {
			follower := core.progress[peerOf(member)]
			if follower != nil && !yield(peerOf(member), follower) {
				return
			}
		}
	}
}

// membersSettled reports whether the next membership change may start: the
// previous one and an entry of this term must be committed.
func (core *Core) membersSettled() bool {
	return core.role == Leader && !core.diskFailing && core.commit >= core.termStart && core.membersIndex <= core.commit
}

// setMembers appends a member set, which may differ from the last by at most one
// voter.
func (core *Core) setMembers(members []*wire.ControlMember, commandID string) uint64 {
	index := core.log.last() + 1
	core.append([]*wire.Entry{{
		Index: index, Term: core.hard.Term, Body: &wire.Entry_Members{Members: &wire.MemberSet{Members: members, CommandId: commandID}},
	}})
	core.replicate()
	return index
}

func (core *Core) changeMember(event ChangeMember) {
	reason := core.checkProposal()
	if reason == nil && !core.membersSettled() {
		reason = ErrMembership
	}
	if reason != nil {
		core.emit(Refused{ID: event.ID, Reason: reason})
		return
	}
	var index uint64
	if event.Remove {
		index = core.setMembers(without(core.members, func(member *wire.ControlMember) bool {
			return member.GetName() == event.Name
		}), event.CommandID)
	} else {
		// Disk 0 marks a name that is permitted to join and has not joined yet.
		index = core.setMembers(append(slices.Clone(core.members), &wire.ControlMember{Name: event.Name}), event.CommandID)
	}
	core.emit(Accepted{ID: event.ID, Index: index, Term: core.hard.Term})
}

func without(members []*wire.ControlMember, remove func(*wire.ControlMember) bool) []*wire.ControlMember {
	return slices.DeleteFunc(slices.Clone(members), remove)
}

// promoteLearner makes a learner that has caught up a voter, in an open group only when
// one is needed. An earlier disk of the same name, or the silent voter that it replaces, is
// removed first, in a separate membership change.
func (core *Core) promoteLearner() {
	if !core.membersSettled() {
		return
	}
	for _, member := range core.members {
		follower := core.progress[peerOf(member)]
		if member.GetVoter() || follower == nil || follower.probing || follower.match < core.commit {
			continue
		}
		earlierDisk := func(other *wire.ControlMember) bool {
			return other.GetName() == member.GetName() && other.GetDisk() != member.GetDisk()
		}
		if slices.ContainsFunc(core.members, earlierDisk) {
			core.explain("earlier disk removed", member)
			core.setMembers(without(core.members, earlierDisk), "")
			return
		}
		if core.settings.Voters > 0 && !core.hasPlaceFor(member, core.settings.ReplaceAfter) {
			continue
		}
		if lost := core.replacedBy(member); lost != nil {
			core.remove("silent voter removed", lost)
			return
		}
		core.explain("learner promoted", member)
		voter := copyMember(member)
		voter.Voter = true
		core.setMembers(replaceMember(core.members, member, voter), "")
		return
	}
}

func copyMember(member *wire.ControlMember) *wire.ControlMember {
	return &wire.ControlMember{
		Name: member.GetName(), Disk: member.GetDisk(), Address: member.GetAddress(), Voter: member.GetVoter(), Zone: member.GetZone(),
	}
}

func replaceMember(members []*wire.ControlMember, old, next *wire.ControlMember) []*wire.ControlMember {
	list := slices.Clone(members)
	list[slices.Index(list, old)] = next
	return list
}

// stepDownIfRemoved ends the member's leadership once its own removal is
// committed. A last heartbeat informs the others of the commit.
func (core *Core) stepDownIfRemoved() {
	if core.membersIndex > core.commit || core.passiveRole() != Learner {
		return
	}
	core.heartbeat()
	core.resign()
	if core.role == Leader {
		core.follow(core.hard.Term, Peer{})
	}
}
