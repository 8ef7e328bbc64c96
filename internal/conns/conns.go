// Package conns pools HTTP/1.1 connections to endpoints. Each connection serves one
// request at a time.
package conns

import (
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

	"github.com/hibiscuslug/hibiscuslug/internal/answer"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// dialTimeout bounds the time to connect; an endpoint normally takes a few
	// milliseconds.
	dialTimeout = 600 * clock.Millis(1)
	// userTimeoutMillis is TCP_USER_TIMEOUT, after which the kernel closes a connection
	// with unacknowledged data.
	userTimeoutMillis = 2000
	// TCP keep-alive probes detect connections whose peer no longer responds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idleMargin is subtracted from the endpoint's idle timeout, so that no request is
	// sent while the endpoint closes the connection.
	idleMargin = clock.Second
	// defaultIdle is the idle timeout assumed for an endpoint that states none.
	defaultIdle = 4 * clock.Second
	// defaultMaxIdle is the default of Pool.WithMaxIdle.
	defaultMaxIdle = 8
	// maxInlineBody is the largest body, in bytes, that is written before the response
	// is read; it fits into the TCP windows of a new connection.
	maxInlineBody = 16 << 10
)

// ErrNotSent marks errors of requests of which no byte was handed to the kernel: no
// connection could be established, the request was no longer allowed, the endpoint had
// closed the connection before the request was written, or the write failed before any
// byte was accepted. Once a byte was accepted, no error proves that the request did not
// arrive: a reset or a missing acknowledgment may follow a request that was read.
var ErrNotSent = errors.New("no connection to the endpoint")

// ErrExpired marks errors of requests that were not sent because their time had passed
// when the connection was open. They are also marked as ErrNotSent.
var ErrExpired = errors.New("request expired")

// ErrStale marks errors of requests that failed on a reused connection before any byte
// of a response arrived; the endpoint may have closed the connection while it was idle.
// They are also marked as ErrNotSent if no byte of the request was sent.
var ErrStale = errors.New("reused connection failed")

type idleConn struct {
	conn      *conn
	expiresAt clock.Millis
}

type conn struct {
	net.Conn
	reader  *answer.Reader
	address string
	// exchange is the current one.
	exchange *Exchange
	// accepted is the number of bytes of the current request that the kernel accepted.
	accepted int
	// reused is set once the connection was returned to the pool.
	reused bool
}

// Pool holds idle connections by address.
type Pool struct {
	clock   *clock.Clock
	maxIdle int

	// mu guards the fields below. It is a leaf lock.
	mu     sync.Mutex
	idle   map[string][]idleConn
	closed bool
	dialed uint64
}

// New returns an empty pool.
func New(ticker *clock.Clock) *Pool {
	return &Pool{clock: ticker, maxIdle: defaultMaxIdle, idle: map[string][]idleConn{}}
}

// WithMaxIdle sets the maximum number of idle connections to one endpoint, before the
// first use of the pool.
func (pool *Pool) WithMaxIdle(count int) *Pool {
	pool.maxIdle = count
	return pool
}

// Dialed returns the number of connection attempts since the start.
func (pool *Pool) Dialed() uint64 {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.dialed
}

// Close closes all idle connections; those in use are closed by their exchange.
func (pool *Pool) Close() {
	pool.mu.Lock()
	pool.closed = true
	pool.mu.Unlock()
	pool.CloseIdle()
}

// CloseIdle closes the idle connections; the pool stays in use.
func (pool *Pool) CloseIdle() {
	pool.mu.Lock()
	lists := pool.idle
	pool.idle = map[string][]idleConn{}
	pool.mu.Unlock()
	for _, list := range lists {
		for _, idle := range list {
			abort(idle.conn)
		}
	}
}

// abort closes a connection with a reset. Bytes that are not yet delivered are
// discarded: otherwise, a request still in the send buffer would reach the endpoint
// after its caller has disconnected.
func abort(conn *conn) {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		// If the option cannot be set, the connection is closed gracefully instead.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (pool *Pool) takeIdle(address string) *conn {
	for {
		pool.mu.Lock()
		list := pool.idle[address]
		if len(list) == 0 {
			pool.mu.Unlock()
			return nil
		}
		candidate := list[len(list)-1]
		pool.idle[address] = list[:len(list)-1]
		pool.mu.Unlock()
		if pool.clock.Now() < candidate.expiresAt && isIdle(candidate.conn) {
			return candidate.conn
		}
		abort(candidate.conn)
	}
}

