package quorum

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// campaign asks for votes. A pre-vote changes no term, so that a member that
// was cut off does not depose a leader when it returns.
func (core *Core) campaign(preVote, transfer bool) {
	core.due = core.now + core.retryDelay()
	if !core.electable() || core.idleRole() == Learner {
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

// retryDelay is shorter than the first wait, because the leader is known to be gone.
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

// hasLeader tells whether a leader may still hold a lease that this member's
// acknowledgement confirmed.
func (core *Core) hasLeader() bool {
	return core.role == Leader || core.now-core.heard < core.settings.ElectionTimeout
}

func (core *Core) logIsCurrent(message *wire.PeerMessage) bool {
	if message.GetLogTerm() != core.log.lastTerm() {
		return message.GetLogTerm() > core.log.lastTerm()
	}
	return message.GetIndex() >= core.log.last()
}

func (core *Core) onPreVote(message *wire.PeerMessage) {
	granted := core.electable() && !core.hasLeader() &&
		message.GetTerm() > core.hard.Term && core.logIsCurrent(message)
	term := core.hard.Term
	if granted {
		term = message.GetTerm()
	}
	core.reply(message, &wire.PeerMessage{Type: wire.PeerMessage_TYPE_PRE_VOTE_REPLY, Term: term, Reject: !granted})
}

func (core *Core) onVote(message *wire.PeerMessage, from Peer) {
	if !core.electable() || core.hasLeader() && !message.GetTransfer() {
		return
	}
	if message.GetTerm() > core.hard.Term {
		due := core.due
		core.follow(message.GetTerm(), Peer{})
		// A candidate with an old log must not keep others from standing.
		if !core.logIsCurrent(message) {
			core.due = due
		}
	}
	free := core.hard.Vote == Peer{} || core.hard.Vote == from
	granted := message.GetTerm() == core.hard.Term && free && core.logIsCurrent(message) && core.role != Leader
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
	wanted := core.hard.Term
	if preVote {
		wanted++
	}
	if core.role != Candidate || core.preVoting != preVote || message.GetReject() || message.GetTerm() != wanted {
		return
	}
	core.votes[from] = true
	core.countVotes()
}

// lead starts the member's leadership with an empty entry: earlier entries are
// committed only together with one of the leader's own term.
func (core *Core) lead() {
	core.setRole(Leader)
	core.leader = core.self
	core.votes = nil
	core.progress = map[Peer]*progress{}
	core.round, core.roundSent = 0, map[uint64]clock.Millis{}
	core.confirmed = core.now
	core.firstIndex = core.log.last() + 1
	core.trackMembers()
	core.append([]*wire.Entry{{Index: core.firstIndex, Term: core.hard.Term, Body: &wire.Entry_Empty{Empty: true}}})
	core.heartbeat()
}

// resign hands leadership to the voter with the most entries. The lease ends
// here, so the votes that follow need not wait for it.
func (core *Core) resign() {
	if core.role != Leader {
		return
	}
	var best *wire.ControlMember
	for _, member := range core.members {
		known := core.progress[peerOf(member)]
		if known == nil || !member.GetVoter() || known.probing {
			continue
		}
		if best == nil || known.match > core.progress[peerOf(best)].match {
			best = member
		}
	}
	if best == nil {
		return
	}
	core.follow(core.hard.Term, Peer{})
	core.send(peerOf(best), best.GetAddress(), &wire.PeerMessage{Type: wire.PeerMessage_TYPE_TRANSFER, Term: core.hard.Term}, false)
}
