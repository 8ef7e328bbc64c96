package fault

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a proxy that refuses connections to a running process. A
// refusal observed before the process started was handled after Retarget, and a
// group of control VMs never formed (TestHistory in CI, 2026-12-04).
var _ = It("ignores a refusal that was observed before Retarget", func() {
	proxy, err := New("127.0.0.1:1")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(proxy.Close)
	proxy.mu.Lock()
	stale := proxy.generation
	proxy.mu.Unlock()
	Expect(proxy.Retarget("127.0.0.1:1")).To(Succeed())
	proxy.refuse(stale)
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	Expect(proxy.listener).NotTo(BeNil())
})
