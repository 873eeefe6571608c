// Package units parses and formats durations, sizes, rates, addresses and digests as they are written in manifests and settings.
package units

import (
	"encoding/hex"
	"fmt"
	"math/big"
	"net/netip"
	"regexp"
	"strings"
	"time"
)

// Duration is a non-negative duration written with a unit, such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration in Go's syntax. It returns an error if it is negative.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("bad duration %q: want a number with a unit, such as \"250ms\"", b)
	}
	if v < 0 {
		return fmt.Errorf("bad duration %q: must not be negative", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the canonical form.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Size is a number of bytes written with a unit, such as "64MiB".
type Size int64

// UnmarshalText parses a size in B, kB, MB, GB, TB, KiB, MiB, GiB or TiB. It returns an error unless it is a whole number of bytes.
func (s *Size) UnmarshalText(b []byte) error {
	n, ok := parseBytes(string(b))
	if !ok {
		return fmt.Errorf("bad size %q: want whole bytes with a unit, such as \"64MiB\"", b)
	}
	*s = Size(n)
	return nil
}

// MarshalText writes the canonical form.
func (s Size) MarshalText() ([]byte, error) { return []byte(formatBytes(int64(s))), nil }

// Rate is a number of bytes per second, such as "1.25GB/s".
type Rate int64

// UnmarshalText parses a size followed by "/s". It returns an error if the rate is zero.
func (r *Rate) UnmarshalText(b []byte) error {
	size, perSec := strings.CutSuffix(string(b), "/s")
	n, ok := parseBytes(size)
	if !perSec || !ok || n == 0 {
		return fmt.Errorf("bad rate %q: want bytes per second above zero, such as \"1.25GB/s\"", b)
	}
	*r = Rate(n)
	return nil
}

// MarshalText writes the canonical form.
func (r Rate) MarshalText() ([]byte, error) { return []byte(formatBytes(int64(r)) + "/s"), nil }

// Address is an IP address with a port.
type Address struct{ netip.AddrPort }

// UnmarshalText parses IP:port. It returns an error for a host name or port zero.
func (a *Address) UnmarshalText(b []byte) error {
	v, err := netip.ParseAddrPort(string(b))
	if err != nil {
		return fmt.Errorf("bad address %q: want an IP number and a port, such as \"10.0.0.7:7100\"", b)
	}
	if v.Port() == 0 {
		return fmt.Errorf("bad address %q: the port must not be zero", b)
	}
	a.AddrPort = v
	return nil
}

// Hash is a SHA-256 digest, written in hex.
type Hash [32]byte

// UnmarshalText parses 64 hex digits.
func (h *Hash) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(h)) {
		return fmt.Errorf("bad digest: want %d hex digits, got %d characters", hex.EncodedLen(len(h)), len(b))
	}
	if _, err := hex.Decode(h[:], b); err != nil {
		return fmt.Errorf("bad digest: %v", err)
	}
	return nil
}

// MarshalText writes lower-case hex.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// unit is a unit suffix and its size in bytes.
type unit struct {
	name  string
	bytes int64
}

// units is ordered by size, largest first. If one suffix ends in another, as "KiB" does in "B", the longer one comes first.
var units = []unit{
	{"TiB", 1 << 40}, {"TB", 1e12}, {"GiB", 1 << 30}, {"GB", 1e9},
	{"MiB", 1 << 20}, {"MB", 1e6}, {"KiB", 1 << 10}, {"kB", 1e3}, {"B", 1},
}

var decimalPattern = regexp.MustCompile(`^[0-9]{1,18}(\.[0-9]{1,9})?$`)

// parseBytes parses a decimal number with a unit and returns the number of bytes. It reports false if the text is malformed, or if the
// result is not a whole number or overflows an int64.
func parseBytes(s string) (int64, bool) {
	for _, u := range units {
		number, ok := strings.CutSuffix(s, u.name)
		if !ok {
			continue
		}
		if !decimalPattern.MatchString(number) {
			return 0, false
		}
		r, _ := new(big.Rat).SetString(number)
		r.Mul(r, new(big.Rat).SetInt64(u.bytes))
		if !r.IsInt() || !r.Num().IsInt64() {
			return 0, false
		}
		return r.Num().Int64(), true
	}
	return 0, false
}

// formatBytes writes n in the largest unit that divides it.
func formatBytes(n int64) string {
	for _, u := range units {
		if n >= u.bytes && n%u.bytes == 0 {
			return fmt.Sprintf("%d%s", n/u.bytes, u.name)
		}
	}
	return "0B"
}
