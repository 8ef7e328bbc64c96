package event_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEvent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Event")
}

// Guards against events that are missing from the operators' catalogue.
var _ = It("has every event of the code in docs/EVENTS.md and no other", func() {
	code, err := os.ReadFile("event.go")
	Expect(err).NotTo(HaveOccurred())
	catalogue, err := os.ReadFile("../../docs/EVENTS.md")
	Expect(err).NotTo(HaveOccurred())
	inCode := pairs(regexp.MustCompile(`Event\{(\d+), "([^"]+)"\}`), code)
	inCatalogue := pairs(regexp.MustCompile(`(?m)^\| (\d+) \| ([^|]+) \|`), catalogue)
	Expect(inCode).NotTo(BeEmpty())
	Expect(inCatalogue).To(Equal(inCode))
})

func pairs(pattern *regexp.Regexp, text []byte) []string {
	var list []string
	for _, match := range pattern.FindAllSubmatch(text, -1) {
		list = append(list, fmt.Sprintf("%s %s", match[1], match[2]))
	}
	return list
}
