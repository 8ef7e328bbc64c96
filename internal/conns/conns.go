// Package conns keeps HTTP/1.1 connections to endpoints and runs one request at
// a time on each.
package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// dialLimit bounds a new connection; an endpoint's takes a few milliseconds.
	dialLimit = 600 * clock.Millis(1)
	// userTimeout ends connections whose bytes are not acknowledged, in ms.
	userTimeout = 2000
	// keepAlive probes find connections that went silent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idleMargin is kept to the time after which an endpoint closes an idle
	// connection, so that no request crosses the close.
	idleMargin = clock.Second
	// defaultIdle is how long a connection is kept when the endpoint does not say.
	defaultIdle = 4 * clock.Second
	// idlePerAddress bounds idle connections to one endpoint.
	idlePerAddress = 8
	bufferSize     = 4 << 10
	// inlineBody is the largest body that is written before the answer is
	// read; it fits into the windows of a new connection.
	inlineBody = 16 << 10
)

// ErrNotSent marks requests of which no byte reached an endpoint.
var ErrNotSent = errors.New("no connection to the endpoint")

// ErrStale marks requests that failed on a kept connection before any byte of
// an answer; the endpoint may have closed it while it was idle.
var ErrStale = errors.New("kept connection failed")

type idleConn struct {
	conn  *conn
	until clock.Millis
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	kept    bool
}

// Pool holds idle connections by address.
type Pool struct {
	clock *clock.Clock

	// mu guards the fields below. It is a leaf lock.
	mu     sync.Mutex
	idle   map[string][]idleConn
	closed bool
	dialed uint64
}

// New returns an empty pool.
func New(ticker *clock.Clock) *Pool { return &Pool{clock: ticker, idle: map[string][]idleConn{}} }

// Dialed returns the number of connections made since the start.
func (pool *Pool) Dialed() uint64 {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.dialed
}

// Close closes all idle connections; those in use are closed by their exchange.
func (pool *Pool) Close() {
	pool.mu.Lock()
	lists := pool.idle
	pool.idle, pool.closed = nil, true
	pool.mu.Unlock()
	for _, list := range lists {
		for _, kept := range list {
			drop(kept.conn)
		}
	}
}

// drop closes a connection that is given up in any case. Bytes that have not
// arrived yet are discarded: a request that is on its way would otherwise
// reach the endpoint after its caller has left.
func drop(conn *conn) {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		// Without the option the close is an ordinary one.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (pool *Pool) take(address string) *conn {
	for {
		pool.mu.Lock()
		list := pool.idle[address]
		if len(list) == 0 {
			pool.mu.Unlock()
			return nil
		}
		kept := list[len(list)-1]
		pool.idle[address] = list[:len(list)-1]
		pool.mu.Unlock()
		if pool.clock.Now() < kept.until && quiet(kept.conn) {
			return kept.conn
		}
		drop(kept.conn)
	}
}

// quiet tells whether a connection is open and holds no bytes that nobody asked for.
func quiet(conn *conn) bool {
	raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

func (pool *Pool) put(conn *conn, keep clock.Millis) {
	if keep == 0 {
		keep = defaultIdle
	}
	keep -= idleMargin
	pool.mu.Lock()
	if pool.closed || keep <= 0 || len(pool.idle[conn.address]) >= idlePerAddress {
		pool.mu.Unlock()
		drop(conn)
		return
	}
	conn.kept = true
	pool.idle[conn.address] = append(pool.idle[conn.address], idleConn{conn: conn, until: pool.clock.Now() + keep})
	pool.mu.Unlock()
}

func (pool *Pool) dial(ctx context.Context, address string) (*conn, error) {
	pool.mu.Lock()
	pool.dialed++
	pool.mu.Unlock()
	dialer := net.Dialer{Timeout: dialLimit.Duration(), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrNotSent)
	}
	if err := setUserTimeout(opened); err != nil {
		return nil, errors.CombineErrors(errors.Mark(err, ErrNotSent), opened.Close())
	}
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, bufferSize), address: address}, nil
}

func setUserTimeout(opened net.Conn) error {
	raw, err := opened.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout)
	})
	return errors.CombineErrors(err, failure)
}

// Request is what is sent on a connection.
type Request struct {
	Address string
	Method  string
	Head    []byte
	Body    []byte
	// Fresh asks for a new connection, so that a failure cannot be that of a
	// connection which the endpoint had closed.
	Fresh bool
	// Mine tells whether an answer is that of the request; others are skipped.
	Mine func(http.Header) bool
}

// Exchange is a request whose answer has begun.
type Exchange struct {
	Response *http.Response

	pool *Pool
	conn *conn
	stop func() bool
	once sync.Once
	// writing is the write of a long body; written is set once all is written.
	writing conc.WaitGroup
	written atomic.Bool
}

// Do sends a request and reads the head of its answer. When the context ends,
// the connection is closed, so that the endpoint stops its work.
func (pool *Pool) Do(ctx context.Context, request Request) (*Exchange, error) {
	var used *conn
	if !request.Fresh {
		used = pool.take(request.Address)
	}
	if used == nil {
		dialed, err := pool.dial(ctx, request.Address)
		if err != nil {
			return nil, err
		}
		used = dialed
	}
	exchange := &Exchange{pool: pool, conn: used, stop: context.AfterFunc(ctx, func() { drop(used) })}
	if err := exchange.begin(request); err != nil {
		exchange.stop()
		drop(used)
		exchange.writing.Wait()
		return nil, err
	}
	return exchange, nil
}

func (exchange *Exchange) begin(request Request) error {
	conn := exchange.conn
	if len(request.Body) <= inlineBody {
		if _, err := conn.Write(append(request.Head, request.Body...)); err != nil {
			return exchange.stale(err)
		}
		exchange.written.Store(true)
	} else {
		// An endpoint may answer before it has read all of a long body.
		exchange.writing.Go(func() {
			_, err := conn.Write(append(request.Head, request.Body...))
			exchange.written.Store(err == nil)
		})
	}
	if _, err := conn.reader.Peek(1); err != nil {
		return exchange.stale(err)
	}
	for {
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return errors.Wrapf(err, "answer of %s", conn.address)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.Mine(response.Header) {
			exchange.Response = response
			return nil
		}
		// An answer to an earlier request; the right one follows it.
		_, err = io.Copy(io.Discard, response.Body)
		if err := errors.CombineErrors(err, response.Body.Close()); err != nil || response.Close {
			return errors.Newf("answer of %s belongs to another request", conn.address)
		}
	}
}

func (exchange *Exchange) stale(err error) error {
	err = errors.Wrapf(err, "no answer of %s", exchange.conn.address)
	if exchange.conn.kept {
		return errors.Mark(err, ErrStale)
	}
	return err
}

// Close ends the exchange. The connection is kept for another request when the
// answer was read to its end and both sides can tell where it ended.
func (exchange *Exchange) Close(whole bool, keep clock.Millis) {
	exchange.once.Do(func() {
		kept := exchange.stop() && whole && exchange.reusable()
		if !kept {
			drop(exchange.conn)
		}
		exchange.writing.Wait()
		if kept {
			exchange.pool.put(exchange.conn, keep)
		}
	})
}

// reusable tells whether the connection stands between two requests. An
// endpoint that answered early may still wait for the rest of the body.
func (exchange *Exchange) reusable() bool {
	response := exchange.Response
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return framed && !response.Close && exchange.written.Load() && exchange.conn.reader.Buffered() == 0
}
