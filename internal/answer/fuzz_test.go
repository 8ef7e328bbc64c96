package answer_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// FuzzRead checks that net/http reads every accepted response with the same status, fields
// and body.
func FuzzRead(f *testing.F) {
	for _, script := range scripts() {
		f.Add([]byte(script.Bytes))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		response, body, err := read(bytes.NewReader(text), http.MethodGet, nil) //nolint:bodyclose // read to its end
		if err != nil {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(text))
		for {
			other, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet}) //nolint:bodyclose // read to its end
			if err != nil {
				t.Fatalf("net/http refuses what is read as %d: %v", response.StatusCode, err)
			}
			if other.StatusCode >= http.StatusOK {
				compare(t, response, body, other)
				return
			}
		}
	})
}

func compare(t *testing.T, response *http.Response, body []byte, other *http.Response) {
	t.Helper()
	if other.StatusCode != response.StatusCode {
		t.Fatalf("status %d is %d for net/http", response.StatusCode, other.StatusCode)
	}
	otherBody, err := io.ReadAll(other.Body)
	if err != nil || !bytes.Equal(otherBody, body) {
		t.Fatalf("body %q is %q for net/http, error %v", body, otherBody, err)
	}
	for name, values := range response.Header {
		// net/http takes the framing out of the header.
		if len(values) != len(other.Header[name]) && name != "Transfer-Encoding" && name != "Trailer" {
			t.Fatalf("field %q has %d values, %d for net/http", name, len(values), len(other.Header[name]))
		}
	}
}
