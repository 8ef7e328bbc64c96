package ctrl

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/claim"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// ticksPerTimeout is the number of ticks passed to the core per election timeout.
	ticksPerTimeout = 40
	// maxBatchEvents limits the events of one batch, so that ticks are not delayed.
	maxBatchEvents = 2048
	// imageGrowthFactor is the size of the log, as a multiple of the last image,
	// at which a new image is made. An image encodes the whole state, so making
	// one for every small growth of the log would be too expensive.
	imageGrowthFactor = 2
)

// errLeadershipLost is returned for proposals whose outcome was not known when
// leadership ended.
var errLeadershipLost = errors.New("leadership was lost before the change was known to be accepted; send it again with the same id")

// input is an event for the core, or a proposal with the channel for its outcome.
type input struct {
	event quorum.Event
	entry *wire.Entry
	// term is the only term in which the entry may be proposed; 0 allows any.
	term  uint64
	reply chan<- outcome
}

// outcome is the result of a proposal.
type outcome struct {
	result *wire.CommandResult
	claim  *wire.ClaimReply
	err    error
	// refused is set when it is certain that the proposal was not accepted.
	refused bool
}

type waiter struct {
	term  uint64
	reply chan<- outcome
}

// post sends an input to the loop and blocks while the inbox is full.
func (control *Control) post(in input) { control.inbox <- in }

func (control *Control) tick(ctx context.Context) {
	every := max(control.settings.Control.ElectionTimeout/ticksPerTimeout, 1)
	for control.clock.Sleep(ctx, every) == nil {
		control.documents.expire(control.clock)
		select {
		case control.inbox <- input{event: quorum.Tick{}}:
		case <-ctx.Done():
		}
	}
}

// nameKnown tells the core which control VMs are known while it has no group, or no leader:
// it may have been removed. The settings may name other seeds by then than at the start.
func (control *Control) nameKnown(ctx context.Context) {
	for control.clock.Sleep(ctx, control.settings.Control.ElectionTimeout) == nil {
		if control.status.Load().Leader.Name != "" {
			continue
		}
		addresses := control.seeds()
		for _, known := range control.poller.Controls() {
			addresses = append(addresses, known.Address)
		}
		select {
		case control.inbox <- input{event: quorum.Known{Members: membersByAddress(addresses)}}:
		case <-ctx.Done():
		}
	}
}

func (control *Control) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			control.failAll()
			control.drainInbox()
			return
		case in := <-control.inbox:
			control.handleBatch(in)
		}
	}
}

// drainInbox fails the proposals that are in the inbox when the loop ends, so that
// their callers get an answer. Other inputs in the inbox are dropped.
func (control *Control) drainInbox() {
	for {
		select {
		case in := <-control.inbox:
			if in.reply != nil {
				in.reply <- outcome{err: errLeadershipLost}
			}
		default:
			return
		}
	}
}

// handleBatch handles the inputs that have arrived and proposes all their
// entries together.
func (control *Control) handleBatch(in input) {
	var proposals []input
	for range maxBatchEvents {
		if in.entry != nil {
			proposals = append(proposals, in)
		} else {
			control.step(in)
		}
		select {
		case in = <-control.inbox:
			continue
		default:
		}
		break
	}
	if len(proposals) > 0 {
		control.proposeAll(proposals)
	}
	control.publish()
}

func (control *Control) step(in input) {
	if change, ok := in.event.(quorum.ChangeMember); ok {
		control.lastProposalID++
		control.pendingProposals[control.lastProposalID] = []chan<- outcome{in.reply}
		change.ID = control.lastProposalID
		in.event = change
	}
	control.perform(control.core.Step(control.clock.Now(), in.event))
}

func (control *Control) proposeAll(proposals []input) {
	control.lastProposalID++
	term := control.core.Status().Term
	var entries []*wire.Entry
	var replies []chan<- outcome
	for _, proposal := range proposals {
		if proposal.term != 0 && proposal.term != term {
			proposal.reply <- outcome{err: quorum.ErrNotLeader, refused: true}
			continue
		}
		entries, replies = append(entries, proposal.entry), append(replies, proposal.reply)
	}
	if len(entries) == 0 {
		return
	}
	control.pendingProposals[control.lastProposalID] = replies
	control.perform(control.core.Step(control.clock.Now(), quorum.Propose{ID: control.lastProposalID, Entries: entries}))
}

func (control *Control) perform(actions []quorum.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case quorum.Save:
			control.writer.add(action)
		case quorum.Send:
			if action.Durable {
				control.writer.add(action)
			} else {
				control.peers.send(action)
			}
		case quorum.Apply:
			control.applyAll(action.Entries)
		case quorum.Restore:
			control.restore(action.Image)
			control.failAll()
			control.log.Write(event.SnapshotInstalled, "index", action.Image.GetIndex(), "bytes", control.imageBytes)
		case quorum.Accepted:
			control.accepted(action)
		case quorum.Refused:
			control.refused(action)
		case quorum.LeaseConfirmed:
			control.confirmed(action)
		case quorum.MemberChange:
			control.log.Write(event.MembersProposed, "reason", action.Reason, "member", action.Member.Name, "disk", formatDisk(action.Member.DiskID), "silence", action.Silence)
		case quorum.RoleChanged:
			control.log.Write(event.RoleChanged, "now", action.Role, "term", action.Term)
			if action.Role != quorum.Leader {
				control.failAll()
			}
		}
	}
}

