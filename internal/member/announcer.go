package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	announceLimit   = 500 * clock.Millis(1)
	announceDefault = clock.Second
	// announceRetry is the wait after an announcement that an entry VM missed:
	// a restarted entry VM needs its endpoints at once.
	announceRetry = 300 * clock.Millis(1)
	// quickRetries bounds the announcements at that pace.
	quickRetries = 20
	// smallZone is the number of entry VMs up to which all of a zone are announced to.
	smallZone = 6
	// ownFanOut and otherFanOut are the entry VMs announced to in the own and
	// in each other zone of the region, when the zone is not small.
	ownFanOut   = 3
	otherFanOut = 1
)

// Announcer announces an endpoint process to entry VMs of its region. It
// starts from the addresses in the settings and learns the others from replies.
type Announcer struct {
	pool     *link.Pool
	clock    *clock.Clock
	log      *event.Log
	seeds    []string
	describe func() *wire.Announcement

	// mu guards the fields below. It is a leaf lock.
	mu       sync.Mutex
	targets  []string
	interval clock.Millis
	sequence uint64
	version  uint64
	// informed holds the targets that have the whole record.
	informed map[string]bool
	// missed counts the latest announcements that did not reach every target.
	missed int
}

// NewAnnouncer returns an announcer that sends what describe returns.
func NewAnnouncer(pool *link.Pool, ticker *clock.Clock, log *event.Log, seeds []string, describe func() *wire.Announcement) *Announcer {
	return &Announcer{
		pool: pool, clock: ticker, log: log, seeds: seeds, describe: describe,
		targets: seeds, interval: announceDefault, informed: map[string]bool{},
	}
}

// Targets returns the addresses of the entry VMs announced to.
func (announcer *Announcer) Targets() []string {
	announcer.mu.Lock()
	defer announcer.mu.Unlock()
	return slices.Clone(announcer.targets)
}

// Run announces until the context ends.
func (announcer *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		announcer.Once(ctx)
		interval := announcer.pause()
		// Jitter spreads the announcements of endpoints that started together.
		pause := interval*3/4 + clock.Millis(rand.Int64N(int64(interval/2)))
		if err := announcer.clock.Sleep(ctx, pause); err != nil {
			return
		}
	}
}

// pause returns the wait before the next announcement.
func (announcer *Announcer) pause() clock.Millis {
	announcer.mu.Lock()
	defer announcer.mu.Unlock()
	if announcer.missed > 0 && announcer.missed <= quickRetries {
		return min(announceRetry, announcer.interval)
	}
	return announcer.interval
}

// Once announces to every target and waits for the replies.
func (announcer *Announcer) Once(ctx context.Context) {
	full := announcer.describe()
	announcer.mu.Lock()
	announcer.sequence++
	full.Sequence, full.PeersVersion = announcer.sequence, announcer.version
	full.Lifetime = max(full.GetLifetime(), int64(lifetimes*announcer.interval))
	targets := slices.Clone(announcer.targets)
	announcer.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, announceLimit.Duration())
	defer cancel()
	var sending conc.WaitGroup
	replies := make([]*wire.AnnounceReply, len(targets))
	for at, address := range targets {
		sending.Go(func() { replies[at] = announcer.inform(ctx, address, full) })
	}
	sending.Wait()
	announcer.learn(full, replies)
}

// inform announces to one entry VM; it sends the whole record only where that
// is not known.
func (announcer *Announcer) inform(ctx context.Context, address string, full *wire.Announcement) *wire.AnnounceReply {
	message := full
	if announcer.knows(address) {
		message = Brief(full)
	}
	reply := announcer.send(ctx, address, message)
	if reply.GetWantFull() {
		reply = announcer.send(ctx, address, full)
	}
	announcer.mu.Lock()
	defer announcer.mu.Unlock()
	announcer.informed[address] = reply != nil
	return reply
}

func (announcer *Announcer) knows(address string) bool {
	announcer.mu.Lock()
	defer announcer.mu.Unlock()
	return announcer.informed[address]
}

func (announcer *Announcer) send(ctx context.Context, address string, message *wire.Announcement) *wire.AnnounceReply {
	reply, err := wire.NewDRPCMemberClient(announcer.pool.Conn(ctx, address)).Announce(ctx, message)
	if err != nil {
		announcer.log.Write(event.AnnounceFailed, "entry", address, "error", err)
		announcer.pool.Discard(address)
		return nil
	}
	return reply
}

// learn takes the entry VMs and the interval that the replies name.
func (announcer *Announcer) learn(self *wire.Announcement, replies []*wire.AnnounceReply) {
	interval, version := clock.Millis(0), uint64(0)
	var peers []*wire.Announcement
	for _, reply := range replies {
		interval = max(interval, clock.Millis(reply.GetInterval()))
		if len(reply.GetPeers()) > len(peers) {
			peers, version = reply.GetPeers(), reply.GetPeersVersion()
		}
	}
	announcer.mu.Lock()
	defer announcer.mu.Unlock()
	if interval > 0 {
		announcer.interval = interval
	}
	announcer.missed++
	if !slices.Contains(replies, nil) {
		announcer.missed = 0
	}
	if len(peers) > 0 {
		announcer.version = version
		announcer.targets = targets(self, peers)
	}
	if !slices.ContainsFunc(replies, func(reply *wire.AnnounceReply) bool { return reply != nil }) {
		// Nobody answers: start again from the settings.
		announcer.targets, announcer.version = announcer.seeds, 0
	}
	for address := range announcer.informed {
		if !slices.Contains(announcer.targets, address) {
			delete(announcer.informed, address)
		}
	}
}

// targets chooses the entry VMs to announce to: all of a small zone, a subset
// by rendezvous hashing of a large one, so that no entry VM hears of every engine.
func targets(self *wire.Announcement, peers []*wire.Announcement) []string {
	zones := map[string][]string{}
	for _, peer := range peers {
		if peer.GetState() != wire.NodeState_NODE_STATE_LEAVING {
			zones[peer.GetZone()] = append(zones[peer.GetZone()], peer.GetAddress())
		}
	}
	var chosen []string
	for zone, addresses := range zones {
		slices.Sort(addresses)
		fanOut := otherFanOut
		switch {
		case len(addresses) <= smallZone:
			fanOut = len(addresses)
		case zone == self.GetZone():
			fanOut = ownFanOut
		}
		chosen = append(chosen, place.Subset(self.GetNode(), addresses, fanOut)...)
	}
	slices.Sort(chosen)
	return chosen
}
