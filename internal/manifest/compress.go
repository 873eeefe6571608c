package manifest

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// MaxCanonicalBytes bounds a canonical manifest before compression.
const MaxCanonicalBytes = 16 << 20

// Compress packs a canonical manifest for storage and transfer.
func Compress(canonical []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		panic(err) // the level is a constant
	}
	w.Write(canonical) // a bytes.Buffer takes every write
	w.Close()
	return b.Bytes()
}

// Decompress unpacks what Compress packed.
func Decompress(packed []byte) ([]byte, error) {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), MaxCanonicalBytes+1)
	b, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	if len(b) > MaxCanonicalBytes {
		return nil, fmt.Errorf("manifest exceeds %d bytes", MaxCanonicalBytes)
	}
	return b, nil
}
