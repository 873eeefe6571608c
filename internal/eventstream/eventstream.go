// Package eventstream splits the body of a text/event-stream response into complete events. An incomplete event is never
// returned, so that a broken stream can be resumed at another target after the last complete event.
package eventstream

import (
	"bytes"
	"errors"
	"strconv"
)

// maxEventBytes limits the size of one event. It allows for thousands of tokens, and is small enough that many concurrent
// streams of a target that never ends an event fit into the memory of an instance.
const maxEventBytes = 128 << 10

// ErrTooLong is returned when the buffered data exceeds the maximum size of an event.
var ErrTooLong = errors.New("event too long")

// Splitter buffers bytes and returns complete events. The zero value is ready to use.
type Splitter struct{ buffered []byte }

// Append buffers bytes read from the stream. It returns ErrTooLong, and buffers nothing, if the buffered data would exceed
// maxEventBytes.
func (s *Splitter) Append(p []byte) error {
	if len(s.buffered)+len(p) > maxEventBytes {
		return ErrTooLong
	}
	s.buffered = append(s.buffered, p...)
	return nil
}

// Next returns the next complete event including the empty line that ends it, or nil if there is none yet. The slice is
// valid until the next Append.
func (s *Splitter) Next() []byte {
	end := eventLength(s.buffered)
	if end < 0 {
		return nil
	}
	event := s.buffered[:end]
	s.buffered = s.buffered[end:]
	return event
}

// Buffered returns the number of buffered bytes: after Next has returned nil, those of an incomplete event.
func (s *Splitter) Buffered() int { return len(s.buffered) }

// eventLength returns the length of the first event including its empty line, or -1 if it is incomplete.
func eventLength(p []byte) int {
	for from := 0; ; {
		i := bytes.IndexByte(p[from:], '\n')
		if i < 0 {
			return -1
		}
		next := from + i + 1
		switch {
		case next < len(p) && p[next] == '\n':
			return next + 1
		case next+1 < len(p) && p[next] == '\r' && p[next+1] == '\n':
			return next + 2
		}
		from = next
	}
}

// HasData reports whether an event has a data field. One without is a comment or a field that says nothing about the content.
func HasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// ID returns the number in an event's id field. It returns false if the field is missing or not a number.
func ID(event []byte) (uint64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
