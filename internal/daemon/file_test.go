package daemon

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fileScript holds values of one setting in a settings file.
type fileScript struct {
	Role string   `json:"role"`
	Name string   `json:"name"`
	Kept []string `json:"kept"`
	// Replaced values are refused, and the process runs with the default.
	Replaced []string `json:"replaced"`
}

// required are settings without which no role starts.
const required = "HIB_NAME=n\nHIB_ZONE=z\nHIB_SEED=127.0.0.1:7000\nHIB_DATA=d\n"

// load parses a command line with a settings file and returns the errors of the
// values that were replaced.
func load(role, text string) ([]error, error) {
	path := filepath.Join(GinkgoT().TempDir(), "settings")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	arguments, file, err := openSettings([]string{role, "--settings", path})
	Expect(err).NotTo(HaveOccurred())
	defer func() {
		for _, name := range []string{"HIB_NAME", "HIB_ZONE", "HIB_SEED", "HIB_DATA", "HIB_LISTEN"} {
			_, err := file.file.Withdraw(name)
			Expect(err).NotTo(HaveOccurred())
		}
	}()
	_, err = file.parse(arguments, io.Discard)
	return file.refusals, err
}

// Guards against a process that ends at its start because of a number in the
// platform's settings: a retry slack of 37.333333333333336 kept every gateway
// from starting.
var _ = Describe("a value of a settings file", func() {
	text, err := os.ReadFile("testdata/files.json")
	if err != nil {
		panic(err)
	}
	var scripts []fileScript
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			for _, value := range script.Kept {
				refusals, err := load(script.Role, required+script.Name+"="+value+"\n")
				Expect(err).NotTo(HaveOccurred(), value)
				Expect(refusals).To(BeEmpty(), value)
				Expect(os.Unsetenv(script.Name)).To(Succeed())
			}
			for _, value := range script.Replaced {
				refusals, err := load(script.Role, required+script.Name+"="+value+"\n")
				Expect(err).NotTo(HaveOccurred(), value)
				Expect(refusals).To(HaveLen(1), value)
				Expect(refusals[0]).To(MatchError(ContainSubstring("setting --")), value)
			}
		})
	}

	It("ends the start with a clear error where no default can replace it", func() {
		_, err := load("gateway", required+"HIB_LISTEN=nowhere\n")
		Expect(err).To(MatchError(And(ContainSubstring("--listen"), ContainSubstring("nowhere"))))
	})
})

// FuzzSettings guards against a start that panics or does not return.
func FuzzSettings(f *testing.F) {
	f.Add("gateway", "HIB_RETRY_SLACK=37.333333333333336\nHIB_GRACE=8s\n")
	f.Add("control", "HIB_TOLERANCE=2e0\nHIB_BOOTSTRAP=perhaps\n")
	f.Fuzz(func(t *testing.T, role, text string) {
		path := filepath.Join(t.TempDir(), "settings")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		before := os.Environ()
		arguments, file, err := openSettings([]string{role, "--settings", path})
		if err == nil {
			// Any file must give settings or an error.
			_, _ = file.parse(arguments, io.Discard)
		}
		restore(t, before)
	})
}

func restore(t *testing.T, before []string) {
	os.Clearenv()
	for _, entry := range before {
		name, value, _ := strings.Cut(entry, "=")
		if err := os.Setenv(name, value); err != nil {
			t.Fatal(err)
		}
	}
}
