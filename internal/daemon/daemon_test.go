package daemon_test

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/daemon"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Daemon")
}

const limit = 20 * time.Second

type script struct {
	Arguments string            `json:"arguments"`
	Env       map[string]string `json:"env"`
	// Says lists substrings of the expected error, Prints those of the output.
	Says   []string `json:"says"`
	Prints []string `json:"prints"`
}

// Guards against a process that starts with an invalid setting, or whose error
// does not name the setting, its value and the allowed values.
var _ = It("checks every kind of setting at start and explains what is wrong", func() {
	text, err := os.ReadFile("testdata/settings.json")
	Expect(err).NotTo(HaveOccurred())
	var scripts []script
	Expect(json.Unmarshal(text, &scripts)).To(Succeed())
	for _, script := range scripts {
		By(script.Arguments)
		for name, value := range script.Env {
			Expect(os.Setenv(name, value)).To(Succeed())
		}
		var out bytes.Buffer
		ended := make(chan error, 1)
		go func() { ended <- daemon.Run(strings.Fields(script.Arguments), &out) }()
		var err error
		// A process that accepts an invalid setting keeps running, and the wait times out.
		Eventually(ended).WithTimeout(limit).Should(Receive(&err))
		for name := range script.Env {
			Expect(os.Unsetenv(name)).To(Succeed())
		}
		if len(script.Says) == 0 {
			Expect(err).NotTo(HaveOccurred())
		} else {
			Expect(err).To(HaveOccurred())
		}
		for _, expected := range script.Says {
			Expect(err.Error()).To(ContainSubstring(expected))
		}
		for _, expected := range script.Prints {
			Expect(out.String()).To(ContainSubstring(expected))
		}
	}
})
