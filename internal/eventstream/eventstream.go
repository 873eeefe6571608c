// Package eventstream cuts the body of a text/event-stream answer into whole events. An event that its sender broke
// off is never passed on, so that a stream can go on elsewhere after the last whole one.
package eventstream

import (
	"bytes"
	"errors"
	"strconv"
)

// maxEvent bounds one event in bytes: thousands of tokens, and little enough that many streams of a target that sends an event
// without an end fit into the memory of an instance at once.
const maxEvent = 128 << 10

// ErrTooLong says that an event exceeds the limit.
var ErrTooLong = errors.New("event too long")

// Splitter collects bytes and gives out whole events. The zero value is ready.
type Splitter struct{ buffered []byte }

// Append adds bytes as they were read.
func (s *Splitter) Append(p []byte) error {
	if len(s.buffered)+len(p) > maxEvent {
		return ErrTooLong
	}
	s.buffered = append(s.buffered, p...)
	return nil
}

// Next returns the next whole event with its closing empty line, nil if there is none yet. The slice is valid until
// the next Append.
func (s *Splitter) Next() []byte {
	end := boundary(s.buffered)
	if end < 0 {
		return nil
	}
	event := s.buffered[:end]
	s.buffered = s.buffered[end:]
	return event
}

// Rest is the number of bytes of an event that is not whole yet.
func (s *Splitter) Rest() int { return len(s.buffered) }

// boundary returns the length of the first event with its empty line, -1 if that has not arrived.
func boundary(p []byte) int {
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

// ID returns the number in the event's id field.
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
