package entry

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const exchangeLimit = 500 * clock.Millis(1)

// Announce takes an endpoint process's announcement.
func (entry *Entry) Announce(_ context.Context, announcement *wire.Announcement) (*wire.AnnounceReply, error) {
	if entry.members.Observe(announcement, entry.clock.Now()) {
		entry.log.Write(event.EndpointJoined, "endpoint", announcement.GetNode(), "address", announcement.GetAddress())
	}
	reply := &wire.AnnounceReply{Revision: entry.view.State().Revision()}
	for _, peer := range entry.peers() {
		if peer.GetZone() == announcement.GetZone() {
			reply.Peers = append(reply.Peers, peer)
		}
	}
	return reply, nil
}

// peers returns the known entry VMs, this one included.
func (entry *Entry) peers() []*wire.Announcement {
	peers := slices.DeleteFunc(entry.members.Role(wire.NodeRole_NODE_ROLE_ENTRY), func(peer *wire.Announcement) bool {
		return peer.GetNode() == entry.settings.Node.Name
	})
	return append(peers, entry.announcement())
}

// Exchange takes a peer's digest and answers with this entry VM's.
func (entry *Entry) Exchange(_ context.Context, digest *wire.Digest) (*wire.Digest, error) {
	entry.absorb(digest)
	return &wire.Digest{Nodes: entry.peers()}, nil
}

func (entry *Entry) absorb(digest *wire.Digest) {
	now := entry.clock.Now()
	for _, node := range digest.GetNodes() {
		if node.GetNode() != entry.settings.Node.Name {
			entry.members.Observe(node, now)
		}
	}
}

// exchange meets one peer at random every second, so that entry VMs learn of
// each other with a cost that does not grow with their number.
func (entry *Entry) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		addresses := slices.Clone(entry.settings.Entry.Peer)
		for _, peer := range entry.members.Role(wire.NodeRole_NODE_ROLE_ENTRY) {
			addresses = append(addresses, peer.GetAddress())
		}
		if len(addresses) > 0 {
			entry.meet(ctx, addresses[rand.IntN(len(addresses))])
		}
		if err := entry.clock.Sleep(ctx, exchangeEvery); err != nil {
			return
		}
	}
}

func (entry *Entry) meet(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeLimit.Duration())
	defer cancel()
	digest, err := wire.NewDRPCMemberClient(entry.pool.Conn(ctx, address)).Exchange(ctx, &wire.Digest{Nodes: entry.peers()})
	if err != nil {
		entry.log.Write(event.AnnounceFailed, "entry", address, "error", err)
		entry.pool.Discard(address)
		return
	}
	entry.absorb(digest)
}
