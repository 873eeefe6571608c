package loadshare

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/egrethoist/egrethoist/internal/workspaceshare"
)

// UsageMessage is a message, or a fragment of one, on the work of workspaces. It is separate from load messages: usage changes
// within seconds and not within milliseconds, so it is sent less often, and a lost fragment of it loses no loads.
type UsageMessage struct {
	Sender    uint64 // hash of the instance's name
	Sequence  uint64 // increases with each message of a process
	Kind      Kind
	Fragment  uint8 // index of this fragment; a workspace is always in the fragment that its hash selects
	Fragments uint8
	Usage     []workspaceshare.Usage
}

const (
	usageByte       = 0xE5 // first byte of a usage message, which distinguishes it from other datagrams
	usageVersion    = 1
	usageHeader     = 21  // bytes
	usageGroup      = 6   // bytes of the header of the entries of one service
	usageEntry      = 8   // bytes
	usagePerMessage = 130 // on average; a fragment with a third more still fits into a usual MTU
	// maxUsageFragments bounds a message to about 4.3 KB. An active hub with 38 peers and 32 hubs of other domains that sends
	// one each second then needs a quarter of a link of 10 Mbit/s.
	maxUsageFragments = 4
	// MaxUsage is the number of workspaces in a message. The others are summed up by service.
	MaxUsage = maxUsageFragments * usagePerMessage
	// rateSteps is the number of steps by which an encoded rate doubles: a step is 0.035 %.
	rateSteps = 2000
)

// IsUsage reports whether a datagram is a usage message, by its first byte.
func IsUsage(b []byte) bool { return len(b) > 0 && b[0] == usageByte }

// encodeRate encodes work per second on a logarithmic scale, up to 2^32.
func encodeRate(rate float64) uint16 {
	return uint16(min(math.Round(math.Log2(1+max(rate, 0))*rateSteps), math.MaxUint16))
}

func decodeRate(code uint16) float64 { return math.Exp2(float64(code)/rateSteps) - 1 }

// Append appends the encoded fragment to b. It sorts Usage by service.
func (m *UsageMessage) Append(b []byte) []byte {
	b = append(b, usageByte, usageVersion, uint8(m.Kind), m.Fragment, m.Fragments)
	b = binary.BigEndian.AppendUint64(b, m.Sender)
	b = binary.BigEndian.AppendUint64(b, m.Sequence)
	slices.SortFunc(m.Usage, func(x, y workspaceshare.Usage) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Workspace, y.Workspace))
	})
	for rest := m.Usage; len(rest) > 0; {
		n := slices.IndexFunc(rest, func(u workspaceshare.Usage) bool { return u.Service != rest[0].Service })
		if n < 0 {
			n = len(rest)
		}
		n = min(n, math.MaxUint16)
		b = binary.BigEndian.AppendUint32(b, rest[0].Service)
		b = binary.BigEndian.AppendUint16(b, uint16(n))
		for _, u := range rest[:n] {
			b = binary.BigEndian.AppendUint32(b, u.Workspace)
			b = binary.BigEndian.AppendUint16(b, encodeRate(u.Asked))
			b = binary.BigEndian.AppendUint16(b, encodeRate(u.Used))
		}
		rest = rest[n:]
	}
	return b
}

// ParseUsage decodes a fragment. It returns an error if the version differs or the fragment is malformed.
func ParseUsage(b []byte) (*UsageMessage, error) {
	if len(b) < usageHeader || b[0] != usageByte || b[1] != usageVersion {
		return nil, errMalformed
	}
	m := &UsageMessage{
		Kind: Kind(b[2]), Fragment: b[3], Fragments: b[4],
		Sender: binary.BigEndian.Uint64(b[5:]), Sequence: binary.BigEndian.Uint64(b[13:]),
	}
	if m.Kind >= numKinds || m.Fragment >= m.Fragments || m.Fragments > maxUsageFragments {
		return nil, errMalformed
	}
	for b = b[usageHeader:]; len(b) > 0; {
		if len(b) < usageGroup {
			return nil, errMalformed
		}
		service, n := binary.BigEndian.Uint32(b), int(binary.BigEndian.Uint16(b[4:]))
		b = b[usageGroup:]
		if n == 0 || len(b) < n*usageEntry || len(m.Usage)+n > 2*MaxUsage {
			return nil, errMalformed
		}
		for range n {
			m.Usage = append(m.Usage, workspaceshare.Usage{
				Key:   workspaceshare.Key{Service: service, Workspace: binary.BigEndian.Uint32(b)},
				Asked: decodeRate(binary.BigEndian.Uint16(b[4:])), Used: decodeRate(binary.BigEndian.Uint16(b[6:])),
			})
			b = b[usageEntry:]
		}
	}
	return m, nil
}

// Split returns the fragments of the message, encoded. The MaxUsage workspaces with the most work asked for are in it, and the
// others as one sum for each service.
func (m *UsageMessage) Split() [][]byte {
	usage := boundUsage(m.Usage)
	fragments := min(max((len(usage)+usagePerMessage-1)/usagePerMessage, 1), maxUsageFragments)
	parts := make([][]workspaceshare.Usage, fragments)
	for _, u := range usage {
		i := int(u.Workspace) % fragments
		parts[i] = append(parts[i], u)
	}
	out := make([][]byte, fragments)
	for i, part := range parts {
		fragment := *m
		fragment.Fragment, fragment.Fragments, fragment.Usage = uint8(i), uint8(fragments), part
		out[i] = fragment.Append(nil)
	}
	return out
}

// boundUsage returns the MaxUsage largest entries, and the sum of the others by service.
func boundUsage(usage []workspaceshare.Usage) []workspaceshare.Usage {
	if len(usage) <= MaxUsage {
		return usage
	}
	usage = slices.Clone(usage)
	slices.SortFunc(usage, func(a, b workspaceshare.Usage) int {
		return cmp.Or(compareReserved(a, b), workspaceshare.Compare(a, b))
	})
	rest := map[uint32]workspaceshare.Usage{}
	for _, u := range usage[MaxUsage:] {
		sum := rest[u.Service]
		rest[u.Service] = workspaceshare.Usage{Key: u.Rest(), Asked: sum.Asked + u.Asked, Used: sum.Used + u.Used}
	}
	out := usage[:MaxUsage:MaxUsage]
	for i := range out {
		if sum, ok := rest[out[i].Service]; ok && out[i].Key == sum.Key {
			out[i].Asked, out[i].Used = out[i].Asked+sum.Asked, out[i].Used+sum.Used
			delete(rest, out[i].Service)
		}
	}
	for _, sum := range rest {
		out = append(out, sum)
	}
	return out
}

// compareReserved orders reserved keys first.
func compareReserved(a, b workspaceshare.Usage) int {
	switch {
	case a.Reserved() == b.Reserved():
		return 0
	case a.Reserved():
		return -1
	}
	return 1
}
