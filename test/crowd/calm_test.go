package crowd_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// calmCase is a single request at the limits, which is served.
type calmCase struct {
	crowdCase
	Status int `json:"status"`
}

// Guards against bounds on crowds that a single client inside the limits meets.
var _ = Describe("a single request at the limits", Serial, func() {
	text, err := os.ReadFile(filepath.Join("testdata", "calm.json"))
	if err != nil {
		panic(err)
	}
	var cases []calmCase
	if err := json.Unmarshal(text, &cases); err != nil {
		panic(err)
	}
	for _, test := range cases {
		It(test.Name, func() {
			target := startTarget(test.crowdCase)
			status, body := exchange(target.address, withLength(test.request()))
			fmt.Printf("%s: peak %d MiB, memory %d MiB, status %d\n", test.Name, peakMemory(target.process), test.MemoryMiB, status)
			Expect(status).To(Equal(test.Status), body)
			Expect(peakMemory(target.process)).To(BeNumerically("<=", test.MemoryMiB), "resident memory")
		})
	}
})
