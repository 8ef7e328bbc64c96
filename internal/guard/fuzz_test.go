package guard_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hibiscuslug/hibiscuslug/internal/guard"
)

// FuzzServers sends legal and odd bytes to guarded servers of both kinds. It guards against
// a connection that ends a server, and against bytes that stay counted.
func FuzzServers(f *testing.F) {
	for _, text := range []string{
		request("/a", 3, "body"), request("/a", 3000, ""), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nA: b\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nhi",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length : 3\r\n\r\nhi",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Type: multipart/form-data; boundary=b\r\nContent-Length: 9\r\n\r\n--b\r\n\r\n\r\n",
	} {
		f.Add([]byte(text), 5)
	}
	settings := guard.Settings{Bytes: 8 << 20, Descriptors: 1000}
	servers := []*server{serveStandard(settings, newOptions("standard"), http.HandlerFunc(echo)), serveFast(settings, newOptions("fast"))}
	f.Cleanup(func() {
		for _, server := range servers {
			server.close()
		}
	})
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		for _, server := range servers {
			conn, err := net.Dial("tcp", server.address)
			if err != nil {
				t.Fatal(err)
			}
			for at, size := 0, max(piece, 1); at < len(text); at += size {
				// The server may have closed the connection.
				if _, err := conn.Write(text[at:min(at+size, len(text))]); err != nil {
					break
				}
			}
			if err := conn.(*net.TCPConn).CloseWrite(); err == nil {
				_ = conn.SetReadDeadline(time.Now().Add(limit))
				_, _ = io.Copy(io.Discard, conn)
			}
			_ = conn.Close()
			for end := time.Now().Add(limit); server.guard.Held() != 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d bytes stay counted", server.guard.Held())
				}
			}
		}
	})
}
