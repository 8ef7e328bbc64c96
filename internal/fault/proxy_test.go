package fault_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fault"
)

func TestFault(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fault")
}

const (
	limit = 20 * time.Second
	// silenceWatch is how long no traffic may arrive on a silent connection. A
	// longer time only makes the test stricter.
	silenceWatch = 100 * time.Millisecond
)

// faultCase injects one fault. Open and New are the expected states of an open
// and a new connection: works, silent or closed. Arrives is set if the target
// receives the data sent on the open connection during the fault.
type faultCase struct {
	Name       string `json:"name"`
	Fault      string `json:"fault"`
	Directions int    `json:"ways"`
	Open       string `json:"open"`
	New        string `json:"new"`
	Arrives    bool   `json:"arrives"`
}

// lineClient is a connection to the proxy with the lines received on it.
type lineClient struct {
	conn  net.Conn
	lines chan string
}

func dial(address string) *lineClient {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	lines := make(chan string, 16)
	go func() {
		defer close(lines)
		for scanner := bufio.NewScanner(conn); scanner.Scan(); {
			lines <- scanner.Text()
		}
	}()
	return &lineClient{conn: conn, lines: lines}
}

// expect sends a line and checks that the connection is in the state.
func (client *lineClient) expect(state, text string) {
	_, err := fmt.Fprintln(client.conn, text)
	switch state {
	case "works":
		Expect(err).NotTo(HaveOccurred())
		Eventually(client.lines).WithTimeout(limit).Should(Receive(Equal(text)))
	case "silent":
		Expect(err).NotTo(HaveOccurred())
		Consistently(client.lines).WithTimeout(silenceWatch).ShouldNot(Receive())
		Expect(client.lines).NotTo(BeClosed())
	default:
		Eventually(client.lines).WithTimeout(limit).Should(BeClosed())
	}
}

// Guards against a proxy whose faults differ from what the tests of the system assume.
var _ = Describe("the proxy", func() {
	text, err := os.ReadFile("testdata/faults.json")
	if err != nil {
		panic(err)
	}
	var cases []faultCase
	if err := json.Unmarshal(text, &cases); err != nil {
		panic(err)
	}
	for _, test := range cases {
		It(test.Name, func() { run(test) })
	}
})

func run(test faultCase) {
	received := make(chan string, 16)
	target := echo(received)
	proxy, err := fault.New(target)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(proxy.Close)
	open := dial(proxy.Address())
	open.expect("works", "before")
	Expect(received).To(Receive(Equal("before")))
	inject(proxy, test)
	open.expect(test.Open, "during")
	if test.Arrives {
		Eventually(received).WithTimeout(limit).Should(Receive(Equal("during")))
	} else {
		Expect(received).NotTo(Receive())
	}
	dial(proxy.Address()).expect(test.New, "fresh")
	proxy.Heal()
	if test.Open == "silent" {
		Eventually(open.lines).WithTimeout(limit).Should(Receive(Equal("during")), "buffered traffic is delivered")
	}
	dial(proxy.Address()).expect("works", "after")
}

func inject(proxy *fault.Proxy, test faultCase) {
	directions := fault.Direction(test.Directions)
	switch test.Fault {
	case "silence":
		Expect(proxy.Silence(directions)).To(Equal(1))
	case "lose":
		proxy.Lose(directions)
	case "cut":
		proxy.Cut()
	case "delay":
		proxy.Delay(directions, silenceWatch)
	default:
		proxy.CloseConnections()
	}
}

// echo starts a server that returns each line and returns its address.
func echo(received chan<- string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				for scanner := bufio.NewScanner(conn); scanner.Scan(); {
					received <- scanner.Text()
					_, _ = fmt.Fprintln(conn, scanner.Text())
				}
			}()
		}
	}()
	return listener.Addr().String()
}
