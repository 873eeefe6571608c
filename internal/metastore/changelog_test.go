package metastore

import (
	"bytes"
	"slices"
	"testing"
)

func change(key string, revision uint64, size int) Event {
	return Event{Item: Item{Key: key, Revision: revision, Value: make([]byte, size)}}
}

// Guards against instances that are sent each version of a value when they are behind, and against an upstream whose memory grows with
// the versions of a large value.
func TestLogHoldsLatestChangeOfKey(t *testing.T) {
	var l changeLog
	l.reset(10)
	l.add([]Event{change("a", 11, 1), change("config", 12, 100)}, 12)
	l.add([]Event{change("config", 13, 100), change("b", 14, 1), change("config", 15, 100)}, 15)
	l.add([]Event{change("b", 14, 1)}, 15) // known already
	for after, want := range map[uint64][]uint64{10: {11, 14, 15}, 11: {14, 15}, 12: {14, 15}, 14: {15}, 15: nil} {
		events, asOf, ok := l.since(after)
		var got []uint64
		for _, e := range events {
			got = append(got, e.Revision)
		}
		if !ok || asOf != 15 || !slices.Equal(got, want) {
			t.Errorf("changes after %d: revisions %v as of %d, complete %v; want %v as of 15", after, got, asOf, ok, want)
		}
	}
	if _, _, ok := l.since(9); ok {
		t.Error("the log claims to be complete before its beginning")
	}
	l.add([]Event{{Item: Item{Key: "config", Revision: 16}, Deleted: true}}, 16)
	if events, _, _ := l.since(14); len(events) != 1 || !events[0].Deleted {
		t.Errorf("changes %v, want the deletion alone", events)
	}
}

// Guards against memory that grows with the number of versions of a large value.
func TestReplacedValuesAreBounded(t *testing.T) {
	r := replacedValues{maxBytes: 3 * largeValueBytes}
	for revision := range uint64(10) {
		r.add(Item{Key: "config", Revision: revision, Value: bytes.Repeat([]byte{byte(revision)}, largeValueBytes)})
		r.add(Item{Key: "small", Revision: revision, Value: []byte("x")})
	}
	if len(r.items) != 3 || r.bytes > r.maxBytes {
		t.Errorf("%d values of %d bytes are kept, want 3", len(r.items), r.bytes)
	}
	if v, ok := r.find("config", 8); !ok || v[0] != 8 {
		t.Error("the value of revision 8 is not kept")
	}
	if _, ok := r.find("config", 3); ok {
		t.Error("the value of revision 3 is kept")
	}
}
