// Package loadshare puts together what the instances tell each other of the work that they have sent to targets, of the kept-cache
// stores that they fetched from, and of the targets that told them that they leave or how many requests they take. Each tells all of its own work at a steady rate, so a lost message is made good
// by the next. It has no I/O and no clock.
package loadshare

import (
	"encoding/binary"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/targetlimit"
)

// Load is the work of one instance at one target.
type Load struct {
	Target  uint64 // hash of its ID
	Urgency uint8
	Pending uint32 // prompt tokens sent and not read yet
	Held    uint32 // tokens of requests that have not ended
}

// Fetches are the fetches of one instance from one store since its last message.
type Fetches struct {
	Store  uint64 // hash of its address
	Count  uint8
	Strain uint16 // mean, in hundredths of what is bearable
}

// Message is what one instance tells.
type Message struct {
	Sender  uint64 // hash of the instance's name
	Number  uint64 // grows with each message of a process
	Kind    Kind
	Members uint16 // instances whose work it tells
	Piece   uint8  // of a message that is sent in several, which all have its number
	Pieces  uint8
	Fetches []Fetches
	Leaving []uint64                   // incarnations of targets that told the sender that they leave
	Limits  []targetlimit.Announcement // of targets that named one to the sender
	Loads   []Load
}

// Kind is whose work a message tells.
type Kind uint8

// Kinds of messages.
const (
	Own    Kind = iota // of the sender
	Domain             // of all instances of the sender's failure domain
	Total              // of all instances
	numKinds
)

const (
	version = 5
	// maxListed is the number of stores, and of leaving targets, that one message tells of.
	maxListed    = 255
	headerBytes  = 25
	fetchesBytes = 11
	leavingBytes = 8
)

var errMalformed = errors.New("malformed load message")

// Append encodes a message.
func (m *Message) Append(b []byte) []byte {
	fetches := m.Fetches[:min(len(m.Fetches), maxListed)]
	leaving := m.Leaving[:min(len(m.Leaving), maxListed)]
	limits := m.Limits[:min(len(m.Limits), maxListed)]
	b = append(b, version)
	b = binary.BigEndian.AppendUint64(b, m.Sender)
	b = binary.BigEndian.AppendUint64(b, m.Number)
	b = append(b, uint8(m.Kind))
	b = binary.BigEndian.AppendUint16(b, m.Members)
	b = append(b, m.Piece, max(m.Pieces, 1), uint8(len(fetches)), uint8(len(leaving)), uint8(len(limits)))
	for _, f := range fetches {
		b = binary.BigEndian.AppendUint64(b, f.Store)
		b = append(b, f.Count)
		b = binary.BigEndian.AppendUint16(b, f.Strain)
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
		b = binary.AppendUvarint(b, uint64(l.Pending))
		b = binary.AppendUvarint(b, uint64(l.Held))
	}
	return b
}

// Parse decodes a message.
func Parse(b []byte) (*Message, error) {
	if len(b) < headerBytes || b[0] != version {
		return nil, errMalformed
	}
	m := &Message{
		Sender: binary.BigEndian.Uint64(b[1:]), Number: binary.BigEndian.Uint64(b[9:]), Kind: Kind(b[17]),
		Members: binary.BigEndian.Uint16(b[18:]), Piece: b[20], Pieces: b[21],
	}
	if m.Kind >= numKinds || m.Piece >= m.Pieces {
		return nil, errMalformed
	}
	stores, leaving, limits := int(b[headerBytes-3]), int(b[headerBytes-2]), int(b[headerBytes-1])
	b = b[headerBytes:]
	if len(b) < stores*fetchesBytes+leaving*leavingBytes+limits*targetlimit.AnnouncementBytes {
		return nil, errMalformed
	}
	for range stores {
		m.Fetches = append(m.Fetches, Fetches{Store: binary.BigEndian.Uint64(b), Count: b[8], Strain: binary.BigEndian.Uint16(b[9:])})
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
		pending, n := binary.Uvarint(b[9:])
		if n <= 0 {
			return nil, errMalformed
		}
		held, k := binary.Uvarint(b[9+n:])
		if k <= 0 {
			return nil, errMalformed
		}
		l.Pending, l.Held = uint32(pending), uint32(held)
		m.Loads = append(m.Loads, l)
		b = b[9+n+k:]
	}
	return m, nil
}

// Table holds the last message of each sender. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	fresh time.Duration
	peers map[uint64]*peer
}

// peer is the last whole message of a sender, and the pieces of the next one.
type peer struct {
	number uint64
	at     time.Time
	sum    *Sum

	next    uint64
	pieces  uint8
	arrived map[uint8]*Message
}

// NewTable returns a table that forgets a sender that was not heard of for fresh.
func NewTable(fresh time.Duration) *Table {
	return &Table{fresh: fresh, peers: map[uint64]*peer{}}
}

// Take takes in a message. It returns true if it is whole now and no newer one was taken in before.
func (t *Table) Take(m *Message, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[m.Sender]
	if p != nil && m.Number <= p.number && now.Sub(p.at) < t.fresh {
		return false
	}
	if p == nil || now.Sub(p.at) >= t.fresh && p.sum != nil {
		p = &peer{at: now}
		t.peers[m.Sender] = p
	}
	if m.Pieces > 1 && !p.collect(m) {
		return false
	}
	sum := m.Sum()
	for i := uint8(0); i < m.Pieces && m.Pieces > 1; i++ {
		if i != m.Piece {
			rest := p.arrived[i]
			sum.Loads = append(slices.Clip(sum.Loads), rest.Loads...)
			sum.Fetches, sum.Leaving = append(sum.Fetches, rest.Fetches...), append(sum.Leaving, rest.Leaving...)
			sum.Limits = targetlimit.Merge(sum.Limits, rest.Limits)
		}
	}
	p.number, p.at, p.sum, p.arrived = m.Number, now, sum, nil
	return true
}

// collect takes in a piece and reports whether all of its message are there. Pieces of an older one are given up.
func (p *peer) collect(m *Message) bool {
	if p.arrived == nil || m.Number > p.next {
		p.next, p.pieces, p.arrived = m.Number, m.Pieces, map[uint8]*Message{}
	}
	if m.Number != p.next || m.Pieces != p.pieces {
		return false
	}
	p.arrived[m.Piece] = m
	return len(p.arrived) == int(p.pieces)
}

// All returns the last messages of all senders heard of lately, put together.
func (t *Table) All(now time.Time) *Sum {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*Sum
	for sender, p := range t.peers {
		if now.Sub(p.at) >= t.fresh {
			delete(t.peers, sender)
			continue
		}
		if p.sum != nil {
			list = append(list, p.sum.aged(now.Sub(p.at)))
		}
	}
	return Add(list...)
}
