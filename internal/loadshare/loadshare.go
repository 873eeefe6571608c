// Package loadshare puts together what the instances tell each other of the work that they have sent to targets. Each
// tells all of its own at a steady rate, so a lost message is made good by the next. It has no I/O and no clock.
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

const version = 1

var errMalformed = errors.New("malformed load message")

// Append encodes a message. sender is the hash of the instance's name, number grows with each message of a process.
func Append(b []byte, sender, number uint64, loads []Load) []byte {
	b = append(b, version)
	b = binary.BigEndian.AppendUint64(b, sender)
	b = binary.BigEndian.AppendUint64(b, number)
	for _, l := range loads {
		b = binary.BigEndian.AppendUint64(b, l.Target)
		b = append(b, l.Urgency)
		b = binary.AppendUvarint(b, uint64(l.Pending))
		b = binary.AppendUvarint(b, uint64(l.Held))
	}
	return b
}

// Parse decodes a message.
func Parse(b []byte) (sender, number uint64, loads []Load, err error) {
	if len(b) < 17 || b[0] != version {
		return 0, 0, nil, errMalformed
	}
	sender, number = binary.BigEndian.Uint64(b[1:]), binary.BigEndian.Uint64(b[9:])
	b = b[17:]
	for len(b) > 0 {
		if len(b) < 9 {
			return 0, 0, nil, errMalformed
		}
		l := Load{Target: binary.BigEndian.Uint64(b), Urgency: b[8]}
		pending, n := binary.Uvarint(b[9:])
		if n <= 0 {
			return 0, 0, nil, errMalformed
		}
		held, m := binary.Uvarint(b[9+n:])
		if m <= 0 {
			return 0, 0, nil, errMalformed
		}
		l.Pending, l.Held = uint32(pending), uint32(held)
		loads = append(loads, l)
		b = b[9+n+m:]
	}
	return sender, number, loads, nil
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

// Take takes in a message. An older one than the last is dropped.
func (t *Table) Take(sender, number uint64, loads []Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[sender]
	if p != nil && number <= p.number && now.Sub(p.at) < t.fresh {
		return
	}
	t.peers[sender] = &peer{number: number, at: now, loads: loads}
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
