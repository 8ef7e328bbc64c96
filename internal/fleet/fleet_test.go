package fleet_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fleet"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fleet")
}

// Guards against a demo that fails, gets wrong responses or leaves files behind.
var _ = It("runs the demo, prints its tables and removes its data", func() {
	folder := GinkgoT().TempDir()
	Expect(os.Setenv("TMPDIR", folder)).To(Succeed())
	DeferCleanup(os.Unsetenv, "TMPDIR")
	var out bytes.Buffer
	Expect(fleet.Demo(opts.Embedded{DemoLoad: 2 * clock.Second, DemoSeed: 1, FleetHTTP: "127.0.0.1:0"}, &out)).To(Succeed(), out.String())
	for _, expected := range []string{"paid completions", "free completions", "bookings", "first p99", "accepted as revision", "endpoint6"} {
		Expect(out.String()).To(ContainSubstring(expected))
	}
	remaining, err := filepath.Glob(filepath.Join(folder, "*"))
	Expect(err).NotTo(HaveOccurred())
	Expect(remaining).To(BeEmpty())
})
