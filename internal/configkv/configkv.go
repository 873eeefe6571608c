// Package configkv defines how the configuration is stored in the platform's key-value service: a small head under one
// key, which is watched, and the lineage and the compressed manifest of each recent revision under separate keys.
package configkv

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/manifest"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/revision"
	"github.com/egrethoist/egrethoist/internal/world"
)

// HeadKey is the key of the head.
const HeadKey = "config/current"

// Limits of a lineage.
const (
	maxAncestors  = 512
	maxApplyIDs   = 256
	maxDeltas     = 32
	maxDeltaBytes = 16 << 10 // of all deltas together
	// KeptManifests is the number of newest revisions whose manifest and lineage are kept.
	KeptManifests = 16
)

// Limits of the head, which contains the newest part of the lineage. The head is small because every watcher reads it
// after each change. Releases without lineage keys read only the head and the manifest.
const (
	headAncestors  = 8
	headApplyIDs   = 16
	headDeltas     = 4
	headDeltaBytes = 2 << 10
)

// ErrManifestMissing reports that a manifest doesn't exist: the read was stale, or the revision is no longer kept.
var ErrManifestMissing = errors.New("manifest is missing")

// Delta is the difference between a revision and its parent.
type Delta struct {
	Number uint64       // of the revision
	Digest world.Digest // of the revision
	Parent world.Digest // digest of the parent
	Edits  []byte       // input of manifest.ApplyDelta
}

// Head is the revision in force with a part of its lineage.
type Head struct {
	Lineage  revision.Lineage
	ApplyIDs []string // of the revision and its recent ancestors, newest first
	Deltas   []Delta  // recent deltas, newest last
	Version  uint64   // of the key; zero when absent
}

// Next returns the head of revision next, which follows h. The oldest deltas are dropped if they exceed the limits; if
// the edits alone exceed them, no delta is left.
func (h Head) Next(next world.Revision, applyID string, edits []byte) Head {
	n := Head{Lineage: revision.Lineage{Revision: next}, ApplyIDs: []string{applyID}, Version: h.Version}
	if cur := h.Lineage.Revision; cur.Number > 0 {
		n.Lineage.Ancestors = append([]world.Digest{cur.Digest}, h.Lineage.Ancestors...)
		n.Deltas = append(append(n.Deltas, h.Deltas...), Delta{next.Number, next.Digest, next.Parent, edits})
	}
	n.Lineage.Ancestors = n.Lineage.Ancestors[:min(len(n.Lineage.Ancestors), maxAncestors)]
	n.ApplyIDs = append(n.ApplyIDs, h.ApplyIDs...)
	n.ApplyIDs = n.ApplyIDs[:min(len(n.ApplyIDs), maxApplyIDs)]
	n.Deltas = TrimDeltas(n.Deltas, maxDeltas, maxDeltaBytes)
	return n
}

// TrimDeltas drops the oldest deltas until at most count remain, with edits of at most size bytes in total.
func TrimDeltas(list []Delta, count, size int) []Delta {
	total, first := 0, len(list)
	for first > 0 && len(list)-first < count {
		total += len(list[first-1].Edits)
		if total > size {
			break
		}
		first--
	}
	return list[first:]
}

// Applied returns the revision that the change with applyID created, without its parent unless it is the head's, or
// false if h doesn't contain the ID or the revision's digest.
func (h Head) Applied(applyID string) (world.Revision, bool) {
	for i, id := range h.ApplyIDs {
		if id != applyID {
			continue
		}
		if i == 0 {
			return h.Lineage.Revision, true
		}
		if i > len(h.Lineage.Ancestors) {
			return world.Revision{}, false
		}
		return world.Revision{Number: h.Lineage.Revision.Number - uint64(i), Digest: h.Lineage.Ancestors[i-1]}, true
	}
	return world.Revision{}, false
}

// Encode returns the value of HeadKey, which contains the newest part of the lineage.
func (h Head) Encode() []byte {
	h.Lineage.Ancestors = h.Lineage.Ancestors[:min(len(h.Lineage.Ancestors), headAncestors)]
	h.ApplyIDs = h.ApplyIDs[:min(len(h.ApplyIDs), headApplyIDs)]
	h.Deltas = TrimDeltas(h.Deltas, headDeltas, headDeltaBytes)
	return h.EncodeLineage()
}

// EncodeLineage returns the value of the revision's LineageKey, which contains the full lineage of h.
func (h Head) EncodeLineage() []byte {
	m := &egretv1.ConfigHead{
		Number: h.Lineage.Revision.Number, Digest: h.Lineage.Revision.Digest[:],
		Ancestors: DigestsToWire(h.Lineage.Ancestors), ApplyIds: h.ApplyIDs, Deltas: DeltasToWire(h.Deltas),
	}
	b, err := proto.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("configkv: encode head: %v", err)) // can't happen: all strings are valid UTF-8
	}
	return b
}

