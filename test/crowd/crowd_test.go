// Package crowd_test sends crowds of clients that don't behave to real processes.
package crowd_test

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc/pool"
	"golang.org/x/sys/unix"

	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

const (
	// waitLimit ends a wait for something that never comes.
	waitLimit = 30 * time.Second
	// A process that uses at most idleTicks of 10 ms in settleInterval is at rest.
	settleInterval = 500 * time.Millisecond
	idleTicks      = 5
	// settleLimit ends the wait for a process that never comes to rest. A crowd of pipelined
	// requests is work for a minute on a busy machine.
	settleLimit = 3 * time.Minute
	// reservedParts gives the part of the descriptors, 1/reservedParts, that clients must leave
	// to a process: one eighth, as docs/design/memory.md states.
	reservedParts = 8
	// dialers is the number of connections that are opened at a time.
	dialers = 32
)

func TestCrowd(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Crowd")
}

// crowdCase is a crowd at one address of one process, and the bounds of that process.
type crowdCase struct {
	Name   string `json:"name"`
	Guards string `json:"guards"`
	// Role is the process that is tested, and Listener the address of it that the crowd uses:
	// callers, ready, metrics, api or peers.
	Role     string `json:"role"`
	Listener string `json:"listener"`
	// Settings are lines of the settings file of the process.
	Settings []string `json:"settings"`
	// Connections is the size of the crowd. Each connection sends the parts of Request in
	// order and stays open.
	Connections int    `json:"connections"`
	Request     []part `json:"request"`
	// Before is a request that is sent first, with {length} for that of its body. It is
	// answered with status 200.
	Before []part `json:"before"`
	// Answered crowds read one response on each connection and stay connected.
	Answered bool `json:"answered"`
	// MemoryMiB bounds the peak of the resident memory.
	MemoryMiB int `json:"memoryMiB"`
	// Descriptors is the limit of open descriptors of the process, and 0 leaves it. An eighth
	// of them must stay free for the process itself.
	Descriptors uint64 `json:"descriptors"`
}

// part is a text that is repeated, with {n} replaced by the number of the repetition, up to
// a number of bytes; 0 for once. Hex holds bytes that are no text.
type part struct {
	Hex   string `json:"hex"`
	Text  string `json:"text"`
	Bytes int    `json:"bytes"`
}

// request returns the bytes that each connection sends.
func (test crowdCase) request() []byte { return joined(test.Request) }

// joined returns the bytes of a list of parts.
func joined(parts []part) []byte {
	var text bytes.Buffer
	for _, part := range parts {
		binary, err := hex.DecodeString(part.Hex)
		Expect(err).NotTo(HaveOccurred())
		text.Write(binary)
		if part.Bytes == 0 {
			text.WriteString(part.Text)
			continue
		}
		end := text.Len() + part.Bytes
		for number := 0; text.Len() < end; number++ {
			text.WriteString(strings.ReplaceAll(part.Text, "{n}", strconv.FormatInt(int64(number), 36)))
		}
	}
	return text.Bytes()
}

func loadCases() []crowdCase {
	text, err := os.ReadFile(filepath.Join("testdata", "crowds.json"))
	if err != nil {
		panic(err)
	}
	var cases []crowdCase
	if err := json.Unmarshal(text, &cases); err != nil {
		panic(err)
	}
	return cases
}

// join opens the connections of a crowd, any of which the process may refuse or close. It
// returns the function that closes them.
func (test crowdCase) join(address string) (leave func()) {
	request, conns := test.request(), make([]net.Conn, test.Connections)
	opening := pool.New().WithMaxGoroutines(dialers)
	for at := range conns {
		opening.Go(func() {
			conn, err := net.DialTimeout("tcp", address, waitLimit)
			if err != nil {
				return
			}
			conns[at] = conn
			_ = conn.SetDeadline(time.Now().Add(waitLimit))
			if _, err := conn.Write(request); err == nil && test.Answered {
				_, _ = conn.Read(make([]byte, 4<<10))
			}
		})
	}
	opening.Wait()
	return func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
}

