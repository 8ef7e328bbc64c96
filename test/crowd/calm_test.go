package crowd_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// calmCase is a single request at the limits, which is served.
type calmCase struct {
	crowdCase
	Status int `json:"status"`
}

// text returns the request with its length in place of {length}.
func (test calmCase) text() []byte {
	text := test.request()
	_, body, _ := bytes.Cut(text, []byte("\r\n\r\n"))
	return bytes.Replace(text, []byte("{length}"), []byte(strconv.Itoa(len(body))), 1)
}

// Guards against bounds on crowds that a single client inside the limits meets.
var _ = Describe("a single request at the limits", Serial, func() {
	text, err := os.ReadFile(filepath.Join("testdata", "calm.json"))
	if err != nil {
		panic(err)
	}
	var cases []calmCase
	if err := json.Unmarshal(text, &cases); err != nil {
		panic(err)
	}
	for _, test := range cases {
		It(test.Name, func() {
			target := startTarget(test.crowdCase)
			conn, err := net.DialTimeout("tcp", target.address, waitLimit)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = conn.Close() })
			Expect(conn.SetDeadline(time.Now().Add(waitLimit))).To(Succeed())
			_, err = conn.Write(test.text())
			Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			fmt.Printf("%s: peak %d MiB, memory %d MiB, status %d\n", test.Name, peakMemory(target.process), test.MemoryMiB, response.StatusCode)
			Expect(response.StatusCode).To(Equal(test.Status), string(body))
			Expect(peakMemory(target.process)).To(BeNumerically("<=", test.MemoryMiB), "resident memory")
		})
	}
})
