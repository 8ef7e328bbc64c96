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
	// quiet is how long a held direction is watched; a longer watch only makes the test stricter.
	quiet = 100 * time.Millisecond
)

// script injects one fault; the fields tell what the connecting process sees.
type script struct {
	Name    string `json:"name"`
	Fault   string `json:"fault"`
	Ways    int    `json:"ways"`
	Open    string `json:"open"`
	New     string `json:"new"`
	Arrives bool   `json:"arrives"`
}

type peer struct {
	conn  net.Conn
	lines chan string
}

func dial(address string) *peer {
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
	return &peer{conn: conn, lines: lines}
}

func (peer *peer) expect(state, text string) {
	_, err := fmt.Fprintln(peer.conn, text)
	switch state {
	case "works":
		Expect(err).NotTo(HaveOccurred())
		Eventually(peer.lines).WithTimeout(limit).Should(Receive(Equal(text)))
	case "silent":
		Expect(err).NotTo(HaveOccurred())
		Consistently(peer.lines).WithTimeout(quiet).ShouldNot(Receive())
		Expect(peer.lines).NotTo(BeClosed())
	default:
		Eventually(peer.lines).WithTimeout(limit).Should(BeClosed())
	}
}

// Guards against a fault proxy that does not do what a test of the system relies on.
var _ = Describe("the proxy", func() {
	text, err := os.ReadFile("testdata/faults.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() { run(script) })
	}
})

func run(script script) {
	received := make(chan string, 16)
	target := echo(received)
	proxy, err := fault.New(target)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(proxy.Close)
	open := dial(proxy.Address())
	open.expect("works", "before")
	Expect(received).To(Receive(Equal("before")))
	inject(proxy, script)
	open.expect(script.Open, "during")
	if script.Arrives {
		Eventually(received).WithTimeout(limit).Should(Receive(Equal("during")))
	} else {
		Expect(received).NotTo(Receive())
	}
	dial(proxy.Address()).expect(script.New, "fresh")
	proxy.Heal()
	if script.Open == "silent" {
		Eventually(open.lines).WithTimeout(limit).Should(Receive(Equal("during")), "held traffic is delivered")
	}
	dial(proxy.Address()).expect("works", "after")
}

func inject(proxy *fault.Proxy, script script) {
	ways := fault.Direction(script.Ways)
	switch script.Fault {
	case "silence":
		Expect(proxy.Silence(ways)).To(Equal(1))
	case "lose":
		proxy.Lose(ways)
	case "cut":
		proxy.Cut()
	case "delay":
		proxy.Delay(ways, quiet)
	default:
		proxy.CloseConnections()
	}
}

// echo answers each line with the same line.
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
