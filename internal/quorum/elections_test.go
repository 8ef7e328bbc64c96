package quorum_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// lossTimeout is the election timeout of the settings' default, lossTick the time
	// between ticks that a control VM gives its core with it.
	lossTimeout = 600 * clock.Millis(1)
	lossTick    = 15 * clock.Millis(1)
	// calmTime is the time before the leader is lost, lossLimit the limit for another one.
	calmTime  = 5 * clock.Second
	lossLimit = clock.Minute
	// stallPoll is the time between two looks at a stalled disk.
	stallPoll = 50 * clock.Millis(1)
	// writeRetry is the time after which a control VM repeats a write that a full disk refused.
	writeRetry = 100 * clock.Millis(1)
)

// lossScript is a series of elections after the loss of the leader, one a seed.
type lossScript struct {
	Name   string `json:"name"`
	Voters int    `json:"voters"`
	// Gone is the number of voters that are lost with the leader.
	Gone int `json:"gone"`
	// Deaf is set when the first of the voters that are left receives nothing any more.
	Deaf  bool   `json:"deaf"`
	Seeds uint64 `json:"seeds"`
	// Disk and Link bound the time of a sync and of a message, in milliseconds.
	Disk [2]int64 `json:"disk"`
	Link [2]int64 `json:"link"`
	// Within is the time until a leader is confirmed again, for Share of the elections.
	Within clock.Millis `json:"within"`
	Share  float64      `json:"share"`
}

// happening is something that is due at a time.
type happening struct {
	at    clock.Millis
	order int
	do    func()
}

// agenda is a heap of happenings.
type agenda []happening

func (list agenda) Len() int { return len(list) }
func (list agenda) Less(first, second int) bool {
	if list[first].at != list[second].at {
		return list[first].at < list[second].at
	}
	return list[first].order < list[second].order
}
func (list agenda) Swap(first, second int) { list[first], list[second] = list[second], list[first] }
func (list *agenda) Push(value any)        { *list = append(*list, value.(happening)) }
func (list *agenda) Pop() any {
	last := len(*list) - 1
	value := (*list)[last]
	*list = (*list)[:last]
	return value
}

// voter is a control VM with a disk that syncs what was written in the order of writes.
type voter struct {
	node
	zone string
	// isSyncing is set while the disk syncs, isGone once the control VM is lost.
	isSyncing, isGone bool
	// isDeaf is set when it sends but does not receive, isStalled while its disk syncs nothing,
	// isFull while its disk refuses writes.
	isDeaf    bool
	isStalled bool
	isFull    bool
	// isRefused is set once a write was refused, until one succeeds.
	isRefused   bool
	role        quorum.Role
	confirmedAt clock.Millis
	// imageIndex is the index of the newest image that was made.
	imageIndex uint64
}

// group runs voters in virtual time.
type group struct {
	script lossScript
	random *rand.Rand
	now    clock.Millis
	agenda agenda
	order  int
	voters []*voter
	// isCut reports whether no message gets from one VM to another; nil for none.
	isCut func(from, to *voter) bool
	// imageEvery is the number of entries after which a VM makes an image; 0 for never.
	imageEvery uint64
	// emitted is when a message that waits for a disk was made, oldest the age of the oldest
	// one that was sent.
	emitted map[*wire.PeerMessage]clock.Millis
	oldest  clock.Millis
	// change is the operator's change that is not answered yet, if any.
	change change
}

func newGroup(script lossScript, seed uint64) *group {
	made := &group{script: script, random: rand.New(rand.NewPCG(seed, 11)), now: clock.Minute, emitted: map[*wire.PeerMessage]clock.Millis{}}
	var members []*wire.ControlMember
	for at := range script.Voters {
		made.voters = append(made.voters, &voter{node: node{name: fmt.Sprintf("control%d", at+1), disk: made.random.Uint64()}})
		members = append(members, &wire.ControlMember{Name: made.voters[at].name, Address: made.voters[at].name})
	}
	for _, each := range made.voters {
		each.core = quorum.New(quorum.Settings{
			// The seed is the disk's id, as in a control process.
			Self: quorum.Peer{Name: each.name, DiskID: each.disk}, Address: each.name, InitialMembers: members,
			ElectionTimeout: lossTimeout, Seed: each.disk, CatchUpEntries: 100, ImageChunkBytes: 1 << 10,
		}, quorum.Stored{}, made.now)
		made.tick(each)
	}
	return made
}

