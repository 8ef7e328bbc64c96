// Package quorum implements one member of a replicated log. It is a variant of
// Raft with pre-vote, leader leases and learners. It does no I/O: Core.Step takes the current time and an event
// and returns the actions that the caller must carry out. The caller provides
// the disk, the network and the clock.
//
// An image is a snapshot of the applied state. It replaces the log up to its
// index. Messages of the types SNAPSHOT and SNAPSHOT_REPLY carry images; a
// wire.Snapshot is the configuration inside an image.
package quorum

import (
	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Reasons for refusing a proposal.
var (
	ErrNotLeader  = errors.New("this control VM is not the leader")
	ErrBusy       = errors.New("too many changes are waiting for a majority")
	ErrDisk       = errors.New("the disk of this control VM does not accept writes")
	ErrMembership = errors.New("an earlier membership change is not committed yet")
)

// Peer identifies a member by name and disk id. A VM whose disk was emptied is a
// different peer, because it has lost its votes and acknowledgements.
type Peer struct {
	Name   string
	DiskID uint64
}

// HardState is the term and the vote in it. It must be on disk before a message
// that depends on it is sent.
type HardState struct {
	Term uint64
	Vote Peer
}

// Stored is the persistent state of a member when it starts.
type Stored struct {
	Hard    HardState
	Image   *wire.Image
	Entries []*wire.Entry
	// Damaged is set when the log lost more than an unfinished write.
	Damaged bool
}

// Settings of a member.
type Settings struct {
	Self    Peer
	Address string
	// InitialMembers lists the members that bootstrap the group by name; it may
	// include this one. If empty, the member forms a group of its own.
	InitialMembers []*wire.ControlMember
	// JoinOnly is set for a member that joins an existing group and must not
	// bootstrap one.
	JoinOnly bool
	// Zone is the availability zone; empty if it is not known.
	Zone string
	// Voters is the target number of voters. 0 means that only listed members may
	// join (closed group); otherwise any process may ask to join (open group). It
	// becomes a voter while there are fewer, or in place of a voter that has not
	// replied for ReplaceAfter.
	Voters       int
	ReplaceAfter clock.Millis
	// RelocateAfter is the silence after which the place of a voter may move to another
	// availability zone that then has more voters than the group can lose.
	RelocateAfter   clock.Millis
	ElectionTimeout clock.Millis
	Seed            uint64
	// CatchUpEntries is the number of entries before an image that stay in
	// memory, so that a member that was disconnected for a short time can catch
	// up without the image.
	CatchUpEntries uint64
	// ImageChunkBytes is the maximum size of the part of an image in one message.
	ImageChunkBytes uint64
}

// Defaults of Settings.
const (
	DefaultCatchUpEntries  = 4096
	DefaultImageChunkBytes = 1 << 20
)

// Role of a member.
type Role string

// Roles.
const (
	Follower  Role = "follower"
	Candidate Role = "candidate"
	Leader    Role = "leader"
	Learner   Role = "learner"
)

// Event is an input to a member.
type Event interface{ event() }

// Tick runs whatever is due at the current time.
type Tick struct{}

// Received is a message from another member.
type Received struct{ Message *wire.PeerMessage }

// Propose adds entries to the log. Only the body of each entry is set; the leader
// assigns index and term.
type Propose struct {
	ID      uint64
	Entries []*wire.Entry
}

// ChangeMember permits a member to join, or removes it.
type ChangeMember struct {
	ID     uint64
	Name   string
	Remove bool
	// CommandID is stored with the member set, so that a resent command is
	// recognised.
	CommandID string
}

// Synced reports that a Save and all earlier ones are on disk.
type Synced struct{ Sequence uint64 }

// DiskHealth reports whether writes to the disk fail.
type DiskHealth struct{ Failing bool }

// Compact replaces the applied part of the log with an image.
type Compact struct {
	Index   uint64
	Encoded []byte
}

// Resign transfers leadership to the most up-to-date voter.
type Resign struct{}

// Known names the processes that a member without a group asks to join, besides the
// initial members, which may all be gone.
type Known struct{ Members []*wire.ControlMember }

func (Known) event()        {}
func (Tick) event()         {}
func (Received) event()     {}
func (Propose) event()      {}
func (ChangeMember) event() {}
func (Synced) event()       {}
func (DiskHealth) event()   {}
func (Compact) event()      {}
func (Resign) event()       {}

// Action is something the caller must do. Actions are carried out in the order in
// which Step returns them.
type Action interface{ action() }

// Save must be written to disk and synced; several may share one sync. The
// entries replace everything in the log from the first one's index on.
type Save struct {
	Sequence uint64
	Hard     *HardState
	Entries  []*wire.Entry
	// Image is an encoded wire.Image that replaces the log up to ImageIndex, or
	// the whole log if Reset is set.
	Image      []byte
	ImageIndex uint64
	Reset      bool
}

// Send is a message to another member. If Durable is set, it must not be sent
// before every earlier Save is synced, nor after the time Expires: its receiver
// no longer waits for it, and heartbeats and elections repeat what it says.
type Send struct {
	Message *wire.PeerMessage
	Address string
	Durable bool
	Expires clock.Millis
}

// Apply holds committed entries, each exactly once and in order.
type Apply struct{ Entries []*wire.Entry }

// Restore replaces the applied state with an image from the leader.
type Restore struct{ Image *wire.Image }

// Accepted reports the index and term of a proposal's first entry.
type Accepted struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// Refused reports why a proposal was not added to the log.
type Refused struct {
	ID     uint64
	Reason error
}

// LeaseConfirmed reports that the applied state was current Age ago, under the
// leader's lease.
type LeaseConfirmed struct{ Age clock.Millis }

// MemberChange reports why the leader proposes another member set.
type MemberChange struct {
	Reason string
	Member Peer
	// Silence is the time since the longest silent voter replied.
	Silence clock.Millis
}

// RoleChanged reports the member's new role.
type RoleChanged struct {
	Role Role
	Term uint64
}

func (Save) action()           {}
func (Send) action()           {}
func (Apply) action()          {}
func (Restore) action()        {}
func (Accepted) action()       {}
func (Refused) action()        {}
func (LeaseConfirmed) action() {}
func (MemberChange) action()   {}
func (RoleChanged) action()    {}

// Status is a member's view for operators.
type Status struct {
	Role    Role
	Term    uint64
	Last    uint64
	Commit  uint64
	Applied uint64
	Leader  Peer
	Members []*wire.ControlMember
	// Match is the index up to which each peer's log on disk is known to agree
	// with the leader's. Only the leader sets it.
	Match map[Peer]uint64
}
