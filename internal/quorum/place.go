package quorum

import (
	"slices"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// An open group fills the place of a voter that is silent in three steps, so that it is
// without a majority of live voters for as short as possible:
//
//  1. A process that asks to join becomes a learner once a voter has been silent for half
//     of ReplaceAfter. It copies the log meanwhile.
//  2. The learner becomes a voter once that voter has been silent for ReplaceAfter.
//  3. The silent voter is removed as soon as this is committed.
//
// How long a member has been silent outlives the leader: the leader tells it in its
// appends, and a member that starts counts from its start.

func hasLearner(members []*wire.ControlMember) bool {
	return slices.ContainsFunc(members, func(member *wire.ControlMember) bool { return !member.GetVoter() })
}

func votersOf(members []*wire.ControlMember) []*wire.ControlMember {
	return without(members, func(member *wire.ControlMember) bool { return !member.GetVoter() })
}

// admitAfter is how long a voter must be silent before another process may become a
// learner.
func (core *Core) admitAfter() clock.Millis { return core.settings.ReplaceAfter / 2 }

// trackSilence begins to count the silence of members that are new in the member set.
func (core *Core) trackSilence() {
	for _, member := range core.members {
		if peer := peerOf(member); core.heard[peer] == 0 {
			core.heard[peer] = core.now
		}
	}
	for peer := range core.heard {
		if findMember(core.members, peer) == nil {
			delete(core.heard, peer)
		}
	}
}

// hear records a reply of a member. Requests are no proof that it receives anything.
func (core *Core) hear(message *wire.PeerMessage, from Peer) {
	switch message.GetType() {
	case wire.PeerMessage_TYPE_APPEND_REPLY, wire.PeerMessage_TYPE_SNAPSHOT_REPLY, wire.PeerMessage_TYPE_VOTE_REPLY, wire.PeerMessage_TYPE_PRE_VOTE_REPLY:
		if core.heard[from] != 0 {
			core.heard[from] = core.now
		}
	default:
	}
}

// silences lists the members that have not replied to the leader for an election timeout.
func (core *Core) silences() *wire.MemberSet {
	var list []*wire.ControlMember
	for _, member := range core.members {
		if silence := core.silence(member); silence > core.settings.ElectionTimeout {
			list = append(list, &wire.ControlMember{Name: member.GetName(), Disk: member.GetDisk(), Silence: new(int64(silence))})
		}
	}
	if list == nil {
		return nil
	}
	return &wire.MemberSet{Members: list}
}

// learnSilences takes over how long the leader has not heard from the members.
func (core *Core) learnSilences(list []*wire.ControlMember) {
	for peer := range core.heard {
		core.heard[peer] = core.now - clock.Millis(findMember(list, peer).GetSilence())
	}
}

// silence returns the time since the last reply of a member to this member or, as far as
// it is known, to a leader.
func (core *Core) silence(member *wire.ControlMember) clock.Millis {
	if peerOf(member) == core.self {
		return 0
	}
	return core.now - core.heard[peerOf(member)]
}

// isSilent reports whether a member has not replied for longer than a limit. A leader gives
// every member time to reply to it first: after a time without a leader, none has replied
// for long.
func (core *Core) isSilent(member *wire.ControlMember, limit clock.Millis) bool {
	follower := core.progress[peerOf(member)]
	return follower != nil && core.now-follower.trackedSince > core.settings.ElectionTimeout && core.silence(member) > limit
}

// isNeeded reports whether an open group needs another voter, if voters that have been
// silent for longer than a limit are lost.
func (core *Core) isNeeded(limit clock.Millis) bool {
	if core.settings.Voters == 0 {
		return false
	}
	voters := votersOf(core.members)
	lost := slices.ContainsFunc(voters, func(voter *wire.ControlMember) bool { return core.isSilent(voter, limit) })
	return len(voters) < core.settings.Voters || len(voters) == core.settings.Voters && lost
}

// fillPlaces makes the next change of the member set that is due, if any.
func (core *Core) fillPlaces() {
	core.promoteLearner()
	core.removeSurplus()
}

// removeSurplus removes a voter of an open group that has more than it needs, if one is
// silent, and a learner that is silent or no longer needed.
func (core *Core) removeSurplus() {
	if core.settings.Voters == 0 || !core.membersSettled() {
		return
	}
	surplus := len(votersOf(core.members)) > core.settings.Voters
	for _, member := range core.members {
		var reason string
		switch isSilent := core.isSilent(member, core.settings.ReplaceAfter); {
		case member.GetVoter() && isSilent && surplus:
			reason = "silent voter removed"
		case !member.GetVoter() && isSilent:
			reason = "silent learner removed"
		case !member.GetVoter() && core.isIdle(member):
			reason = "learner not needed"
		default:
			continue
		}
		core.explain(reason, member)
		core.setMembers(without(core.members, func(other *wire.ControlMember) bool { return other == member }), "")
		return
	}
}

// explain reports why the member set changes.
func (core *Core) explain(reason string, member *wire.ControlMember) {
	longest := clock.Millis(0)
	for _, voter := range votersOf(core.members) {
		longest = max(longest, core.silence(voter))
	}
	core.emit(MemberChange{Reason: reason, Member: peerOf(member), Silence: longest})
}

// isIdle reports whether a learner of an open group is not needed: it replaces no disk of
// the same name, and all voters reply.
func (core *Core) isIdle(learner *wire.ControlMember) bool {
	replaces := slices.ContainsFunc(core.members, func(other *wire.ControlMember) bool {
		return other != learner && other.GetName() == learner.GetName()
	})
	return learner.GetDisk() != 0 && !replaces && !core.isNeeded(core.admitAfter())
}
