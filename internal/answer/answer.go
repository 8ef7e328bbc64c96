// Package answer reads HTTP/1.1 responses (RFC 9112) of endpoints and engines, which are
// input like the requests of callers. It is the one place that decides whether bytes are
// a complete response: every reader of responses uses it. It reads no clock.
//
// A response has a status from 100 to 599, field names that are tokens, one framing, and
// a body whose end is proven by that framing. What RFC 9112 lets a recipient repair, such
// as folded lines, is refused, because another recipient may repair it in another way.
package answer

import (
	"bufio"
	"io"
	"math"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxHeadBytes bounds what may arrive before the header of the wanted response is
	// complete, interim responses and those to other requests included.
	maxHeadBytes = 256 << 10
	// maxTrailerBytes bounds the trailer of a body in chunks.
	maxTrailerBytes = 16 << 10
	bufferSize      = 4 << 10
)

// ErrTooLong marks errors of responses whose header or trailer does not end. A faulty
// endpoint sends such bytes without end.
var ErrTooLong = errors.New("response header or trailer has no end")

// ErrMalformed marks errors of bytes that are no response.
var ErrMalformed = errors.New("malformed response")

func malformed(format string, values ...any) error {
	return errors.Mark(errors.Newf(format, values...), ErrMalformed)
}

// Reader reads the responses on one connection, one after the other.
type Reader struct {
	source *limitedReader
	buffer *bufio.Reader
	// endProof proves that a connection that was read to its end was not reset; see Next.
	endProof func() error
}

// NewReader returns a reader of the responses on a connection. A body without a length
// ends with the connection. When the connection was read to its end, endProof returns an
// error unless the endpoint closed it in order after it received the request: an error
// of a socket is reported once, and the goroutine that writes the request may have got
// it. nil stands for connections whose reads report every error.
func NewReader(connection io.Reader, endProof func() error) *Reader {
	source := &limitedReader{source: connection, remaining: math.MaxInt64}
	if endProof == nil {
		endProof = func() error { return nil }
	}
	return &Reader{source: source, buffer: bufio.NewReaderSize(source, bufferSize), endProof: endProof}
}

// Expect begins to count the bytes before the response to a new request, and waits for
// the first one.
func (reader *Reader) Expect() error {
	reader.source.remaining = maxHeadBytes
	_, err := reader.buffer.Peek(1)
	return err
}

// Accept ends the count of bytes that Expect began: the header is that of the wanted
// response, and its body may be of any length.
func (reader *Reader) Accept() { reader.source.remaining = math.MaxInt64 }

// Buffered returns the number of bytes that were received and not read.
func (reader *Reader) Buffered() int { return reader.buffer.Buffered() }

// Next reads the header of the next response, which may be an interim one, to a request
// with a method. The body is read by the caller, to its end before Next is called again.
// Errors are marked as ErrMalformed, or as ErrTooLong when the header has no end.
func (reader *Reader) Next(method string) (*http.Response, error) {
	response, err := reader.readHead()
	if err != nil {
		return nil, reader.mark(err)
	}
	if err := reader.frame(method, response); err != nil {
		return nil, err
	}
	return response, nil
}

// mark tells a header that the limit cut off from one that the endpoint did not end.
func (reader *Reader) mark(err error) error {
	if reader.source.remaining <= 0 {
		return errors.Mark(err, ErrTooLong)
	}
	return err
}

func (reader *Reader) readHead() (*http.Response, error) {
	line, err := reader.line()
	if err != nil {
		return nil, err
	}
	response, err := parseStatus(line)
	if err != nil {
		return nil, err
	}
	response.Header, err = reader.fields(reader.line)
	return response, err
}

// line reads a line without its end, which is CRLF or LF.
func (reader *Reader) line() (string, error) {
	text, err := reader.rawLine()
	return strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r"), err
}

// strictLine reads a line without its end, which is CRLF as in all of a body in chunks.
func (reader *Reader) strictLine() (string, error) {
	text, err := reader.rawLine()
	if err == nil && !strings.HasSuffix(text, "\r\n") {
		return "", malformed("line of a trailer ends with LF alone")
	}
	return strings.TrimSuffix(text, "\r\n"), err
}

