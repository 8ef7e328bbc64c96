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

// Guards against a process that blocks because its log is not read.
var _ = It("never waits for a reader, and logs how many lines it dropped", func() {
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

// Guards against a burst of requests that floods the log.
var _ = It("limits the lines about requests, and no others", func() {
	var text bytes.Buffer
	log := event.NewBounded(&text, "n", "z")
	for range 1500 {
		log.Write(event.RequestEnded, "id", "r1")
	}
	log.Write(event.Stopped)
	log.Close()
	// The limit counts per second, and a new second may begin once during the writes.
	Expect(strings.Count(text.String(), "event=240")).To(BeNumerically("<=", 1000))
	Expect(text.String()).To(ContainSubstring("event=103"))
})
