package faults_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/bench/route"
)

// Guards against a request that crashes one endpoint after the other, and against
// blocking requests that merely ran on the same endpoint at the same time.
var _ = It("refuses a request everywhere after it crashed two endpoints and blocks no other", func() {
	const seed = 1
	By("seed 1")
	cluster, err := route.PoisonCluster(GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(cluster.Close)
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			for _, entry := range cluster.Entries {
				GinkgoWriter.Println(entry.Process.Log())
			}
		}
	})
	result, err := route.Poison(cluster, seed)
	Expect(err).NotTo(HaveOccurred())
	Expect(result.Crashed).To(BeNumerically("<=", 2))
	Expect(result.Blocked).To(BeZero())
	Expect(result.Broken).To(BeEmpty())
	Expect(result.Innocent).To(BeNumerically(">", 0))
	Expect(result.LastAnswer.Status).To(Equal(http.StatusUnprocessableEntity))
	Expect(result.LastAnswer.Outcome).To(Equal("failed"))
	Expect(result.LastAnswer.Text).To(And(ContainSubstring("blocked until"), ContainSubstring("unblock request")))
	_, command, _ := strings.Cut(result.LastAnswer.Text, "an operator can end the block earlier by: ")
	id := strings.Fields(strings.Trim(strings.SplitN(command, `"`, 2)[0], " "))[2]
	// The block is part of the configuration: it can be removed, and only once.
	Eventually(func() error {
		_, err := cluster.Command("unblock request " + id)
		return err
	}).WithTimeout(limit).Should(Succeed())
	out, err := cluster.Command("unblock request " + id)
	Expect(err).To(HaveOccurred())
	Expect(out).To(ContainSubstring("there is no block"))
})
