package quorum

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func (core *Core) propose(proposal Propose) {
	if reason := core.checkProposal(); reason != nil {
		core.emit(Refused{ID: proposal.ID, Reason: reason})
		return
	}
	first := core.log.last() + 1
	for at, entry := range proposal.Entries {
		entry.Index, entry.Term = first+uint64(at), core.hard.Term
	}
	core.append(proposal.Entries)
	core.emit(Accepted{ID: proposal.ID, Index: first, Term: core.hard.Term})
	core.replicate()
}

// checkProposal returns the reason to refuse a proposal, or nil.
func (core *Core) checkProposal() error {
	switch {
	case core.role != Leader:
		return ErrNotLeader
	case core.isOverloaded():
		return ErrDisk
	case core.log.last()-core.commit > maxUncommitted:
		return ErrBusy
	}
	return nil
}

// replicate sends new entries to the members that take them and are not being probed.
func (core *Core) replicate() {
	for peer, follower := range core.allProgress() {
		if !follower.probing && !follower.paused && follower.next <= core.log.last() {
			core.sendAppend(peer, follower, false)
		}
	}
}

// sendAppend sends the next entries that a member needs, which may be none for a
// heartbeat. A lost append is noticed at the next one, which the member rejects
// because it lacks the preceding entry.
func (core *Core) sendAppend(peer Peer, follower *progress, heartbeat bool) {
	prevTerm, ok := core.log.term(follower.next - 1)
	if !ok {
		core.sendImage(peer, follower)
		return
	}
	var entries []*wire.Entry
	if !follower.probing && !follower.paused {
		entries = limitBatch(core.log.slice(follower.next, core.log.last()))
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	core.send(peer, follower.address, &wire.PeerMessage{
		Type: wire.PeerMessage_TYPE_APPEND, Term: core.hard.Term, Index: follower.next - 1, LogTerm: prevTerm,
		Commit: core.commit, Round: core.round, Entries: entries, LeaseAge: core.leaseAge(), Members: core.silences(),
	}, false)
	follower.next += uint64(len(entries))
}

func (core *Core) onAppend(message *wire.PeerMessage, from Peer) {
	if !core.acceptLeader(message, from, wire.PeerMessage_TYPE_APPEND_REPLY) {
		return
	}
	core.learnSilences(message.GetMembers().GetMembers())
	if core.IsPaused() {
		core.onAppendPaused(message)
		return
	}
	response := &wire.PeerMessage{Type: wire.PeerMessage_TYPE_APPEND_REPLY, Term: core.hard.Term, Round: message.GetRound()}
	prev, entries := message.GetIndex(), message.GetEntries()
	if prev < core.commit {
		// Committed entries are the same in the log of every later leader.
		entries = entries[min(core.commit-prev, uint64(len(entries))):]
		prev = core.commit
	} else if term, ok := core.log.term(prev); !ok || term != message.GetLogTerm() {
		// In a rejection, Commit carries the index that was rejected.
		response.Reject, response.Commit = true, prev
		response.Index, response.LogTerm = core.log.findConflictByTerm(prev, message.GetLogTerm())
		core.reply(message, response)
		return
	}
	core.mergeEntries(entries)
	response.Index = prev + uint64(len(entries))
	core.setCommit(min(message.GetCommit(), response.GetIndex()))
	core.confirmLeaderLease(message)
	// A leader with a lease has committed an entry of its own term, and with it
	// every entry that an earlier leader committed.
	if message.GetLeaseAge() > 0 && response.GetIndex() >= message.GetCommit() {
		core.recovering = false
	}
	core.ackRound(message, response.GetIndex())
	core.reply(message, response)
}

// confirmLeaderLease reports that the applied state is current, if the leader's lease and the
// commit index in its append say so.
func (core *Core) confirmLeaderLease(message *wire.PeerMessage) {
	if message.GetLeaseAge() > 0 && core.applied >= message.GetCommit() {
		core.emit(LeaseConfirmed{Age: clock.Millis(message.GetLeaseAge() - 1)})
	}
}

// ackRound acknowledges the leader's round without waiting for the disk, so that
// a slow sync does not let the leader's lease expire.
func (core *Core) ackRound(message *wire.PeerMessage, agreed uint64) {
	if len(core.unsynced) == 0 {
		return
	}
	core.send(Peer{message.GetFrom(), message.GetFromDisk()}, message.GetAddress(), &wire.PeerMessage{
		Type: wire.PeerMessage_TYPE_APPEND_REPLY, Term: core.hard.Term, Round: message.GetRound(), Index: min(core.syncedIndex, agreed),
	}, false)
}

// acceptLeader makes the member follow the sender if its term is current.
// Otherwise it rejects the message with the current term.
func (core *Core) acceptLeader(message *wire.PeerMessage, from Peer, response wire.PeerMessage_Type) bool {
	if message.GetTerm() < core.hard.Term {
		core.reply(message, &wire.PeerMessage{Type: response, Term: core.hard.Term, Reject: true})
		return false
	}
	if message.GetTerm() > core.hard.Term || core.leader != from {
		core.follow(message.GetTerm(), from)
	}
	core.leaderContact = core.now
	core.electionDue = core.now + core.electionDelay()
	return true
}

// mergeEntries adds the entries that are missing and replaces those that differ.
func (core *Core) mergeEntries(entries []*wire.Entry) {
	for at, entry := range entries {
		term, ok := core.log.term(entry.GetIndex())
		if ok && term == entry.GetTerm() {
			continue
		}
		if ok {
			core.truncate(entry.GetIndex())
		}
		core.append(entries[at:])
		core.setRole(core.passiveRole())
		return
	}
}

func (core *Core) onAppendReply(message *wire.PeerMessage, from Peer) {
	if message.GetTerm() > core.hard.Term {
		core.follow(message.GetTerm(), Peer{})
		return
	}
	follower := core.progress[from]
	if core.role != Leader || message.GetTerm() < core.hard.Term || follower == nil {
		return
	}
	core.confirmRound(follower, message.GetRound())
	follower.paused = message.GetPaused()
	if message.GetReject() {
		core.onAppendRejected(from, follower, message)
		return
	}
	follower.matchRound = max(follower.matchRound, message.GetRound())
	if message.GetIndex() > follower.match {
		follower.match = message.GetIndex()
		core.advanceCommit()
	}
	if core.role != Leader || follower.paused {
		return
	}
	follower.next = max(follower.next, follower.match+1)
	if follower.probing {
		follower.probing, follower.offset = false, 0
		follower.next = follower.match + 1
	}
	if follower.next <= core.log.last() {
		core.sendAppend(from, follower, false)
	}
}

// onAppendRejected moves next back to the last index at which both logs can agree
// and probes again.
func (core *Core) onAppendRejected(peer Peer, follower *progress, message *wire.PeerMessage) {
	rejected := message.GetCommit() // In a rejection, Commit carries the index that was rejected.
	if rejected <= follower.match && message.GetRound() > follower.matchRound {
		// The log of the member was damaged and lost acknowledged entries.
		follower.match = min(follower.match, message.GetIndex())
		follower.probing = false
	}
	if rejected <= follower.match || follower.probing && rejected+1 != follower.next {
		return // A delayed reply; later messages have superseded it.
	}
	agreed, _ := core.log.findConflictByTerm(min(message.GetIndex(), rejected-1), message.GetLogTerm())
	if message.GetIndex() < core.log.base {
		agreed = message.GetIndex()
	}
	follower.probing = true
	follower.next = max(agreed, follower.match) + 1
	core.sendAppend(peer, follower, true)
}

// advanceCommit commits the entries that a majority of voters has on disk. Only
// an entry of the leader's own term may be committed by counting.
func (core *Core) advanceCommit() {
	index := core.majorityMatch()
	if term, ok := core.log.term(index); !ok || term != core.hard.Term || index <= core.commit {
		return
	}
	changed := core.membersIndex > core.commit
	core.setCommit(index)
	core.stepDownIfRemoved()
	if changed && core.role == Leader {
		core.fillPlaces()
	}
}

// majorityMatch returns the highest index that a majority of voters has synced.
func (core *Core) majorityMatch() uint64 {
	best := uint64(0)
	for _, member := range core.members {
		index := core.matchOf(peerOf(member))
		if member.GetVoter() && index > best && core.majority(func(peer Peer) bool { return core.matchOf(peer) >= index }) {
			best = index
		}
	}
	return best
}

// matchOf returns the index up to which a peer has synced the leader's log.
func (core *Core) matchOf(peer Peer) uint64 {
	if peer == core.self {
		return core.syncedIndex
	}
	if follower := core.progress[peer]; follower != nil {
		return follower.match
	}
	return 0
}
