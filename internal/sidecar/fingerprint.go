package sidecar

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"math"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/upload"
)

// lengthFollows stands where the length of a short body is hashed, and is no body's length.
const trailingLength = math.MaxUint64

// bodyDigest computes the fingerprint of a request, by which a key that is used for another one is found. A body is
// hashed as it passes, so the length of one longer than upload.KeptPrefix is hashed last. A shorter one is hashed with
// its length first, as it always was, so that keys survive an upgrade. How a body came makes no difference.
type requestDigest struct {
	open     *egretv1.Open
	prefix   []byte // of the body, up to upload.KeptPrefix
	longHash hash.Hash
	length   uint64

	finished    bool
	fingerprint [32]byte
}

func newRequestDigest(open *egretv1.Open) *requestDigest { return &requestDigest{open: open} }

func (d *requestDigest) write(data []byte) {
	if d.open.Repeatable {
		return // it has no key
	}
	d.length += uint64(len(data))
	if d.longHash == nil && d.length <= upload.KeptPrefix {
		d.prefix = append(d.prefix, data...)
		return
	}
	if d.longHash == nil {
		d.longHash = d.newHash(trailingLength)
		d.longHash.Write(d.prefix)
		d.prefix = nil
	}
	d.longHash.Write(data)
}

// begin hashes what goes before the body.
func (d *requestDigest) newHash(length uint64) hash.Hash {
	h := sha256.New()
	for _, part := range []string{d.open.Method, d.open.Path} {
		writeLength(h, uint64(len(part)))
		h.Write([]byte(part))
	}
	writeLength(h, length)
	return h
}

// sum returns the fingerprint of a whole request. Nothing may be written after it.
func (d *requestDigest) sum() [32]byte {
	if !d.finished {
		d.fingerprint = d.compute()
		d.finished = true
	}
	return d.fingerprint
}

func (d *requestDigest) compute() [32]byte {
	h := d.longHash
	if h == nil {
		h = d.newHash(d.length)
		h.Write(d.prefix)
	} else {
		writeLength(h, d.length)
	}
	return [32]byte(h.Sum(nil))
}

func writeLength(h hash.Hash, n uint64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	h.Write(b[:])
}
