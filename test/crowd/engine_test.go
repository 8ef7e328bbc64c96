package crowd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

const (
	// engineMemoryMiB bounds the resident memory of an endpoint process. The faulty engine
	// offers many times as much on each connection.
	engineMemoryMiB  = 96
	engineOfferBytes = 1 << 30
	// engineCallers is the number of callers that read nothing.
	engineCallers = 4
)

// engineCase is an answer of a faulty engine behind an endpoint process.
type engineCase struct {
	Name   string `json:"name"`
	Kind   string `json:"kind"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Start  string `json:"start"`
	More   string `json:"more"`
	// Refused answers must not reach the caller as a success.
	Refused bool `json:"refused"`
}

// serve answers each connection with the start of the answer and offers more of it.
func (test engineCase) serve() (address string) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var serving conc.WaitGroup
	DeferCleanup(func() { Expect(listener.Close()).To(Succeed()); serving.Wait() })
	chunk := bytes.Repeat([]byte(test.More), 64<<10/max(len(test.More), 1))
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer conn.Close() //nolint:errcheck // the other side may have closed it
				if _, err := conn.Read(make([]byte, 16<<10)); err != nil {
					return
				}
				written, err := io.WriteString(conn, test.Start)
				for err == nil && len(chunk) > 0 && written < engineOfferBytes {
					var size int
					size, err = conn.Write(chunk)
					written += size
				}
			})
		}
	})
	return listener.Addr().String()
}

func (test engineCase) header() map[string]string {
	return map[string]string{"Authorization": "Bearer paid", "Content-Type": "application/json"}
}

// call sends a request and reads nothing of its answer. It returns the function that ends it.
func (test engineCase) call(url string) (leave func()) {
	conn, err := net.DialTimeout("tcp", strings.TrimPrefix(url, "http://"), waitLimit)
	Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer paid\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		test.Method, test.Path, len(test.Body), test.Body)
	Expect(err).NotTo(HaveOccurred())
	return func() { _ = conn.Close() }
}

// Guards against an endpoint process that keeps what a faulty engine sends without end, or
// passes bytes on that are no answer.
var _ = Describe("a faulty engine", Serial, func() {
	text, err := os.ReadFile(filepath.Join("testdata", "engines.json"))
	if err != nil {
		panic(err)
	}
	var cases []engineCase
	if err := json.Unmarshal(text, &cases); err != nil {
		panic(err)
	}
	for _, test := range cases {
		It("leaves its endpoint process within bounds: "+test.Name, func() {
			control := start("control", "hibiscuslug", "control", "--name", "control", "--zone", "z", "--data", GinkgoT().TempDir())
			entry := start("entry", "hibiscuslug", "entry", "--name", "entry", "--zone", "z", "--http-listen", "127.0.0.1:0", "--control", control.Address)
			good := start("engine", "hibfake")
			endpoint := start("endpoint", "hibiscuslug", "endpoint", "--name", "endpoint", "--zone", "z", "--entry", entry.Address, "--memory-mib", fmt.Sprint(engineMemoryMiB),
				"--engine", "model,engine,"+good.Address+",guide-1", "--engine", test.Kind+",faulty,http://"+test.serve()+",bad")
			status, out := command(entry.Address, "create customer payer tier paid token paid")
			Expect(status).To(Equal(http.StatusOK), out)
			ordinary := func() int {
				status, _ := ask(http.MethodPost, entry.HTTP+"/v1/completions", `{"model":"guide-1","prompt":"p","max_tokens":1}`, test.header())
				return status
			}
			Eventually(ordinary).WithTimeout(waitLimit).Should(Equal(http.StatusOK))
			if test.Refused {
				status, body := ask(test.Method, entry.HTTP+test.Path, test.Body, test.header())
				Expect(status).To(BeNumerically(">=", http.StatusInternalServerError), body)
			}
			for range engineCallers {
				DeferCleanup(test.call(entry.HTTP))
			}
			settle(endpoint)
			Expect(endpoint.Ended()).To(BeFalse(), "the process ended: %s", endpoint.Log())
			peak := peakMemory(endpoint)
			fmt.Printf("endpoint, %s: peak %d MiB, bound %d MiB\n", test.Name, peak, engineMemoryMiB)
			Expect(peak).To(BeNumerically("<=", engineMemoryMiB), "resident memory")
			Expect(ordinary()).To(Equal(http.StatusOK), "an ordinary request beside the faulty engine")
		})
	}
})
