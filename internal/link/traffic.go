package link

import (
	"net"
	"sync/atomic"
)

// traffic counts the bytes of many connections.
type traffic struct {
	in, out atomic.Int64
}

func (bytes *traffic) total() (in, out int64) { return bytes.in.Load(), bytes.out.Load() }

type countedConn struct {
	net.Conn
	bytes *traffic
}

// Read counts the bytes received.
func (conn *countedConn) Read(buf []byte) (int, error) {
	count, err := conn.Conn.Read(buf)
	conn.bytes.in.Add(int64(count))
	return count, err
}

// Write counts the bytes sent.
func (conn *countedConn) Write(buf []byte) (int, error) {
	count, err := conn.Conn.Write(buf)
	conn.bytes.out.Add(int64(count))
	return count, err
}

type countedListener struct {
	net.Listener
	bytes *traffic
}

// Accept returns a counted connection.
func (listener *countedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, bytes: listener.bytes}, nil
}
