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

const exchangeTimeout = 500 * clock.Millis(1)

// Announce processes an endpoint process's announcement. The reply contains the
// list of entry VMs if the endpoint process has an old one.
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
	entry.tracker.observe(announcement)
	peers := entry.peers()
	if version := peersVersion(peers); version != announcement.GetPeersVersion() {
		reply.Peers, reply.PeersVersion = peers, version
	}
	return reply, nil
}

// peersVersion returns a hash of the list of entry VMs. It changes when one joins,
// expires or starts to shut down.
func peersVersion(peers []*wire.Announcement) uint64 {
	version := uint64(len(peers))
	for _, peer := range peers {
		// A sum of hashes does not depend on the order of the peers.
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

// Exchange merges a peer's digest and returns the records that are newer here.
// Records that the peer does not have are sent in full, others in brief.
func (entry *Entry) Exchange(_ context.Context, digest *wire.Digest) (*wire.Digest, error) {
	entry.mergeDigest(digest)
	if len(digest.GetNodes()) == 0 {
		// The digest contains only a crash report.
		return &wire.Digest{}, nil
	}
	theirNodes := make(map[string]*wire.Announcement, len(digest.GetNodes()))
	for _, node := range digest.GetNodes() {
		theirNodes[node.GetNode()] = node
	}
	reply := &wire.Digest{}
	if digest.GetWantEndpoints() {
		reply.Nodes = entry.members.Records(wire.NodeRole_NODE_ROLE_ENDPOINT, entry.clock.Now())
	}
	for _, peer := range entry.peers() {
		theirs, ok := theirNodes[peer.GetNode()]
		switch {
		case !ok || theirs.GetIncarnation() != peer.GetIncarnation():
			reply.Nodes = append(reply.Nodes, peer)
		case theirs.GetSequence() < peer.GetSequence():
			reply.Nodes = append(reply.Nodes, member.Brief(peer))
		}
	}
	return entry.tracker.addCrashes(reply), nil
}

func (entry *Entry) mergeDigest(digest *wire.Digest) {
	entry.tracker.mergeDigest(digest)
	now := entry.clock.Now()
	for _, node := range digest.GetNodes() {
		if node.GetNode() != entry.settings.Node.Name {
			entry.members.Observe(node, now)
		}
	}
}

// digest returns this entry VM's record in full and those of its peers in brief. An
// entry VM that knows no endpoint yet requests the endpoints that its peer knows.
func (entry *Entry) digest() *wire.Digest {
	digest := &wire.Digest{WantEndpoints: entry.members.Count(wire.NodeRole_NODE_ROLE_ENDPOINT) == 0}
	for _, peer := range entry.peers() {
		if peer.GetNode() != entry.settings.Node.Name {
			peer = member.Brief(peer)
		}
		digest.Nodes = append(digest.Nodes, peer)
	}
	return entry.tracker.addCrashes(digest)
}

// runExchange exchanges digests with one random peer at a time until ctx ends, so
// that the cost does not grow with the number of entry VMs.
func (entry *Entry) runExchange(ctx context.Context) {
	for done := 0; ctx.Err() == nil; done++ {
		if address, ok := entry.randomPeer(); ok {
			entry.exchangeWith(ctx, address)
		}
		pause := member.ExchangePause(done, entry.members.Count(wire.NodeRole_NODE_ROLE_ENTRY))
		if err := entry.clock.Sleep(ctx, pause*3/4+clock.Millis(rand.Int64N(int64(pause/2)))); err != nil {
			return
		}
	}
}

// randomPeer picks a peer. The configured addresses are always among the choices,
// so that the two sides find each other again after a network partition.
func (entry *Entry) randomPeer() (string, bool) {
	addresses := slices.Clone(entry.settings.Entry.Peer)
	for _, peer := range entry.members.Role(wire.NodeRole_NODE_ROLE_ENTRY) {
		addresses = append(addresses, peer.GetAddress())
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

func (entry *Entry) exchangeWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	digest, err := wire.NewDRPCMemberClient(entry.pool.Conn(ctx, address)).Exchange(ctx, entry.digest())
	if err != nil {
		entry.log.Write(event.AnnounceFailed, "entry", address, "error", err)
		entry.pool.Discard(address)
		return
	}
	entry.mergeDigest(digest)
}
