// Package quorum decides for one member of a replicated log with term-based
// leader election. It is pure: Core.Step takes an instant and an event and
// returns the actions that the caller must carry out. Disks, sockets and
// clocks are the caller's.
package quorum

import (
	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Reasons for which a proposal is refused.
var (
	ErrNotLeader  = errors.New("this control VM is not the leader")
	ErrBusy       = errors.New("too many changes wait for a majority")
	ErrDisk       = errors.New("the disk takes no writes")
	ErrMembership = errors.New("an earlier change of the members is not finished")
)

// Peer names a member's disk. Votes and acknowledgements belong to it: a VM
// whose disk was emptied is another peer.
type Peer struct {
	Name string
	Disk uint64
}

// HardState must be on disk before a message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote Peer
}

// Stored is what a member finds on its disk when it starts.
type Stored struct {
	Hard    HardState
	Image   *wire.Image
	Entries []*wire.Entry
	// Damaged is set when more than an unfinished write was cut from the log.
	Damaged bool
}

// Settings of a member.
type Settings struct {
	Self    Peer
	Address string
	// First lists the members of the first group by name; it may include this
	// one. Without it the member is a group of one.
	First []*wire.ControlMember
	// JoinOnly is set for a member that joins a group which exists already.
	JoinOnly bool
	// Voters is how many voters an open group should have: a process that asks
	// to join becomes one while there are fewer, or in the place of one that
	// has not answered for ReplaceAfter. 0 keeps the group closed.
	Voters          int
	ReplaceAfter    clock.Millis
	ElectionTimeout clock.Millis
	Seed            uint64
	// KeptBehind is the number of entries that stay in memory behind an image,
	// so that a member that was away for a short time needs no image.
	KeptBehind uint64
	// PieceBytes is the size of one message of an image.
	PieceBytes uint64
}

// Defaults of Settings.
const (
	DefaultKeptBehind = 4096
	DefaultPieceBytes = 1 << 20
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

// Event is something that happened to a member.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// Received is a message from another member.
type Received struct{ Message *wire.PeerMessage }

// Propose asks for entries to be added to the log. The entries have a body only.
type Propose struct {
	ID      uint64
	Entries []*wire.Entry
}

// ChangeMember asks for a member to be allowed to join, or to be removed.
type ChangeMember struct {
	ID     uint64
	Name   string
	Remove bool
	// CommandID is kept with the member set, so that a resent command is known.
	CommandID string
}

// Synced tells that a Save and all before it are on disk.
type Synced struct{ Sequence uint64 }

// DiskState tells whether the disk takes writes.
type DiskState struct{ Failing bool }

// Compact replaces the applied part of the log by an image of it.
type Compact struct {
	Index   uint64
	Encoded []byte
}

// Resign hands leadership to the most current voter.
type Resign struct{}

func (Tick) event()         {}
func (Received) event()     {}
func (Propose) event()      {}
func (ChangeMember) event() {}
func (Synced) event()       {}
func (DiskState) event()    {}
func (Compact) event()      {}
func (Resign) event()       {}

// Action is something the caller must do, in the order of the list.
type Action interface{ action() }

// Save must be written and synced; several may share one sync. Entries replace
// everything in the log from the first one's index.
type Save struct {
	Sequence uint64
	Hard     *HardState
	Entries  []*wire.Entry
	// Image is an encoded wire.Image that replaces the log up to its index, or
	// the whole log when Reset is set.
	Image      []byte
	ImageIndex uint64
	Reset      bool
}

// Send is a message for another member. With Durable set it must wait until
// every earlier Save is synced.
type Send struct {
	Message *wire.PeerMessage
	Address string
	Durable bool
}

// Apply holds committed entries, each exactly once and in order.
type Apply struct{ Entries []*wire.Entry }

// Restore replaces the applied state by an image from the leader.
type Restore struct{ Image *wire.Image }

// Accepted tells which log position a proposal's first entry has.
type Accepted struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// Refused tells why a proposal was not added.
type Refused struct {
	ID     uint64
	Reason error
}

// Confirmed tells that the applied state was current so long ago, by a lease.
type Confirmed struct{ Age clock.Millis }

// RoleChanged tells the new role.
type RoleChanged struct {
	Role Role
	Term uint64
}

func (Save) action()        {}
func (Send) action()        {}
func (Apply) action()       {}
func (Restore) action()     {}
func (Accepted) action()    {}
func (Refused) action()     {}
func (Confirmed) action()   {}
func (RoleChanged) action() {}

// Status is a member's view for operators.
type Status struct {
	Role    Role
	Term    uint64
	Last    uint64
	Commit  uint64
	Applied uint64
	Leader  Peer
	Members []*wire.ControlMember
	// Match is the position up to which each peer's disk is known to agree; the leader's only.
	Match map[Peer]uint64
}
