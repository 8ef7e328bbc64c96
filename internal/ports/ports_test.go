package ports_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/ports"
)

// childVariable makes the test program hand out ports as a second process.
const childVariable = "HIB_TEST_PORTS_CHILD"

const portsPerProcess = 1500

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	for range portsPerProcess {
		fmt.Println(handOut())
	}
	fmt.Println("done")
	// The ports stay reserved until the parent closes standard input.
	_, _ = bufio.NewReader(os.Stdin).ReadByte()
}

func TestPorts(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Ports")
}

// handOut returns the address of a port that nothing listens on any more, as a
// test passes it to a process that is about to start.
func handOut() string {
	listener, err := ports.Listen()
	if err != nil {
		return err.Error()
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		return err.Error()
	}
	return address
}

// Guards against the failed starts of test/history: a port that was handed out
// to a process not yet started was handed out again, to a proxy of the same test
// or of another one that ran beside it.
var _ = It("hands out each port once, also beside another process", func() {
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childVariable+"=1")
	release, err := child.StdinPipe()
	Expect(err).NotTo(HaveOccurred())
	output, err := child.StdoutPipe()
	Expect(err).NotTo(HaveOccurred())
	Expect(child.Start()).To(Succeed())
	DeferCleanup(func() {
		Expect(release.Close()).To(Succeed())
		Expect(child.Wait()).To(Succeed())
	})
	owners := map[string]string{}
	for range portsPerProcess {
		address := handOut()
		Expect(address).To(HavePrefix("127.0.0.1:"))
		Expect(owners).NotTo(HaveKey(address))
		owners[address] = "parent"
	}
	lines := bufio.NewScanner(output)
	for lines.Scan() && lines.Text() != "done" {
		Expect(lines.Text()).To(HavePrefix("127.0.0.1:"))
		Expect(owners).NotTo(HaveKey(lines.Text()))
		owners[lines.Text()] = "child"
	}
	Expect(owners).To(HaveLen(2 * portsPerProcess))
})
