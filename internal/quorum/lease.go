package quorum

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Lease returns the age of the leader's lease, and whether the applied state may
// be read as current under it. A voter grants no vote within an election timeout
// of the leader's last message, so no other leader can be elected before the
// lease ends.
func (core *Core) Lease(now clock.Millis) (clock.Millis, bool) {
	age := now - core.leaseStart
	if core.role != Leader || core.commit < core.termStart || core.applied < core.commit {
		return age, false
	}
	if core.soleVoter() {
		return 0, true
	}
	return age, age < core.settings.ElectionTimeout*leaseTenths/10
}

// soleVoter reports whether the member is its group's only voter.
func (core *Core) soleVoter() bool {
	return core.majority(func(peer Peer) bool { return peer == core.self })
}

func (core *Core) tickLeader() {
	if core.soleVoter() {
		core.leaseStart = core.now
	}
	if core.now-core.leaseStart >= core.settings.ElectionTimeout {
		core.follow(core.hard.Term, Peer{})
		return
	}
	if core.now >= core.heartbeatDue {
		if core.isOverloaded() {
			// There may have been nobody to hand over to before.
			core.resign()
			if core.role != Leader {
				return
			}
		}
		core.heartbeat()
		core.fillPlaces()
	}
}

// heartbeat starts a new round and sends an append to every member. A reply to
// the round confirms that its sender followed this leader when the round started
// or later.
func (core *Core) heartbeat() {
	core.heartbeatDue = core.now + core.settings.ElectionTimeout/heartbeatsPerTimeout
	core.round++
	core.roundSent[core.round] = core.now
	for _, member := range core.members {
		if follower := core.progress[peerOf(member)]; follower != nil {
			core.sendAppend(peerOf(member), follower, true)
		}
	}
	if core.soleVoter() {
		core.confirmLease(core.round)
	}
}

// confirmRound records a peer's reply to a round and renews the lease from the
// newest round that a majority has replied to.
func (core *Core) confirmRound(follower *progress, round uint64) {
	follower.lastReply = core.now
	follower.round = max(follower.round, round)
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
	core.leaseStart = max(core.leaseStart, sent)
	for old := range core.roundSent {
		if old < round {
			delete(core.roundSent, old)
		}
	}
	if age, ok := core.Lease(core.now); ok {
		core.emit(LeaseConfirmed{Age: age})
	}
}

// leaseAge returns the age of the lease in milliseconds plus one, or 0 without a
// valid lease. Append messages carry this value.
func (core *Core) leaseAge() int64 {
	age, ok := core.Lease(core.now)
	if !ok {
		return 0
	}
	return int64(age) + 1
}
