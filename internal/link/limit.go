package link

import (
	"net"
	"time"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// WithWriteLimit returns a listener whose connections fail a write when the peer
// reads nothing for the given time. The time counts from the latest progress, so
// that a long response is not cut off.
func WithWriteLimit(listener net.Listener, limit clock.Millis) net.Listener {
	return limitedListener{Listener: listener, limit: limit.Duration()}
}

type limitedListener struct {
	net.Listener
	limit time.Duration
}

// Accept returns the next connection.
func (listener limitedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return limitedConn{Conn: conn, limit: listener.limit}, nil
}

type limitedConn struct {
	net.Conn
	limit time.Duration
}

// maxWriteBytes limits the bytes written under one deadline.
const maxWriteBytes = 64 << 10

// Write writes data in chunks, each with its own deadline.
func (conn limitedConn) Write(data []byte) (int, error) {
	written := 0
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(conn.limit)); err != nil {
			return written, err
		}
		chunk := data[written:min(written+maxWriteBytes, len(data))]
		count, err := conn.Conn.Write(chunk)
		written += count
		if err != nil || written == len(data) {
			return written, err
		}
	}
}
