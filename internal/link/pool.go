// Package link provides drpc connections between the system's own processes. A
// drpc connection carries one stream at a time, so a Pool keeps several for each
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

// MaxFrame is the maximum size of a message between the system's processes, in
// bytes. A larger frame closes its connection.
const MaxFrame = 4 << 20

const (
	idlePerPeer   = 64
	idleExpiry    = 30 * time.Second
	dialTimeout   = 500 * clock.Millis(1)
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

	// mu guards generations. It is a leaf lock.
	mu sync.Mutex
	// generations counts the calls of Discard by address.
	generations map[string]uint64
}

// peer is the pool's key: an address and the number of calls of Discard for it.
// A connection in use during Discard returns to the pool under the old key and is
// not used again. Without this it would be: a canceled call leaves its connection
// open, and the remote side may be unresponsive.
type peer struct {
	address    string
	generation uint64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{generations: map[string]uint64{}, idle: drpcpool.New[peer, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleExpiry,
		KeyCapacity: idlePerPeer,
	})}
}

// Conn returns a connection to an address. It reuses an idle one, or dials when
// the first call is made.
func (pool *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return pool.idle.Get(ctx, pool.peer(address), pool.dialPeer)
}

func (pool *Pool) peer(address string) peer {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return peer{address: address, generation: pool.generations[address]}
}

// Fresh dials a new connection. Use it when idle connections to the address may
// be unresponsive.
func (pool *Pool) Fresh(ctx context.Context, address string) (drpc.Conn, error) {
	return pool.dial(ctx, address)
}

// Discard closes the idle connections to an address and prevents the reuse of
// those in use.
func (pool *Pool) Discard(address string) {
	old := pool.peer(address)
	pool.mu.Lock()
	pool.generations[address] = old.generation + 1
	pool.mu.Unlock()
	for {
		conn, ok := pool.idle.Take(old)
		if !ok {
			return
		}
		// The connection is not used again, so an error of Close does not matter.
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
	// ErrConnect marks the errors of calls whose message was never sent because no
	// connection could be established.
	ErrConnect = errors.New("no connection")
	// ErrDialTimeout also marks those errors when the dial timed out.
	ErrDialTimeout = errors.New("no answer to a new connection")
)

func connectError(err error, address string) error {
	marked := errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrConnect)
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		return errors.Mark(marked, ErrDialTimeout)
	}
	return marked
}

func (pool *Pool) dialPeer(ctx context.Context, to peer) (drpcpool.Conn, error) {
	return pool.dial(ctx, to.address)
}

func (pool *Pool) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout.Duration(), KeepAlive: keepAliveIdle}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, connectError(err, address)
	}
	return drpcconn.NewWithOptions(&countedConn{Conn: conn, bytes: &pool.bytes}, drpcconn.Options{Manager: managerOptions()}), nil
}
