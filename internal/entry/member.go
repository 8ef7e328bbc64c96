package entry

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/member"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const exchangeLimit = 500 * clock.Millis(1)

// Announce takes an endpoint process's announcement.
func (entry *Entry) Announce(_ context.Context, announcement *wire.Announcement) (*wire.AnnounceReply, error) {
	reply := &wire.AnnounceReply{
		Revision: entry.view.State().Revision(),
		Interval: int64(member.AnnounceInterval(entry.members.Count(wire.NodeRole_NODE_ROLE_ENDPOINT))),
	}
	switch entry.members.Observe(announcement, entry.clock.Now()) {
	case member.Incomplete:
		reply.WantFull = true
		return reply, nil
	case member.Joined:
		entry.log.Write(event.EndpointJoined, "endpoint", announcement.GetNode(), "address", announcement.GetAddress())
	case member.Refreshed, member.Dropped:
	}
	entry.fleet.report(announcement)
	entry.tracker.seen(announcement)
	peers := entry.peers()
	if version := peersVersion(peers); version != announcement.GetPeersVersion() {
		reply.Peers, reply.PeersVersion = peers, version
	}
	return reply, nil
}

// peersVersion changes when an entry VM comes, goes or leaves.
func peersVersion(peers []*wire.Announcement) uint64 {
	version := uint64(len(peers))
	for _, peer := range peers {
		// The sum does not depend on the order.
		version += xxhash.Sum64String(peer.GetNode()+peer.GetAddress()) * (uint64(peer.GetState()) + 1)
	}
	return version
}

// peers returns the known entry VMs, this one included.
func (entry *Entry) peers() []*wire.Announcement {
	peers := slices.DeleteFunc(entry.members.Records(wire.NodeRole_NODE_ROLE_ENTRY, entry.clock.Now()), func(peer *wire.Announcement) bool {
		return peer.GetNode() == entry.settings.Node.Name
	})
	return append(peers, entry.announcement())
}

// Exchange takes a peer's records and answers with those that are newer here;
// records that the peer does not have go whole.
func (entry *Entry) Exchange(_ context.Context, digest *wire.Digest) (*wire.Digest, error) {
	entry.absorb(digest)
	if len(digest.GetNodes()) == 0 {
		// The digest only told of a crash.
		return &wire.Digest{}, nil
	}
	has := make(map[string]*wire.Announcement, len(digest.GetNodes()))
	for _, node := range digest.GetNodes() {
		has[node.GetNode()] = node
	}
	reply := &wire.Digest{}
	if digest.GetWantEndpoints() {
		reply.Nodes = entry.members.Records(wire.NodeRole_NODE_ROLE_ENDPOINT, entry.clock.Now())
	}
	for _, peer := range entry.peers() {
		theirs, ok := has[peer.GetNode()]
		switch {
		case !ok || theirs.GetIncarnation() != peer.GetIncarnation():
			reply.Nodes = append(reply.Nodes, peer)
		case theirs.GetSequence() < peer.GetSequence():
			reply.Nodes = append(reply.Nodes, member.Brief(peer))
		}
	}
	return entry.tracker.describe(reply), nil
}

func (entry *Entry) absorb(digest *wire.Digest) {
	entry.tracker.absorb(digest)
	now := entry.clock.Now()
	for _, node := range digest.GetNodes() {
		if node.GetNode() != entry.settings.Node.Name {
			entry.members.Observe(node, now)
		}
	}
}

// digest returns this entry VM's record whole and those of its peers in brief.
// An entry VM that knows no endpoint yet asks for those of its peers.
func (entry *Entry) digest() *wire.Digest {
	digest := &wire.Digest{WantEndpoints: entry.members.Count(wire.NodeRole_NODE_ROLE_ENDPOINT) == 0}
	for _, peer := range entry.peers() {
		if peer.GetNode() != entry.settings.Node.Name {
			peer = member.Brief(peer)
		}
		digest.Nodes = append(digest.Nodes, peer)
	}
	return entry.tracker.describe(digest)
}

// exchange meets one peer at random at a time, so that entry VMs learn of each
// other with a cost that does not grow with their number.
func (entry *Entry) exchange(ctx context.Context) {
	for done := 0; ctx.Err() == nil; done++ {
		if address, ok := entry.partner(); ok {
			entry.meet(ctx, address)
		}
		pause := member.ExchangePause(done, entry.members.Count(wire.NodeRole_NODE_ROLE_ENTRY))
		if err := entry.clock.Sleep(ctx, pause*3/4+clock.Millis(rand.Int64N(int64(pause/2)))); err != nil {
			return
		}
	}
}

// partner picks a peer. The addresses in the settings stay in the draw, so that
// the halves of a healed partition find each other again.
func (entry *Entry) partner() (string, bool) {
	addresses := slices.Clone(entry.settings.Entry.Peer)
	for _, peer := range entry.members.Role(wire.NodeRole_NODE_ROLE_ENTRY) {
		addresses = append(addresses, peer.GetAddress())
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

func (entry *Entry) meet(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeLimit.Duration())
	defer cancel()
	digest, err := wire.NewDRPCMemberClient(entry.pool.Conn(ctx, address)).Exchange(ctx, entry.digest())
	if err != nil {
		entry.log.Write(event.AnnounceFailed, "entry", address, "error", err)
		entry.pool.Discard(address)
		return
	}
	entry.absorb(digest)
}
