package answer_test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/answer"
)

func TestAnswer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Answer")
}

type script struct {
	Name   string `json:"name"`
	Method string `json:"method"`
	Bytes  string `json:"bytes"`
	// Reset is set when the end of the connection is no orderly close.
	Reset bool `json:"reset"`
	// Malformed is set when the header is refused, Cut when the body is not complete.
	Malformed bool   `json:"malformed"`
	Cut       bool   `json:"cut"`
	Status    int    `json:"status"`
	Body      string `json:"body"`
}

func scripts() []script {
	text, err := os.ReadFile("testdata/answers.json")
	if err != nil {
		panic(err)
	}
	var list []script
	if err := json.Unmarshal(text, &list); err != nil {
		panic(err)
	}
	return list
}

// read reads the final response of a connection.
func read(source io.Reader, method string, endProof func() error) (*http.Response, []byte, error) {
	reader := answer.NewReader(source, endProof)
	if err := reader.Expect(); err != nil {
		return nil, nil, err
	}
	for {
		response, err := reader.Next(method)
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		reader.Accept()
		body, err := io.ReadAll(response.Body)
		return response, body, err
	}
}

// Guards against an answer that the caller gets although it is none in the protocol, or
// that is framed in another way than the engine framed it.
var _ = Describe("an answer", func() {
	for _, script := range scripts() {
		It("is read: "+script.Name, func() {
			endProof := func() error { return nil }
			if script.Reset {
				endProof = func() error { return errors.New("reset") }
			}
			for _, source := range []io.Reader{strings.NewReader(script.Bytes), iotest.OneByteReader(strings.NewReader(script.Bytes))} {
				response, body, err := read(source, script.Method, endProof)
				if script.Malformed {
					Expect(errors.Is(err, answer.ErrMalformed)).To(BeTrue(), "%v", err)
					continue
				}
				Expect(response).NotTo(BeNil(), "%v", err)
				Expect(response.StatusCode).To(Equal(script.Status))
				if script.Cut {
					Expect(err).To(HaveOccurred())
					Expect(errors.Is(err, io.EOF)).To(BeFalse(), "%v", err)
					continue
				}
				Expect(err).NotTo(HaveOccurred())
				Expect(string(body)).To(Equal(script.Body))
			}
		})
	}

	// Guards against a trailer without end, which an engine may send after a complete body.
	It("has a trailer that ends", func() {
		source := io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"), strings.NewReader(strings.Repeat("X: 1\r\n", 1<<20)))
		_, _, err := read(source, http.MethodGet, nil)
		Expect(errors.Is(err, answer.ErrTooLong)).To(BeTrue(), "%v", err)
	})
})