func (reader *Reader) rawLine() (string, error) {
	text, err := reader.buffer.ReadString('\n')
	if errors.Is(err, io.EOF) {
		return "", errors.Mark(errors.Wrapf(io.ErrUnexpectedEOF, "response ends within a line of %d bytes", len(text)), ErrMalformed)
	}
	return text, err
}

// parseStatus parses a status line.
func parseStatus(line string) (*http.Response, error) {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	response := &http.Response{Proto: version, ProtoMajor: 1, Status: rest}
	switch version {
	case "HTTP/1.1":
		response.ProtoMinor = 1
	case "HTTP/1.0":
	default:
		return nil, malformed("status line %.40q names no version of HTTP/1", line)
	}
	if len(code) != 3 || strings.Trim(code, "0123456789") != "" || code[0] < '1' || code[0] > '5' {
		return nil, malformed("status %.40q is not from 100 to 599", code)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return nil, malformed("status line %.40q holds a control byte", line)
	}
	response.StatusCode = int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	return response, nil
}

// fields reads field lines up to an empty line.
func (reader *Reader) fields(next func() (string, error)) (http.Header, error) {
	header := http.Header{}
	for {
		line, err := next()
		if err != nil || line == "" {
			return header, err
		}
		name, value, found := strings.Cut(line, ":")
		// Folded lines begin with a blank, so that their name is no token.
		if !found || !httpguts.ValidHeaderFieldName(name) {
			return nil, malformed("field name %.40q is no token", name)
		}
		value = strings.Trim(value, " \t")
		if !httpguts.ValidHeaderFieldValue(value) {
			return nil, malformed("value of field %.40q holds a control byte", name)
		}
		key := textproto.CanonicalMIMEHeaderKey(name)
		header[key] = append(header[key], value)
	}
}

// frame sets the body of a response by its one framing.
func (reader *Reader) frame(method string, response *http.Response) error {
	coding, lengths := response.Header["Transfer-Encoding"], response.Header["Content-Length"]
	response.Close = closes(response)
	switch {
	case response.StatusCode == http.StatusSwitchingProtocols:
		return malformed("response switches to a protocol that no request asks for")
	case len(coding) > 0 && len(lengths) > 0:
		return malformed("response has Transfer-Encoding and Content-Length")
	case len(coding) > 0 && response.ProtoMinor == 0:
		return malformed("response of HTTP/1.0 has Transfer-Encoding")
	case len(coding) > 1 || len(coding) == 1 && !strings.EqualFold(coding[0], "chunked"):
		return malformed("transfer coding %.40q is not chunked alone", strings.Join(coding, ","))
	case len(lengths) > 1:
		return malformed("response has %d lengths", len(lengths))
	}
	length := int64(-1)
	if len(lengths) == 1 {
		var ok bool
		if length, ok = parseLength(lengths[0]); !ok {
			return malformed("length %.40q is no number of bytes", lengths[0])
		}
	}
	response.ContentLength = length
	switch {
	case hasNoBody(method, response.StatusCode):
		response.ContentLength, response.Body = 0, http.NoBody
	case len(coding) == 1:
		response.TransferEncoding = []string{"chunked"}
		response.Body = &body{part: &chunkedBody{reader: reader, part: httputil.NewChunkedReader(reader.buffer)}}
	case length == 0:
		response.Body = http.NoBody
	case length > 0:
		response.Body = &body{part: &sizedBody{source: reader.buffer, remaining: length}}
	default:
		response.Close = true
		response.Body = &body{part: &closedBody{reader: reader}}
	}
	return nil
}

func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified
}

// closes reports whether the connection ends after a response.
func closes(response *http.Response) bool {
	options := response.Header["Connection"]
	if response.ProtoMinor == 0 {
		return !httpguts.HeaderValuesContainsToken(options, "keep-alive")
	}
	return httpguts.HeaderValuesContainsToken(options, "close")
}

// parseLength parses a Content-Length, which is made of digits only.
func parseLength(text string) (int64, bool) {
	if text == "" || strings.Trim(text, "0123456789") != "" {
		return 0, false
	}
	length := int64(0)
	for _, digit := range text {
		if length > (math.MaxInt64-9)/10 {
			return 0, false
		}
		length = length*10 + int64(digit-'0')
	}
	return length, true
}