func (group *group) after(delay clock.Millis, do func()) {
	group.order++
	heap.Push(&group.agenda, happening{at: group.now + delay, order: group.order, do: do})
}

func (group *group) between(bounds [2]int64) clock.Millis {
	return clock.Millis(bounds[0] + group.random.Int64N(bounds[1]-bounds[0]+1))
}

func (group *group) tick(each *voter) {
	group.after(clock.Millis(group.random.Int64N(int64(lossTick)))+1, func() {
		if !each.isGone {
			group.feed(each, quorum.Tick{})
			group.tick(each)
		}
	})
}

func (group *group) feed(each *voter, event quorum.Event) {
	for _, action := range each.core.Step(group.now, event) {
		switch action := action.(type) {
		case quorum.Save:
			each.queue = append(each.queue, action)
		case quorum.Send:
			if action.Durable {
				group.emitted[action.Message] = group.now
				each.queue = append(each.queue, action)
			} else {
				group.send(each, action.Message)
			}
		case quorum.RoleChanged:
			each.role = action.Role
		case quorum.Apply:
			each.applied = action.Entries[len(action.Entries)-1].GetIndex()
		case quorum.Restore:
			each.applied = action.Image.GetIndex()
		case quorum.Accepted:
			group.change = group.change.WithIndex(action.Index, action.Term)
		case quorum.LeaseConfirmed:
			each.confirmedAt = group.now - action.Age
		}
	}
	if group.imageEvery > 0 && each.applied >= each.imageIndex+group.imageEvery {
		each.imageIndex = each.applied
		group.compact(each)
	}
	group.sync(each)
}

func (group *group) compact(each *voter) {
	term, members := each.core.MembersAt(each.applied)
	encoded, err := (&wire.Image{Index: each.applied, Term: term, Members: members}).MarshalVT()
	Expect(err).NotTo(HaveOccurred())
	group.feed(each, quorum.Compact{Index: each.applied, Encoded: encoded})
}

// sync starts to write what is queued, if the disk is free. Messages without a write before
// them leave at once.
func (group *group) sync(each *voter) {
	if each.isSyncing || each.isGone {
		return
	}
	for len(each.queue) > 0 {
		send, ok := each.queue[0].(quorum.Send)
		if !ok {
			break
		}
		group.sendDurable(each, send)
		each.queue = each.queue[1:]
	}
	if len(each.queue) == 0 {
		return
	}
	batch := each.queue
	each.queue, each.isSyncing = nil, true
	group.after(group.between(group.script.Disk), func() { group.syncBatch(each, batch) })
}

// syncBatch ends the sync of a batch once the disk is not stalled.
func (group *group) syncBatch(each *voter, batch []quorum.Action) {
	if each.isStalled && !each.isGone {
		group.after(stallPoll, func() { group.syncBatch(each, batch) })
		return
	}
	if each.isFull && !each.isGone {
		if !each.isRefused {
			each.isRefused = true
			group.feed(each, quorum.DiskHealth{Failing: true})
		}
		group.after(writeRetry, func() { group.syncBatch(each, batch) })
		return
	}
	each.isSyncing = false
	if each.isGone {
		return
	}
	if each.isRefused {
		each.isRefused = false
		group.feed(each, quorum.DiskHealth{})
	}
	for _, action := range batch {
		each.persist(action, "")
		switch action := action.(type) {
		case quorum.Save:
			group.feed(each, quorum.Synced{Sequence: action.Sequence})
		case quorum.Send:
			group.sendDurable(each, action)
		}
	}
	group.sync(each)
}

