// Package apikey looks up the workspace of a caller by the SHA-256 digest of its API key.
package apikey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"strings"

	"github.com/egrethoist/egrethoist/internal/world"
)

// Hash returns the SHA-256 digest of key. Manifests list keys by this digest.
func Hash(key string) [32]byte { return sha256.Sum256([]byte(key)) }

// Match is the result of a successful lookup.
type Match struct {
	Workspace *world.Workspace
	KeyID     string
}

type bucketEntry struct {
	digest [32]byte
	match  Match
}

// Index is an immutable map from API key to workspace. It is safe for concurrent use.
type Index struct {
	// buckets maps the first eight bytes of a digest to the keys that share them. The timing of the map lookup is of no use to an
	// attacker, who can't choose the digest of a guessed key; within a bucket digests are compared in constant time.
	buckets map[uint64][]bucketEntry
}

// NewIndex returns an index of the keys of all workspaces.
func NewIndex(workspaces map[string]*world.Workspace) *Index {
	x := &Index{buckets: make(map[uint64][]bucketEntry, len(workspaces))}
	for _, w := range workspaces {
		for _, k := range w.Keys {
			b := bucketKey(k.SHA256)
			x.buckets[b] = append(x.buckets[b], bucketEntry{digest: k.SHA256, match: Match{Workspace: w, KeyID: k.ID}})
		}
	}
	return x
}

// Find returns the workspace and the ID of key, and whether the key is known.
func (x *Index) Find(key string) (Match, bool) {
	sum := Hash(key)
	var found Match
	for _, e := range x.buckets[bucketKey(sum)] {
		if subtle.ConstantTimeCompare(e.digest[:], sum[:]) == 1 {
			found = e.match
		}
	}
	return found, found.Workspace != nil
}

// Bearer returns the key of an Authorization header with the Bearer scheme, or "" if there is none.
func Bearer(header string) string {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// bucketKey returns the first eight bytes of a digest as the key of its bucket.
func bucketKey(sum [32]byte) uint64 { return binary.BigEndian.Uint64(sum[:8]) }
