package stream_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/stream"
)

func TestStream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Stream")
}

const events = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: c\n\n"

// Guards against forwarding a partial event to the caller: after a retry, the bytes
// that follow it would come from another execution.
var _ = It("returns complete events only, wherever the bytes are split", func() {
	for cut := 0; cut <= len(events); cut++ {
		splitter := stream.Splitter{}
		returned := string(splitter.Events([]byte(events[:cut])))
		Expect(events[:cut]).To(HavePrefix(returned))
		Expect(splitter.Partial()).To(Equal(len(returned) < cut))
		returned += string(splitter.Events([]byte(events[cut:])))
		Expect(returned).To(Equal(events), "cut at %d", cut)
		Expect(splitter.LastID()).To(Equal("3"))
		Expect(splitter.Partial()).To(BeFalse())
	}
})

var _ = It("resumes after the last complete event and drops the partial one", func() {
	splitter := stream.Splitter{}
	splitter.Events([]byte("id: 7\ndata: a\n\nid: 8\ndata: half"))
	next := splitter.Next()
	Expect(next.LastID()).To(Equal("7"))
	Expect(string(next.Events([]byte("id: 8\ndata: b\n\n")))).To(Equal("id: 8\ndata: b\n\n"))
})

// Guards against an endpoint that fills the memory of a gateway with an event that
// has no end.
var _ = It("reports an event that has no end", func() {
	splitter := stream.Splitter{}
	splitter.Events([]byte("id: 7\ndata: a\n\n"))
	for sent := 0; sent <= stream.MaxEventBytes; sent += 8 << 10 {
		Expect(splitter.TooLong()).To(BeFalse())
		splitter.Events(bytes.Repeat([]byte("x"), 8<<10))
	}
	Expect(splitter.TooLong()).To(BeTrue())
	Expect(splitter.LastID()).To(Equal("7"))
})

func FuzzEvents(f *testing.F) {
	f.Add([]byte(events), 5)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		if cut < 0 || cut > len(data) {
			return
		}
		once, twice := stream.Splitter{}, stream.Splitter{}
		all := string(once.Events(data))
		parts := string(twice.Events(data[:cut]))
		parts += string(twice.Events(data[cut:]))
		if all != parts || once.LastID() != twice.LastID() || once.Partial() != twice.Partial() {
			t.Fatalf("cut at %d: %q and %q differ", cut, all, parts)
		}
	})
}
