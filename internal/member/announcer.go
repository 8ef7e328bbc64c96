package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	announceLimit   = 500 * clock.Millis(1)
	announceDefault = clock.Second
)

// Announcer announces an endpoint process to the entry VMs of its zone. It
// starts from the addresses in the settings and learns the others from replies.
type Announcer struct {
	pool     *link.Pool
	clock    *clock.Clock
	log      *event.Log
	seeds    []string
	describe func() *wire.Announcement

	// mu guards the fields below.
	mu       sync.Mutex
	targets  []string
	interval clock.Millis
	sequence uint64
}

// NewAnnouncer returns an announcer that sends what describe returns.
func NewAnnouncer(pool *link.Pool, ticker *clock.Clock, log *event.Log, seeds []string, describe func() *wire.Announcement) *Announcer {
	return &Announcer{pool: pool, clock: ticker, log: log, seeds: seeds, describe: describe, targets: seeds, interval: announceDefault}
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
		announcer.mu.Lock()
		interval := announcer.interval
		announcer.mu.Unlock()
		// Jitter spreads the announcements of endpoints that started together.
		pause := interval*3/4 + clock.Millis(rand.Int64N(int64(interval/2)))
		if err := announcer.clock.Sleep(ctx, pause); err != nil {
			return
		}
	}
}

// Once announces to every target and waits for the replies.
func (announcer *Announcer) Once(ctx context.Context) {
	message := announcer.describe()
	announcer.mu.Lock()
	announcer.sequence++
	message.Sequence = announcer.sequence
	targets := slices.Clone(announcer.targets)
	announcer.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, announceLimit.Duration())
	defer cancel()
	var sending conc.WaitGroup
	replies := make([]*wire.AnnounceReply, len(targets))
	for at, address := range targets {
		sending.Go(func() { replies[at] = announcer.send(ctx, address, message) })
	}
	sending.Wait()
	announcer.learn(replies)
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

// learn takes the entry VMs that the replies name; the seeds always stay.
func (announcer *Announcer) learn(replies []*wire.AnnounceReply) {
	targets := slices.Clone(announcer.seeds)
	interval := clock.Millis(0)
	for _, reply := range replies {
		interval = max(interval, clock.Millis(reply.GetInterval()))
		for _, peer := range reply.GetPeers() {
			targets = append(targets, peer.GetAddress())
		}
	}
	slices.Sort(targets)
	announcer.mu.Lock()
	defer announcer.mu.Unlock()
	announcer.targets = slices.Compact(targets)
	if interval > 0 {
		announcer.interval = interval
	}
}
