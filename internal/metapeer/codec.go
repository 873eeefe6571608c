package metapeer

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/bits"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/egrethoist/egrethoist/internal/metastore"
)

// A body of mediaType is a byte that tells its form, followed by the payload in that form. The payload is the length of a head as a
// uvarint, the head as JSON, and the values of its items one after the other.

// Forms of a payload.
const (
	formPlain      = 0
	formCompressed = 1
	formDifference = 2 // compressed with the value that the request names as a dictionary
)

const (
	// minPacked is the size from which a payload is compressed.
	minPacked = 8 << 10
	// minWindow is the smallest window of a compressor.
	minWindow = 1 << 20
	// dictionaryID marks compressed payloads that need the named value. The checksum of the payload tells a wrong value.
	dictionaryID = 1
)

// wireHead is the head of a payload.
type wireHead struct {
	AsOf  uint64
	Whole bool       // the items are the full state
	Items []wireItem // nil: none were asked for
}

// wireItem is an item or a change. Its value has Size bytes.
type wireItem struct {
	Key      string
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64 `json:",omitempty"`
	Deleted  bool   `json:",omitempty"`
	Size     int    `json:",omitempty"`
}

var errMalformed = errors.New("malformed metadata of another instance")

// encodePayload encodes events as of a revision; nil events are kept apart from none.
func encodePayload(asOf uint64, whole bool, events []metastore.Event) ([]byte, error) {
	head := wireHead{AsOf: asOf, Whole: whole}
	size := 0
	if events != nil {
		head.Items = make([]wireItem, len(events))
	}
	for i, e := range events {
		head.Items[i] = wireItem{Key: e.Key, Revision: e.Revision, Created: e.Created, Lease: uint64(e.Lease), Deleted: e.Deleted, Size: len(e.Value)}
		size += len(e.Value)
	}
	raw, err := json.Marshal(head)
	if err != nil {
		return nil, err
	}
	out := make([]byte, 0, binary.MaxVarintLen64+len(raw)+size)
	out = binary.AppendUvarint(out, uint64(len(raw)))
	out = append(out, raw...)
	for _, e := range events {
		out = append(out, e.Value...)
	}
	return out, nil
}

// decodePayload decodes what encodePayload returned. The values share memory with the payload.
func decodePayload(payload []byte) (asOf uint64, whole bool, events []metastore.Event, err error) {
	size, n := binary.Uvarint(payload)
	if n <= 0 || size > uint64(len(payload)-n) {
		return 0, false, nil, fmt.Errorf("%w: head of %d bytes", errMalformed, size)
	}
	var head wireHead
	if err := json.Unmarshal(payload[n:n+int(size)], &head); err != nil {
		return 0, false, nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	values := payload[n+int(size):]
	if head.Items != nil {
		events = make([]metastore.Event, len(head.Items))
	}
	for i, w := range head.Items {
		if w.Size < 0 || w.Size > len(values) {
			return 0, false, nil, fmt.Errorf("%w: value of %d bytes", errMalformed, w.Size)
		}
		events[i] = metastore.Event{Item: metastore.Item{Key: w.Key, Revision: w.Revision, Created: w.Created, Lease: metastore.LeaseID(w.Lease)}, Deleted: w.Deleted}
		if w.Size > 0 {
			events[i].Value = values[:w.Size:w.Size]
		}
		values = values[w.Size:]
	}
	if len(values) > 0 {
		return 0, false, nil, fmt.Errorf("%w: %d bytes too many", errMalformed, len(values))
	}
	return head.AsOf, head.Whole, events, nil
}

// pack returns the body of a payload for an instance that has the value base; nil: none.
func pack(payload, base []byte) ([]byte, error) {
	if len(payload) < minPacked {
		return append([]byte{formPlain}, payload...), nil
	}
	form := byte(formCompressed)
	window := max(minWindow, 1<<bits.Len(uint(len(payload)+len(base))))
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(min(window, zstd.MaxWindowSize)),
	}
	if len(base) > 0 {
		form = formDifference
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	defer e.Close()
	return e.EncodeAll(payload, []byte{form}), nil
}

// unpack returns the payload of a body, which has at most maxBytes. base is the value that the request named; nil: none.
func unpack(body, base []byte, maxBytes int64) ([]byte, error) {
	if len(body) == 0 {
		return nil, fmt.Errorf("%w: empty", errMalformed)
	}
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(maxBytes))}
	switch body[0] {
	case formPlain:
		return body[1:], nil
	case formCompressed:
	case formDifference:
		if len(base) == 0 {
			return nil, fmt.Errorf("%w: difference to an unknown value", errMalformed)
		}
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	default:
		return nil, fmt.Errorf("%w: form %d", errMalformed, body[0])
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	payload, err := d.DecodeAll(body[1:], nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return payload, nil
}

// packCache keeps packed bodies: the instances that follow this one mostly need the same. It is safe for concurrent use.
type packCache struct {
	mu     sync.Mutex
	bodies map[packKey][]byte
}

// packKey identifies a body by the hashes of its payload and of the base.
type packKey struct{ payload, base uint64 }

// maxPackedBodies bounds the bodies that are kept.
const maxPackedBodies = 16

// pack returns the body of a payload for an instance that has the value base.
func (c *packCache) pack(payload, base []byte) ([]byte, error) {
	if len(payload) < minPacked {
		return pack(payload, base)
	}
	key := packKey{xxhash.Sum64(payload), xxhash.Sum64(base)}
	c.mu.Lock() // also while packing, so that it is done once
	defer c.mu.Unlock()
	if body, ok := c.bodies[key]; ok {
		return body, nil
	}
	body, err := pack(payload, base)
	if err != nil {
		return nil, err
	}
	if c.bodies == nil || len(c.bodies) >= maxPackedBodies {
		c.bodies = map[packKey][]byte{}
	}
	c.bodies[key] = body
	return body, nil
}
