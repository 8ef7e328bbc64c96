package dedup

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// applyTimeout is the timeout of one operation at one control VM.
	applyTimeout  = clock.Second
	retryInterval = 20 * clock.Millis(1)
)

var errQuorum = errors.New("no majority of control VMs can be reached to record this request")

// Claims is a client that sends claim operations to the leader of the control VMs.
type Claims struct {
	pool      *link.Pool
	clock     *clock.Clock
	addresses []string
	// leader is the last known leader, or nil.
	leader atomic.Pointer[string]
}

// NewClaims returns a client of the control VMs at the addresses.
func NewClaims(pool *link.Pool, ticker *clock.Clock, addresses []string) *Claims {
	return &Claims{pool: pool, clock: ticker, addresses: addresses}
}

// Apply sends an operation until a leader has applied it or ctx ends. An operation may
// be applied more than once, which the claim table handles idempotently.
func (claims *Claims) Apply(ctx context.Context, op *wire.ClaimOp) (*wire.ClaimReply, error) {
	lastErr := errQuorum
	for {
		for _, address := range claims.order() {
			reply, err := claims.try(ctx, address, op)
			if err == nil {
				return reply, nil
			}
			lastErr = errors.CombineErrors(errQuorum, err)
			if ctx.Err() != nil {
				return nil, lastErr
			}
		}
		if err := claims.clock.Sleep(ctx, retryInterval); err != nil {
			return nil, lastErr
		}
	}
}

// order lists the control VMs with the last known leader first.
func (claims *Claims) order() []string {
	first := claims.leader.Load()
	if first == nil {
		return claims.addresses
	}
	list := []string{*first}
	for _, address := range claims.addresses {
		if address != *first {
			list = append(list, address)
		}
	}
	return list
}

func (claims *Claims) try(ctx context.Context, address string, op *wire.ClaimOp) (*wire.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout.Duration())
	defer cancel()
	reply, err := wire.NewDRPCClaimsClient(claims.pool.Conn(ctx, address)).Apply(ctx, op)
	if err != nil {
		claims.pool.Discard(address)
		claims.leader.Store(nil)
		return nil, err
	}
	if leader := reply.GetLeader(); leader != "" {
		address = leader
	}
	if reply.GetUnavailable() {
		claims.leader.Store(nil)
		return nil, errors.Newf("control VM %s cannot record claims at the moment", address)
	}
	claims.leader.Store(&address)
	return reply, nil
}
