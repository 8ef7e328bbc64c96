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
	announceTimeout = 500 * clock.Millis(1)
	defaultInterval = clock.Second
	// announceRetryDelay is the delay after an announcement that did not reach
	// every target: a restarted entry VM needs its endpoints at once.
	announceRetryDelay = 300 * clock.Millis(1)
	// maxQuickRetries bounds the consecutive announcements at announceRetryDelay.
	maxQuickRetries = 20
	// smallZone is the number of entry VMs in an availability zone up to which
	// all of them receive announcements.
	smallZone = 6
	// ownZoneFanOut and otherZoneFanOut are the numbers of entry VMs that receive
	// announcements in the endpoint's own zone and in each other zone of the
	// region, for zones that are not small.
	ownZoneFanOut   = 3
	otherZoneFanOut = 1
)

// Announcer announces an endpoint process to entry VMs of its region. It starts
// with the addresses in the settings and takes the others from replies.
type Announcer struct {
	pool     *link.Pool
	clock    *clock.Clock
	log      *event.Log
	seeds    []string
	describe func() *wire.Announcement

	// mu guards the fields below. No other lock is acquired while it is held.
	mu           sync.Mutex
	targets      []string
	interval     clock.Millis
	sequence     uint64
	peersVersion uint64
	// fullRecords holds the targets that have the full record.
	fullRecords map[string]bool
	// missedRounds counts the consecutive announcements that did not reach every
	// target.
	missedRounds int
}

// NewAnnouncer returns an announcer that sends what describe returns.
func NewAnnouncer(pool *link.Pool, ticker *clock.Clock, log *event.Log, seeds []string, describe func() *wire.Announcement) *Announcer {
	return &Announcer{
		pool: pool, clock: ticker, log: log, seeds: seeds, describe: describe,
		targets: seeds, interval: defaultInterval, fullRecords: map[string]bool{},
	}
}

// Targets returns the addresses of the entry VMs that receive announcements.
func (announcer *Announcer) Targets() []string {
	announcer.mu.Lock()
	defer announcer.mu.Unlock()
	return slices.Clone(announcer.targets)
}

// Run announces until the context ends.
func (announcer *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		announcer.Once(ctx)
		delay := announcer.nextDelay()
		// Jitter spreads the announcements of endpoints that started together.
		jittered := delay*3/4 + clock.Millis(rand.Int64N(int64(delay/2)))
		if err := announcer.clock.Sleep(ctx, jittered); err != nil {
			return
		}
	}
}

// nextDelay returns the delay before the next announcement, without jitter.
func (announcer *Announcer) nextDelay() clock.Millis {
	announcer.mu.Lock()
	defer announcer.mu.Unlock()
	if announcer.missedRounds > 0 && announcer.missedRounds <= maxQuickRetries {
		return min(announceRetryDelay, announcer.interval)
	}
	return announcer.interval
}

// Once sends one announcement to every target and waits for the replies.
func (announcer *Announcer) Once(ctx context.Context) {
	full := announcer.describe()
	announcer.mu.Lock()
	announcer.sequence++
	full.Sequence, full.PeersVersion = announcer.sequence, announcer.peersVersion
	full.Lifetime = max(full.GetLifetime(), int64(lifetimeIntervals*announcer.interval))
	targets := slices.Clone(announcer.targets)
	announcer.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, announceTimeout.Duration())
	defer cancel()
	var sending conc.WaitGroup
	replies := make([]*wire.AnnounceReply, len(targets))
	for at, address := range targets {
		sending.Go(func() { replies[at] = announcer.announceTo(ctx, address, full) })
	}
	sending.Wait()
	announcer.applyReplies(full, replies)
}

// announceTo sends an announcement to one entry VM. It sends the full record
// only if the entry VM does not have it.
func (announcer *Announcer) announceTo(ctx context.Context, address string, full *wire.Announcement) *wire.AnnounceReply {
	message := full
	if announcer.holdsFullRecord(address) {
		message = Brief(full)
	}
	reply := announcer.send(ctx, address, message)
	if reply.GetWantFull() {
		reply = announcer.send(ctx, address, full)
	}
	announcer.mu.Lock()
	defer announcer.mu.Unlock()
	announcer.fullRecords[address] = reply != nil
	return reply
}

func (announcer *Announcer) holdsFullRecord(address string) bool {
	announcer.mu.Lock()
	defer announcer.mu.Unlock()
	return announcer.fullRecords[address]
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

// applyReplies updates the targets and the interval from the replies.
func (announcer *Announcer) applyReplies(self *wire.Announcement, replies []*wire.AnnounceReply) {
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
	announcer.missedRounds++
	if !slices.Contains(replies, nil) {
		announcer.missedRounds = 0
	}
	if len(peers) > 0 {
		announcer.peersVersion = version
		announcer.targets = chooseTargets(self, peers)
	}
	if !slices.ContainsFunc(replies, func(reply *wire.AnnounceReply) bool { return reply != nil }) {
		// No target replied, so the next announcement uses the addresses in the settings
		// as well. The entry VMs there may have been replaced, so the targets stay.
		announcer.targets, announcer.peersVersion = union(announcer.targets, announcer.seeds), 0
	}
	for address := range announcer.fullRecords {
		if !slices.Contains(announcer.targets, address) {
			delete(announcer.fullRecords, address)
		}
	}
}

// union returns the addresses of both lists, each once.
func union(first, second []string) []string {
	list := slices.Concat(first, second)
	slices.Sort(list)
	return slices.Compact(list)
}

// chooseTargets chooses the entry VMs that receive announcements: all of a small
// zone, and a subset of a large one by rendezvous hashing, so that no entry VM
// receives the announcements of every engine.
func chooseTargets(self *wire.Announcement, peers []*wire.Announcement) []string {
	zones := map[string][]string{}
	for _, peer := range peers {
		if peer.GetState() != wire.NodeState_NODE_STATE_LEAVING {
			zones[peer.GetZone()] = append(zones[peer.GetZone()], peer.GetAddress())
		}
	}
	var chosen []string
	for zone, addresses := range zones {
		slices.Sort(addresses)
		fanOut := otherZoneFanOut
		switch {
		case len(addresses) <= smallZone:
			fanOut = len(addresses)
		case zone == self.GetZone():
			fanOut = ownZoneFanOut
		}
		chosen = append(chosen, place.Subset(self.GetNode(), addresses, fanOut)...)
	}
	slices.Sort(chosen)
	return chosen
}
