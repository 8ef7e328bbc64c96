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
//  2. The silent voter is removed once it has been silent for ReplaceAfter.
//  3. The learner becomes a voter as soon as this is committed.
//
// The silent voter goes first, because it is often in the same availability zone as the
// learner: with both as voters, a cut of that zone would take half of them. A place that moves
// to another zone is filled before the voter that had it goes.
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

// trackSilence begins to count the silence of members that are new in the member set, and
// since when a place is vacant, and forgets what it knows of members that left.
func (core *Core) trackSilence() {
	switch {
	case len(votersOf(core.members)) >= core.settings.Voters:
		core.vacantSince = 0
	case core.vacantSince == 0:
		core.vacantSince = core.now
	}
	for _, member := range core.members {
		if peer := peerOf(member); core.heard[peer] == 0 {
			core.heard[peer] = core.now
		}
	}
	for peer := range core.heard {
		if findMember(core.members, peer) == nil {
			delete(core.heard, peer)
			delete(core.zones, peer)
		}
	}
}

// hear records the availability zone of a member, and its reply. Requests are no proof that
// it receives anything.
func (core *Core) hear(message *wire.PeerMessage, from Peer) {
	if zone := message.GetZone(); zone != "" && core.heard[from] != 0 {
		core.zones[from] = zone
	}
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

// hasPlaceFor reports whether an open group needs a candidate as a voter, if voters that have
// been silent for longer than a limit are lost. The candidate may take the place of a lost
// voter if no availability zone gets more voters than the group can lose, or than it has.
// A zone that stays away for RelocateAfter loses its place even so, and gets it back when a
// VM of it asks and all voters reply.
func (core *Core) hasPlaceFor(candidate *wire.ControlMember, limit clock.Millis) bool {
	voters := votersOf(core.members)
	if len(voters) < core.settings.Voters {
		return core.mayFillVacancy(voters, candidate)
	}
	if core.settings.Voters == 0 || len(voters) > core.settings.Voters {
		return false
	}
	allReply := !slices.ContainsFunc(voters, func(voter *wire.ControlMember) bool { return core.isSilent(voter, core.settings.ElectionTimeout) })
	now, tolerated := widest(voters), (core.settings.Voters-1)/2
	for at, lost := range voters {
		then := widest(append(slices.Delete(slices.Clone(voters), at, at+1), candidate))
		switch {
		case core.isSilent(lost, limit) && then <= max(now, tolerated),
			core.isSilent(lost, max(limit, core.settings.RelocateAfter)),
			allReply && now > tolerated && then < now:
			return true
		}
	}
	return false
}

// mayFillVacancy reports whether a candidate may take a place that no voter has. It must not
// give one availability zone more voters than the group can lose, unless one has more already
// or the place has been vacant for RelocateAfter.
func (core *Core) mayFillVacancy(voters []*wire.ControlMember, candidate *wire.ControlMember) bool {
	tolerated := (core.settings.Voters - 1) / 2
	return widest(append(slices.Clone(voters), candidate)) <= tolerated || widest(voters) > tolerated ||
		core.now-core.vacantSince > core.settings.RelocateAfter
}

// replacedBy returns the silent voter whose place a caught-up learner takes, or nil if there
// is none or the place moves to another zone that then has too many.
func (core *Core) replacedBy(learner *wire.ControlMember) *wire.ControlMember {
	voters := votersOf(core.members)
	if core.settings.Voters == 0 || len(voters) != core.settings.Voters {
		return nil
	}
	for at, lost := range voters {
		then := widest(append(slices.Delete(slices.Clone(voters), at, at+1), learner))
		if core.isSilent(lost, core.settings.ReplaceAfter) && then <= (core.settings.Voters-1)/2 {
			return lost
		}
	}
	return nil
}

// widest returns the largest number of members in one availability zone. A member whose
// zone is not known has one of its own.
func widest(members []*wire.ControlMember) int {
	counts := map[string]int{}
	most := min(len(members), 1)
	for _, member := range members {
		if zone := member.GetZone(); zone != "" {
			counts[zone]++
			most = max(most, counts[zone])
		}
	}
	return most
}

// fillPlaces makes the next change of the member set that is due, if any.
func (core *Core) fillPlaces() {
	core.updateZones()
	core.promoteLearner()
	core.removeSurplus()
}

// removeSurplus removes a voter of an open group that has more than it needs, and a learner
// that is silent or no longer needed.
func (core *Core) removeSurplus() {
	if core.settings.Voters == 0 || !core.membersSettled() {
		return
	}
	if voters := votersOf(core.members); len(voters) > core.settings.Voters {
		reason, surplus := core.surplus(voters)
		core.remove(reason, surplus)
		return
	}
	for _, member := range core.members {
		switch {
		case member.GetVoter():
		case core.isSilent(member, core.settings.ReplaceAfter):
			core.remove("silent learner removed", member)
			return
		case core.isIdle(member):
			core.remove("learner not needed", member)
			return
		}
	}
}

// surplus picks the voter that a group with too many voters loses: one that is silent, or
// else one of the availability zone with most of them, but not the leader.
func (core *Core) surplus(voters []*wire.ControlMember) (string, *wire.ControlMember) {
	var picked *wire.ControlMember
	least := len(voters) + 1
	for at, voter := range voters {
		if core.isSilent(voter, core.settings.ReplaceAfter) {
			return "silent voter removed", voter
		}
		left := widest(slices.Delete(slices.Clone(voters), at, at+1))
		if peerOf(voter) != core.self && left < least {
			picked, least = voter, left
		}
	}
	return "voter of a full zone removed", picked
}

// updateZones records the zones of the members in the member set where it has no zone, since
// an older version made it, or another one, since a VM was moved with its disk.
func (core *Core) updateZones() {
	if core.settings.Voters == 0 || !core.membersSettled() {
		return
	}
	members, moved := slices.Clone(core.members), (*wire.ControlMember)(nil)
	for at, member := range members {
		if zone := core.zones[peerOf(member)]; zone != "" && zone != member.GetZone() {
			moved = copyMember(member)
			moved.Zone = zone
			members[at] = moved
		}
	}
	if moved != nil {
		core.explain("zone of a member recorded", moved)
		core.setMembers(members, "")
	}
}

func (core *Core) remove(reason string, member *wire.ControlMember) {
	core.explain(reason, member)
	core.setMembers(without(core.members, func(other *wire.ControlMember) bool { return other == member }), "")
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
// the same name, and there is no place for it.
func (core *Core) isIdle(learner *wire.ControlMember) bool {
	replaces := slices.ContainsFunc(core.members, func(other *wire.ControlMember) bool {
		return other != learner && other.GetName() == learner.GetName()
	})
	return learner.GetDisk() != 0 && !replaces && !core.hasPlaceFor(learner, core.admitAfter())
}
