package stream_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/stream"
)

func TestStream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Stream")
}

const whole = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: c\n\n"

// Guards against a piece of an event that goes to the caller: what follows it
// would come from another run.
var _ = It("passes on whole events only, wherever the bytes are cut", func() {
	for cut := 0; cut <= len(whole); cut++ {
		splitter := stream.Splitter{}
		passed := string(splitter.Events([]byte(whole[:cut])))
		Expect(whole[:cut]).To(HavePrefix(passed))
		Expect(splitter.Partial()).To(Equal(len(passed) < cut))
		passed += string(splitter.Events([]byte(whole[cut:])))
		Expect(passed).To(Equal(whole), "cut at %d", cut)
		Expect(splitter.Last()).To(Equal("3"))
		Expect(splitter.Partial()).To(BeFalse())
	}
})

var _ = It("goes on after the last whole event and forgets the broken one", func() {
	splitter := stream.Splitter{}
	splitter.Events([]byte("id: 7\ndata: a\n\nid: 8\ndata: half"))
	next := splitter.Next()
	Expect(next.Last()).To(Equal("7"))
	Expect(string(next.Events([]byte("id: 8\ndata: b\n\n")))).To(Equal("id: 8\ndata: b\n\n"))
})

func FuzzEvents(f *testing.F) {
	f.Add([]byte(whole), 5)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		if cut < 0 || cut > len(data) {
			return
		}
		once, twice := stream.Splitter{}, stream.Splitter{}
		all := string(once.Events(data))
		parts := string(twice.Events(data[:cut]))
		parts += string(twice.Events(data[cut:]))
		if all != parts || once.Last() != twice.Last() || once.Partial() != twice.Partial() {
			t.Fatalf("cut at %d: %q and %q differ", cut, all, parts)
		}
	})
}
