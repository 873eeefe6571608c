package targetlimit

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/egrethoist/egrethoist/internal/departure"
)

// GrantQuery is the datagram that asks another instance for a grant. It carries the sender's view of the target's limit.
type GrantQuery struct {
	Nonce   uint64
	Rank    uint8
	Control bool
	Announcement
}

// GrantReply is the datagram that answers a GrantQuery.
type GrantReply struct {
	Nonce   uint64 // of the query
	Granted bool
	Role    Role          // of the replying instance
	Wait    time.Duration // until the next try, if not granted
}

// The first byte of a datagram is its type. Load messages, which share the port, begin with their format version, a small number.
const (
	queryByte = 'Q'
	replyByte = 'R'

	queryBytes = 1 + 8 + 2 + AnnouncementBytes
	replyBytes = 1 + 8 + 2 + 4
	// AnnouncementBytes is the length of an encoded announcement in bytes.
	AnnouncementBytes = 8 + 4 + 4 + 4

	flagControl = 1
	flagGranted = 1
	// stillActive encodes EndedAgo of a limit that is still active.
	stillActive = math.MaxUint32
)

var errMalformed = errors.New("malformed target limit message")

// IsGrantQuery reports whether a datagram is a GrantQuery, by its first byte.
func IsGrantQuery(b []byte) bool { return len(b) > 0 && b[0] == queryByte }

// IsGrantReply reports whether a datagram is a GrantReply, by its first byte.
func IsGrantReply(b []byte) bool { return len(b) > 0 && b[0] == replyByte }

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d, 0).Milliseconds(), stillActive-1))
}

// Append appends the encoded announcement to b.
func (a Announcement) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(a.Incarnation))
	b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(a.PerSecond)))
	b = binary.BigEndian.AppendUint32(b, milliseconds(a.Age))
	endedAgo := uint32(stillActive)
	if !a.Active {
		endedAgo = milliseconds(a.EndedAgo)
	}
	return binary.BigEndian.AppendUint32(b, endedAgo)
}

// ParseAnnouncement decodes an announcement from the start of b. It returns an error if b is shorter than AnnouncementBytes or if
// the rate is negative or not a number.
func ParseAnnouncement(b []byte) (Announcement, error) {
	if len(b) < AnnouncementBytes {
		return Announcement{}, errMalformed
	}
	rate := float64(math.Float32frombits(binary.BigEndian.Uint32(b[8:])))
	if math.IsNaN(rate) || rate < 0 {
		return Announcement{}, errMalformed
	}
	a := Announcement{
		Incarnation: departure.Incarnation(binary.BigEndian.Uint64(b)), PerSecond: rate,
		Age: time.Duration(binary.BigEndian.Uint32(b[12:])) * time.Millisecond,
	}
	if endedAgo := binary.BigEndian.Uint32(b[16:]); endedAgo == stillActive {
		a.Active = true
	} else {
		a.EndedAgo = time.Duration(endedAgo) * time.Millisecond
	}
	return a, nil
}

// Append appends the encoded query to b.
func (q GrantQuery) Append(b []byte) []byte {
	b = append(b, queryByte)
	b = binary.BigEndian.AppendUint64(b, q.Nonce)
	flags := byte(0)
	if q.Control {
		flags |= flagControl
	}
	return q.Announcement.Append(append(b, q.Rank, flags))
}

// ParseGrantQuery decodes a query. It returns an error if the length, the type byte or the announcement is invalid.
func ParseGrantQuery(b []byte) (GrantQuery, error) {
	if len(b) != queryBytes || b[0] != queryByte {
		return GrantQuery{}, errMalformed
	}
	a, err := ParseAnnouncement(b[11:])
	return GrantQuery{Nonce: binary.BigEndian.Uint64(b[1:]), Rank: b[9], Control: b[10]&flagControl != 0, Announcement: a}, err
}

// Append appends the encoded reply to b.
func (r GrantReply) Append(b []byte) []byte {
	b = append(b, replyByte)
	b = binary.BigEndian.AppendUint64(b, r.Nonce)
	flags := byte(0)
	if r.Granted {
		flags |= flagGranted
	}
	return binary.BigEndian.AppendUint32(append(b, flags, byte(r.Role)), milliseconds(r.Wait))
}

// ParseGrantReply decodes a reply. It returns an error if the length, the type byte or the role is invalid.
func ParseGrantReply(b []byte) (GrantReply, error) {
	if len(b) != replyBytes || b[0] != replyByte || Role(b[10]) > Standby {
		return GrantReply{}, errMalformed
	}
	return GrantReply{
		Nonce: binary.BigEndian.Uint64(b[1:]), Granted: b[9]&flagGranted != 0, Role: Role(b[10]),
		Wait: time.Duration(binary.BigEndian.Uint32(b[11:])) * time.Millisecond,
	}, nil
}