// peakMemory returns the largest resident memory of a process so far, in MiB.
func peakMemory(process *procs.Process) int {
	peak, err := process.PeakMemory()
	Expect(err).NotTo(HaveOccurred())
	return peak
}

// openDescriptors returns the number of descriptors that a process has open.
func openDescriptors(process *procs.Process) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.ID()))
	Expect(err).NotTo(HaveOccurred())
	return len(entries)
}

// processorTime returns the processor time that a process has used, in ticks of 10 ms.
func processorTime(process *procs.Process) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.ID()))
	if err != nil {
		return 0
	}
	// The fields after the name in parentheses begin with the third one.
	fields, ticks := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:])), 0
	for _, field := range fields[11:13] {
		value, err := strconv.Atoi(field)
		Expect(err).NotTo(HaveOccurred())
		ticks += value
	}
	return ticks
}

// settle waits until a process has worked off what a crowd sent.
func settle(process *procs.Process) {
	Eventually(func() int {
		before := processorTime(process)
		time.Sleep(settleInterval)
		return processorTime(process) - before
	}).WithTimeout(settleLimit).Should(BeNumerically("<=", idleTicks), "the process does not come to rest")
}

// ask sends an ordinary request on a new connection and returns the status and body of its
// response, or the error as the body.
func ask(method, url, body string, header map[string]string) (int, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for name, value := range header {
		request.Header.Set(name, value)
	}
	if host := header["Host"]; host != "" {
		request.Host = host
	}
	client := http.Client{Timeout: waitLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// withLength returns a request with the length of its body in place of {length}.
func withLength(text []byte) []byte {
	_, body, _ := bytes.Cut(text, []byte("\r\n\r\n"))
	return bytes.Replace(text, []byte("{length}"), []byte(strconv.Itoa(len(body))), 1)
}

// exchange sends the bytes of a request and returns the status and body of its response.
func exchange(address string, text []byte) (int, string) {
	conn, err := net.DialTimeout("tcp", address, waitLimit)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetDeadline(time.Now().Add(waitLimit))).To(Succeed())
	_, err = conn.Write(text)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode, string(body)
}

// limitDescriptors lowers the limit of a process's open descriptors.
func limitDescriptors(process *procs.Process, limit uint64) {
	Expect(unix.Prlimit(process.ID(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: limit}, nil)).To(Succeed())
}

// run sends a crowd to a process and checks its bounds while the crowd stays.
func (test crowdCase) run() {
	target := startTarget(test)
	if test.Descriptors > 0 {
		limitDescriptors(target.process, test.Descriptors)
	}
	if len(test.Before) > 0 {
		status, body := exchange(target.address, withLength(joined(test.Before)))
		Expect(status).To(Equal(http.StatusOK), body)
	}
	leave := test.join(target.address)
	DeferCleanup(leave)
	settle(target.process)
	status, body := target.ask()
	Expect(target.process.Ended()).To(BeFalse(), "the process ended: %s", target.process.Log())
	peak, open := peakMemory(target.process), openDescriptors(target.process)
	fmt.Printf("%s: peak %d MiB, bound %d MiB, descriptors %d of %d, ordinary request %d\n", test.Name, peak, test.MemoryMiB, open, test.Descriptors, status)
	Expect(peak).To(BeNumerically("<=", test.MemoryMiB), "resident memory")
	if test.Descriptors > 0 {
		Expect(open).To(BeNumerically("<=", test.Descriptors-test.Descriptors/reservedParts), "open descriptors")
	}
	Expect(status).To(Equal(http.StatusOK), "an ordinary request beside the crowd: %s", body)
	leave()
	status, body = target.ask()
	Expect(status).To(Equal(http.StatusOK), "an ordinary request after the crowd: %s", body)
	Expect(target.process.Ended()).To(BeFalse(), "the process ended: %s", target.process.Log())
}

var _ = Describe("a crowd", Serial, func() {
	for _, test := range loadCases() {
		It(test.Name, func() {
			By(test.Guards)
			test.run()
		})
	}
})
