// Package frame follows the framing of the HTTP/1.1 requests (RFC 9112) on a connection
// without storing them. It does no I/O and reads no clock.
package frame

import (
	"bytes"
	"strconv"
)

// Phase is the part of a request that the next byte belongs to.
type Phase int

// Phases of a request.
const (
	// Head is the request line and the header.
	Head Phase = iota
	// Body is the body, with the trailer of a chunked one.
	Body
	// Unframed bytes follow a header whose framing is ambiguous or not supported. No later
	// request on the connection can be told apart.
	Unframed
)

// Chunked is the length of a body that is sent in chunks.
const Chunked = -1

// maxLineBytes is the length up to which a line is stored. Longer lines hold nothing that
// decides the framing: lengths are at most 20 digits, and servers accept no chunk
// extensions of this size.
const maxLineBytes = 256

const (
	// version ends the request line of a version whose framing is known.
	version = " HTTP/1.1"
	// endBytes is the length of version with the end of the line.
	endBytes = len(version + "\r\n")
)

// chunkStep is what follows in a chunked body.
type chunkStep int

const (
	chunkSize chunkStep = iota
	chunkData
	chunkEnd
	trailerLine
)

// Tracker follows the requests of one connection.
type Tracker struct {
	phase Phase
	// line holds the beginning of the current line of a header, chunk size or trailer, and
	// lineBytes counts all its bytes.
	line      []byte
	lineBytes int
	// end holds the last bytes of a request line, up to endBytes.
	end []byte
	// head describes the header of the current request, and trailer its trailer.
	head, trailer Size
	// hasLine is set once the request line was read.
	hasLine bool
	// other is set for a request of a version that is not known to be 1.1, in which
	// servers may ignore chunks.
	other bool
	// ambiguous is set for a header that servers may read in different ways.
	ambiguous bool
	// length is the length that the header states, with hasLength set, and chunked is set
	// if the body comes in chunks.
	length             int64
	hasLength, chunked bool
	expects            bool
	// remaining is the rest of the body or of the current chunk, in bytes.
	remaining int64
	step      chunkStep
}

// Size describes what a server parses out of a header or trailer.
type Size struct {
	// Bytes are the bytes received, Lines the lines ended and Commas the separators of
	// list elements.
	Bytes, Lines, Commas int
}

// with returns the size with more bytes, of which at most the last ends a line.
func (size Size) with(part []byte) Size {
	size.Bytes += len(part)
	size.Commas += bytes.Count(part, []byte{','})
	if bytes.HasSuffix(part, []byte{'\n'}) {
		size.Lines++
	}
	return size
}

// Phase returns the phase of the next byte.
func (tracker *Tracker) Phase() Phase { return tracker.phase }

// Head returns the size of the header of the current request so far.
func (tracker *Tracker) Head() Size { return tracker.head }

// Trailer returns the size of the trailer of the current request so far.
func (tracker *Tracker) Trailer() Size { return tracker.trailer }

// Length returns the length of the current request's body in bytes, or Chunked.
func (tracker *Tracker) Length() int64 {
	if tracker.chunked {
		return Chunked
	}
	return tracker.length
}

// Expects reports whether the caller of the current request waits for an interim response
// before it sends the body.
func (tracker *Tracker) Expects() bool { return tracker.expects }

// Feed follows bytes up to the end of the current phase or of the data. It returns the
// number of bytes that belong to the phase, and whether the request ends with them.
func (tracker *Tracker) Feed(data []byte) (used int, ended bool) {
	switch tracker.phase {
	case Head:
		return tracker.feedHead(data)
	case Body:
		return tracker.feedBody(data)
	default:
		return len(data), false
	}
}

func (tracker *Tracker) feedHead(data []byte) (used int, ended bool) {
	for used < len(data) {
		size, complete := tracker.feedLine(data[used:])
		tracker.head = tracker.head.with(data[used : used+size])
		if !tracker.hasLine {
			tracker.keepEnd(data[used : used+size])
		}
		used += size
		if !complete {
			return used, false
		}
		if len(tracker.line) == 0 && tracker.lineBytes <= len("\r\n") {
			tracker.lineBytes = 0
			if !tracker.hasLine {
				// Servers skip or refuse empty lines before a request.
				continue
			}
			return used, tracker.endHead()
		}
		tracker.headLine()
		tracker.line, tracker.lineBytes = tracker.line[:0], 0
	}
	return used, false
}

// feedLine adds bytes to the current line and reports whether they complete it. The end
// of the line is not stored.
func (tracker *Tracker) feedLine(data []byte) (used int, complete bool) {
	end := bytes.IndexByte(data, '\n')
	if used = end + 1; end < 0 {
		used = len(data)
	}
	part := data[:used]
	tracker.lineBytes += used
	tracker.line = append(tracker.line, part[:min(len(part), maxLineBytes-len(tracker.line))]...)
	if end < 0 {
		return used, false
	}
	if tracker.lineBytes <= maxLineBytes {
		tracker.line = bytes.TrimSuffix(bytes.TrimSuffix(tracker.line, []byte{'\n'}), []byte{'\r'})
	}
	return used, true
}

