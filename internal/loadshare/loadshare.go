// Package loadshare encodes and aggregates the load messages by which instances exchange the work that they have sent to targets,
// their fetches from KV-cache stores, and the departures and rate limits that targets have announced to them. Each instance sends
// the full state of its work periodically, so the next message makes up for a lost one. The package has no I/O and no clock.
package loadshare

import (
	"encoding/binary"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/targetlimit"
)

// Load is the work of one urgency that one or more instances have sent to one target.
type Load struct {
	Target         uint64 // hash of the target's ID
	Urgency        uint8
	PendingPrefill uint32 // prompt tokens sent but not prefilled yet
	InFlight       uint32 // tokens of the requests in flight
}

// Fetches summarizes the fetches of an instance from one KV-cache store since its last message.
type Fetches struct {
	Store         uint64 // hash of the store's address
	Count         uint8
	LatenessRatio uint16 // mean delay caused by a fetch, in hundredths of the tolerated delay
}

// Message is a load message of one instance.
type Message struct {
	Sender    uint64 // hash of the instance's name
	Sequence  uint64 // increases with each message of a process; all fragments of a message share it
	Kind      Kind
	Members   uint16 // number of instances whose work the message contains
	Fragment  uint8  // index of this fragment
	Fragments uint8  // number of fragments of the message
	Fetches   []Fetches
	Leaving   []uint64                   // incarnations of targets that announced their departure
	Limits    []targetlimit.Announcement // of targets that reported a rate limit
	Loads     []Load
}

// Kind determines whose work a message contains.
type Kind uint8

// Kinds of messages.
const (
	Own    Kind = iota // work of the sender
	Domain             // work of all instances in the sender's failure domain
	Total              // work of all instances
	numKinds
)

const (
	formatVersion = 5
	// maxListEntries is the maximum length of Fetches, Leaving and Limits in a message; their lengths are encoded in one byte.
	maxListEntries = 255
	headerBytes    = 25
	fetchesBytes   = 11
	leavingBytes   = 8
)

var errMalformed = errors.New("malformed load message")

// Append appends the encoded message to b. Entries beyond maxListEntries are left out.
func (m *Message) Append(b []byte) []byte {
	fetches := m.Fetches[:min(len(m.Fetches), maxListEntries)]
	leaving := m.Leaving[:min(len(m.Leaving), maxListEntries)]
	limits := m.Limits[:min(len(m.Limits), maxListEntries)]
	b = append(b, formatVersion)
	b = binary.BigEndian.AppendUint64(b, m.Sender)
	b = binary.BigEndian.AppendUint64(b, m.Sequence)
	b = append(b, uint8(m.Kind))
	b = binary.BigEndian.AppendUint16(b, m.Members)
	b = append(b, m.Fragment, max(m.Fragments, 1), uint8(len(fetches)), uint8(len(leaving)), uint8(len(limits)))
	for _, f := range fetches {
		b = binary.BigEndian.AppendUint64(b, f.Store)
		b = append(b, f.Count)
		b = binary.BigEndian.AppendUint16(b, f.LatenessRatio)
	}
	for _, incarnation := range leaving {
		b = binary.BigEndian.AppendUint64(b, incarnation)
	}
	for _, l := range limits {
		b = l.Append(b)
	}
	for _, l := range m.Loads {
		b = binary.BigEndian.AppendUint64(b, l.Target)
		b = append(b, l.Urgency)
		b = binary.AppendUvarint(b, uint64(l.PendingPrefill))
		b = binary.AppendUvarint(b, uint64(l.InFlight))
	}
	return b
}

