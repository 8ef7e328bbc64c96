package quorum

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// campaign requests votes from the other voters. A pre-vote does not raise the
// term, so that a member that was partitioned does not depose the leader when
// it reconnects.
func (core *Core) campaign(preVote, transfer bool) {
	core.electionDue = core.now + core.retryDelay()
	if !core.electable() || core.passiveRole() == Learner {
		return
	}
	core.preVoting = preVote
	core.leader = Peer{}
	term := core.hard.Term + 1
	kind := wire.PeerMessage_TYPE_PRE_VOTE
	if !preVote {
		kind = wire.PeerMessage_TYPE_VOTE
		core.hard = HardState{Term: term, Vote: core.self}
		core.saveHard()
	}
	core.setRole(Candidate)
	core.votes = map[Peer]bool{core.self: true}
	for _, member := range core.members {
		if peer := peerOf(member); member.GetVoter() && peer != core.self {
			core.send(peer, member.GetAddress(), &wire.PeerMessage{
				Type: kind, Term: term, Index: core.log.last(), LogTerm: core.log.lastTerm(), Transfer: transfer,
			}, true)
		}
	}
	core.countVotes()
}

// retryDelay returns the randomised delay before the next campaign. It is
// shorter than electionDelay because the leader is already known to be gone.
func (core *Core) retryDelay() clock.Millis {
	half := core.settings.ElectionTimeout / 2
	return half + clock.Millis(core.random.Int64N(int64(half)+1))
}

func (core *Core) countVotes() {
	granted := core.majority(func(peer Peer) bool { return core.votes[peer] })
	switch {
	case !granted:
	case core.preVoting:
		core.campaign(false, false)
	default:
		core.lead()
	}
}

// hasLeader reports whether a leader may still hold a lease that this member has
// acknowledged.
func (core *Core) hasLeader() bool {
	return core.role == Leader || core.now-core.leaderContact < core.settings.ElectionTimeout
}

// logIsCurrent reports whether the candidate's log is at least as up to date as
// this member's.
func (core *Core) logIsCurrent(message *wire.PeerMessage) bool {
	if message.GetLogTerm() != core.log.lastTerm() {
		return message.GetLogTerm() > core.log.lastTerm()
	}
	return message.GetIndex() >= core.log.last()
}

// outranks orders candidates whose logs are the same, so that those that stand at the same
// instant do not split the votes. Any fixed order will do.
func (peer Peer) outranks(other Peer) bool {
	if peer.Name != other.Name {
		return peer.Name < other.Name
	}
	return peer.DiskID < other.DiskID
}

// prefersOther reports whether a pre-vote was granted to another candidate lately, which
// may be collecting votes, and which the peer does not outrank.
func (core *Core) prefersOther(peer Peer) bool {
	return core.now < core.yieldUntil && core.yieldedTo != peer && !peer.outranks(core.yieldedTo)
}

// yield lets a candidate that got a pre-vote collect votes before this member stands for
// election itself. A member that collects pre-votes gives up if the candidate outranks it.
// It yields to a candidate once: one that stands again so soon cannot collect the votes,
// for example because it sends but does not receive.
func (core *Core) yield(peer Peer) {
	if core.yieldedTo == peer && core.now < core.yieldUntil+core.settings.ElectionTimeout {
		return
	}
	core.yieldedTo, core.yieldUntil = peer, core.now+core.settings.ElectionTimeout/2
	switch {
	case core.role != Candidate:
		core.electionDue = max(core.electionDue, core.now+core.retryDelay())
	case core.preVoting && peer.outranks(core.self):
		core.electionDue = core.now + core.retryDelay()
		core.votes = nil
		core.setRole(core.passiveRole())
	}
}

func (core *Core) onPreVote(message *wire.PeerMessage) {
	from := Peer{message.GetFrom(), message.GetFromDisk()}
	granted := core.electable() && !core.hasLeader() &&
		message.GetTerm() > core.hard.Term && core.logIsCurrent(message) && !core.prefersOther(from)
	term := core.hard.Term
	if granted {
		term = message.GetTerm()
		core.yield(from)
	}
	core.reply(message, &wire.PeerMessage{Type: wire.PeerMessage_TYPE_PRE_VOTE_REPLY, Term: term, Reject: !granted})
}

func (core *Core) onVote(message *wire.PeerMessage, from Peer) {
	if !core.electable() || core.hasLeader() && !message.GetTransfer() {
		return
	}
	if message.GetTerm() > core.hard.Term {
		due := core.electionDue
		core.follow(message.GetTerm(), Peer{})
		// A candidate with an outdated log must not delay the elections of others.
		if !core.logIsCurrent(message) {
			core.electionDue = due
		}
	}
	canVote := core.hard.Vote == Peer{} || core.hard.Vote == from
	granted := message.GetTerm() == core.hard.Term && canVote && core.logIsCurrent(message) && core.role != Leader
	if granted && core.hard.Vote != from {
		core.hard.Vote = from
		core.saveHard()
	}
	core.reply(message, &wire.PeerMessage{Type: wire.PeerMessage_TYPE_VOTE_REPLY, Term: core.hard.Term, Reject: !granted})
}

func (core *Core) onVoteReply(message *wire.PeerMessage, from Peer, preVote bool) {
	if message.GetReject() && message.GetTerm() > core.hard.Term {
		core.follow(message.GetTerm(), Peer{})
		return
	}
	expected := core.hard.Term
	if preVote {
		expected++
	}
	if core.role != Candidate || core.preVoting != preVote || message.GetReject() || message.GetTerm() != expected {
		return
	}
	core.votes[from] = true
	core.countVotes()
}

// lead makes the member the leader and appends an empty entry, because entries
// of earlier terms are committed only together with one of the leader's own.
func (core *Core) lead() {
	core.setRole(Leader)
	core.leader = core.self
	core.votes = nil
	core.progress = map[Peer]*progress{}
	core.round, core.roundSent = 0, map[uint64]clock.Millis{}
	core.leaseStart = core.now
	core.termStart = core.log.last() + 1
	core.trackMembers()
	core.append([]*wire.Entry{{Index: core.termStart, Term: core.hard.Term, Body: &wire.Entry_Empty{Empty: true}}})
	core.heartbeat()
}

// resign transfers leadership to the voter with the highest match index. The
// lease ends with it, so voters need not wait for its expiry.
func (core *Core) resign() {
	if core.role != Leader {
		return
	}
	var best *wire.ControlMember
	for _, member := range core.members {
		follower := core.progress[peerOf(member)]
		if follower == nil || !member.GetVoter() || follower.probing || follower.paused {
			continue
		}
		if best == nil || follower.match > core.progress[peerOf(best)].match {
			best = member
		}
	}
	if best == nil {
		return
	}
	core.follow(core.hard.Term, Peer{})
	core.send(peerOf(best), best.GetAddress(), &wire.PeerMessage{Type: wire.PeerMessage_TYPE_TRANSFER, Term: core.hard.Term}, false)
}