// isIdle reports whether a connection is open and has received no unexpected bytes.
func isIdle(conn *conn) bool {
	size, err := peek(conn)
	return err == nil && size == 0
}

// peek returns how many of the next received bytes there are, up to one. It returns an
// error, which is io.EOF after a graceful close, if the endpoint has closed the
// connection.
func peek(conn *conn) (int, error) {
	raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0, err
	}
	var size int
	var failure error
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		size, _, failure = unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(failure, unix.EAGAIN):
		return 0, nil
	case failure != nil:
		return 0, failure
	case size == 0:
		return 0, io.EOF
	}
	return size, nil
}

// send writes a request and records how many of its bytes were accepted.
func (conn *conn) send(request Request) error {
	// The body is not copied, so that a gateway holds it once.
	parts := net.Buffers{request.Head, request.Body}
	size, err := parts.WriteTo(conn.Conn)
	conn.accepted = int(size)
	return err
}

func (pool *Pool) put(conn *conn, idleTimeout clock.Millis) {
	if idleTimeout == 0 {
		idleTimeout = defaultIdle
	}
	lifetime := idleTimeout - idleMargin
	pool.mu.Lock()
	if pool.closed || lifetime <= 0 || len(pool.idle[conn.address]) >= pool.maxIdle {
		pool.mu.Unlock()
		abort(conn)
		return
	}
	conn.reused = true
	pool.idle[conn.address] = append(pool.idle[conn.address], idleConn{conn: conn, expiresAt: pool.clock.Now() + lifetime})
	pool.mu.Unlock()
}

func (pool *Pool) dial(ctx context.Context, address string) (*conn, error) {
	pool.mu.Lock()
	pool.dialed++
	pool.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout.Duration(), KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrNotSent)
	}
	if err := setUserTimeout(opened); err != nil {
		return nil, errors.CombineErrors(errors.Mark(err, ErrNotSent), opened.Close())
	}
	made := &conn{Conn: opened, address: address}
	made.reader = answer.NewReader(opened, func() error { return made.exchange.proveEnd() })
	return made, nil
}

// Reach opens a connection to an endpoint and closes it again.
func (pool *Pool) Reach(ctx context.Context, address string) error {
	opened, err := pool.dial(ctx, address)
	if err != nil {
		return err
	}
	abort(opened)
	return nil
}

func setUserTimeout(opened net.Conn) error {
	raw, err := opened.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis)
	})
	return errors.CombineErrors(err, failure)
}

// Owner tells to which request a response belongs.
type Owner int

// Owners of a response.
const (
	// Own is the request that was sent.
	Own Owner = iota
	// Other is another request.
	Other
	// Unnamed responses name no request. On a reused connection they may be late ones to
	// earlier requests, and say nothing about the request that was sent.
	Unnamed
)

// Request is an HTTP request to an endpoint.
type Request struct {
	Address string
	Method  string
	// Head is the encoded request line and header.
	Head []byte
	Body []byte
	// Fresh requires a new connection, so that the request cannot fail because the
	// endpoint closed an idle one.
	Fresh bool
	// ExpiresAt is the time from which on the request must not be sent; zero for none.
	ExpiresAt clock.Millis
	// Owner tells whose response a header begins. Responses to other requests are skipped.
	Owner func(http.Header) Owner
	// Allowed is called once there is a connection, right before the request is written.
	// The request is not sent if it returns an error; nil allows all.
	Allowed func() error
}

// Exchange is a request and its response, whose header was received.
type Exchange struct {
	Response *http.Response

	ctx  context.Context
	pool *Pool
	conn *conn
	stop func() bool
	once sync.Once
	// writing is the goroutine that writes a large body; written is set once the
	// complete request was written.
	writing conc.WaitGroup
	written atomic.Bool
}

