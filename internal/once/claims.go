package once

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// stepLimit bounds one message to one control VM.
	stepLimit  = clock.Second
	retryPause = 20 * clock.Millis(1)
)

var errQuorum = errors.New("no majority of control VMs can be reached to record this request")

// Claims sends steps to the control leader.
type Claims struct {
	pool      *link.Pool
	clock     *clock.Clock
	addresses []string
	// leader is the control VM that answered last.
	leader atomic.Pointer[string]
}

// NewClaims returns a client of the control VMs at the addresses.
func NewClaims(pool *link.Pool, ticker *clock.Clock, addresses []string) *Claims {
	return &Claims{pool: pool, clock: ticker, addresses: addresses}
}

// Apply sends a step until a leader has taken it or the context ends. A step
// may be taken more than once; the table makes that harmless.
func (claims *Claims) Apply(ctx context.Context, op *wire.ClaimOp) (*wire.ClaimReply, error) {
	failure := errQuorum
	for {
		for _, address := range claims.order() {
			reply, err := claims.try(ctx, address, op)
			if err == nil {
				return reply, nil
			}
			failure = errors.CombineErrors(errQuorum, err)
			if ctx.Err() != nil {
				return nil, failure
			}
		}
		if err := claims.clock.Sleep(ctx, retryPause); err != nil {
			return nil, failure
		}
	}
}

// order lists the control VMs, the last known leader first.
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
	ctx, cancel := context.WithTimeout(ctx, stepLimit.Duration())
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
		return nil, errors.Newf("control VM %s cannot record now", address)
	}
	claims.leader.Store(&address)
	return reply, nil
}
