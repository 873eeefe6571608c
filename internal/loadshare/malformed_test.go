package loadshare

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against panics on fragments that contradict earlier ones of their sender: the UDP port receives datagrams from anywhere.
func TestContradictoryFragmentsDoNotPanic(t *testing.T) {
	table := NewTable(time.Second)
	for _, m := range []Message{
		{Sender: 1, Sequence: 5, Fragment: 0, Fragments: 3}, {Sender: 1, Sequence: 5, Fragment: 5, Fragments: 6}, {Sender: 1, Sequence: 5, Fragment: 1, Fragments: 3},
		{Sender: 1, Sequence: 5, Fragment: 2, Fragments: 3},
	} {
		table.Receive(&m, epoch)
	}
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable(time.Second), epoch
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			fragments := uint8(rapid.IntRange(1, 4).Draw(t, "pieces"))
			m := Message{
				Sender: uint64(rapid.IntRange(1, 2).Draw(t, "sender")), Sequence: uint64(rapid.IntRange(1, 3).Draw(t, "number")),
				Fragments: fragments, Fragment: uint8(rapid.IntRange(0, int(fragments)-1).Draw(t, "piece")),
				Members: 1, Loads: []Load{{Target: 1, PendingPrefill: 1}},
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "pause")) * time.Millisecond)
			table.Receive(&m, now)
			table.Sum(now)
		}
	})
}

// Guards against panics on arbitrary bytes: they must parse as a message or return an error.
func TestArbitraryBytesDoNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes")
		if rapid.Bool().Draw(t, "version") && len(raw) > 0 {
			raw[0] = formatVersion
		}
		if m, err := Parse(raw); err == nil {
			NewTable(time.Second).Receive(m, epoch)
			m.Split(1400)
		}
	})
}