// Do sends a request and reads the header of its response. When the context ends,
// the connection is closed, so that the endpoint stops processing the request.
func (pool *Pool) Do(ctx context.Context, request Request) (*Exchange, error) {
	var used *conn
	if !request.Fresh {
		used = pool.takeIdle(request.Address)
	}
	if used == nil {
		dialed, err := pool.dial(ctx, request.Address)
		if err != nil {
			return nil, err
		}
		used = dialed
	}
	if request.ExpiresAt > 0 && pool.clock.Now() > request.ExpiresAt {
		abort(used)
		return nil, errors.Mark(errors.Mark(errors.Newf("connection to %s was open too late", request.Address), ErrExpired), ErrNotSent)
	}
	if request.Allowed != nil {
		if err := request.Allowed(); err != nil {
			abort(used)
			return nil, errors.Mark(err, ErrNotSent)
		}
	}
	exchange := &Exchange{ctx: ctx, pool: pool, conn: used, stop: context.AfterFunc(ctx, func() { abort(used) })}
	used.exchange = exchange
	if err := exchange.begin(request); err != nil {
		exchange.stop()
		abort(used)
		// The bytes accepted are known only after the goroutine that writes them has ended.
		exchange.writing.Wait()
		if used.accepted == 0 {
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, err
	}
	return exchange, nil
}

func (exchange *Exchange) begin(request Request) error {
	conn := exchange.conn
	conn.accepted = 0
	// After a graceful close, the kernel would accept bytes, and the reset that follows
	// does not prove that the endpoint ignored them.
	if _, err := peek(conn); err != nil {
		return exchange.noResponse(err)
	}
	if len(request.Body) <= maxInlineBody {
		if err := conn.send(request); err != nil {
			return exchange.noResponse(err)
		}
		exchange.written.Store(true)
	} else {
		// The endpoint may respond before it has read the complete body.
		exchange.writing.Go(func() {
			exchange.written.Store(conn.send(request) == nil)
		})
	}
	if err := conn.reader.Expect(); err != nil {
		return exchange.noResponse(err)
	}
	for {
		response, err := conn.reader.Next(request.Method)
		if err != nil {
			return errors.Wrapf(err, "read response header of %s", conn.address)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		owner := request.Owner(response.Header)
		if owner == Unnamed && conn.reused {
			// The body is not read: it may go on without end, and the connection is closed.
			return errors.Newf("response of %s on a reused connection names no request", conn.address)
		}
		if owner != Other {
			conn.reader.Accept()
			exchange.Response = response
			return nil
		}
		// The response belongs to an earlier request; the matching one follows.
		_, err = io.Copy(io.Discard, response.Body)
		if err := errors.CombineErrors(err, response.Body.Close()); err != nil {
			return errors.Wrapf(err, "response of %s belongs to another request", conn.address)
		}
		if response.Close {
			return errors.Newf("response of %s belongs to another request and none follows", conn.address)
		}
	}
}

// noResponse wraps an error that occurred before any byte of a response arrived. It
// marks the error as ErrStale on a reused connection.
func (exchange *Exchange) noResponse(err error) error {
	err = errors.Wrapf(err, "no response of %s", exchange.conn.address)
	if exchange.conn.reused {
		return errors.Mark(err, ErrStale)
	}
	return err
}

// Close ends the exchange. The connection returns to the pool for the endpoint's idle
// timeout (0 if unknown) when the response was read to its end and the connection is
// reusable.
func (exchange *Exchange) Close(complete bool, idleTimeout clock.Millis) {
	exchange.once.Do(func() {
		reuse := exchange.stop() && complete && exchange.reusable()
		if !reuse {
			abort(exchange.conn)
		}
		exchange.writing.Wait()
		if reuse {
			exchange.pool.put(exchange.conn, idleTimeout)
		}
	})
}

// reusable reports whether another request can be sent on the connection. After an
// early response, the endpoint may still expect the rest of the request body.
func (exchange *Exchange) reusable() bool {
	response := exchange.Response
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return framed && !response.Close && exchange.written.Load() && exchange.conn.reader.Buffered() == 0
}
