package gate_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
)

// sealed is a complete answer.
const sealed = "HTTP/1.1 200 OK\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok"

// upload is a request on an open connection, of which a part was sent.
type upload struct {
	conn   net.Conn
	reader *bufio.Reader
	rest   string
}

// begin sends a request on its own connection, less the last bytes of its body. If there are
// any, it waits until the gateway asks for them.
func (site *site) begin(script script, kept int) *upload {
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", site.gateway.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	var text strings.Builder
	built := request(script)
	if kept > 0 {
		built.Header.Set("Expect", "100-continue")
	}
	Expect(built.Write(&text)).To(Succeed())
	_, err = io.WriteString(conn, text.String()[:text.Len()-kept])
	Expect(err).NotTo(HaveOccurred())
	reader := bufio.NewReader(conn)
	if kept > 0 {
		response, err := http.ReadResponse(reader, nil) //nolint:bodyclose // an interim response has none
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusContinue))
	}
	return &upload{conn: conn, reader: reader, rest: text.String()[text.Len()-kept:]}
}

// finish sends the rest of the request and returns the status of the response.
func (upload *upload) finish() int {
	_, err := io.WriteString(upload.conn, upload.rest)
	Expect(err).NotTo(HaveOccurred())
	return upload.status()
}

func (upload *upload) status() int {
	response, err := http.ReadResponse(upload.reader, nil)
	Expect(err).NotTo(HaveOccurred(), "the connection must not end without a response")
	_, err = io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode
}

// Guards against a planned stop that cuts requests off at its end without an answer.
var _ = It("answers a request that runs when the grace period ends", func() {
	site := newSite()
	backend := site.startBackend([]fake.Step{{Text: sealed, Delay: 20_000}}, 1)
	running := site.begin(script{Method: "POST", Path: "/book/1", Send: "kit"}, 0)
	Eventually(backend.Requests).WithTimeout(limit).Should(HaveLen(1))
	var closing conc.WaitGroup
	DeferCleanup(closing.Wait)
	closing.Go(func() { Expect(site.gateway.Close()).To(Succeed()) })
	Expect(running.status()).To(Equal(http.StatusGatewayTimeout))
})

// Guards against work that may not be repeated and is sent although the process ends before
// its answer.
var _ = It("refuses a request that is complete too late in the grace period", func() {
	site := newSite()
	backend := site.startBackend([]fake.Step{{Text: sealed, Delay: 1500}}, 1)
	Expect(site.status(request(script{Method: "POST", Path: "/book/1", Send: "kit"}))).To(Equal(http.StatusOK))
	late := site.begin(script{Method: "POST", Path: "/book/2", Send: "kit"}, 1)
	var closing conc.WaitGroup
	DeferCleanup(closing.Wait)
	closing.Go(func() { Expect(site.gateway.Close()).To(Succeed()) })
	Eventually(site.gateway.Ready).WithTimeout(limit).Should(BeFalse())
	Expect(late.finish()).To(Equal(http.StatusServiceUnavailable))
	Expect(backend.Requests()).To(HaveLen(1))
})
