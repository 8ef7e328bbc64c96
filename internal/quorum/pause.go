package quorum

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// A member whose disk does not keep up, for example because it is full, takes no entries and
// images, so that what waits for the disk stays bounded. It tells the leader, which sends none
// until a reply says that the disk is back. Such a member still follows the leader and confirms
// its rounds, because the lease does not depend on the disk.

// isOverloaded reports whether the disk refuses writes, or more waits for it than is allowed.
func (core *Core) isOverloaded() bool {
	return core.diskFailing || core.unsyncedBytes > maxUnsyncedBytes
}

// IsPaused reports whether the disk does not keep up, so that the caller makes no image. A
// member that does not lead is also paused while its disk has not answered for an election
// timeout. A leader goes on then, because the disks of a majority of the others suffice.
func (core *Core) IsPaused() bool {
	stalled := len(core.unsynced) > 0 && core.now-core.unsynced[0].since > core.settings.ElectionTimeout
	return core.isOverloaded() || stalled && core.role != Leader
}

// replyPaused confirms the round of an append or an image without taking anything from it.
// The log agrees with that of the leader up to the index agreed.
func (core *Core) replyPaused(message *wire.PeerMessage, agreed uint64) {
	core.send(Peer{message.GetFrom(), message.GetFromDisk()}, message.GetAddress(), &wire.PeerMessage{
		Type: wire.PeerMessage_TYPE_APPEND_REPLY, Term: core.hard.Term, Round: message.GetRound(),
		Index: min(core.syncedIndex, agreed), Paused: true,
	}, false)
}

// onAppendPaused applies what an append says of entries that the member already has.
func (core *Core) onAppendPaused(message *wire.PeerMessage) {
	agreed := core.commit
	if term, ok := core.log.term(message.GetIndex()); ok && term == message.GetLogTerm() {
		agreed = max(agreed, message.GetIndex())
		core.setCommit(min(message.GetCommit(), agreed))
		core.confirmLeaderLease(message)
	}
	core.replyPaused(message, agreed)
}

// isPausedMember reports whether a member last told the leader that it is paused.
func (core *Core) isPausedMember(member *wire.ControlMember) bool {
	follower := core.progress[peerOf(member)]
	return follower != nil && follower.paused
}
