package gate_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
)

// okStream is a stream of one event.
const okStream = "HTTP/1.1 200 OK\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"

// Guards against callers that come back late and take the slots of those that can
// still be on time.
var _ = It("sends the stream of a returned caller with a lower urgency", func() {
	site := newSite()
	backend := site.startBackend([]fake.Step{{Text: okStream}}, 1)
	for _, patience := range []int{4000, 1500, 4000} {
		response, body, err := site.send(request(script{Method: "POST", Path: "/draft/1", Send: "p", Patience: patience}))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(string(body)).To(Equal("id: 1\ndata: a\n\n"))
	}
	// Only streams have an order: a booking of a returned caller is not put behind.
	response, _, err := site.send(request(script{Method: "POST", Path: "/book/1", Send: "p", Patience: 1500}))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	// One caller that waits for hours must not make the others late.
	for _, patience := range []int{7_200_000, 399_000} {
		response, _, err := site.send(request(script{Method: "POST", Path: "/long/1", Send: "p", Patience: patience}))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}
	var urgencies []string
	for _, received := range backend.Requests() {
		urgencies = append(urgencies, received.Header.Get("Hibiscuslug-Request-Urgency"))
	}
	Expect(urgencies).To(Equal([]string{"0", "1", "0", "0", "0", "0"}))
})
