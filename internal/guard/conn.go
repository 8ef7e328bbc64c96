package guard

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hibiscuslug/hibiscuslug/internal/frame"
)

const (
	// lineCost is what a server needs for one header line besides its bytes, and commaCost
	// what it needs for an element of a list, in bytes.
	lineCost  = 192
	commaCost = 64
	// byteCost is how often a server holds the bytes of a request.
	byteCost = 2
	// objectCost and valueCost are what decoding needs for an object and for any other
	// value of a JSON text, in bytes.
	objectCost = 256
	valueCost  = 48
	// minBuffer is the size of the first buffer of a request that arrives in parts, and
	// growth the factor by which it grows.
	minBuffer = 1 << 10
	growth    = 2
	// drainTime and drainBytes bound how much of a refused request is read, so that the
	// response is not lost by a reset.
	drainTime  = 500 * time.Millisecond
	drainBytes = 256 << 10
	// stallBytes is the number of bytes that are written under one deadline.
	stallBytes = 64 << 10
)

// conn is a connection whose requests are followed. It holds back a request until its
// header, or all of it, has arrived: until then it costs no more than its bytes.
type conn struct {
	net.Conn
	options Options
	account *Account

	// received is the number of bytes since the server last wrote, for clients that do not
	// use HTTP.
	received atomic.Int64

	// The fields below are used by the goroutine that reads.

	tracker frame.Tracker
	// begun is set from the first byte of a request to its end.
	begun bool
	// whole is set while the body is held back as well.
	whole bool
	// pending holds bytes that the server has not got yet. The first fed of them have been
	// followed, and the first ready of them may be passed on.
	pending    []byte
	fed, ready int
	// buffer is the number of bytes that count for pending.
	buffer int
	// body is the number of bytes of the current request's body that arrived, with the
	// number of objects and other values of a JSON text in it.
	body, objects, values int
	failure               error
	// endsAt is when the current request must have arrived.
	endsAt time.Time

	// mu guards the fields below. It is a leaf lock.
	mu sync.Mutex
	// wanted is the read deadline of the server and limit that of the request.
	wanted, limit time.Time
	// writesUntil is the write deadline. It is used by the goroutine that writes.
	writesUntil time.Time
}

func newConn(accepted net.Conn, options Options, account *Account) *conn {
	return &conn{Conn: accepted, options: options, account: account}
}

// Of returns the account of a connection of a guarded listener, or nil.
func Of(accepted net.Conn) *Account {
	if conn, ok := accepted.(*conn); ok {
		return conn.account
	}
	return nil
}

// Rest states that the server has answered a request and waits for the next one on a
// connection.
func Rest(accepted net.Conn) {
	conn, ok := accepted.(*conn)
	if !ok {
		return
	}
	conn.account.rest()
	switch {
	case conn.tracker.Phase() == frame.Unframed:
		conn.failure = io.EOF
	case conn.begun:
		conn.endsAt = conn.requestEnd()
		conn.limitReads(conn.endsAt)
	}
}

// Follow calls Rest for a server of net/http, as its ConnState.
func Follow(accepted net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		Rest(accepted)
	}
}

// FollowFast calls Rest for a server of fasthttp, as its ConnState.
func FollowFast(accepted net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateIdle {
		Rest(accepted)
	}
}

// Close closes the connection.
func (conn *conn) Close() error {
	conn.account.end()
	return conn.Conn.Close()
}

