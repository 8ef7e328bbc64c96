package frame_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/frame"
)

func TestFrame(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Frame")
}

// script is the text of requests on a connection, and how it is told apart.
type script struct {
	Name string `json:"name"`
	Text string `json:"text"`
	// Ends are the positions at which requests end.
	Ends []int `json:"ends"`
	// Head is the number of bytes of the first header, Lines and Commas what it holds.
	Head   int `json:"head"`
	Lines  int `json:"lines"`
	Commas int `json:"commas"`
	// TrailerLines is the number of lines of the trailer of the first request, with the
	// empty one at its end.
	TrailerLines int `json:"trailerLines"`
	// Unframed is set if the requests cannot be told apart any more.
	Unframed bool `json:"unframed"`
}

// split follows a text in pieces of a size and returns where requests end, the size of the
// first header, that of its trailer and the phase at the end.
func split(text []byte, piece int) (ends []int, head, trailer frame.Size, last frame.Phase) {
	tracker, hasHead := frame.Tracker{}, false
	for at := 0; at < len(text); {
		end := min(at+piece, len(text))
		for at < end {
			used, ended := tracker.Feed(text[at:end])
			if at += used; !hasHead && (ended || tracker.Phase() != frame.Head) {
				head, hasHead = tracker.Head(), true
			}
			if ended {
				if len(ends) == 0 {
					trailer = tracker.Trailer()
				}
				ends = append(ends, at)
				tracker.Begin()
			}
		}
	}
	return ends, head, trailer, tracker.Phase()
}

var _ = Describe("a tracker", func() {
	text, err := os.ReadFile("testdata/requests.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			for _, piece := range []int{1, 2, 7, len(script.Text)} {
				ends, head, trailer, last := split([]byte(script.Text), piece)
				Expect(ends).To(Equal(script.Ends), "pieces of %d", piece)
				Expect(last == frame.Unframed).To(Equal(script.Unframed), "pieces of %d", piece)
				Expect(head).To(Equal(frame.Size{Bytes: script.Head, Lines: script.Lines, Commas: script.Commas}), "pieces of %d", piece)
				Expect(trailer.Lines).To(Equal(script.TrailerLines), "pieces of %d", piece)
			}
		})
	}
})

// FuzzFraming guards against a tracker that ends a request where a server does not, so
// that bytes of one request would be held back as those of another.
func FuzzFraming(f *testing.F) {
	text, err := os.ReadFile("testdata/requests.json")
	if err != nil {
		f.Fatal(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		f.Fatal(err)
	}
	for _, script := range scripts {
		f.Add([]byte(script.Text), 3)
	}
	f.Fuzz(func(t *testing.T, text []byte, piece int) {
		ends, _, _, last := split(text, max(piece, 1))
		source := bytes.NewReader(text)
		reader := bufio.NewReader(source)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		end := len(text) - source.Len() - reader.Buffered()
		if len(ends) > 0 && ends[0] != end {
			t.Fatalf("the request ends at %d, for the server at %d", ends[0], end)
		}
		if len(ends) == 0 && last != frame.Unframed {
			t.Fatalf("the request does not end, for the server at %d", end)
		}
	})
}
