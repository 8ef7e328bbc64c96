package conns

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Guards against a 502 for a request whose write failed before any byte was accepted. The
// connection is open for reading only, so that the check before the write passes.
var _ = DescribeTable("marks a request as not sent when its write accepted no byte",
	func(reused bool, size int) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		pool := New(clock.NewSystem())
		DeferCleanup(pool.Close)
		opened, err := pool.dial(context.Background(), listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(opened.Conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		pool.put(opened, 0)
		opened.reused = reused
		// Left from the request before on the same connection.
		opened.accepted = 1
		_, err = pool.Do(context.Background(), Request{ //nolint:bodyclose // There is no response.
			Address: listener.Addr().String(), Method: http.MethodPost, Head: []byte("POST / HTTP/1.1\r\n\r\n"), Body: make([]byte, size),
			Owner: func(http.Header) Owner { return Own },
		})
		Expect(errors.Is(err, ErrNotSent)).To(BeTrue(), "%v", err)
		Expect(errors.Is(err, ErrStale)).To(Equal(reused))
		Expect(pool.Dialed()).To(BeEquivalentTo(1))
	},
	Entry("new connection", false, 1),
	Entry("reused connection", true, 1),
)
