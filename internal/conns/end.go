package conns

import (
	"net"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// tcpCloseWait is the state of a TCP connection (RFC 9293) whose peer has closed its
	// side in order; after a reset the state is another.
	tcpCloseWait = 8
	// ackInterval is the pause between questions for unacknowledged bytes.
	ackInterval = clock.Millis(1)
)

// proveEnd returns an error unless the endpoint has closed the connection in order after it
// received the whole request. An endpoint that closes a connection with an unread request
// resets it. The reset can look like the end of the stream here: the kernel reports it once,
// and may have reported it to the goroutine that writes the request.
func (exchange *Exchange) proveEnd() error {
	exchange.writing.Wait()
	if !exchange.written.Load() {
		return errors.Newf("%s closed the connection while the request was written", exchange.conn.address)
	}
	for {
		pending, state, err := queryEnd(exchange.conn.Conn)
		switch {
		case err != nil:
			return errors.Wrapf(err, "connection to %s", exchange.conn.address)
		case state != tcpCloseWait:
			return errors.Newf("%s reset the connection (TCP state %d)", exchange.conn.address, state)
		case pending == 0:
			return nil
		}
		// Until the request is acknowledged, the endpoint may still reset the connection.
		if err := exchange.pool.clock.Sleep(exchange.ctx, ackInterval); err != nil {
			return err
		}
	}
}

// queryEnd returns the number of unacknowledged bytes of a connection and its TCP state. A
// system that does not tell one of them leaves it to the results of reads and writes.
func queryEnd(conn net.Conn) (pending int, state uint8, err error) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0, 0, err
	}
	state = tcpCloseWait
	err = raw.Control(func(fd uintptr) {
		if info, failure := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); failure == nil {
			state = info.State
		}
		if queued, failure := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); failure == nil {
			pending = queued
		}
	})
	return pending, state, err
}
