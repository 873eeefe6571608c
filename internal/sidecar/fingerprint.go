package sidecar

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"math"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/upload"
)

// trailingLength is hashed in place of the length of a long body, whose length is hashed last. No body has this length.
const trailingLength = math.MaxUint64

// requestDigest computes the fingerprint of a request, which detects a key that is reused for a different request. A
// body longer than upload.InitialGrant is hashed as it is streamed, so its length is hashed last. For a shorter one the
// length is hashed first, as in earlier versions, so that stored keys stay valid after an upgrade. The fingerprint is
// the same whether the body was streamed or not.
type requestDigest struct {
	open     *egretv1.Open
	prefix   []byte    // of the body, at most upload.InitialGrant bytes; unused once longHash is set
	longHash hash.Hash // of a body longer than upload.InitialGrant; nil before
	length   uint64    // of the body so far, in bytes

	finished    bool
	fingerprint [32]byte
}

func newRequestDigest(open *egretv1.Open) *requestDigest { return &requestDigest{open: open} }

func (d *requestDigest) write(data []byte) {
	if d.open.Repeatable {
		return // repeatable requests have no key
	}
	d.length += uint64(len(data))
	if d.longHash == nil && d.length <= upload.InitialGrant {
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

// newHash returns a hash of everything before the body. length is the length of the body or trailingLength.
func (d *requestDigest) newHash(length uint64) hash.Hash {
	h := sha256.New()
	for _, part := range []string{d.open.Method, d.open.Path} {
		writeLength(h, uint64(len(part)))
		h.Write([]byte(part))
	}
	writeLength(h, length)
	return h
}

// sum returns the fingerprint of the complete request. write must not be called after it.
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
