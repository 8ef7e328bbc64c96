package conns_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/conns"
	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestConns(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Conns")
}

const (
	limit  = 30 * time.Second
	answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

func pool() *conns.Pool {
	made := conns.New(clock.NewSystem())
	DeferCleanup(made.Close)
	return made
}

// ask sends one request and reads its answer to the end.
func ask(pool *conns.Pool, address string, body []byte) (string, error) {
	exchange, err := pool.Do(context.Background(), conns.Request{
		Address: address, Method: http.MethodPost, Body: body,
		Head: fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body)),
		Mine: func(http.Header) bool { return true },
	})
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(exchange.Response.Body)
	exchange.Close(err == nil, 0)
	return string(text), err
}

func back(steps ...fake.Step) string {
	made, err := fake.NewBack("Id", steps, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(made.Close)
	return made.Addresses()[0]
}

var _ = DescribeTable("keeps a connection only where the next request can use it",
	func(step fake.Step, dialed int) {
		pool, address := pool(), back(step)
		for range 3 {
			text, err := ask(pool, address, []byte("b"))
			Expect(err).NotTo(HaveOccurred())
			Expect(text).To(Equal("ok"))
			// The endpoint's end of the connection, if there is one, arrives meanwhile.
			time.Sleep(50 * time.Millisecond)
		}
		Expect(pool.Dialed()).To(BeEquivalentTo(dialed))
	},
	Entry("a calm endpoint", fake.Step{Text: answer}, 1),
	Entry("an endpoint that closes without notice", fake.Step{Text: answer, Then: "close"}, 3),
	Entry("an endpoint that resets without notice", fake.Step{Text: answer, Then: "reset"}, 3),
	Entry("an endpoint that says that it will close", fake.Step{Text: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"}, 3),
	Entry("bytes behind the answer", fake.Step{Text: answer + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"}, 3),
	Entry("an answer that ends with its connection", fake.Step{Text: "HTTP/1.1 200 OK\r\n\r\nok", Then: "close"}, 3),
)

var _ = It("tells a request that was never sent from one that may have run", func() {
	pool := pool()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(listener.Close()).To(Succeed())
	_, err = ask(pool, listener.Addr().String(), nil)
	Expect(errors.Is(err, conns.ErrNotSent)).To(BeTrue())
	_, err = ask(pool, back(fake.Step{Then: "reset"}), []byte("b"))
	Expect(err).To(HaveOccurred())
	Expect(errors.Is(err, conns.ErrNotSent)).To(BeFalse())
})

// Guards against an endpoint that answers before it has read a long body and
// takes other bytes for the rest of it.
var _ = It("takes an early answer and does not use the connection again", func() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var serving conc.WaitGroup
	DeferCleanup(func() { Expect(listener.Close()).To(Succeed()); serving.Wait() })
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			head := make([]byte, 10)
			_, err = io.ReadFull(conn, head)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(conn, answer)
			Expect(err).NotTo(HaveOccurred())
			serving.Go(func() {
				// The rest is never read; the caller ends the connection.
				time.Sleep(200 * time.Millisecond)
				Expect(conn.Close()).To(Succeed())
			})
		}
	})
	pool := pool()
	for range 2 {
		text, err := ask(pool, listener.Addr().String(), bytes.Repeat([]byte("x"), 32<<20))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("ok"))
	}
	Expect(pool.Dialed()).To(BeEquivalentTo(2))
})

// Guards against an endpoint that works on for a caller who has left.
var _ = It("closes the connection when its context ends", func() {
	made, err := fake.NewBack("Id", []fake.Step{{Then: "hang"}}, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(made.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	DeferCleanup(cancel)
	_, err = pool().Do(ctx, conns.Request{
		Address: made.Addresses()[0], Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
		Mine: func(http.Header) bool { return true },
	})
	Expect(err).To(HaveOccurred())
	Eventually(made.Seen()[0].Left).WithTimeout(limit).Should(BeClosed())
})
