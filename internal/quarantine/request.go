package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

const (
	// requestPrefix begins the ID of the Part that stands for a whole request. It is not hexadecimal, so no part of a prompt has it.
	requestPrefix = "request:"
	// requestHashBytes is the length of the hash in such an ID.
	requestHashBytes = 16
)

// RequestPart returns the Part that stands for a whole request: the same one whenever the caller sends the same method, host, URI and body. Instances
// that do not know of such parts pass them on like any other, and no request of theirs has one. The hash is cryptographic, so that no caller can make up a
// request that is taken for another one's.
func RequestPart(method, host, uri, caller string, body []byte) Part {
	head := make([]byte, 0, 256)
	for _, s := range [...]string{method, strings.ToLower(host), uri, caller} {
		head = append(strconv.AppendInt(head, int64(len(s)), 10), ':')
		head = append(head, s...)
	}
	h := sha256.New()
	_, _ = h.Write(head) // a hash accepts all writes
	_, _ = h.Write(body)
	sum := h.Sum(head[:0])
	return Part{ID: requestPrefix + hex.EncodeToString(sum[:requestHashBytes])}
}

// IsRequest reports whether the part stands for a whole request.
func (p Part) IsRequest() bool { return strings.HasPrefix(p.ID, requestPrefix) }
