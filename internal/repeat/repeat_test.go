package repeat_test

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/repeat"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestRepeat(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Repeat")
}

// script is a series of callers of one route.
type script struct {
	Name    string `json:"name"`
	Callers []struct {
		At     clock.Millis `json:"at"`
		Stated clock.Millis `json:"stated"`
		Used   clock.Millis `json:"used"`
	} `json:"callers"`
}

// Guards against new callers that are taken for returned ones, and the other way
// round, because the timeout of the route is not the time for which callers wait.
var _ = Describe("the time that a caller has used", func() {
	text, err := os.ReadFile("testdata/callers.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			waits := repeat.Waits{}
			for number, caller := range script.Callers {
				waits = waits.With(caller.At, caller.Stated)
				Expect(waits.Used(caller.Stated)).To(Equal(caller.Used), "caller %d", number)
			}
		})
	}
})
