package quorum_test

import (
	"fmt"
	"hash/fnv"

	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func chain(hash uint64, entry *wire.Entry) uint64 {
	text, err := entry.MarshalVT()
	if err != nil {
		panic(err)
	}
	sum := fnv.New64a()
	_, _ = fmt.Fprintf(sum, "%d %x", hash, text)
	return sum.Sum64()
}

// apply checks that applied sequences are prefixes of each other.
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
		each.applied, each.hash = entry.GetIndex(), chain(each.hash, entry)
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

func (run *cluster) restore(each *node, image *wire.Image) {
	each.applied, each.hash = image.GetIndex(), image.GetSettings().GetRevision()
	if image.GetIndex() >= uint64(len(run.history)) || run.history[image.GetIndex()].hash != each.hash {
		run.fail("image at %d of %s differs from what was committed", image.GetIndex(), each.name)
	}
}

// elected checks that a term has one leader and that it holds all committed entries.
func (run *cluster) elected(each *node, term uint64) {
	self := quorum.Peer{Name: each.name, Disk: each.disk}
	if other, ok := run.leaders[term]; ok && other != self {
		run.fail("two leaders in term %d: %v and %v", term, other, self)
	}
	run.leaders[term] = self
	if last := each.core.Status().Last; last+1 < uint64(len(run.history)) {
		run.fail("entry %d is lost: leader %s has %d", len(run.history)-1, each.name, last)
	}
}

// checkLeases compares what a lease would serve with what leaders have answered.
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

// settle ends all faults and expects every member to agree on a new entry.
func (run *cluster) settle() {
	run.cut, run.isolated = map[string]bool{}, nil
	run.script.Loss, run.script.Delay, run.script.Flush, run.script.Propose = 0, 1, 1, 0
	target := uint64(0)
	for range calmSteps {
		run.advance()
		leader := run.leader()
		if target == 0 && leader != nil && run.repaired() {
			target = leader.core.Status().Last + 1
			run.feed(leader, quorum.Propose{Entries: []*wire.Entry{{Body: &wire.Entry_Empty{Empty: true}}}})
		}
		behind := false
		for _, each := range run.nodes {
			behind = behind || each.applied < target
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
		run.disturb()
	}
	if run.script.Isolate {
		run.isolate()
	}
	run.settle()
	return run.failure
}

// isolate cuts the leader off, in one direction or both, and expects another one.
func (run *cluster) isolate() {
	leader := run.leader()
	if leader == nil {
		run.fail("no leader after a calm start")
		return
	}
	for _, other := range run.nodes {
		for _, way := range []string{leader.name + ">" + other.name, other.name + ">" + leader.name}[run.random.IntN(2):] {
			run.cut[way] = other != leader
		}
	}
	answered := run.served
	for range run.script.Delay + 1 {
		run.advance()
	}
	run.cut[leader.name+">"+run.nodes[0].name] = run.cut[leader.name+">"+run.nodes[0].name] || run.fault == "forgeAcks"
	run.isolated = leader
	for range 20 * electionTimeout / stepSpan {
		run.advance()
		if _, ok := leader.core.Lease(run.now(leader)); ok && run.served > answered && run.leader() != leader {
			run.fail("isolated leader %s still has a lease", leader.name)
		}
	}
	if next := run.leader(); next == nil || next == leader {
		run.fail("no other leader after %s was isolated", leader.name)
	}
}