// sendDurable sends a message that has waited for the disk, unless it is too old.
func (group *group) sendDurable(from *voter, send quorum.Send) {
	if group.now > send.Expires {
		return
	}
	group.oldest = max(group.oldest, group.now-group.emitted[send.Message])
	delete(group.emitted, send.Message)
	group.send(from, send.Message)
}

func (group *group) send(from *voter, message *wire.PeerMessage) {
	// A receiver must not share memory with the sender.
	encoded, err := message.MarshalVT()
	Expect(err).NotTo(HaveOccurred())
	received := &wire.PeerMessage{}
	Expect(received.UnmarshalVT(encoded)).To(Succeed())
	if received.GetFrom() == "" {
		received.From = from.name
	}
	group.after(group.between(group.script.Link), func() {
		for _, to := range group.voters {
			isCut := group.isCut != nil && group.isCut(from, to)
			if to.name == received.GetTo() && !to.isGone && !to.isDeaf && !from.isGone && !isCut {
				group.feed(to, quorum.Received{Message: received})
			}
		}
	})
}

// runUntil runs until a condition holds, and reports whether it did within a limit.
func (group *group) runUntil(limit clock.Millis, isDone func() bool) bool {
	end := group.now + limit
	for len(group.agenda) > 0 && group.agenda[0].at <= end {
		next := heap.Pop(&group.agenda).(happening)
		group.now = next.at
		next.do()
		if isDone() {
			return true
		}
	}
	group.now = end
	return false
}

func (group *group) leader() *voter {
	for _, each := range group.voters {
		if !each.isGone && each.role == quorum.Leader {
			return each
		}
	}
	return nil
}

// lose removes the leader, and others with it, and returns the time until another leader
// confirms what it did not know at the loss.
func (group *group) lose() (clock.Millis, error) {
	if !group.runUntil(lossLimit, func() bool { return group.leader() != nil && group.leader().confirmedAt > 0 }) {
		return 0, fmt.Errorf("no first leader within %s", lossLimit)
	}
	group.runUntil(calmTime+group.between([2]int64{0, int64(lossTimeout)}), func() bool { return false })
	lost := group.leader()
	if lost == nil {
		return 0, fmt.Errorf("no leader after %s without a fault", calmTime)
	}
	lost.isGone = true
	for gone := 1; gone < group.script.Gone; gone++ {
		others := slices.DeleteFunc(slices.Clone(group.voters), func(each *voter) bool { return each.isGone })
		others[group.random.IntN(len(others))].isGone = true
	}
	if group.script.Deaf {
		group.voters[slices.IndexFunc(group.voters, func(each *voter) bool { return !each.isGone })].isDeaf = true
	}
	began := group.now
	if !group.runUntil(lossLimit, func() bool { return group.leader() != nil && group.leader().confirmedAt > began }) {
		return 0, fmt.Errorf("no other leader within %s", lossLimit)
	}
	return group.now - began, nil
}

// Guards against elections that tie again and again: the voters that are left stand for
// election at the same instants, and no gateway has a confirmed configuration meanwhile.
var _ = Describe("the loss of a leader", func() {
	text, err := os.ReadFile("testdata/elections.json")
	if err != nil {
		panic(err)
	}
	var scripts []lossScript
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It("is over soon: "+script.Name, func() {
			var times []clock.Millis
			for seed := range script.Seeds {
				took, err := newGroup(script, seed).lose()
				Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
				times = append(times, took)
			}
			slices.Sort(times)
			at := func(share float64) clock.Millis { return times[int(share*float64(len(times)-1))] }
			AddReportEntry(fmt.Sprintf("p50 %s, p90 %s, p99 %s, longest %s", at(0.5), at(0.9), at(0.99), at(1)))
			Expect(at(script.Share)).To(BeNumerically("<=", script.Within))
		})
	}
})