// DecodeHead decodes the value of HeadKey or of a LineageKey. An absent item gives a zero Head.
func DecodeHead(item platform.Item) (Head, error) {
	if item.Version == 0 {
		return Head{}, nil
	}
	m := &egretv1.ConfigHead{}
	if err := proto.Unmarshal(item.Value, m); err != nil {
		return Head{}, trace.Wrap(err, "decode configuration head")
	}
	lineage, err := LineageFromWire(&egretv1.RevisionStamp{Number: m.Number, Digest: m.Digest}, m.Ancestors)
	if err != nil {
		return Head{}, trace.Wrap(err, "decode configuration head")
	}
	deltas, err := DeltasFromWire(m.Deltas)
	if err != nil {
		return Head{}, trace.Wrap(err, "decode configuration head")
	}
	return Head{Lineage: lineage, ApplyIDs: m.ApplyIds, Deltas: deltas, Version: item.Version}, nil
}

// withLineage returns h extended by the older part of its lineage from full, the value of its LineageKey. Where both
// have an element, h takes precedence: two changes that race to the same revision write the same LineageKey, but only
// one of them wrote the head.
func (h Head) withLineage(full Head) Head {
	if full.Lineage.Revision != h.Lineage.Revision {
		return h
	}
	h.Lineage.Ancestors = extendWithTail(h.Lineage.Ancestors, full.Lineage.Ancestors)
	h.ApplyIDs = extendWithTail(h.ApplyIDs, full.ApplyIDs)
	if len(full.Deltas) > len(h.Deltas) {
		h.Deltas = full.Deltas
	}
	return h
}

// extendWithTail returns first followed by the elements of second beyond the length of first.
func extendWithTail[T any](first, second []T) []T {
	return append(slices.Clone(first), second[min(len(first), len(second)):]...)
}

// LineageKey returns the key of a revision's lineage.
func LineageKey(d world.Digest) string { return "config/lineage/" + hex.EncodeToString(d[:]) }

// ManifestKey returns the key of a revision's compressed manifest.
func ManifestKey(d world.Digest) string { return "config/manifest/" + hex.EncodeToString(d[:]) }

// ReadHead reads the head; its version is zero if there is none yet.
func ReadHead(ctx context.Context, kv platform.KV) (Head, error) {
	item, err := kv.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, trace.Wrap(err, "read configuration head")
	}
	return DecodeHead(item)
}

// ReadLineage returns the head with its full lineage. It returns the head unchanged if the lineage's key is missing,
// because the head was written by a release without lineage keys or because the read was stale.
func ReadLineage(ctx context.Context, kv platform.KV, head Head) (Head, error) {
	if head.Version == 0 {
		return head, nil
	}
	item, err := kv.Get(ctx, LineageKey(head.Lineage.Revision.Digest))
	if err != nil {
		return head, trace.Wrap(err, "read lineage of revision %d", head.Lineage.Revision.Number)
	}
	full, err := DecodeHead(item)
	if err != nil {
		return head, trace.Wrap(err, "lineage of revision %d", head.Lineage.Revision.Number)
	}
	return head.withLineage(full), nil
}

// WaitHead waits until the head's version differs from after, or until wait has passed, and returns the head.
func WaitHead(ctx context.Context, kv platform.KV, after uint64, wait time.Duration) (Head, error) {
	item, err := kv.Wait(ctx, HeadKey, after, wait)
	if err != nil {
		return Head{}, trace.Wrap(err, "wait for configuration head")
	}
	return DecodeHead(item)
}

// ReadManifest reads the canonical manifest of a revision and verifies its digest. It returns ErrManifestMissing if the
// manifest doesn't exist.
func ReadManifest(ctx context.Context, kv platform.KV, r world.Revision) ([]byte, error) {
	item, err := kv.Get(ctx, ManifestKey(r.Digest))
	if err != nil {
		return nil, trace.Wrap(err, "read manifest of revision %d", r.Number)
	}
	if item.Version == 0 {
		return nil, trace.Wrap(ErrManifestMissing, "read manifest of revision %d", r.Number)
	}
	canonical, err := manifest.Decompress(item.Value)
	if err != nil {
		return nil, trace.Wrap(err, "unpack manifest of revision %d", r.Number)
	}
	if manifest.Digest(canonical, r.Parent) != r.Digest {
		return nil, trace.BadParameter("manifest of revision %d doesn't have its digest", r.Number)
	}
	return canonical, nil
}
