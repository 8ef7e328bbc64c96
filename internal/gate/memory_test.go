package gate

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/guard"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/internal/task"
)

const testBound = 64 << 10

// boundedGateway starts a gateway that may hold testBound bytes.
func boundedGateway() *Gateway {
	gateway := newIsolated()
	gateway.bound(guard.Settings{Bytes: testBound})
	return gateway
}

// countingReader counts the bytes read from a source.
type countingReader struct {
	io.Reader
	size int
}

func (reader *countingReader) Read(into []byte) (int, error) {
	size, err := reader.Reader.Read(into)
	reader.size += size
	return size, err
}

// Guards against request bodies that together fill the memory of a gateway.
var _ = It("refuses a request whose body exceeds the bytes held before it reads the rest", func() {
	gateway := boundedGateway()
	read := func(size int) (*call, *countingReader, *refusal, http.Header) {
		call, recorder := &call{}, httptest.NewRecorder()
		body := &countingReader{Reader: bytes.NewReader(make([]byte, size))}
		refused := gateway.readBody(recorder, httptest.NewRequest(http.MethodPost, "/", body), call)
		return call, body, refused, recorder.Header()
	}
	first, _, refused, _ := read(testBound / 4)
	Expect(refused).To(BeNil())
	Expect(first.task.Body).To(HaveLen(testBound / 4))
	second, body, refused, header := read(1 << 20)
	Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
	Expect(refused.retryAfter).To(BeNumerically(">", 0))
	Expect(header.Get("Connection")).To(Equal("close"))
	Expect(body.size).To(BeNumerically("<", testBound))
	Expect(gateway.guard.Held()).To(BeNumerically("<=", testBound))
	first.release(gateway)
	second.release(gateway)
	Expect(gateway.guard.Held()).To(BeZero())
})

// Guards against bytes that stay counted after their request has ended.
var _ = It("gives back the bytes of requests that end", func() {
	gateway := boundedGateway()
	for range 3 {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, testBound/4)))
		gateway.ServeHTTP(recorder, request)
		Expect(recorder.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(gateway.guard.Held()).To(BeZero())
	}
})

// respond lets a gateway forward a response with a body of a given size.
func respond(gateway *Gateway, status int, body io.Reader) (*httptest.ResponseRecorder, *call, result, error) {
	recorder := httptest.NewRecorder()
	forwarder := newForwarder(gateway, recorder, &call{route: plan.Route{Kind: plan.Idempotent, Attempts: 2}})
	outcome, _, err := forwarder.bufferResponse(&http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(body)}, task.Answer{Sealed: true})
	return recorder, forwarder.call, outcome, err
}

// Guards against responses that together fill the memory of a gateway, and against one
// that is cut off because of the bound.
var _ = It("streams a response that exceeds the bytes held", func() {
	gateway := boundedGateway()
	content := bytes.Repeat([]byte("abcdefg"), testBound/4)
	recorder, call, outcome, err := respond(gateway, http.StatusOK, bytes.NewReader(content))
	Expect(err).NotTo(HaveOccurred())
	Expect(outcome).To(Equal(delivered))
	Expect(recorder.Body.Bytes()).To(Equal(content))
	Expect(call.held).To(BeZero())
	Expect(gateway.guard.Held()).To(BeZero())
})

// Guards against an error response that is sent to the caller although another attempt
// may succeed.
var _ = It("takes an error response that exceeds the bytes held for one that was broken off", func() {
	gateway := boundedGateway()
	recorder, _, outcome, err := respond(gateway, http.StatusInternalServerError, bytes.NewReader(make([]byte, 2*testBound)))
	Expect(errors.Is(err, errHeld)).To(BeTrue())
	Expect(outcome).To(Equal(unknown))
	Expect(recorder.Body.Len()).To(BeZero())
	Expect(gateway.guard.Held()).To(BeZero())
})

// Guards against a body that never comes and holds its connection for good.
var _ = It("gives up a body that does not arrive while the caller waits", func() {
	server := httptest.NewServer(newIsolated())
	DeferCleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nHibiscuslug-Deadline-Ms: 50\r\nContent-Length: 5\r\n\r\nbody")
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
	Expect(response.Body.Close()).To(Succeed())
})