// Parse decodes a message. It returns an error if the format version differs or the message is malformed.
func Parse(b []byte) (*Message, error) {
	if len(b) < headerBytes || b[0] != formatVersion {
		return nil, errMalformed
	}
	m := &Message{
		Sender: binary.BigEndian.Uint64(b[1:]), Sequence: binary.BigEndian.Uint64(b[9:]), Kind: Kind(b[17]),
		Members: binary.BigEndian.Uint16(b[18:]), Fragment: b[20], Fragments: b[21],
	}
	if m.Kind >= numKinds || m.Fragment >= m.Fragments {
		return nil, errMalformed
	}
	fetches, leaving, limits := int(b[headerBytes-3]), int(b[headerBytes-2]), int(b[headerBytes-1])
	b = b[headerBytes:]
	if len(b) < fetches*fetchesBytes+leaving*leavingBytes+limits*targetlimit.AnnouncementBytes {
		return nil, errMalformed
	}
	for range fetches {
		m.Fetches = append(m.Fetches, Fetches{Store: binary.BigEndian.Uint64(b), Count: b[8], LatenessRatio: binary.BigEndian.Uint16(b[9:])})
		b = b[fetchesBytes:]
	}
	for range leaving {
		m.Leaving = append(m.Leaving, binary.BigEndian.Uint64(b))
		b = b[leavingBytes:]
	}
	for range limits {
		l, err := targetlimit.ParseAnnouncement(b)
		if err != nil {
			return nil, errMalformed
		}
		m.Limits = append(m.Limits, l)
		b = b[targetlimit.AnnouncementBytes:]
	}
	for len(b) > 0 {
		if len(b) < 9 {
			return nil, errMalformed
		}
		l := Load{Target: binary.BigEndian.Uint64(b), Urgency: b[8]}
		pendingPrefill, n := binary.Uvarint(b[9:])
		if n <= 0 {
			return nil, errMalformed
		}
		inFlight, k := binary.Uvarint(b[9+n:])
		if k <= 0 {
			return nil, errMalformed
		}
		l.PendingPrefill, l.InFlight = uint32(pendingPrefill), uint32(inFlight)
		m.Loads = append(m.Loads, l)
		b = b[9+n+k:]
	}
	return m, nil
}

// Table holds the last complete message of each sender. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	ttl     time.Duration // age at which a message expires
	senders map[uint64]*senderState
}

// senderState is the last complete message of a sender, and the fragments of the next one.
type senderState struct {
	sequence   uint64
	receivedAt time.Time
	sum        *Sum // nil until a message is complete

	pendingSequence  uint64
	pendingFragments uint8
	fragments        map[uint8]*Message
}

// NewTable returns a table that drops a sender after ttl without a complete message.
func NewTable(ttl time.Duration) *Table {
	return &Table{ttl: ttl, senders: map[uint64]*senderState{}}
}

// Receive adds a message or a fragment of one. It returns true if the message is now complete and becomes the sender's last one, false
// if fragments are missing or a newer message was received before.
func (t *Table) Receive(m *Message, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.senders[m.Sender]
	if state != nil && m.Sequence <= state.sequence && now.Sub(state.receivedAt) < t.ttl {
		return false
	}
	if state == nil || now.Sub(state.receivedAt) >= t.ttl && state.sum != nil {
		state = &senderState{receivedAt: now}
		t.senders[m.Sender] = state
	}
	if m.Fragments > 1 && !state.addFragment(m) {
		return false
	}
	sum := m.Sum()
	for i := uint8(0); i < m.Fragments && m.Fragments > 1; i++ {
		if i != m.Fragment {
			other := state.fragments[i]
			sum.Loads = append(slices.Clip(sum.Loads), other.Loads...)
			sum.Fetches, sum.Leaving = append(sum.Fetches, other.Fetches...), append(sum.Leaving, other.Leaving...)
			sum.Limits = targetlimit.Merge(sum.Limits, other.Limits)
		}
	}
	state.sequence, state.receivedAt, state.sum, state.fragments = m.Sequence, now, sum, nil
	return true
}

// addFragment stores a fragment and reports whether its message is complete. Fragments of an older incomplete message are discarded.
func (s *senderState) addFragment(m *Message) bool {
	if s.fragments == nil || m.Sequence > s.pendingSequence {
		s.pendingSequence, s.pendingFragments, s.fragments = m.Sequence, m.Fragments, map[uint8]*Message{}
	}
	if m.Sequence != s.pendingSequence || m.Fragments != s.pendingFragments {
		return false
	}
	s.fragments[m.Fragment] = m
	return len(s.fragments) == int(s.pendingFragments)
}

// Sum returns the sum of the last messages of all senders, and drops expired ones.
func (t *Table) Sum(now time.Time) *Sum {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sums []*Sum
	for sender, state := range t.senders {
		if now.Sub(state.receivedAt) >= t.ttl {
			delete(t.senders, sender)
			continue
		}
		if state.sum != nil {
			sums = append(sums, state.sum.agedBy(now.Sub(state.receivedAt)))
		}
	}
	return Add(sums...)
}
