// Package stream splits a server-sent event stream into complete events. It has no
// side effects.
package stream

import (
	"bytes"
	"slices"
)

// MaxEventBytes is the size above which an incomplete event is TooLong.
const MaxEventBytes = 256 << 10

// Splitter buffers partial events and returns complete ones. The zero value is ready
// for the start of a stream.
type Splitter struct {
	// partial holds the bytes after the last complete event.
	partial []byte
	lastID  string
}

// LastID returns the id of the last complete event; empty before the first.
func (splitter *Splitter) LastID() string { return splitter.lastID }

// Next returns a splitter for the response that resumes the stream after the last
// complete event.
func (splitter *Splitter) Next() Splitter { return Splitter{lastID: splitter.lastID} }

// Partial reports whether the bytes so far end with an incomplete event.
func (splitter *Splitter) Partial() bool { return len(splitter.partial) > 0 }

// TooLong reports whether an event has grown beyond MaxEventBytes without an end. A
// faulty endpoint sends such bytes without end.
func (splitter *Splitter) TooLong() bool { return len(splitter.partial) > MaxEventBytes }

// Events adds a chunk of the stream and returns the bytes of all events that are now
// complete. The result is valid until the next call.
func (splitter *Splitter) Events(chunk []byte) []byte {
	data := slices.Concat(splitter.partial, chunk)
	end := 0
	for {
		size := eventSize(data[end:])
		if size == 0 {
			break
		}
		if id, ok := eventID(data[end : end+size]); ok {
			splitter.lastID = id
		}
		end += size
	}
	complete := data[:end]
	splitter.partial = data[end:]
	return complete
}

// eventSize returns the length of the first event including the empty line that ends
// it, or 0 when the event is incomplete.
func eventSize(data []byte) int {
	for at := 0; at < len(data); {
		next := bytes.IndexByte(data[at:], '\n')
		if next < 0 {
			return 0
		}
		line := data[at : at+next]
		at += next + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return at
		}
	}
	return 0
}

func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
