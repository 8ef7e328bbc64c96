package halt_test

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/halt"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestHalt(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Halt")
}

type script struct {
	Name string `json:"name"`
	// Took holds times and the durations of the answers that ended then, in ms.
	Took [][2]clock.Millis `json:"took"`
	Now  clock.Millis      `json:"now"`
	Left clock.Millis      `json:"left"`
	Fits bool              `json:"fits"`
}

// Guards against requests that are sent although the process ends before their answers.
var _ = Describe("a request at a gateway that is stopping", func() {
	text, err := os.ReadFile("testdata/fits.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It("is judged "+script.Name, func() {
			durations := halt.Durations{}
			for _, took := range script.Took {
				durations = durations.With(took[0], took[1])
			}
			Expect(durations.Fits(script.Now, script.Left)).To(Equal(script.Fits))
		})
	}
})
