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
