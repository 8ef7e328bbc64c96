package meter_test

import (
	"os"
	"regexp"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMeter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Meter")
}

// Guards against metrics without a unit, and against documentation that differs
// from the code.
var _ = It("has every metric of the code in docs/METRICS.md with its unit and no other", func() {
	code, err := os.ReadFile("meter.go")
	Expect(err).NotTo(HaveOccurred())
	page, err := os.ReadFile("../../docs/METRICS.md")
	Expect(err).NotTo(HaveOccurred())
	inCode := submatches(regexp.MustCompile(`= Metric\{"([^"]+)", "([^"]+)", "([^"]+)"\}`), code)
	inPage := submatches(regexp.MustCompile("(?m)^\\| `([a-zA-Z]+)` \\| ([^|]+) \\| ([^|`]+) \\|$"), page)
	Expect(inCode).NotTo(BeEmpty())
	Expect(inPage).To(Equal(inCode))
})

func submatches(pattern *regexp.Regexp, text []byte) [][]string {
	var found [][]string
	for _, match := range pattern.FindAllSubmatch(text, -1) {
		found = append(found, []string{string(match[1]), string(match[2]), string(match[3])})
	}
	return found
}
