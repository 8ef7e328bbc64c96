package fault_test

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fault"
	"github.com/hibiscuslug/hibiscuslug/internal/ports"
)

// holdTime is how long the port of a proxy is held, as by a process that is being started.
const holdTime = 200 * time.Millisecond

// Guards against tests that fail beside load: a process that was being started still had a
// copy of the listener that the proxy had closed.
var _ = It("listens again although its port is in use for a while", func() {
	target, err := ports.Listen()
	Expect(err).NotTo(HaveOccurred())
	proxy, err := fault.New(target.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(proxy.Close)
	Expect(target.Close()).To(Succeed())
	refused := func() bool {
		conn, err := net.Dial("tcp", proxy.Address())
		if err != nil {
			return true
		}
		_ = conn.Close()
		return false
	}
	Eventually(refused).WithTimeout(limit).Should(BeTrue())
	held, err := net.Listen("tcp", proxy.Address())
	Expect(err).NotTo(HaveOccurred())
	time.AfterFunc(holdTime, func() { _ = held.Close() })
	Expect(proxy.Retarget(target.Addr().String())).To(Succeed())
})
