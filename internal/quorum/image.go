package quorum

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// partialImage is an image of which not all chunks have arrived.
type partialImage struct {
	from    Peer
	index   uint64
	term    uint64
	encoded []byte
}

// compact saves an image of the applied state and drops all but the last
// CatchUpEntries entries that it covers.
func (core *Core) compact(event Compact) {
	term, ok := core.log.term(event.Index)
	if !ok || event.Index <= core.imageIndex || event.Index > core.applied || core.IsPaused() {
		return
	}
	core.image, core.imageIndex, core.imageTerm = event.Encoded, event.Index, term
	core.save(Save{Image: event.Encoded, ImageIndex: event.Index})
	if event.Index > core.log.base+core.settings.CatchUpEntries {
		base := event.Index - core.settings.CatchUpEntries
		core.baseMembers = core.membersAt(base)
		core.log.compact(base)
	}
}

// MembersAt returns the term and the member set at an applied index, for an image.
func (core *Core) MembersAt(index uint64) (uint64, *wire.MemberSet) {
	term, _ := core.log.term(index)
	return term, &wire.MemberSet{Members: core.membersAt(index)}
}

// sendImage sends the next chunk of the image that a member needs, or an empty one to a
// member that is paused.
func (core *Core) sendImage(peer Peer, follower *progress) {
	follower.probing = true
	follower.offset = min(follower.offset, uint64(len(core.image)))
	end := min(follower.offset+core.settings.ImageChunkBytes, uint64(len(core.image)))
	if follower.paused {
		end = follower.offset
	}
	core.send(peer, follower.address, &wire.PeerMessage{
		Type: wire.PeerMessage_TYPE_SNAPSHOT, Term: core.hard.Term, Index: core.imageIndex, LogTerm: core.imageTerm,
		Round: core.round, Snapshot: core.image[follower.offset:end], Offset: follower.offset, Size: uint64(len(core.image)),
	}, false)
}

func (core *Core) onImage(message *wire.PeerMessage, from Peer) {
	if !core.acceptLeader(message, from, wire.PeerMessage_TYPE_SNAPSHOT_REPLY) {
		return
	}
	if core.IsPaused() {
		core.replyPaused(message, core.commit)
		return
	}
	if message.GetIndex() <= core.commit {
		core.reply(message, &wire.PeerMessage{
			Type: wire.PeerMessage_TYPE_APPEND_REPLY, Term: core.hard.Term, Index: core.commit, Round: message.GetRound(),
		})
		return
	}
	part := &core.partial
	if part.from != from || part.index != message.GetIndex() || part.term != message.GetLogTerm() {
		*part = partialImage{from: from, index: message.GetIndex(), term: message.GetLogTerm()}
	}
	if message.GetOffset() == uint64(len(part.encoded)) {
		part.encoded = append(part.encoded, message.GetSnapshot()...)
	}
	if uint64(len(part.encoded)) == message.GetSize() && core.installImage(part.encoded) {
		core.reply(message, &wire.PeerMessage{
			Type: wire.PeerMessage_TYPE_APPEND_REPLY, Term: core.hard.Term, Index: core.commit, Round: message.GetRound(),
		})
		return
	}
	core.reply(message, &wire.PeerMessage{
		Type: wire.PeerMessage_TYPE_SNAPSHOT_REPLY, Term: core.hard.Term, Index: part.index, LogTerm: part.term,
		Round: message.GetRound(), Offset: uint64(len(part.encoded)),
	})
}

// installImage replaces the log and the applied state with a complete image, unless
// it cannot be decoded or is not newer, and reports whether it did.
func (core *Core) installImage(encoded []byte) bool {
	core.partial = partialImage{}
	image := &wire.Image{}
	if err := image.UnmarshalVT(encoded); err != nil || image.GetIndex() <= core.commit {
		return false
	}
	core.setBase(image)
	core.image = encoded
	core.syncedIndex = 0
	for at := range core.unsynced {
		core.unsynced[at].last = 0
	}
	core.save(Save{Image: encoded, ImageIndex: image.GetIndex(), Reset: true})
	core.loadMembers()
	core.emit(Restore{Image: image})
	core.setRole(core.passiveRole())
	return true
}

func (core *Core) onImageReply(message *wire.PeerMessage, from Peer) {
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
	if message.GetIndex() != core.imageIndex || message.GetLogTerm() != core.imageTerm {
		follower.offset = 0
		return
	}
	if message.GetOffset() != follower.offset {
		follower.offset = message.GetOffset()
		core.sendAppend(from, follower, true)
	}
}
