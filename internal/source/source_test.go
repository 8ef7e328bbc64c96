package source_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/source"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestSource(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Source")
}

type step struct {
	At clock.Millis `json:"at"`
	// Do is heard (of Control, Silence ago), reply, fail, pick, forget or known.
	Do      string       `json:"do"`
	Control string       `json:"control"`
	Zone    string       `json:"zone"`
	Silence clock.Millis `json:"silence"`
	// Want is the control VM that is picked, or those that are forgotten or known.
	Want string `json:"want"`
}

type script struct {
	Name string `json:"name"`
	// Guards says which failure the script guards against.
	Guards string   `json:"guards"`
	Seeds  []string `json:"seeds"`
	Steps  []step   `json:"steps"`
}

func (script script) run() {
	table := source.New("z1", "self")
	for at, step := range script.Steps {
		got := ""
		switch step.Do {
		case "heard":
			table = table.WithHeard(step.At, source.Control{Address: step.Control, Zone: step.Zone, HeardAt: step.At - step.Silence})
		case "reply":
			table = table.WithReply(step.Control, step.At)
		case "fail":
			table = table.WithFailure(step.Control, step.At)
		case "pick":
			table, got = table.WithPicked(script.Seeds, step.At)
		case "forget":
			var gone []string
			table, gone = table.WithoutGone(script.Seeds)
			got = strings.Join(gone, ",")
		case "known":
			var addresses []string
			for _, control := range table.Controls() {
				addresses = append(addresses, control.Address)
			}
			got = strings.Join(addresses, ",")
		default:
			Fail("no step " + step.Do)
		}
		Expect(got).To(Equal(step.Want), "step %d", at)
	}
}

var _ = Describe("the choice of a control VM", func() {
	text, err := os.ReadFile("testdata/table.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, script.run)
	}
})

// Guards against a control VM that is never tried again because others that are gone are
// always preferred to it. Every control VM that does not reply must be tried while a single
// loop looks for one, and one that is up must be found after each of the others was tried
// at most a few times.
var _ = It("tries every control VM that does not reply again and again", func() {
	table := source.New("z1", "")
	addresses := []string{"a", "b", "c", "d", "e", "f"}
	for at, address := range addresses {
		zone := "z1"
		if at >= 4 {
			zone = "z2"
		}
		table = table.WithHeard(100_000, source.Control{Address: address, Zone: zone, HeardAt: 100_000})
	}
	tried := map[string]int{}
	now := clock.Millis(100_000)
	for range 120 {
		var address string
		table, address = table.WithPicked(nil, now)
		tried[address]++
		now += 600
		table = table.WithFailure(address, now)
	}
	for _, address := range addresses {
		Expect(tried[address]).To(BeNumerically(">=", 120/len(addresses)/2), "%v", tried)
	}
})
