package fault

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a proxy that stays closed before a running process: a refusal
// from before its start was handled after Retarget, and a group of control VMs
// never formed (TestHistory in CI, 2026-12-04).
var _ = It("does not take a refusal from before a restart for one of the process that runs now", func() {
	proxy, err := New("127.0.0.1:1")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(proxy.Close)
	proxy.mu.Lock()
	before := proxy.turn
	proxy.mu.Unlock()
	Expect(proxy.Retarget("127.0.0.1:1")).To(Succeed())
	proxy.refuse(before)
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	Expect(proxy.listener).NotTo(BeNil())
})
