// Package once runs a non-idempotent request at most once per key without a write to the key-value service on the
// request path. Every key has one home, a target chosen by rendezvous hashing. The ledger of the home's sidecar holds
// the keys dispatched by its own incarnation, and lets a key that it does not hold run only if it is proved that no
// other target or incarnation can have run it.
//
// The package has no I/O, clock or goroutines. A Ledger is not safe for concurrent use; its sidecar guards it.
package once

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"time"

	"github.com/google/uuid"
)

// Key identifies a request that must run at most once. The service is that of the ledger's target. Handovers contain it
// as JSON under the field names.
type Key struct {
	Workspace string
	Service   string
	ID        string // chosen by the caller, or the text of a Ticket
}

// MaxIDBytes bounds the length of Key.ID in bytes.
const MaxIDBytes = 256

// Layout of a ULID: 26 characters of Crockford's base 32, of which the first 10 encode the creation time in
// milliseconds.
const (
	ulidLen      = 26
	ulidTimeLen  = 10
	ulidAlphabet = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
)

// CreationTime returns the creation time in an ID that is a UUID version 7, a ULID or a ticket; false if it contains
// none.
func CreationTime(id string) (time.Time, bool) {
	if t, err := ParseTicket(id); err == nil {
		return t.Minted, true
	}
	if len(id) == ulidLen {
		return ulidTime(id)
	}
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var ms [8]byte
	copy(ms[2:], u[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:]))), true
}

func ulidTime(id string) (time.Time, bool) {
	var ms int64
	for i := range ulidLen {
		v := ulidDigit(id[i])
		if v < 0 {
			return time.Time{}, false
		}
		if i < ulidTimeLen {
			ms = ms<<5 | int64(v)
		}
	}
	return time.UnixMilli(ms), true
}

func ulidDigit(c byte) int {
	if 'a' <= c && c <= 'z' {
		c -= 'a' - 'A'
	}
	for i := range len(ulidAlphabet) {
		if ulidAlphabet[i] == c {
			return i
		}
	}
	return -1
}

// Ticket is a key that names the only sidecar incarnation that may run it. Callers request one ahead of a request, or
// an entry gateway creates one for a request without a key. A ticket is not signed: a caller who makes one up reaches
// only the keys of its own workspace, and the named incarnation admits it like any other request.
type Ticket struct {
	Target      string
	Incarnation uint64
	Workspace   string // workspace that it was issued to
	Minted      time.Time
	Nonce       [8]byte
}

// Encoding of a ticket: a prefix that no UUID or ULID starts with, then base64url of the fixed fields and the target
// name.
const (
	ticketPrefix     = "egt1."
	ticketFixedBytes = 8 + 8 + 8 + 8 // bytes of incarnation, minting time (ms), nonce and workspace tag
)

// ErrNotTicket is returned by ParseTicket for an ID that is not the text of a ticket.
var ErrNotTicket = errors.New("not a ticket")

// String returns the text of the ticket, which is the ID of its key.
func (t Ticket) String() string {
	b := make([]byte, ticketFixedBytes, ticketFixedBytes+len(t.Target))
	binary.BigEndian.PutUint64(b[0:], t.Incarnation)
	binary.BigEndian.PutUint64(b[8:], uint64(t.Minted.UnixMilli()))
	copy(b[16:], t.Nonce[:])
	binary.BigEndian.PutUint64(b[24:], workspaceTag(t.Workspace))
	return ticketPrefix + base64.RawURLEncoding.EncodeToString(append(b, t.Target...))
}

// ParseTicket decodes the text of a ticket, or returns ErrNotTicket. Workspace is left empty, since the text contains
// only its hash; use BoundTo to check it.
func ParseTicket(id string) (Ticket, error) {
	if len(id) <= len(ticketPrefix) || id[:len(ticketPrefix)] != ticketPrefix || len(id) > MaxIDBytes {
		return Ticket{}, ErrNotTicket
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(id[len(ticketPrefix):])
	if err != nil || len(b) <= ticketFixedBytes {
		return Ticket{}, ErrNotTicket
	}
	t := Ticket{
		Target:      string(b[ticketFixedBytes:]),
		Incarnation: binary.BigEndian.Uint64(b[0:]),
		Minted:      time.UnixMilli(int64(binary.BigEndian.Uint64(b[8:]))),
	}
	copy(t.Nonce[:], b[16:])
	return t, nil
}

// BoundTo reports whether id is the text of a ticket that was issued to the workspace.
func BoundTo(id, workspace string) bool {
	if _, err := ParseTicket(id); err != nil {
		return false
	}
	b, _ := base64.RawURLEncoding.DecodeString(id[len(ticketPrefix):])
	return binary.BigEndian.Uint64(b[24:]) == workspaceTag(workspace)
}
