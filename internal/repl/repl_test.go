package repl_test

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/repl"
)

func TestRepl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Repl")
}

type script struct {
	Name      string   `json:"name"`
	Tolerance int      `json:"tolerance"`
	InContact []bool   `json:"inContact"`
	Steps     []string `json:"steps"`
	IsOver    bool     `json:"isOver"`
	Verdict   string   `json:"verdict"`
}

var verdicts = map[string]repl.Verdict{"wait": repl.Wait, "acknowledge": repl.Acknowledge, "refuse": repl.Refuse}

// Guards against a record that is acknowledged and lost with one process, and against one
// that is never acknowledged because other processes are dead.
var _ = Describe("a record that control VMs replicate", func() {
	text, err := os.ReadFile("testdata/writes.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			write := repl.New(script.Tolerance, script.InContact)
			for at, step := range script.Steps {
				switch step {
				case "stored":
					write = write.WithStored()
				case "failed":
					write = write.WithFailure()
				case "unsupported":
					write = write.WithUnsupported(script.InContact[at])
				default:
					Fail("no step " + step)
				}
			}
			Expect(write.Verdict(script.IsOver)).To(Equal(verdicts[script.Verdict]))
		})
	}
})