// headLine evaluates a complete line of a header.
func (tracker *Tracker) headLine() {
	if !tracker.hasLine {
		tracker.hasLine = true
		tracker.other = !bytes.HasSuffix(bytes.TrimRight(tracker.end, "\r\n"), []byte(version))
		return
	}
	if char := tracker.line[0]; char == ' ' || char == '\t' {
		// A folded line continues the line before, which may hold a length.
		tracker.ambiguous = true
		return
	}
	name, value, _ := bytes.Cut(tracker.line, []byte{':'})
	field := bytes.TrimSpace(name)
	isLength, isEncoding := bytes.EqualFold(field, []byte("Content-Length")), bytes.EqualFold(field, []byte("Transfer-Encoding"))
	if isExpect := bytes.EqualFold(field, []byte("Expect")); !isLength && !isEncoding && !isExpect {
		return
	}
	if len(field) != len(name) || tracker.lineBytes > maxLineBytes {
		tracker.ambiguous = true
		return
	}
	value = bytes.Trim(value, " \t")
	switch {
	case isLength:
		tracker.setLength(string(value))
	case isEncoding:
		if tracker.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			tracker.ambiguous = true
		}
		tracker.chunked = true
	default:
		tracker.expects = true
	}
}

// keepEnd keeps the last bytes of a request line.
func (tracker *Tracker) keepEnd(part []byte) {
	tracker.end = append(tracker.end, part[max(len(part)-endBytes, 0):]...)
	tracker.end = append(tracker.end[:0], tracker.end[max(len(tracker.end)-endBytes, 0):]...)
}

func (tracker *Tracker) setLength(text string) {
	// 63 bits exclude lengths that servers take for negative ones.
	length, err := strconv.ParseUint(text, 10, 63)
	if err != nil || text[0] == '+' || tracker.hasLength && int64(length) != tracker.length {
		tracker.ambiguous = true
		return
	}
	tracker.length, tracker.hasLength = int64(length), true
}

// endHead begins the body and reports whether the request ends without one.
func (tracker *Tracker) endHead() bool {
	switch {
	case tracker.ambiguous, tracker.chunked && (tracker.hasLength || tracker.other):
		tracker.phase = Unframed
	case tracker.chunked:
		tracker.phase, tracker.step = Body, chunkSize
	case tracker.length > 0:
		tracker.phase, tracker.remaining = Body, tracker.length
	default:
		tracker.endRequest()
		return true
	}
	return false
}

// endRequest prepares for the next request. The description of the one that ended stays
// until the next one begins.
func (tracker *Tracker) endRequest() {
	*tracker = Tracker{line: tracker.line[:0], end: tracker.end[:0], head: tracker.head, trailer: tracker.trailer, length: tracker.length, chunked: tracker.chunked, expects: tracker.expects}
}

// Begin discards the description of the request that ended.
func (tracker *Tracker) Begin() { *tracker = Tracker{line: tracker.line[:0], end: tracker.end[:0]} }

func (tracker *Tracker) feedBody(data []byte) (used int, ended bool) {
	if !tracker.chunked {
		used = int(min(int64(len(data)), tracker.remaining))
		if tracker.remaining -= int64(used); tracker.remaining == 0 {
			tracker.endRequest()
			return used, true
		}
		return used, false
	}
	for used < len(data) {
		if tracker.step == chunkData {
			size := int(min(int64(len(data)-used), tracker.remaining))
			used += size
			if tracker.remaining -= int64(size); tracker.remaining == 0 {
				tracker.step = chunkEnd
			}
			continue
		}
		size, complete := tracker.feedLine(data[used:])
		if tracker.step == trailerLine {
			tracker.trailer = tracker.trailer.with(data[used : used+size])
		}
		used += size
		if !complete {
			break
		}
		ended := tracker.chunkLine()
		tracker.line, tracker.lineBytes = tracker.line[:0], 0
		if ended {
			tracker.endRequest()
			return used, true
		}
		if tracker.phase == Unframed {
			return len(data), false
		}
	}
	return used, false
}

// chunkLine evaluates a complete line of a chunked body and reports whether the body ends
// with it.
func (tracker *Tracker) chunkLine() bool {
	empty := len(tracker.line) == 0
	switch tracker.step {
	case trailerLine:
		return empty
	case chunkEnd:
		tracker.step = chunkSize
		if !empty {
			tracker.phase = Unframed
		}
	default:
		digits, _, _ := bytes.Cut(tracker.line, []byte{';'})
		size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
		if err != nil || tracker.lineBytes > maxLineBytes {
			tracker.phase = Unframed
			return false
		}
		if tracker.remaining, tracker.step = int64(size), chunkData; size == 0 {
			tracker.step = trailerLine
		}
	}
	return false
}
