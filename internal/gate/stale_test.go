package gate_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
)

// refusal is the response of an endpoint that did not run the request.
const refusal = "HTTP/1.1 503 No\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// Guards against a false promise: a request that went out on a reused connection may
// have run when the connection breaks without a response, whatever becomes of it on
// the next connection. The soak saw it with seed 991008.
var _ = It("does not say that a request was not run when a reused connection broke", func() {
	site := newSite()
	backend := site.startBackend([]fake.Step{{Text: okResponse}, {Then: "reset"}, {Text: refusal}}, 1)
	response, _, err := site.send(request(script{Method: "POST", Path: "/look/1", Send: "p"}))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	response, _, err = site.send(request(script{Method: "POST", Path: "/look/1", Send: "p"}))
	Expect(err).NotTo(HaveOccurred())
	Expect(backend.Requests()).To(HaveLen(3))
	Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
	Expect(response.Header).NotTo(HaveKey("Retry-After"))
})
