package event_test

import (
	"bytes"
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
)

// Guards against a process that stands still because nobody reads its log.
var _ = It("never waits for a reader, and says how many lines it dropped", func() {
	reader, writer := io.Pipe()
	log := event.NewBounded(writer, "n", "z")
	wrote := make(chan struct{})
	go func() {
		defer close(wrote)
		for range 10_000 {
			log.Write(event.EndpointChanged, "endpoint", "e1")
		}
	}()
	Eventually(wrote).WithTimeout(30 * time.Second).Should(BeClosed())
	var text bytes.Buffer
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, err := text.ReadFrom(reader)
		Expect(err).NotTo(HaveOccurred())
	}()
	log.Close()
	Expect(writer.Close()).To(Succeed())
	Eventually(read).WithTimeout(30 * time.Second).Should(BeClosed())
	Expect(strings.Count(text.String(), "event=306")).To(BeNumerically("<", 10_000))
	Expect(text.String()).To(ContainSubstring("event=106"))
})

// Guards against a flood of requests that becomes a flood of lines.
var _ = It("bounds the lines on requests, and no others", func() {
	var text bytes.Buffer
	log := event.NewBounded(&text, "n", "z")
	for range 1500 {
		log.Write(event.RequestEnded, "id", "r1")
	}
	log.Write(event.Stopped)
	log.Close()
	// The second may change once while the lines are written.
	Expect(strings.Count(text.String(), "event=240")).To(BeNumerically("<=", 1000))
	Expect(text.String()).To(ContainSubstring("event=103"))
})