// CloseWrite closes the connection in the direction to the client.
func (conn *conn) CloseWrite() error {
	if half, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Read passes on the next bytes of a request.
func (conn *conn) Read(into []byte) (int, error) {
	if conn.options.HeadLimit == nil {
		return conn.readMessage(into)
	}
	for {
		switch {
		case len(into) == 0:
			return 0, nil
		case conn.ready > 0:
			return conn.pass(into), nil
		case conn.failure != nil:
			return 0, conn.failure
		case conn.account.isRunning():
			return conn.readAhead(into)
		case conn.fed < len(conn.pending):
			conn.ready, conn.fed = conn.follow(conn.pending, conn.fed)
		case len(conn.pending) > 0:
			conn.limitReads(conn.endsAt)
			conn.receive()
		default:
			if size, err := conn.readDirectly(into); size > 0 || err != nil {
				return size, err
			}
		}
	}
}

// readMessage reads from a client that does not use HTTP. What it sends counts until the
// server writes to it, which shows that the message was complete.
func (conn *conn) readMessage(into []byte) (int, error) {
	size, err := conn.Conn.Read(into)
	if size == 0 {
		return 0, err
	}
	conn.account.progress()
	if !conn.account.SetRequest(conn.received.Add(int64(size)) * byteCost) {
		return 0, io.EOF
	}
	return size, err
}

// pass copies bytes that may be passed on.
func (conn *conn) pass(into []byte) int {
	size := copy(into, conn.pending[:conn.ready])
	conn.pending = conn.pending[size:]
	conn.ready -= size
	conn.fed -= size
	if len(conn.pending) == 0 {
		conn.account.Give(int64(conn.buffer))
		conn.pending, conn.buffer = nil, 0
	}
	return size
}

// readAhead reads the first byte of the next request while one is processed. Servers do so
// to notice that a client disconnects.
func (conn *conn) readAhead(into []byte) (int, error) {
	size := 1
	if len(conn.pending) > 0 {
		conn.ready = 1
		size = conn.pass(into[:1])
	} else if read, err := conn.Conn.Read(into[:1]); read == 0 {
		return 0, err
	}
	conn.begin()
	conn.tracker.Feed(into[:size])
	conn.fed = 0
	return size, nil
}

// begin begins a request.
func (conn *conn) begin() {
	if conn.begun {
		return
	}
	conn.begun, conn.whole, conn.body, conn.objects, conn.values = true, false, 0, 0, 0
	conn.tracker.Begin()
	conn.account.progress()
}

// readDirectly reads into the buffer of the server, which most requests fit into. It
// returns the number of bytes that may be passed on.
func (conn *conn) readDirectly(into []byte) (int, error) {
	size, err := conn.Conn.Read(into)
	if size == 0 {
		return 0, err
	}
	// An error that came with bytes comes again at the next read.
	ready, fed := conn.follow(into[:size], 0)
	if ready < size && conn.failure == nil {
		conn.store(into[ready:size], fed-ready)
	}
	return ready, nil
}

// store keeps bytes that may not be passed on yet, the first fed of which were followed.
func (conn *conn) store(data []byte, fed int) {
	switch {
	case conn.grow(len(data)):
		conn.pending, conn.fed = append(conn.pending, data...), fed
	case conn.account.isRunning():
		// The request that runs is answered.
		conn.failure = io.EOF
	default:
		conn.failure = conn.refuse(http.StatusServiceUnavailable)
	}
}

// receive reads more of a request that is held back.
func (conn *conn) receive() {
	if len(conn.pending) == cap(conn.pending) && !conn.grow(1) {
		conn.failure = conn.refuse(http.StatusServiceUnavailable)
		return
	}
	size, err := conn.Conn.Read(conn.pending[len(conn.pending):cap(conn.pending)])
	conn.pending = conn.pending[:len(conn.pending)+size]
	if err == nil {
		return
	}
	conn.failure = err
	if conn.options.ServerRefuses && !errors.Is(err, net.ErrClosed) {
		// The server responds to the part that arrived.
		conn.ready, conn.fed = len(conn.pending), len(conn.pending)
	}
}

// grow makes room for more pending bytes and reports whether they may be held.
func (conn *conn) grow(more int) bool {
	size := max(len(conn.pending)+more, min(cap(conn.pending)*growth, conn.expected()), minBuffer)
	if !conn.account.Take(int64(size)) {
		return false
	}
	pending := make([]byte, len(conn.pending), size)
	copy(pending, conn.pending)
	conn.account.Give(int64(conn.buffer))
	conn.pending, conn.buffer = pending, size
	return true
}

// expected returns the largest number of bytes that are held back of the current request.
func (conn *conn) expected() int {
	if conn.whole {
		return conn.tracker.Head().Bytes + int(conn.tracker.Length())
	}
	return conn.options.HeadLimit() + 1
}

// follow follows bytes from the first that was not. It returns how many of them may be
// passed on, and how many were followed.
func (conn *conn) follow(data []byte, fed int) (ready, followed int) {
	for fed < len(data) {
		conn.start()
		phase := conn.tracker.Phase()
		used, ended := conn.tracker.Feed(data[fed:])
		fed += used
		if phase == frame.Head && !conn.endsHead(ended) || phase != frame.Head && !conn.takeBody(data[fed-used:fed]) {
			return ready, fed
		}
		if ended {
			if !conn.finish() {
				return 0, fed
			}
			return fed, fed
		}
		if !conn.whole {
			ready = fed
		}
	}
	return ready, fed
}

// start begins a request and the time in which it must arrive.
func (conn *conn) start() {
	if conn.begun {
		return
	}
	conn.begin()
	conn.endsAt = conn.requestEnd()
}

// requestEnd returns when a request that begins now must have arrived; zero for any time.
func (conn *conn) requestEnd() time.Time {
	if conn.options.HeadTime <= 0 {
		return time.Time{}
	}
	return time.Now().Add(conn.options.HeadTime.Duration())
}

// endsHead reports whether the server may get the header.
func (conn *conn) endsHead(ended bool) bool {
	if conn.tracker.Head().Bytes > conn.options.HeadLimit() {
		if conn.options.ServerRefuses {
			return true
		}
		conn.failure = conn.refuse(http.StatusRequestHeaderFieldsTooLarge)
		return false
	}
	if !ended && conn.tracker.Phase() == frame.Head {
		return false
	}
	if !conn.account.SetRequest(conn.cost()) {
		conn.failure = conn.refuse(http.StatusServiceUnavailable)
		return false
	}
	length := conn.tracker.Length()
	conn.whole = !ended && conn.tracker.Phase() == frame.Body && length > 0 && length <= int64(conn.options.WholeBody) && !conn.tracker.Expects()
	if !conn.whole {
		conn.limitReads(time.Time{})
	}
	return true
}

// takeBody counts a piece of a body that the server stores, and reports whether it may be
// held.
func (conn *conn) takeBody(piece []byte) bool {
	conn.body += len(piece)
	if conn.options.Decoded {
		conn.objects += bytes.Count(piece, []byte{'{'})
		conn.values += bytes.Count(piece, []byte{','})
	}
	if conn.options.WholeBody == 0 || conn.whole || conn.account.SetRequest(conn.cost()) {
		return true
	}
	conn.failure = conn.refuse(http.StatusServiceUnavailable)
	return false
}

// finish counts a request that has arrived completely, and reports whether the server may
// get it.
func (conn *conn) finish() bool {
	conn.begun = false
	conn.limitReads(time.Time{})
	if !conn.takeEnd() || !conn.account.Run() {
		conn.failure = conn.refuse(http.StatusServiceUnavailable)
		return false
	}
	return true
}

// takeEnd counts what the server parses at the end of the request.
func (conn *conn) takeEnd() bool {
	switch trailer := conn.tracker.Trailer(); {
	case conn.whole:
		return conn.account.SetRequest(conn.cost())
	case trailer.Lines > 1:
		// Without a trailer there is only the empty line. The server may have stated what it
		// keeps of the header, so the trailer is added to that.
		return conn.account.addRequest(parseCost(trailer))
	}
	return true
}

// cost returns what the server needs for the current request so far, in bytes.
func (conn *conn) cost() int64 {
	head, body := conn.tracker.Head(), int64(0)
	if conn.options.WholeBody > 0 {
		if body = int64(conn.body); conn.tracker.Expects() {
			// The server makes room for the length that was announced.
			body = max(body, min(conn.tracker.Length(), int64(conn.options.WholeBody)))
		}
	}
	return parseCost(head) + body*byteCost + int64(conn.objects)*objectCost + int64(conn.values)*valueCost
}

// parseCost returns what a server needs for a header or trailer.
func parseCost(size frame.Size) int64 {
	return int64(size.Bytes)*byteCost + int64(size.Lines)*lineCost + int64(size.Commas)*commaCost
}

// refuse responds to a request that the server does not get to see, which has not run. It
// returns the error that ends the connection.
func (conn *conn) refuse(status int) error {
	response := plainResponse
	if conn.options.Respond != nil {
		response = conn.options.Respond
	}
	// The client may have disconnected, and is then told nothing.
	_ = conn.Conn.SetDeadline(time.Now().Add(drainTime))
	if _, err := conn.Conn.Write(response(status)); err == nil && conn.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, conn.Conn, drainBytes)
	}
	return io.EOF
}

