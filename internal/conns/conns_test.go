package conns_test

import (
	"bufio"
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

	"github.com/hibiscuslug/hibiscuslug/internal/answer"
	"github.com/hibiscuslug/hibiscuslug/internal/conns"
	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestConns(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Conns")
}

const (
	limit    = 30 * time.Second
	response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

func newPool() *conns.Pool {
	pool := conns.New(clock.NewSystem())
	DeferCleanup(pool.Close)
	return pool
}

// post sends one request and reads its response to the end.
func post(pool *conns.Pool, address string, body []byte) (string, error) {
	exchange, err := pool.Do(context.Background(), conns.Request{
		Address: address, Method: http.MethodPost, Body: body,
		Head:  fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(body)),
		Owner: func(http.Header) conns.Owner { return conns.Own },
	})
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(exchange.Response.Body)
	exchange.Close(err == nil, 0)
	return string(text), err
}

// startBackend starts an endpoint with scripted responses and returns its address.
func startBackend(steps ...fake.Step) string {
	backend, err := fake.NewBackend("Id", steps, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(backend.Close)
	return backend.Addresses()[0]
}

var _ = DescribeTable("reuses a connection only when it is safe for the next request",
	func(step fake.Step, dialed int) {
		pool, address := newPool(), startBackend(step)
		for range 3 {
			text, err := post(pool, address, []byte("b"))
			Expect(err).NotTo(HaveOccurred())
			Expect(text).To(Equal("ok"))
			// Gives the endpoint's FIN or RST, if any, time to arrive.
			time.Sleep(50 * time.Millisecond)
		}
		Expect(pool.Dialed()).To(BeEquivalentTo(dialed))
	},
	Entry("an endpoint that keeps the connection open", fake.Step{Text: response}, 1),
	Entry("an endpoint that closes without notice", fake.Step{Text: response, Then: "close"}, 3),
	Entry("an endpoint that resets without notice", fake.Step{Text: response, Then: "reset"}, 3),
	Entry("an endpoint that sends Connection: close", fake.Step{Text: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"}, 3),
	Entry("unexpected bytes after the response", fake.Step{Text: response + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"}, 3),
	Entry("a response without a length that ends with its connection", fake.Step{Text: "HTTP/1.1 200 OK\r\n\r\nok", Then: "close"}, 3),
)

// Guards against an endpoint that fills the memory of a gateway with bytes that are
// no response, for as long as the caller waits.
var _ = DescribeTable("gives up an endpoint that sends no end of bytes",
	func(start, more string) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		var serving conc.WaitGroup
		DeferCleanup(func() { Expect(listener.Close()).To(Succeed()); serving.Wait() })
		closed := make(chan struct{})
		serving.Go(func() {
			defer close(closed)
			conn, err := listener.Accept()
			Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(conn, start)
			chunk := bytes.Repeat([]byte(more), 4<<10/len(more))
			// Writes until the client closes the connection.
			for err == nil {
				_, err = conn.Write(chunk)
			}
			Expect(conn.Close()).To(Succeed())
		})
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		DeferCleanup(cancel)
		_, err = newPool().Do(ctx, conns.Request{
			Address: listener.Addr().String(), Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
			Owner: func(http.Header) conns.Owner { return conns.Other },
		})
		Expect(errors.Is(err, answer.ErrTooLong)).To(BeTrue(), "%v", err)
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Eventually(closed).WithTimeout(limit).Should(BeClosed())
	},
	Entry("one line of a header", "HTTP/1.1 200 OK\r\nX: ", "x"),
	Entry("lines of a header", "HTTP/1.1 200 OK\r\n", "X: x\r\n"),
	Entry("interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"),
	Entry("bytes without a line", "", "x"),
	Entry("the body of another request's response", "HTTP/1.1 200 OK\r\n\r\n", "x"),
	Entry("responses of other requests", "", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
)

// uploads is how often an upload that is answered early is tried. Which goroutine gets the
// error of a reset connection differs from one to the next.
const uploads = 60

// Guards against a part of a response that passes for the whole one: the endpoint answers an
// upload early, without a length, and ends the connection while the upload is written.
var _ = DescribeTable("does not take a part for the whole response to an upload",
	func(step fake.Step) {
		step.Text = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"
		pool, address := newPool(), startBackend(step)
		for upload := range uploads {
			text, err := post(pool, address, make([]byte, 3<<20))
			Expect(err).To(HaveOccurred(), "upload %d of %d is answered with %q", upload, uploads, text)
			Expect(errors.Is(err, io.EOF)).To(BeFalse())
		}
	},
	Entry("that is reset after a part of the upload", fake.Step{Early: 384 << 10, Then: "reset"}),
	Entry("that is closed with a part of the upload unread", fake.Step{Early: 128 << 10, Then: "close"}),
)

// Guards against a refusal of complete responses without a length.
var _ = It("takes a response without a length after the whole upload was read", func() {
	step := fake.Step{Text: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", Then: "close"}
	pool, address := newPool(), startBackend(step)
	for range uploads {
		text, err := post(pool, address, make([]byte, 3<<20))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("ok"))
	}
})

var _ = It("distinguishes a request that was not sent from one that may have run", func() {
	pool := newPool()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(listener.Close()).To(Succeed())
	_, err = post(pool, listener.Addr().String(), nil)
	Expect(errors.Is(err, conns.ErrNotSent)).To(BeTrue())
	_, err = post(pool, startBackend(fake.Step{Then: "reset"}), []byte("b"))
	Expect(err).To(HaveOccurred())
	Expect(errors.Is(err, conns.ErrNotSent)).To(BeFalse())
})

// Guards against reusing a connection after an early response: the endpoint would read
// the next request as the rest of the previous body.
var _ = It("accepts an early response and does not reuse the connection", func() {
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
			_, err = io.WriteString(conn, response)
			Expect(err).NotTo(HaveOccurred())
			serving.Go(func() {
				// The rest of the body is never read; the client resets the connection.
				time.Sleep(200 * time.Millisecond)
				Expect(conn.Close()).To(Succeed())
			})
		}
	})
	pool := newPool()
	for range 2 {
		text, err := post(pool, listener.Addr().String(), bytes.Repeat([]byte("x"), 32<<20))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("ok"))
	}
	Expect(pool.Dialed()).To(BeEquivalentTo(2))
})

// Guards against an endpoint that keeps processing the request of a disconnected caller.
var _ = It("closes the connection when its context ends", func() {
	backend, err := fake.NewBackend("Id", []fake.Step{{Then: "hang"}}, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(backend.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	DeferCleanup(cancel)
	_, err = newPool().Do(ctx, conns.Request{
		Address: backend.Addresses()[0], Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
		Owner: func(http.Header) conns.Owner { return conns.Own },
	})
	Expect(err).To(HaveOccurred())
	Eventually(backend.Requests()[0].Disconnected).WithTimeout(limit).Should(BeClosed())
})

// Guards against a permit that is used long after it was given, because the connection
// took so long to open.
var _ = It("does not send a request whose time passed before its connection was open", func() {
	ticker := clock.NewManual(clock.Hour)
	pool := conns.New(ticker)
	DeferCleanup(pool.Close)
	backend, err := fake.NewBackend("Id", []fake.Step{{Text: response}}, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(backend.Close)
	request := conns.Request{
		Address: backend.Addresses()[0], Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
		ExpiresAt: ticker.Now() - 1, Owner: func(http.Header) conns.Owner { return conns.Own },
	}
	_, err = pool.Do(context.Background(), request) //nolint:bodyclose // There is no response.
	Expect(errors.Is(err, conns.ErrExpired)).To(BeTrue())
	Expect(errors.Is(err, conns.ErrNotSent)).To(BeTrue())
	request.ExpiresAt = ticker.Now()
	exchange, err := pool.Do(context.Background(), request)
	Expect(err).NotTo(HaveOccurred())
	exchange.Close(false, 0)
	Expect(backend.Requests()).To(HaveLen(1))
})

// Guards against a request that is sent although the endpoint has said meanwhile that it
// wants none, on a new connection or a reused one.
var _ = It("writes nothing once the request is no longer allowed", func() {
	backend, err := fake.NewBackend("Id", []fake.Step{{Text: response}}, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(backend.Close)
	pool, address := newPool(), backend.Addresses()[0]
	refused := errors.New("not allowed")
	for sent := range 2 {
		_, err := pool.Do(context.Background(), conns.Request{
			Address: address, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), Allowed: func() error { return refused },
		})
		Expect(errors.Is(err, refused)).To(BeTrue())
		Expect(errors.Is(err, conns.ErrNotSent)).To(BeTrue())
		Expect(backend.Requests()).To(HaveLen(sent))
		_, err = post(pool, address, []byte("b"))
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(pool.Dialed()).To(BeEquivalentTo(3))
})

// startClosing starts an endpoint that answers a number of requests on each connection
// and then ends the connection when told so: with a reset, or else gracefully. It returns
// the address and a function that ends the connections.
func startClosing(answers int, reset bool) (string, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var serving conc.WaitGroup
	ending, ended := make(chan struct{}), make(chan struct{})
	DeferCleanup(func() { Expect(listener.Close()).To(Succeed()); serving.Wait() })
	serving.Go(func() {
		defer close(ended)
		conn, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		reader := bufio.NewReader(conn)
		for range answers {
			request, err := http.ReadRequest(reader)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, request.Body)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(conn, response)
			Expect(err).NotTo(HaveOccurred())
		}
		<-ending
		if reset {
			Expect(conn.(*net.TCPConn).SetLinger(0)).To(Succeed())
		}
		Expect(conn.Close()).To(Succeed())
	})
	return listener.Addr().String(), func() {
		close(ending)
		<-ended
		// Gives the FIN or RST time to arrive.
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a 502 for a request of which nothing was sent: the endpoint ended the
// connection before the request was written.
var _ = DescribeTable("marks a request as not sent when the endpoint ended the connection before it was written",
	func(reused, reset bool, size int) {
		answers := 0
		if reused {
			answers = 1
		}
		pool := newPool()
		address, end := startClosing(answers, reset)
		for range answers {
			_, err := post(pool, address, []byte("b"))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := pool.Do(context.Background(), conns.Request{
			Address: address, Method: http.MethodPost, Body: bytes.Repeat([]byte("x"), size),
			Head:    fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size),
			Owner:   func(http.Header) conns.Owner { return conns.Own },
			Allowed: func() error { end(); return nil },
		})
		Expect(errors.Is(err, conns.ErrNotSent)).To(BeTrue(), "%v", err)
		Expect(errors.Is(err, conns.ErrStale)).To(Equal(reused))
		Expect(pool.Dialed()).To(BeEquivalentTo(1))
	},
	Entry("new connection, closed, small body", false, false, 1),
	Entry("new connection, closed, large body", false, false, 1<<20),
	Entry("new connection, reset, small body", false, true, 1),
	Entry("new connection, reset, large body", false, true, 1<<20),
	Entry("reused connection, closed, small body", true, false, 1),
	Entry("reused connection, closed, large body", true, false, 1<<20),
	Entry("reused connection, reset, small body", true, true, 1),
	Entry("reused connection, reset, large body", true, true, 1<<20),
)

// Guards against a false promise: once the kernel accepted a byte, the endpoint may have
// run the request, even if it reads none of it for a long time.
var _ = DescribeTable("does not mark a request as not sent once a byte of it was written",
	func(reused, reset bool, size int) {
		answers := 0
		if reused {
			answers = 1
		}
		pool := newPool()
		address, end := startClosing(answers, reset)
		for range answers {
			_, err := post(pool, address, []byte("b"))
			Expect(err).NotTo(HaveOccurred())
		}
		var ending conc.WaitGroup
		DeferCleanup(ending.Wait)
		_, err := pool.Do(context.Background(), conns.Request{
			Address: address, Method: http.MethodPost, Body: bytes.Repeat([]byte("x"), size),
			Head:  fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size),
			Owner: func(http.Header) conns.Owner { return conns.Own },
			Allowed: func() error {
				ending.Go(func() {
					time.Sleep(300 * time.Millisecond)
					end()
				})
				return nil
			},
		})
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, conns.ErrNotSent)).To(BeFalse(), "%v", err)
		Expect(errors.Is(err, conns.ErrStale)).To(Equal(reused))
	},
	Entry("new connection, closed, small body", false, false, 1),
	Entry("new connection, closed, large body", false, false, 32<<20),
	Entry("new connection, reset, small body", false, true, 1),
	Entry("new connection, reset, large body", false, true, 32<<20),
	Entry("reused connection, closed, small body", true, false, 1),
	Entry("reused connection, closed, large body", true, false, 32<<20),
	Entry("reused connection, reset, small body", true, true, 1),
	Entry("reused connection, reset, large body", true, true, 32<<20),
)
