// Package link carries drpc between the system's own processes. A drpc
// connection carries one stream at a time, so a Pool keeps several for each
// peer, and a stalled stream blocks no other.
package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// MaxFrame is the largest message between our processes, in bytes. A larger
// frame closes its connection.
const MaxFrame = 4 << 20

const (
	idlePerPeer   = 64
	idleExpiry    = 30 * time.Second
	dialLimit     = 500 * clock.Millis(1)
	cancelGrace   = 5 * time.Millisecond
	keepAliveIdle = 10 * time.Second
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: MaxFrame},
		SoftCancel:      true,
		SoftCancelGrace: cancelGrace,
	}
}

// Pool holds idle connections by address.
type Pool struct {
	idle  *drpcpool.Pool[peer, drpcpool.Conn]
	bytes traffic

	// mu guards discarded. It is a leaf lock.
	mu sync.Mutex
	// discarded counts the calls of Discard by address.
	discarded map[string]uint64
}

// peer is an address between two calls of Discard. A connection that is in use
// when its address is discarded comes back under the old peer and is not used
// again: a call that was given up leaves its connection open, and it may be silent.
type peer struct {
	address   string
	discarded uint64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{discarded: map[string]uint64{}, idle: drpcpool.New[peer, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleExpiry,
		KeyCapacity: idlePerPeer,
	})}
}

// Conn returns a connection to an address. It takes an idle one or dials when
// the first call is made.
func (pool *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return pool.idle.Get(ctx, pool.peer(address), pool.dialPeer)
}

func (pool *Pool) peer(address string) peer {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return peer{address: address, discarded: pool.discarded[address]}
}

// Fresh dials a connection that did not exist before. Use it when existing
// connections to the address may be silent.
func (pool *Pool) Fresh(ctx context.Context, address string) (drpc.Conn, error) {
	return pool.dial(ctx, address)
}

// Discard closes the idle connections to an address and keeps those in use
// from being used again.
func (pool *Pool) Discard(address string) {
	old := pool.peer(address)
	pool.mu.Lock()
	pool.discarded[address] = old.discarded + 1
	pool.mu.Unlock()
	for {
		conn, ok := pool.idle.Take(old)
		if !ok {
			return
		}
		// The connection is given up in any case.
		_ = conn.Close()
	}
}

// Bytes returns the bytes received and sent on all connections of the pool.
func (pool *Pool) Bytes() (in, out int64) { return pool.bytes.total() }

// Close closes all idle connections.
func (pool *Pool) Close() error {
	return pool.idle.Close()
}

var (
	// ErrConnect marks errors of calls whose message was never sent, because no
	// connection could be made.
	ErrConnect = errors.New("no connection")
	// ErrDialTimeout marks those of an address that did not answer.
	ErrDialTimeout = errors.New("no answer to a new connection")
)

func connectError(err error, address string) error {
	marked := errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrConnect)
	var failed net.Error
	if errors.As(err, &failed) && failed.Timeout() {
		return errors.Mark(marked, ErrDialTimeout)
	}
	return marked
}

func (pool *Pool) dialPeer(ctx context.Context, to peer) (drpcpool.Conn, error) {
	return pool.dial(ctx, to.address)
}

func (pool *Pool) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialLimit.Duration(), KeepAlive: keepAliveIdle}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, connectError(err, address)
	}
	return drpcconn.NewWithOptions(&countedConn{Conn: conn, bytes: &pool.bytes}, drpcconn.Options{Manager: managerOptions()}), nil
}
