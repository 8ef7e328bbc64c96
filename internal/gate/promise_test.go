package gate_test

import (
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
)

// unbufferedBytes is more than a gateway buffers of a response.
const unbufferedBytes = 2 << 20

// Guards against a large response that is streamed to the caller with a status that
// promises that the request did not run.
var _ = It("passes on no promise of an endpoint with a large body", func() {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		site := newSite()
		text := fmt.Sprintf("HTTP/1.1 %d S\r\nHibiscuslug-Request-Id: {id}\r\nHibiscuslug-Response-Seal: s\r\nContent-Length: %d\r\n\r\n", status, unbufferedBytes)
		backend := site.startBackend([]fake.Step{{Text: text + strings.Repeat("x", unbufferedBytes)}}, 1)
		Expect(site.status(request(script{Method: "POST", Path: "/book/1", Send: "kit"}))).To(Equal(http.StatusBadGateway), "status %d", status)
		Expect(backend.Requests()).To(HaveLen(1))
	}
})
