// Package loadshare puts together what the instances tell each other of the work that they have sent to targets, of the kept-cache
// stores that they fetched from, and of the targets that told them that they leave. Each tells all of its own work at a steady rate, so a lost message is made good
// by the next. It has no I/O and no clock.
package loadshare

import (
	"encoding/binary"
	"errors"
	"sync"
	"time"
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
	Fetches []Fetches
	Leaving []uint64 // incarnations of targets that told the sender that they leave
	Loads   []Load
}

const (
	version = 3
	// maxListed is the number of stores, and of leaving targets, that one message tells of.
	maxListed    = 255
	headerBytes  = 19
	fetchesBytes = 11
	leavingBytes = 8
)

var errMalformed = errors.New("malformed load message")

// Append encodes a message.
func (m *Message) Append(b []byte) []byte {
	fetches := m.Fetches[:min(len(m.Fetches), maxListed)]
	leaving := m.Leaving[:min(len(m.Leaving), maxListed)]
	b = append(b, version)
	b = binary.BigEndian.AppendUint64(b, m.Sender)
	b = binary.BigEndian.AppendUint64(b, m.Number)
	b = append(b, uint8(len(fetches)), uint8(len(leaving)))
	for _, f := range fetches {
		b = binary.BigEndian.AppendUint64(b, f.Store)
		b = append(b, f.Count)
		b = binary.BigEndian.AppendUint16(b, f.Strain)
	}
	for _, incarnation := range leaving {
		b = binary.BigEndian.AppendUint64(b, incarnation)
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
	m := &Message{Sender: binary.BigEndian.Uint64(b[1:]), Number: binary.BigEndian.Uint64(b[9:])}
	stores, leaving := int(b[headerBytes-2]), int(b[headerBytes-1])
	b = b[headerBytes:]
	if len(b) < stores*fetchesBytes+leaving*leavingBytes {
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

// Table holds the last message of each instance. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	fresh time.Duration
	peers map[uint64]*peer
}

type peer struct {
	number uint64
	at     time.Time
	loads  []Load
}

// NewTable returns a table that forgets an instance that was not heard of for fresh.
func NewTable(fresh time.Duration) *Table {
	return &Table{fresh: fresh, peers: map[uint64]*peer{}}
}

// Take takes in a message. It returns false if a newer one was taken in before.
func (t *Table) Take(m *Message, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[m.Sender]
	if p != nil && m.Number <= p.number && now.Sub(p.at) < t.fresh {
		return false
	}
	t.peers[m.Sender] = &peer{number: m.Number, at: now, loads: m.Loads}
	return true
}

// Sums returns the work of all instances heard of lately, by target, and their number.
func (t *Table) Sums(now time.Time) (map[uint64][]Load, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[uint64][]Load{}
	for name, p := range t.peers {
		if now.Sub(p.at) >= t.fresh {
			delete(t.peers, name)
			continue
		}
		for _, l := range p.loads {
			sums[l.Target] = append(sums[l.Target], l)
		}
	}
	return sums, len(t.peers)
}