// confirmed records that the applied state is current. In a seeded group only
// the leader may conclude this, from its own lease: a message to a follower may
// have been delayed by the network, so followers poll the leader instead.
func (control *Control) confirmed(action quorum.LeaseConfirmed) {
	if len(control.settings.Control.Seed) > 0 && control.core.Status().Role != quorum.Leader {
		return
	}
	control.view.Confirm(control.view.State().Revision(), action.Age)
}

func (control *Control) accepted(action quorum.Accepted) {
	for at, reply := range control.pendingProposals[action.ID] {
		control.waiters[action.Index+uint64(at)] = waiter{term: action.Term, reply: reply}
	}
	delete(control.pendingProposals, action.ID)
}

func (control *Control) refused(action quorum.Refused) {
	for _, reply := range control.pendingProposals[action.ID] {
		reply <- outcome{err: action.Reason, refused: true}
	}
	delete(control.pendingProposals, action.ID)
}

// failAll fails all waiting proposals, because their outcome will not be learned here.
func (control *Control) failAll() {
	for index, waiting := range control.waiters {
		waiting.reply <- outcome{err: errLeadershipLost}
		delete(control.waiters, index)
	}
}

func (control *Control) applyAll(entries []*wire.Entry) {
	var numbered []*wire.Numbered
	control.mu.Lock()
	outcomes := make([]outcome, len(entries))
	for at, entry := range entries {
		var change *wire.Numbered
		outcomes[at], change = control.apply(entry)
		if change != nil {
			numbered = append(numbered, change)
		}
	}
	control.mu.Unlock()
	if len(numbered) > 0 {
		// There can be no gap: the machine numbers the changes consecutively.
		if err := control.view.Apply(&wire.FeedItem{Changes: numbered}, control.clock.Now()); err != nil {
			control.log.Write(event.RevisionRefused, "error", err)
		}
	}
	for at, entry := range entries {
		control.bytesSinceImage += entry.SizeVT()
		control.resolve(entry, outcomes[at])
	}
	control.compact(entries[len(entries)-1].GetIndex())
}

func (control *Control) apply(entry *wire.Entry) (outcome, *wire.Numbered) {
	switch body := entry.GetBody().(type) {
	case *wire.Entry_Change:
		result, numbered := control.machine.Apply(body.Change)
		return outcome{result: result}, numbered
	case *wire.Entry_Claim:
		return outcome{claim: control.claims.Apply(body.Claim)}, nil
	case *wire.Entry_Members:
		control.log.Write(event.MembersChanged, "index", entry.GetIndex(), "members", formatMembers(body.Members.GetMembers()))
		return outcome{result: control.machine.Accept(body.Members.GetCommandId())}, nil
	}
	return outcome{result: &wire.CommandResult{Revision: control.machine.State().Revision()}}, nil
}

func (control *Control) resolve(entry *wire.Entry, result outcome) {
	waiting, ok := control.waiters[entry.GetIndex()]
	if !ok {
		return
	}
	if waiting.term != entry.GetTerm() {
		result = outcome{err: errLeadershipLost}
	}
	waiting.reply <- result
	delete(control.waiters, entry.GetIndex())
}

// compact makes an image of the state, and lets the core truncate the log, when
// the log has grown enough since the last image.
func (control *Control) compact(index uint64) {
	if control.bytesSinceImage < max(control.settings.Control.SnapshotBytes, imageGrowthFactor*control.imageBytes) || control.core.IsPaused() {
		return
	}
	term, members := control.core.MembersAt(index)
	control.mu.Lock()
	image := &wire.Image{
		Index: index, Term: term, Members: members, Settings: control.machine.Snapshot(), Claims: control.claims.Snapshot(),
	}
	encoded, err := image.MarshalVT()
	control.mu.Unlock()
	if err != nil {
		control.log.Write(event.ProposalFailed, "error", errors.Wrap(err, "make an image"))
		return
	}
	control.bytesSinceImage, control.imageBytes = 0, len(encoded)
	control.log.Write(event.SnapshotWritten, "index", index, "bytes", len(encoded))
	control.perform(control.core.Step(control.clock.Now(), quorum.Compact{Index: index, Encoded: encoded}))
}

// restore replaces the applied state with an image.
func (control *Control) restore(image *wire.Image) {
	control.mu.Lock()
	control.machine = state.Restore(image.GetSettings())
	control.claims = claim.Restore(image.GetClaims())
	control.mu.Unlock()
	control.bytesSinceImage, control.imageBytes = 0, image.SizeVT()
	if err := control.view.Apply(&wire.FeedItem{Snapshot: image.GetSettings()}, control.clock.Now()); err != nil {
		control.log.Write(event.RevisionRefused, "error", err)
	}
}

// publish makes the core's status available to other goroutines, and wakes those
// that wait for a change of leader.
func (control *Control) publish() {
	status := control.core.Status()
	before := control.status.Swap(&status)
	if before != nil && before.Leader == status.Leader {
		return
	}
	next := make(chan struct{})
	if old := control.leaderChanged.Swap(&next); old != nil {
		close(*old)
	}
}