func plainResponse(status int) []byte {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry)
}

// limitReads sets the time at which the current request must have arrived; zero for none.
func (conn *conn) limitReads(at time.Time) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if at.Equal(conn.limit) {
		return
	}
	conn.limit = at
	// The next read reports an error of the connection.
	_ = conn.Conn.SetReadDeadline(conn.deadline())
}

// deadline returns the read deadline in force. The caller holds mu.
func (conn *conn) deadline() time.Time {
	if conn.wanted.IsZero() || !conn.limit.IsZero() && conn.limit.Before(conn.wanted) {
		return conn.limit
	}
	return conn.wanted
}

// SetReadDeadline sets the deadline of the server.
func (conn *conn) SetReadDeadline(at time.Time) error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.wanted = at
	return conn.Conn.SetReadDeadline(conn.deadline())
}

// SetDeadline sets the deadlines of the server.
func (conn *conn) SetDeadline(at time.Time) error {
	conn.writesUntil = at
	return errors.CombineErrors(conn.SetReadDeadline(at), conn.SetWriteDeadline(at))
}

// Write sends a response. It fails once the client has read nothing for the time that the
// listener allows.
func (conn *conn) Write(data []byte) (int, error) {
	if conn.options.HeadLimit == nil && conn.received.Swap(0) > 0 {
		conn.account.rest()
	}
	if conn.options.WriteStall <= 0 {
		return conn.Conn.Write(data)
	}
	written := 0
	for {
		if err := conn.extendWrites(); err != nil {
			return written, err
		}
		size, err := conn.Conn.Write(data[written:min(written+stallBytes, len(data))])
		written += size
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// extendWrites sets a write deadline that lies between one and one and a half times the
// time that the listener allows ahead, so that not every write has to move it.
func (conn *conn) extendWrites() error {
	stall, now := conn.options.WriteStall.Duration(), time.Now()
	if conn.writesUntil.After(now.Add(stall)) {
		return nil
	}
	conn.writesUntil = now.Add(stall + stall/2)
	return conn.SetWriteDeadline(conn.writesUntil)
}
