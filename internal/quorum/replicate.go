package quorum

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func (core *Core) propose(proposal Propose) {
	if reason := core.refusal(); reason != nil {
		core.act(Refused{ID: proposal.ID, Reason: reason})
		return
	}
	first := core.log.last() + 1
	for at, entry := range proposal.Entries {
		entry.Index, entry.Term = first+uint64(at), core.hard.Term
	}
	core.append(proposal.Entries)
	core.act(Accepted{ID: proposal.ID, Index: first, Term: core.hard.Term})
	core.replicate()
}

func (core *Core) refusal() error {
	switch {
	case core.role != Leader:
		return ErrNotLeader
	case core.failing:
		return ErrDisk
	case core.log.last()-core.commit > maxPending:
		return ErrBusy
	}
	return nil
}

// replicate sends new entries to the members whose logs are known to agree.
func (core *Core) replicate() {
	for peer, known := range core.ordered() {
		if !known.probing && known.next <= core.log.last() {
			core.sendAppend(peer, known, false)
		}
	}
}

// sendAppend sends the entries a member needs next, or none. A lost message
// shows by the next one, whose place in the log the member then lacks.
func (core *Core) sendAppend(peer Peer, known *progress, heartbeat bool) {
	before, ok := core.log.term(known.next - 1)
	if !ok {
		core.sendSnapshot(peer, known)
		return
	}
	var entries []*wire.Entry
	if !known.probing {
		entries = bounded(core.log.slice(known.next, core.log.last()))
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	core.send(peer, known.address, &wire.PeerMessage{
		Type: wire.PeerMessage_TYPE_APPEND, Term: core.hard.Term, Index: known.next - 1, LogTerm: before,
		Commit: core.commit, Round: core.round, Entries: entries, LeaseAge: core.leaseAge(),
	}, false)
	known.next += uint64(len(entries))
}

func (core *Core) onAppend(message *wire.PeerMessage, from Peer) {
	if !core.accept(message, from, wire.PeerMessage_TYPE_APPEND_REPLY) {
		return
	}
	answer := &wire.PeerMessage{Type: wire.PeerMessage_TYPE_APPEND_REPLY, Term: core.hard.Term, Round: message.GetRound()}
	prev, entries := message.GetIndex(), message.GetEntries()
	if prev < core.commit {
		// Committed entries agree with every later leader.
		entries = entries[min(core.commit-prev, uint64(len(entries))):]
		prev = core.commit
	} else if term, ok := core.log.term(prev); !ok || term != message.GetLogTerm() {
		answer.Reject, answer.Commit = true, prev
		answer.Index, answer.LogTerm = core.log.upTo(prev, message.GetLogTerm())
		core.reply(message, answer)
		return
	}
	core.store(entries)
	answer.Index = prev + uint64(len(entries))
	core.setCommit(min(message.GetCommit(), answer.GetIndex()))
	if message.GetLeaseAge() > 0 && core.applied >= message.GetCommit() {
		core.act(Confirmed{Age: clock.Millis(message.GetLeaseAge() - 1)})
	}
	if answer.GetIndex() >= message.GetCommit() {
		core.cautious = false
	}
	core.confirmEarly(message, answer.GetIndex())
	core.reply(message, answer)
}

// confirmEarly acknowledges the leader's round without waiting for the disk,
// so that a slow sync does not cost the leader its lease.
func (core *Core) confirmEarly(message *wire.PeerMessage, agreed uint64) {
	if len(core.unsynced) == 0 {
		return
	}
	core.send(Peer{message.GetFrom(), message.GetFromDisk()}, message.GetAddress(), &wire.PeerMessage{
		Type: wire.PeerMessage_TYPE_APPEND_REPLY, Term: core.hard.Term, Round: message.GetRound(), Index: min(core.synced, agreed),
	}, false)
}

// accept takes a message of the current leader, or tells an old one the term.
func (core *Core) accept(message *wire.PeerMessage, from Peer, answer wire.PeerMessage_Type) bool {
	if message.GetTerm() < core.hard.Term {
		core.reply(message, &wire.PeerMessage{Type: answer, Term: core.hard.Term, Reject: true})
		return false
	}
	if message.GetTerm() > core.hard.Term || core.leader != from {
		core.follow(message.GetTerm(), from)
	}
	core.heard = core.now
	core.due = core.now + core.patience()
	return true
}

// store adds the entries that are missing and replaces those that differ.
func (core *Core) store(entries []*wire.Entry) {
	for at, entry := range entries {
		term, ok := core.log.term(entry.GetIndex())
		if ok && term == entry.GetTerm() {
			continue
		}
		if ok {
			core.truncate(entry.GetIndex())
		}
		core.append(entries[at:])
		core.setRole(core.idleRole())
		return
	}
}

func (core *Core) onAppendReply(message *wire.PeerMessage, from Peer) {
	if message.GetTerm() > core.hard.Term {
		core.follow(message.GetTerm(), Peer{})
		return
	}
	known := core.progress[from]
	if core.role != Leader || message.GetTerm() < core.hard.Term || known == nil {
		return
	}
	core.confirmRound(known, message.GetRound())
	if message.GetReject() {
		core.backOff(from, known, message)
		return
	}
	known.matchRound = max(known.matchRound, message.GetRound())
	if message.GetIndex() > known.match {
		known.match = message.GetIndex()
		core.advanceCommit()
	}
	if core.role != Leader {
		return
	}
	known.next = max(known.next, known.match+1)
	if known.probing {
		known.probing, known.offset = false, 0
		known.next = known.match + 1
	}
	if known.next <= core.log.last() {
		core.sendAppend(from, known, false)
	}
}

// backOff goes back to the last place where both logs can agree.
func (core *Core) backOff(peer Peer, known *progress, message *wire.PeerMessage) {
	refused := message.GetCommit()
	if refused <= known.match && message.GetRound() > known.matchRound {
		// The member lost entries that it had acknowledged: its log was damaged.
		known.match = min(known.match, message.GetIndex())
		known.probing = false
	}
	if refused <= known.match || known.probing && refused+1 != known.next {
		return // late: answered by what came after
	}
	agreed, _ := core.log.upTo(min(message.GetIndex(), refused-1), message.GetLogTerm())
	if message.GetIndex() < core.log.base {
		agreed = message.GetIndex()
	}
	known.probing = true
	known.next = max(agreed, known.match) + 1
	core.sendAppend(peer, known, true)
}

// advanceCommit commits what a majority of the voters' disks hold. Only an
// entry of the leader's own term can be counted.
func (core *Core) advanceCommit() {
	index := core.agreed()
	if term, ok := core.log.term(index); !ok || term != core.hard.Term || index <= core.commit {
		return
	}
	core.setCommit(index)
	core.afterCommit()
}

// agreed returns the highest index that a majority of voters has synced.
func (core *Core) agreed() uint64 {
	best := uint64(0)
	for _, member := range core.members {
		index := core.matchOf(peerOf(member))
		if member.GetVoter() && index > best && core.majority(func(peer Peer) bool { return core.matchOf(peer) >= index }) {
			best = index
		}
	}
	return best
}

func (core *Core) matchOf(peer Peer) uint64 {
	if peer == core.self {
		return core.synced
	}
	if known := core.progress[peer]; known != nil {
		return known.match
	}
	return 0
}
