package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestNames(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Names")
}

var _ = Describe("the list of names", func() {
	var found names

	BeforeEach(func() {
		GinkgoT().Chdir("../..")
		found = names{}
		Expect(found.collect(".")).To(Succeed())
	})

	It("has a name of each kind", func() {
		Expect(found).To(And(
			HaveKey("schema field Attempt.request_id=1"), HaveKey("schema rpc Relay.Run Attempt stream Answer"),
			HaveKey("schema setting HIB_NAME"), HaveKey("schema setting --revoke-limit"),
			HaveKey("deploy gateway.env HIB_NAME={{nodeName}}"), HaveKey(`internal/event event 240 "request ended"`),
			HaveKey("internal/front text X-Outcome"), HaveKey("pkg/query grammar Show"),
		))
	})

	// Guards against a rename in one of two places that use a name, which the
	// compiler accepts.
	It("reports a name that stands in fewer places than before", func() {
		path := filepath.Join(GinkgoT().TempDir(), "names.txt")
		lines := append(found.sorted(), "internal/front text X-Outcome")
		Expect(os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)).To(Succeed())
		Expect(found.compare(path)).To(MatchError(ContainSubstring("1 names")))
	})
})
