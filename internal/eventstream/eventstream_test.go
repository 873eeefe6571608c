package eventstream

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// Guards against events that depend on how the stream is divided into reads, and against returning an incomplete event.
func TestEventsDoNotDependOnReadSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOf(rapid.SampledFrom([]string{
			"id: 1\ndata: a\n\n", "data: long line\ndata: second\nid: 22\n\n", "id: 3\r\ndata: c\r\n\r\n", ": comment\n\n",
		})).Draw(t, "events")
		text := strings.Join(events, "") + "id: 9\ndata: broken o"
		var s Splitter
		var got []string
		for text != "" {
			n := rapid.IntRange(1, len(text)).Draw(t, "cut")
			if err := s.Append([]byte(text[:n])); err != nil {
				t.Fatal(err)
			}
			text = text[n:]
			for e := s.Next(); e != nil; e = s.Next() {
				got = append(got, string(e))
			}
		}
		if strings.Join(got, "|") != strings.Join(events, "|") {
			t.Fatalf("events %q, want %q", got, events)
		}
		if s.Buffered() == 0 {
			t.Fatal("the incomplete event is not left in the buffer")
		}
	})
}

// Guards against reading an ID from the data of an event.
func TestID(t *testing.T) {
	for text, want := range map[string]uint64{"id: 12\ndata: x\n\n": 12, "data: x\nid:7\n\n": 7} {
		if got, ok := ID([]byte(text)); !ok || got != want {
			t.Errorf("%q: id %d, %v; want %d", text, got, ok, want)
		}
	}
	if _, ok := ID([]byte("data: id: 3\n\n")); ok {
		t.Error("found an ID in the data field")
	}
}

// Guards against unlimited buffering of an event that never ends.
func TestTooLong(t *testing.T) {
	var s Splitter
	if err := s.Append(make([]byte, maxEventBytes+1)); err == nil {
		t.Error("an event longer than maxEventBytes is accepted")
	}
}

// Guards against taking another number than that of its own id field for the ID of an event: a stream would be resumed at the wrong event.
func TestInvalidIDs(t *testing.T) {
	for _, text := range []string{
		"\n", ": id: 3\n\n", "data: x\n\n", "id\ndata: x\n\n", "id:\ndata: x\n\n", "id: x\n\n", "id: 3x\n\n", "id: -3\n\n", "id: +3\n\n", "id: 3.0\n\n", "id: 0x3\n\n",
		"id: 18446744073709551616\n\n", "identity: 3\n\n", " id: 3\n\n", "id : 3\n\n", "event: x\ndata: y\nretry: 3\n\n",
	} {
		if id, ok := ID([]byte(text)); ok {
			t.Errorf("%q: ID %d, want none", text, id)
		}
	}
}

// Guards against taking an event that was cut at any place for a complete one: only the empty line ends an event.
func TestCutEventIsIncomplete(t *testing.T) {
	for _, event := range []string{"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "data: {\"a\":1}\ndata: b\nid: 1\n\n"} {
		for n := 1; n < len(event); n++ {
			var s Splitter
			if err := s.Append([]byte("data: 0\n\n" + event[:n])); err != nil {
				t.Fatal(err)
			}
			if first := s.Next(); string(first) != "data: 0\n\n" {
				t.Fatalf("first event %q", first)
			}
			if e := s.Next(); e != nil || s.Buffered() != n {
				t.Errorf("%q of %q: event %q, %d bytes buffered, want none and %d", event[:n], event, e, s.Buffered(), n)
			}
		}
	}
}
