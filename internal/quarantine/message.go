package quarantine

import (
	"encoding/json"
	"errors"
	"time"
)

const (
	// messageByte is the first byte of an encoded message. It differs from that of all other datagrams between instances.
	messageByte = 'K'
	// maxPartID and maxModel bound, in bytes, the names in a message.
	maxPartID = 128
	maxModel  = 128
	// suspectsPerMessage bounds the parts in one message, so that it fits into a datagram.
	suspectsPerMessage = 8
)

// Message is what instances tell each other: evidence and claims. Times are sent as ages.
type Message struct {
	Crash  *CrashReport  `json:"c,omitempty"`
	Served []ServedPart  `json:"s,omitempty"`
	Claim  *ClaimMessage `json:"l,omitempty"`
}

// CrashReport is a Crash in a message.
type CrashReport struct {
	Incarnation uint64            `json:"i"`
	AgeMs       int64             `json:"a"`
	Weights     int               `json:"v,omitempty"` // newest weight version of the target
	Suspects    []ReportedSuspect `json:"s"`
}

// ReportedSuspect is a Suspect in a message.
type ReportedSuspect struct {
	Part
	Request  uint32 `json:"q,omitempty"`
	Weak     bool   `json:"w,omitempty"`
	ServedMs int64  `json:"t,omitempty"` // age of ServedAt plus one; zero if there is none
}

// ServedPart says that the sender has received a complete answer to a request with the part.
type ServedPart struct {
	Part
	AgeMs int64 `json:"a"`
}

// ClaimMessage says that a request of the sender probes the parts, or has ended the probe.
type ClaimMessage struct {
	Holder   uint64 `json:"h"`
	Parts    []Part `json:"s"`
	Released bool   `json:"r,omitempty"`
}

var errMalformed = errors.New("malformed quarantine message")

// IsMessage reports whether a datagram is a message of this package.
func IsMessage(b []byte) bool { return len(b) > 0 && b[0] == messageByte }

// Encode returns the encoded message.
func (m *Message) Encode() ([]byte, error) {
	raw, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	return append([]byte{messageByte}, raw...), nil
}

// Parse decodes a message. It returns an error if it is malformed.
func Parse(b []byte) (*Message, error) {
	if !IsMessage(b) {
		return nil, errMalformed
	}
	m := new(Message)
	if err := json.Unmarshal(b[1:], m); err != nil {
		return nil, errors.Join(errMalformed, err)
	}
	var parts []Part
	if m.Crash != nil {
		if m.Crash.AgeMs < 0 {
			return nil, errMalformed
		}
		for _, s := range m.Crash.Suspects {
			if s.ServedMs < 0 {
				return nil, errMalformed
			}
			parts = append(parts, s.Part)
		}
	}
	for _, s := range m.Served {
		if s.AgeMs < 0 {
			return nil, errMalformed
		}
		parts = append(parts, s.Part)
	}
	if m.Claim != nil {
		parts = append(parts, m.Claim.Parts...)
	}
	for _, p := range parts {
		if p.ID == "" || len(p.ID) > maxPartID || len(p.Model) > maxModel {
			return nil, errMalformed
		}
	}
	return m, nil
}

// Valid reports whether the part's names may be sent in a message.
func (p Part) Valid() bool { return p.ID != "" && len(p.ID) <= maxPartID && len(p.Model) <= maxModel }

// Report returns the crash as it is reported to other instances, in messages of bounded size. A crash without suspects is reported as
// well: it makes others less significant.
func (c *Crash) Report(weights int, now time.Time) []Message {
	var out []Message
	for rest := c.Suspects; len(rest) > 0 || len(out) == 0; {
		n := min(len(rest), suspectsPerMessage)
		report := &CrashReport{Incarnation: c.Incarnation, AgeMs: ageMs(c.At, now), Weights: weights}
		for _, s := range rest[:n] {
			reported := ReportedSuspect{Part: s.Part, Request: s.Request, Weak: s.Weak}
			if !s.ServedAt.IsZero() {
				reported.ServedMs = ageMs(s.ServedAt, now) + 1
			}
			report.Suspects = append(report.Suspects, reported)
		}
		out = append(out, Message{Crash: report})
		rest = rest[n:]
	}
	return out
}

// Crash returns the reported crash. received is the time at which the message arrived.
func (r *CrashReport) Crash(received time.Time) Crash {
	c := Crash{Incarnation: r.Incarnation, At: fromAge(r.AgeMs, received)}
	for _, s := range r.Suspects {
		suspect := Suspect{Part: s.Part, Request: s.Request, Weak: s.Weak}
		if s.ServedMs > 0 {
			suspect.ServedAt = fromAge(s.ServedMs-1, received)
		}
		c.Suspects = append(c.Suspects, suspect)
	}
	return c
}

// ServedAt returns the message that a part was served at a time.
func ServedAt(p Part, at, now time.Time) ServedPart {
	return ServedPart{Part: p, AgeMs: ageMs(at, now)}
}

// At returns the time of the answer. received is the time at which the message arrived.
func (s *ServedPart) At(received time.Time) time.Time { return fromAge(s.AgeMs, received) }

func ageMs(at, now time.Time) int64 { return max(now.Sub(at).Milliseconds(), 0) }

func fromAge(ms int64, received time.Time) time.Time {
	const maxAge = 24 * time.Hour
	return received.Add(-min(time.Duration(min(ms, int64(maxAge/time.Millisecond)))*time.Millisecond, maxAge))
}
