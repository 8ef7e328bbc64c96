package envset_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/envset"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestEnvset(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Envset")
}

func write(path, text string) {
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
}

var _ = It("exports values that the environment does not set, except empty ones", func() {
	path := filepath.Join(GinkgoT().TempDir(), "settings")
	write(path, "# comment\n\nHIB_TEST_ENVSET_A=file\nHIB_TEST_ENVSET_B=file=x\nHIB_TEST_ENVSET_C=\n")
	GinkgoT().Setenv("HIB_TEST_ENVSET_A", "environment")
	DeferCleanup(os.Unsetenv, "HIB_TEST_ENVSET_B")
	file, err := envset.Open(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(file.Export()).To(Succeed())
	Expect(os.Getenv("HIB_TEST_ENVSET_A")).To(Equal("environment"))
	Expect(os.Getenv("HIB_TEST_ENVSET_B")).To(Equal("file=x"))
	_, set := os.LookupEnv("HIB_TEST_ENVSET_C")
	Expect(set).To(BeFalse())
})

var _ = It("names the file, the line and the allowed format when the file cannot be read", func() {
	path := filepath.Join(GinkgoT().TempDir(), "settings")
	_, err := envset.Open(path)
	Expect(err).To(MatchError(ContainSubstring("no such file")))
	write(path, "HIB_A=1\nname=x\n")
	_, err = envset.Open(path)
	Expect(err).To(MatchError(And(ContainSubstring(path), ContainSubstring("line 2"), ContainSubstring("HIB_NAME=value"))))
})

// Guards against a process that keeps polling control VMs that were removed, or
// that loses its settings when the file becomes invalid while it runs.
var _ = It("reloads the file when it changes, and keeps its values when it becomes invalid", func() {
	path := filepath.Join(GinkgoT().TempDir(), "settings")
	write(path, "HIB_SEED=10.0.0.1,10.0.0.2\n")
	file, err := envset.Open(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(file.List("HIB_SEED")).To(Equal([]string{"10.0.0.1", "10.0.0.2"}))
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	var watching conc.WaitGroup
	DeferCleanup(func() { cancel(); watching.Wait() })
	watching.Go(func() { file.Watch(ctx, signals, clock.NewSystem(), event.Discard()) })
	write(path, "HIB_SEED=10.0.0.3\n")
	signals <- os.Interrupt
	Eventually(func() []string { return file.List("HIB_SEED") }).WithTimeout(30 * time.Second).Should(Equal([]string{"10.0.0.3"}))
	write(path, "invalid\n")
	_, err = file.Reload()
	Expect(err).To(HaveOccurred())
	Expect(file.List("HIB_SEED")).To(Equal([]string{"10.0.0.3"}))
})
