// Package stream cuts an event stream into whole events. It is pure.
package stream

import (
	"bytes"
	"slices"
)

// Splitter collects bytes and gives back whole events. The zero value is ready
// for a stream's start.
type Splitter struct {
	rest []byte
	last string
}

// Last returns the id of the last whole event; empty before the first.
func (splitter *Splitter) Last() string { return splitter.last }

// Next returns a splitter for the answer that goes on after the last whole event.
func (splitter *Splitter) Next() Splitter { return Splitter{last: splitter.last} }

// Partial tells whether an event has begun and not ended.
func (splitter *Splitter) Partial() bool { return len(splitter.rest) > 0 }

// Events returns the bytes of all events that are whole with the added piece.
// The result is valid until the next call.
func (splitter *Splitter) Events(piece []byte) []byte {
	data := slices.Concat(splitter.rest, piece)
	end := 0
	for {
		size := eventSize(data[end:])
		if size == 0 {
			break
		}
		if id, ok := eventID(data[end : end+size]); ok {
			splitter.last = id
		}
		end += size
	}
	whole := data[:end]
	splitter.rest = data[end:]
	return whole
}

// eventSize returns the length of the first event with its closing empty line,
// or 0 when it is not whole.
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
