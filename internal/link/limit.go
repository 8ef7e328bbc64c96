package link

import (
	"net"
	"time"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// WithWriteLimit returns a listener whose connections fail when their peer
// takes nothing for a while. The limit counts from the latest progress, so that
// a long answer is not cut off.
func WithWriteLimit(listener net.Listener, limit clock.Millis) net.Listener {
	return limited{Listener: listener, limit: limit.Duration()}
}

type limited struct {
	net.Listener
	limit time.Duration
}

// Accept returns the next connection.
func (listener limited) Accept() (net.Conn, error) {
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

// writePiece bounds what is written under one deadline.
const writePiece = 64 << 10

// Write writes piece by piece, each under its own deadline.
func (conn limitedConn) Write(data []byte) (int, error) {
	written := 0
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(conn.limit)); err != nil {
			return written, err
		}
		piece := data[written:min(written+writePiece, len(data))]
		count, err := conn.Conn.Write(piece)
		written += count
		if err != nil || written == len(data) {
			return written, err
		}
	}
}
