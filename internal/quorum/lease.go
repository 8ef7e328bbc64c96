package quorum

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Lease returns the time since a majority confirmed this leader, and whether a
// read of the applied state may be served as current. A voter grants no vote
// within an election timeout of the leader's last message, so no other leader
// can exist before the lease ends.
func (core *Core) Lease(now clock.Millis) (clock.Millis, bool) {
	age := now - core.confirmed
	if core.role != Leader || core.commit < core.firstIndex || core.applied < core.commit {
		return age, false
	}
	if core.alone() {
		return 0, true
	}
	return age, age < core.settings.ElectionTimeout*leaseParts/10
}

// alone tells whether the member is its group's only voter.
func (core *Core) alone() bool {
	return core.majority(func(peer Peer) bool { return peer == core.self })
}

func (core *Core) tickLeader() {
	if core.alone() {
		core.confirmed = core.now
	}
	if core.now-core.confirmed >= core.settings.ElectionTimeout {
		core.follow(core.hard.Term, Peer{})
		return
	}
	if core.now >= core.beatDue {
		core.heartbeat()
		core.repairMembers()
		core.removeLost()
	}
}

// heartbeat starts a round: each reply to a message of the round confirms that
// its sender followed this leader at the round's start or later.
func (core *Core) heartbeat() {
	core.beatDue = core.now + core.settings.ElectionTimeout/heartbeatsPerTimeout
	core.round++
	core.roundSent[core.round] = core.now
	for _, member := range core.members {
		if known := core.progress[peerOf(member)]; known != nil {
			core.sendAppend(peerOf(member), known, true)
		}
	}
	if core.alone() {
		core.confirmLease(core.round)
	}
}

func (core *Core) confirmRound(known *progress, round uint64) {
	known.heard = core.now
	known.round = max(known.round, round)
	best := uint64(0)
	for _, other := range core.progress {
		candidate := other.round
		if candidate > best && core.majority(func(peer Peer) bool {
			acked := core.progress[peer]
			return peer == core.self || acked != nil && acked.round >= candidate
		}) {
			best = candidate
		}
	}
	core.confirmLease(best)
}

func (core *Core) confirmLease(round uint64) {
	sent, ok := core.roundSent[round]
	if !ok {
		return
	}
	core.confirmed = max(core.confirmed, sent)
	for old := range core.roundSent {
		if old < round {
			delete(core.roundSent, old)
		}
	}
	if age, ok := core.Lease(core.now); ok {
		core.act(Confirmed{Age: age})
	}
}

// leaseAge is the lease's age as messages carry it.
func (core *Core) leaseAge() int64 {
	age, ok := core.Lease(core.now)
	if !ok {
		return 0
	}
	return int64(age) + 1
}
