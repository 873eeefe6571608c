package loadshare

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A datagram that contradicts an earlier one of its sender, or that comes from anywhere, must not end the process.
func TestContradictoryPiecesEndNothing(t *testing.T) {
	table := NewTable(time.Second)
	for _, m := range []Message{
		{Sender: 1, Number: 5, Piece: 0, Pieces: 3}, {Sender: 1, Number: 5, Piece: 5, Pieces: 6}, {Sender: 1, Number: 5, Piece: 1, Pieces: 3},
		{Sender: 1, Number: 5, Piece: 2, Pieces: 3},
	} {
		table.Take(&m, epoch)
	}
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable(time.Second), epoch
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			pieces := uint8(rapid.IntRange(1, 4).Draw(t, "pieces"))
			m := Message{
				Sender: uint64(rapid.IntRange(1, 2).Draw(t, "sender")), Number: uint64(rapid.IntRange(1, 3).Draw(t, "number")),
				Pieces: pieces, Piece: uint8(rapid.IntRange(0, int(pieces)-1).Draw(t, "piece")),
				Members: 1, Loads: []Load{{Target: 1, Pending: 1}},
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "pause")) * time.Millisecond)
			table.Take(&m, now)
			table.All(now)
		}
	})
}

// Bytes of any kind are a message or an error.
func TestArbitraryBytesEndNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes")
		if rapid.Bool().Draw(t, "version") && len(raw) > 0 {
			raw[0] = version
		}
		if m, err := Parse(raw); err == nil {
			NewTable(time.Second).Take(m, epoch)
			m.Split(1400)
		}
	})
}
