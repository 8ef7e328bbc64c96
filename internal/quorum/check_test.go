package quorum_test

import (
	"fmt"
	"hash/fnv"

	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// chainHash returns the hash of a log prefix extended by one entry.
func chainHash(hash uint64, entry *wire.Entry) uint64 {
	text, err := entry.MarshalVT()
	if err != nil {
		panic(err)
	}
	sum := fnv.New64a()
	_, _ = fmt.Fprintf(sum, "%d %x", hash, text)
	return sum.Sum64()
}

// apply checks that every node applies the same entries in the same order, and
// that an isolated leader commits nothing.
func (run *cluster) apply(each *node, entries []*wire.Entry) {
	leads := each.core.Status().Role == quorum.Leader
	if leads && each == run.isolated {
		run.fail("isolated leader %s commits", each.name)
	}
	for _, entry := range entries {
		if entry.GetIndex() != each.applied+1 {
			run.fail("%s applies %d after %d", each.name, entry.GetIndex(), each.applied)
			return
		}
		each.applied, each.hash = entry.GetIndex(), chainHash(each.hash, entry)
		if each.applied == uint64(len(run.history)) {
			run.history = append(run.history, position{term: entry.GetTerm(), hash: each.hash})
			if set := entry.GetMembers(); set != nil {
				run.members = set.GetMembers()
			}
		}
		if run.history[each.applied].hash != each.hash {
			run.fail("entry %d of %s differs from what was committed", each.applied, each.name)
		}
	}
	if leads {
		run.served = max(run.served, each.applied)
	}
}

// restore checks that an installed image matches the committed log.
func (run *cluster) restore(each *node, image *wire.Image) {
	each.applied, each.hash = image.GetIndex(), image.GetSettings().GetRevision()
	if image.GetIndex() >= uint64(len(run.history)) || run.history[image.GetIndex()].hash != each.hash {
		run.fail("image at %d of %s differs from what was committed", image.GetIndex(), each.name)
	}
}

// elected checks that a term has only one leader and that the leader has all
// committed entries.
func (run *cluster) elected(each *node, term uint64) {
	self := quorum.Peer{Name: each.name, DiskID: each.disk}
	if other, ok := run.leaders[term]; ok && other != self {
		run.fail("two leaders in term %d: %v and %v", term, other, self)
	}
	run.leaders[term] = self
	if last := each.core.Status().Last; last+1 < uint64(len(run.history)) {
		run.fail("entry %d is lost: leader %s has %d", len(run.history)-1, each.name, last)
	}
}

// checkLeases checks that no lease permits a read older than what a leader has
// already served.
func (run *cluster) checkLeases() {
	for _, each := range run.nodes {
		if _, ok := each.core.Lease(run.now(each)); !ok {
			continue
		}
		if each.applied < run.served {
			run.fail("lease of %s serves a read at %d after %d was answered", each.name, each.applied, run.served)
		}
	}
}

// leader returns the node that leads the highest term.
func (run *cluster) leader() *node {
	var best *node
	for _, each := range run.nodes {
		status := each.core.Status()
		if status.Role == quorum.Leader && (best == nil || status.Term > best.core.Status().Term) {
			best = each
		}
	}
	return best
}

// settle ends all faults and checks that every member applies a new entry.
func (run *cluster) settle() {
	run.blocked, run.isolated, run.full = map[string]bool{}, nil, nil
	run.script.Loss, run.script.Delay, run.script.Flush, run.script.Propose = 0, 1, 1, 0
	target := uint64(0)
	for range maxSettleSteps {
		run.advance()
		leader := run.leader()
		if target == 0 && leader != nil && run.repaired() {
			target = leader.core.Status().Last + 1
			run.feed(leader, quorum.Propose{Entries: []*wire.Entry{{Body: &wire.Entry_Empty{Empty: true}}}})
		}
		behind := false
		for _, each := range run.nodes {
			behind = behind || run.isVoter(each) && each.applied < target
		}
		if target > 0 && !behind {
			return
		}
	}
	run.fail("no agreement on a new entry after all faults ended; members %v", run.members)
}

func (run *cluster) run() error {
	for range run.script.Steps {
		run.advance()
		run.injectFaults()
	}
	if run.script.Isolate {
		run.isolate()
	}
	run.settle()
	return run.failure
}

// isolate partitions the leader, in one direction or both, and checks that another
// leader is elected and that the isolated leader's lease ends.
func (run *cluster) isolate() {
	leader := run.leader()
	if leader == nil {
		run.fail("no leader after a calm start")
		return
	}
	for _, other := range run.nodes {
		for _, direction := range []string{leader.name + ">" + other.name, other.name + ">" + leader.name}[run.random.IntN(2):] {
			run.blocked[direction] = other != leader
		}
	}
	answered := run.served
	for range run.script.Delay + 1 {
		run.advance()
	}
	run.blocked[leader.name+">"+run.nodes[0].name] = run.blocked[leader.name+">"+run.nodes[0].name] || run.fault == "forgeAcks"
	run.isolated = leader
	for range 20 * electionTimeout / stepTime {
		run.advance()
		if _, ok := leader.core.Lease(run.now(leader)); ok && run.served > answered && run.leader() != leader {
			run.fail("isolated leader %s still has a lease", leader.name)
		}
	}
	if next := run.leader(); next == nil || next == leader {
		run.fail("no other leader after %s was isolated", leader.name)
	}
}
