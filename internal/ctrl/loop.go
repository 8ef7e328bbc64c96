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
	// ticksPerTimeout sets how often the core sees time pass.
	ticksPerTimeout = 40
	// drainAtOnce bounds the events of one batch, so that ticks are not late.
	drainAtOnce = 2048
	// imageGrowth sets when an image is made: its cost is that of the whole
	// state, so the log may grow to a multiple of it first.
	imageGrowth = 2
)

// errLost is the answer when leadership ended before the outcome was known.
var errLost = errors.New("leadership was lost before the change was known to be accepted; send it again with the same id")

// input is an event for the core, or a proposal with a place for its outcome.
type input struct {
	event quorum.Event
	entry *wire.Entry
	// term is the only one in which the entry may be proposed; 0 for any.
	term  uint64
	reply chan<- outcome
}

// outcome is what became of a proposal.
type outcome struct {
	result *wire.CommandResult
	claim  *wire.ClaimReply
	err    error
	// refused is set when the proposal was certainly not accepted.
	refused bool
}

type waiter struct {
	term  uint64
	reply chan<- outcome
}

// post hands an input to the loop; it is dropped when the process is closing.
func (control *Control) post(in input) { control.inbox <- in }

func (control *Control) tick(ctx context.Context) {
	every := max(control.settings.Control.ElectionTimeout/ticksPerTimeout, 1)
	for control.clock.Sleep(ctx, every) == nil {
		select {
		case control.inbox <- input{event: quorum.Tick{}}:
		case <-ctx.Done():
		}
	}
}

func (control *Control) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			control.failAll()
			control.discard()
			return
		case in := <-control.inbox:
			control.batch(in)
		}
	}
}

// discard keeps late senders from blocking until all of them have ended.
func (control *Control) discard() {
	for {
		select {
		case in := <-control.inbox:
			if in.reply != nil {
				in.reply <- outcome{err: errLost}
			}
		default:
			return
		}
	}
}

// batch takes what has arrived, and proposes all its entries at once.
func (control *Control) batch(in input) {
	var proposals []input
	for range drainAtOnce {
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
		control.nextAsk++
		control.asked[control.nextAsk] = []chan<- outcome{in.reply}
		change.ID = control.nextAsk
		in.event = change
	}
	control.act(control.core.Step(control.clock.Now(), in.event))
}

func (control *Control) proposeAll(proposals []input) {
	control.nextAsk++
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
	control.asked[control.nextAsk] = replies
	control.act(control.core.Step(control.clock.Now(), quorum.Propose{ID: control.nextAsk, Entries: entries}))
}

func (control *Control) act(actions []quorum.Action) {
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
			control.log.Write(event.SnapshotInstalled, "index", action.Image.GetIndex(), "bytes", control.imageSize)
		case quorum.Accepted:
			control.accepted(action)
		case quorum.Refused:
			control.refused(action)
		case quorum.LeaseConfirmed:
			control.confirmed(action)
		case quorum.RoleChanged:
			control.log.Write(event.RoleChanged, "now", action.Role, "term", action.Term)
			if action.Role != quorum.Leader {
				control.failAll()
			}
		}
	}
}

// confirmed notes that the applied state is current. With seeds, only the
// leader takes this from its own lease: what a follower hears may have been
// held back on the way, so followers ask the leader instead.
func (control *Control) confirmed(action quorum.LeaseConfirmed) {
	if len(control.settings.Control.Seed) > 0 && control.core.Status().Role != quorum.Leader {
		return
	}
	control.view.Confirm(control.view.State().Revision(), action.Age)
}

func (control *Control) accepted(action quorum.Accepted) {
	for at, reply := range control.asked[action.ID] {
		control.waiters[action.Index+uint64(at)] = waiter{term: action.Term, reply: reply}
	}
	delete(control.asked, action.ID)
}

func (control *Control) refused(action quorum.Refused) {
	for _, reply := range control.asked[action.ID] {
		reply <- outcome{err: action.Reason, refused: true}
	}
	delete(control.asked, action.ID)
}

// failAll answers all waiting proposals when nothing more is known of them.
func (control *Control) failAll() {
	for index, waiting := range control.waiters {
		waiting.reply <- outcome{err: errLost}
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
		// A gap is impossible here: the machine numbers the changes one by one.
		if err := control.view.Apply(&wire.FeedItem{Changes: numbered}, control.clock.Now()); err != nil {
			control.log.Write(event.RevisionRefused, "error", err)
		}
	}
	for at, entry := range entries {
		control.sinceLast += entry.SizeVT()
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
		control.log.Write(event.MembersChanged, "index", entry.GetIndex(), "members", describe(body.Members.GetMembers()))
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
		result = outcome{err: errLost}
	}
	waiting.reply <- result
	delete(control.waiters, entry.GetIndex())
}

// compact makes an image when the log has outgrown the last one.
func (control *Control) compact(index uint64) {
	if control.sinceLast < max(control.settings.Control.SnapshotBytes, imageGrowth*control.imageSize) {
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
	control.sinceLast, control.imageSize = 0, len(encoded)
	control.log.Write(event.SnapshotWritten, "index", index, "bytes", len(encoded))
	control.act(control.core.Step(control.clock.Now(), quorum.Compact{Index: index, Encoded: encoded}))
}

// restore replaces the applied state by an image.
func (control *Control) restore(image *wire.Image) {
	control.mu.Lock()
	control.machine = state.Restore(image.GetSettings())
	control.claims = claim.Restore(image.GetClaims())
	control.mu.Unlock()
	control.sinceLast, control.imageSize = 0, image.SizeVT()
	if err := control.view.Apply(&wire.FeedItem{Snapshot: image.GetSettings()}, control.clock.Now()); err != nil {
		control.log.Write(event.RevisionRefused, "error", err)
	}
}

// publish shows other goroutines the core's state.
func (control *Control) publish() {
	status := control.core.Status()
	before := control.status.Swap(&status)
	if before != nil && before.Leader == status.Leader {
		return
	}
	next := make(chan struct{})
	if old := control.moved.Swap(&next); old != nil {
		close(*old)
	}
}
