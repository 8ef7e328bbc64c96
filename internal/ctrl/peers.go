package ctrl

import (
	"context"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// queuedPerPeer bounds the messages kept for a control VM that does not
	// take them; more are dropped, as the network may drop them.
	queuedPerPeer = 1024
	// mergedBytes bounds an append that was put together from several.
	mergedBytes = 1 << 20
)

// peers sends messages to other control VMs, by name, in order and without
// waiting for the receiver.
type peers struct {
	pool  *link.Pool
	limit clock.Millis
	loops conc.WaitGroup

	// mu guards the fields below.
	mu     sync.Mutex
	ctx    context.Context
	queues map[string]chan *wire.PeerMessage
	// addresses are the ones that control VMs last gave in messages.
	addresses map[string]string
}

func newPeers(pool *link.Pool, limit clock.Millis, first []*wire.ControlMember) *peers {
	others := &peers{pool: pool, limit: limit, queues: map[string]chan *wire.PeerMessage{}, addresses: map[string]string{}}
	for _, member := range first {
		others.addresses[member.GetName()] = member.GetAddress()
	}
	return others
}

func (others *peers) start(ctx context.Context) {
	others.mu.Lock()
	defer others.mu.Unlock()
	others.ctx = ctx
}

// learn remembers where a control VM can be reached.
func (others *peers) learn(name, address string) {
	others.mu.Lock()
	defer others.mu.Unlock()
	others.addresses[name] = address
}

func (others *peers) address(name, fallback string) string {
	others.mu.Lock()
	defer others.mu.Unlock()
	if address := others.addresses[name]; address != "" {
		return address
	}
	return fallback
}

func (others *peers) send(action quorum.Send) {
	name := action.Message.GetTo()
	others.mu.Lock()
	defer others.mu.Unlock()
	if others.addresses[name] == "" {
		others.addresses[name] = action.Address
	}
	if others.ctx == nil || others.ctx.Err() != nil {
		return
	}
	queue := others.queues[name]
	if queue == nil {
		queue = make(chan *wire.PeerMessage, queuedPerPeer)
		others.queues[name] = queue
		ctx := others.ctx
		others.loops.Go(func() { others.run(ctx, name, queue) })
	}
	select {
	case queue <- action.Message:
	default:
	}
}

func (others *peers) run(ctx context.Context, name string, queue chan *wire.PeerMessage) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-queue:
			for message != nil {
				message = others.deliver(ctx, name, message, queue)
			}
		}
	}
}

// deliver sends a message together with those that continue or replace it. It
// returns the first message that could not be merged.
func (others *peers) deliver(ctx context.Context, name string, message *wire.PeerMessage, queue chan *wire.PeerMessage) *wire.PeerMessage {
	var next *wire.PeerMessage
	for next == nil && len(queue) > 0 {
		following := <-queue
		if !merge(message, following) {
			next = following
		}
	}
	address := others.address(name, "")
	ctx, cancel := context.WithTimeout(ctx, others.limit.Duration())
	defer cancel()
	if _, err := wire.NewDRPCGroupClient(others.pool.Conn(ctx, address)).Step(ctx, message); err != nil {
		others.pool.Discard(address)
		drop(queue)
		return nil
	}
	return next
}

// drop forgets messages that waited behind a failed one: they are old by now.
func drop(queue chan *wire.PeerMessage) {
	for len(queue) > 0 {
		<-queue
	}
}

// merge adds an append to the one before it, or replaces a reply by a later
// one. One message is on its way at a time, so without this a group whose
// members are apart would fall behind under load.
func merge(message, next *wire.PeerMessage) bool {
	if replaces(message, next) {
		proto.Reset(message)
		proto.Merge(message, next)
		return true
	}
	both := message.GetType() == wire.PeerMessage_TYPE_APPEND && next.GetType() == wire.PeerMessage_TYPE_APPEND
	follows := message.GetIndex()+uint64(len(message.GetEntries())) == next.GetIndex()
	if !both || !follows || message.GetTerm() != next.GetTerm() || message.GetToDisk() != next.GetToDisk() {
		return false
	}
	size := 0
	for _, entry := range message.GetEntries() {
		size += entry.SizeVT()
	}
	for _, entry := range next.GetEntries() {
		size += entry.SizeVT()
	}
	if size > mergedBytes {
		return false
	}
	message.Entries = append(message.Entries[:len(message.Entries):len(message.Entries)], next.GetEntries()...)
	message.Commit, message.Round, message.LeaseAge = next.GetCommit(), next.GetRound(), next.GetLeaseAge()
	return true
}

// replaces tells whether a reply says everything that the one before it said:
// both accept, and the later one covers at least as much of the log.
func replaces(message, next *wire.PeerMessage) bool {
	both := message.GetType() == wire.PeerMessage_TYPE_APPEND_REPLY && next.GetType() == wire.PeerMessage_TYPE_APPEND_REPLY
	same := message.GetTerm() == next.GetTerm() && message.GetToDisk() == next.GetToDisk() && message.GetFromDisk() == next.GetFromDisk()
	accepted := !message.GetReject() && !next.GetReject()
	return both && same && accepted && next.GetIndex() >= message.GetIndex() && next.GetRound() >= message.GetRound()
}

func (others *peers) wait() { others.loops.Wait() }

// parseGroup reads --group.
func parseGroup(texts []string) ([]*wire.ControlMember, error) {
	var list []*wire.ControlMember
	for _, text := range texts {
		name, address, ok := strings.Cut(text, "@")
		if !ok || name == "" || address == "" {
			return nil, errors.Newf("setting --group is %q; give each control VM as name@IP:port", text)
		}
		list = append(list, &wire.ControlMember{Name: name, Address: address})
	}
	return list, nil
}

// Step takes a message of another control VM.
func (control *Control) Step(ctx context.Context, message *wire.PeerMessage) (*wire.PeerReply, error) {
	if message.GetAddress() != "" && message.GetFrom() != control.self {
		control.peers.learn(message.GetFrom(), message.GetAddress())
	}
	select {
	case control.inbox <- input{event: quorum.Received{Message: message}}:
		return &wire.PeerReply{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
