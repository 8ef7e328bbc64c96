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
	// maxQueuedPerPeer limits the messages queued for a control VM that does not
	// read them. More are dropped, which the protocol tolerates like packet loss.
	maxQueuedPerPeer = 1024
	// maxMergedBytes limits the size of an append merged from several.
	maxMergedBytes = 1 << 20
)

// peers sends messages to the other control VMs. Messages to one VM are sent in
// order, and send never blocks.
type peers struct {
	pool        *link.Pool
	sendTimeout clock.Millis
	loops       conc.WaitGroup

	// mu guards the fields below.
	mu     sync.Mutex
	ctx    context.Context
	queues map[string]chan *wire.PeerMessage
	// addresses maps names of control VMs to the addresses in their latest messages.
	addresses map[string]string
}

func newPeers(pool *link.Pool, sendTimeout clock.Millis, members []*wire.ControlMember) *peers {
	peers := &peers{pool: pool, sendTimeout: sendTimeout, queues: map[string]chan *wire.PeerMessage{}, addresses: map[string]string{}}
	for _, member := range members {
		peers.addresses[member.GetName()] = member.GetAddress()
	}
	return peers
}

func (peers *peers) start(ctx context.Context) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	peers.ctx = ctx
}

// setAddress sets the address of a control VM.
func (peers *peers) setAddress(name, address string) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	peers.addresses[name] = address
}

func (peers *peers) address(name, fallback string) string {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if address := peers.addresses[name]; address != "" {
		return address
	}
	return fallback
}

func (peers *peers) send(action quorum.Send) {
	name := action.Message.GetTo()
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if peers.addresses[name] == "" {
		peers.addresses[name] = action.Address
	}
	if peers.ctx == nil || peers.ctx.Err() != nil {
		return
	}
	queue := peers.queues[name]
	if queue == nil {
		queue = make(chan *wire.PeerMessage, maxQueuedPerPeer)
		peers.queues[name] = queue
		ctx := peers.ctx
		peers.loops.Go(func() { peers.run(ctx, name, queue) })
	}
	select {
	case queue <- action.Message:
	default:
	}
}

func (peers *peers) run(ctx context.Context, name string, queue chan *wire.PeerMessage) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-queue:
			for message != nil {
				message = peers.deliver(ctx, name, message, queue)
			}
		}
	}
}

// deliver sends a message merged with the queued messages that continue or
// replace it. It returns the first message that could not be merged, or nil.
func (peers *peers) deliver(ctx context.Context, name string, message *wire.PeerMessage, queue chan *wire.PeerMessage) *wire.PeerMessage {
	var next *wire.PeerMessage
	for next == nil && len(queue) > 0 {
		following := <-queue
		if !merge(message, following) {
			next = following
		}
	}
	address := peers.address(name, "")
	ctx, cancel := context.WithTimeout(ctx, peers.sendTimeout.Duration())
	defer cancel()
	if _, err := wire.NewDRPCGroupClient(peers.pool.Conn(ctx, address)).Step(ctx, message); err != nil {
		peers.pool.Discard(address)
		discardQueued(queue)
		return nil
	}
	return next
}

// discardQueued drops the messages queued behind a failed one, which are outdated.
func discardQueued(queue chan *wire.PeerMessage) {
	for len(queue) > 0 {
		<-queue
	}
}

// merge adds the next append to message, or replaces a reply with a later one,
// and reports whether it could. Only one message to a peer is in flight at a
// time, so without merging a group with long round trips would fall behind
// under load.
func merge(message, next *wire.PeerMessage) bool {
	if replaces(message, next) {
		proto.Reset(message)
		proto.Merge(message, next)
		return true
	}
	appends := message.GetType() == wire.PeerMessage_TYPE_APPEND && next.GetType() == wire.PeerMessage_TYPE_APPEND
	contiguous := message.GetIndex()+uint64(len(message.GetEntries())) == next.GetIndex()
	if !appends || !contiguous || message.GetTerm() != next.GetTerm() || message.GetToDisk() != next.GetToDisk() {
		return false
	}
	size := 0
	for _, entry := range message.GetEntries() {
		size += entry.SizeVT()
	}
	for _, entry := range next.GetEntries() {
		size += entry.SizeVT()
	}
	if size > maxMergedBytes {
		return false
	}
	message.Entries = append(message.Entries[:len(message.Entries):len(message.Entries)], next.GetEntries()...)
	message.Commit, message.Round, message.LeaseAge = next.GetCommit(), next.GetRound(), next.GetLeaseAge()
	message.Members = next.GetMembers()
	return true
}

// replaces reports whether the reply next makes the earlier reply redundant:
// both accept, and next covers at least as much of the log.
func replaces(message, next *wire.PeerMessage) bool {
	replies := message.GetType() == wire.PeerMessage_TYPE_APPEND_REPLY && next.GetType() == wire.PeerMessage_TYPE_APPEND_REPLY
	sameTermAndPeers := message.GetTerm() == next.GetTerm() && message.GetToDisk() == next.GetToDisk() && message.GetFromDisk() == next.GetFromDisk()
	accepted := !message.GetReject() && !next.GetReject()
	return replies && sameTermAndPeers && accepted && next.GetIndex() >= message.GetIndex() && next.GetRound() >= message.GetRound()
}

func (peers *peers) wait() { peers.loops.Wait() }

// parseGroup parses the values of --group.
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

// Step receives a message from another control VM.
func (control *Control) Step(ctx context.Context, message *wire.PeerMessage) (*wire.PeerReply, error) {
	if message.GetAddress() != "" && message.GetFrom() != control.self {
		control.peers.setAddress(message.GetFrom(), message.GetAddress())
	}
	select {
	case control.inbox <- input{event: quorum.Received{Message: message}}:
		return &wire.PeerReply{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
