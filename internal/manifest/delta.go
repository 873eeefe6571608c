package manifest

import (
	"bytes"
	"encoding/binary"
	"errors"
)

// Kinds of edit. Each is followed by uvarints: copy has offset and length, insert has length and the bytes.
const (
	editCopy   = 0
	editInsert = 1
)

var errBadDelta = errors.New("delta doesn't fit the manifest")

// pieceStart begins most objects of the canonical form; pieces between two starts are compared whole.
var pieceStart = []byte(`{"name":`)

// Delta returns edits that turn the canonical manifest base into target.
func Delta(base, target []byte) []byte {
	at := map[string]int{}
	offset := 0
	for _, p := range pieces(base) {
		at[string(p)] = offset
		offset += len(p)
	}
	d := deltaWriter{target: target}
	offset = 0
	for _, p := range pieces(target) {
		if from, ok := at[string(p)]; ok {
			d.copy(from, len(p))
		} else {
			d.insert(offset, len(p))
		}
		offset += len(p)
	}
	return d.finish()
}

func pieces(b []byte) [][]byte {
	var list [][]byte
	for len(b) > 0 {
		n := len(b)
		if i := bytes.Index(b[1:], pieceStart); i >= 0 {
			n = i + 1
		}
		list = append(list, b[:n])
		b = b[n:]
	}
	return list
}

// deltaWriter joins neighbouring edits of a kind.
type deltaWriter struct {
	target     []byte
	out        []byte
	kind       int
	from, size int
}

func (d *deltaWriter) copy(from, size int)   { d.add(editCopy, from, size) }
func (d *deltaWriter) insert(from, size int) { d.add(editInsert, from, size) }

func (d *deltaWriter) add(kind, from, size int) {
	if d.size > 0 && d.kind == kind && d.from+d.size == from {
		d.size += size
		return
	}
	d.flush()
	d.kind, d.from, d.size = kind, from, size
}

func (d *deltaWriter) flush() {
	if d.size == 0 {
		return
	}
	d.out = append(d.out, byte(d.kind))
	if d.kind == editCopy {
		d.out = binary.AppendUvarint(d.out, uint64(d.from))
	}
	d.out = binary.AppendUvarint(d.out, uint64(d.size))
	if d.kind == editInsert {
		d.out = append(d.out, d.target[d.from:d.from+d.size]...)
	}
	d.size = 0
}

func (d *deltaWriter) finish() []byte {
	d.flush()
	return d.out
}

// ApplyDelta makes the target of Delta from base. The caller checks the digest of the result.
func ApplyDelta(base, edits []byte) ([]byte, error) {
	out := make([]byte, 0, min(len(base)+len(edits), MaxCanonicalBytes))
	for len(edits) > 0 {
		kind := edits[0]
		edits = edits[1:]
		source := base
		if kind == editCopy {
			from, n := binary.Uvarint(edits)
			if n <= 0 || from > uint64(len(base)) {
				return nil, errBadDelta
			}
			source = base[from:]
			edits = edits[n:]
		}
		size, n := binary.Uvarint(edits)
		if n <= 0 {
			return nil, errBadDelta
		}
		edits = edits[n:]
		if kind == editInsert {
			source = edits
		}
		if size > uint64(len(source)) || len(out)+int(size) > MaxCanonicalBytes {
			return nil, errBadDelta
		}
		out = append(out, source[:size]...)
		if kind == editInsert {
			edits = edits[size:]
		}
	}
	return out, nil
}
