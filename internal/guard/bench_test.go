package guard_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/guard"
)

// BenchmarkRequest measures what the guard adds to an ordinary request on a kept
// connection: compare guarded with plain in one run.
func BenchmarkRequest(b *testing.B) {
	text := []byte(request("/ordinary", 10, string(make([]byte, 800))))
	plain := func(inner net.Listener) func() {
		standard := &http.Server{Handler: http.HandlerFunc(echo), ReadHeaderTimeout: limit}
		var running conc.WaitGroup
		running.Go(func() { _ = standard.Serve(inner) })
		return func() {
			_ = standard.Close()
			running.Wait()
		}
	}
	guarded := func(inner net.Listener) func() {
		return serveOn(inner, guard.Settings{Bytes: 64 << 20, Descriptors: 1000}, newOptions("callers"), http.HandlerFunc(echo)).close
	}
	for _, variant := range []struct {
		name  string
		serve func(net.Listener) func()
	}{{"plain", plain}, {"guarded", guarded}} {
		b.Run(variant.name, func(b *testing.B) {
			inner := listen()
			defer variant.serve(inner)()
			conn, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for b.Loop() {
				if _, err := conn.Write(text); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					b.Fatal(err)
				}
				_ = response.Body.Close()
			}
		})
	}
}
