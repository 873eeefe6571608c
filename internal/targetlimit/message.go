package targetlimit

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/egrethoist/egrethoist/internal/departure"
)

// Question asks another instance for a grant.
type Question struct {
	Nonce   uint64
	Rank    uint8
	Control bool
	Announcement
}

// Reply answers a Question.
type Reply struct {
	Nonce   uint64
	Granted bool
	Role    Role // of the instance that replies
	Wait    time.Duration
}

// Kinds of messages by their first byte. Load messages begin with their version, a small number.
const (
	questionByte = 'Q'
	replyByte    = 'R'

	questionBytes = 1 + 8 + 2 + AnnouncementBytes
	replyBytes    = 1 + 8 + 2 + 4
	// AnnouncementBytes is the length of an encoded announcement.
	AnnouncementBytes = 8 + 4 + 4 + 4

	flagControl = 1
	flagGranted = 1
	// holds stands for the time since the end of a limit that holds.
	holds = math.MaxUint32
)

var errMalformed = errors.New("malformed message about a target's limit")

// IsQuestion and IsReply tell by its first byte what a datagram is.
func IsQuestion(b []byte) bool { return len(b) > 0 && b[0] == questionByte }

// IsReply reports whether a datagram is a Reply.
func IsReply(b []byte) bool { return len(b) > 0 && b[0] == replyByte }

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d, 0).Milliseconds(), holds-1))
}

// Append encodes an announcement.
func (a Announcement) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(a.Incarnation))
	b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(a.PerSecond)))
	b = binary.BigEndian.AppendUint32(b, milliseconds(a.Age))
	ended := uint32(holds)
	if !a.Named {
		ended = milliseconds(a.EndedAgo)
	}
	return binary.BigEndian.AppendUint32(b, ended)
}

// ParseAnnouncement decodes an announcement, from at least AnnouncementBytes bytes. A rate that is none is an error.
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
	if ended := binary.BigEndian.Uint32(b[16:]); ended == holds {
		a.Named = true
	} else {
		a.EndedAgo = time.Duration(ended) * time.Millisecond
	}
	return a, nil
}

// Append encodes a question.
func (q Question) Append(b []byte) []byte {
	b = append(b, questionByte)
	b = binary.BigEndian.AppendUint64(b, q.Nonce)
	flags := byte(0)
	if q.Control {
		flags |= flagControl
	}
	return q.Announcement.Append(append(b, q.Rank, flags))
}

// ParseQuestion decodes a question.
func ParseQuestion(b []byte) (Question, error) {
	if len(b) != questionBytes || b[0] != questionByte {
		return Question{}, errMalformed
	}
	a, err := ParseAnnouncement(b[11:])
	return Question{Nonce: binary.BigEndian.Uint64(b[1:]), Rank: b[9], Control: b[10]&flagControl != 0, Announcement: a}, err
}

// Append encodes a reply.
func (r Reply) Append(b []byte) []byte {
	b = append(b, replyByte)
	b = binary.BigEndian.AppendUint64(b, r.Nonce)
	flags := byte(0)
	if r.Granted {
		flags |= flagGranted
	}
	return binary.BigEndian.AppendUint32(append(b, flags, byte(r.Role)), milliseconds(r.Wait))
}

// ParseReply decodes a reply.
func ParseReply(b []byte) (Reply, error) {
	if len(b) != replyBytes || b[0] != replyByte || Role(b[10]) > StandIn {
		return Reply{}, errMalformed
	}
	return Reply{
		Nonce: binary.BigEndian.Uint64(b[1:]), Granted: b[9]&flagGranted != 0, Role: Role(b[10]),
		Wait: time.Duration(binary.BigEndian.Uint32(b[11:])) * time.Millisecond,
	}, nil
}
