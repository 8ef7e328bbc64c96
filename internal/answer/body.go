package answer

import (
	"io"

	"github.com/cockroachdb/errors"
)

// limitedReader fails with ErrTooLong when more bytes are read than remain.
type limitedReader struct {
	source    io.Reader
	remaining int64
}

func (limited *limitedReader) Read(into []byte) (int, error) {
	if limited.remaining <= 0 {
		return 0, ErrTooLong
	}
	size, err := limited.source.Read(into[:min(int64(len(into)), limited.remaining)])
	limited.remaining -= int64(size)
	return size, err
}

// body is the body of a response. Its first error, which may be io.EOF, stays.
type body struct {
	part io.Reader
	err  error
}

func (body *body) Read(into []byte) (int, error) {
	if body.err != nil {
		return 0, body.err
	}
	size, err := body.part.Read(into)
	body.err = err
	return size, err
}

// Close does nothing: the connection belongs to the caller of the reader.
func (body *body) Close() error { return nil }

// sizedBody is a body with a Content-Length.
type sizedBody struct {
	source    io.Reader
	remaining int64
}

func (sized *sizedBody) Read(into []byte) (int, error) {
	if sized.remaining == 0 {
		return 0, io.EOF
	}
	size, err := sized.source.Read(into[:min(int64(len(into)), sized.remaining)])
	sized.remaining -= int64(size)
	if errors.Is(err, io.EOF) {
		err = errors.Wrapf(io.ErrUnexpectedEOF, "%d bytes of the body are missing", sized.remaining)
	}
	return size, err
}

// chunkedBody is a body in chunks. Its trailer is read and dropped.
type chunkedBody struct {
	reader *Reader
	part   io.Reader
}

func (chunked *chunkedBody) Read(into []byte) (int, error) {
	size, err := chunked.part.Read(into)
	if !errors.Is(err, io.EOF) {
		return size, err
	}
	source := chunked.reader.source
	before := source.remaining
	source.remaining = min(before, maxTrailerBytes)
	if _, err := chunked.reader.fields(chunked.reader.strictLine); err != nil {
		return size, errors.Wrap(chunked.reader.mark(err), "read trailer")
	}
	source.remaining = before
	return size, io.EOF
}

// closedBody is a body that ends with its connection.
type closedBody struct{ reader *Reader }

func (closed *closedBody) Read(into []byte) (int, error) {
	size, err := closed.reader.buffer.Read(into)
	if !errors.Is(err, io.EOF) {
		return size, err
	}
	if failure := closed.reader.endProof(); failure != nil {
		return size, errors.Mark(errors.Wrap(failure, "body ends with a connection that was not closed in order"), io.ErrUnexpectedEOF)
	}
	return size, io.EOF
}
