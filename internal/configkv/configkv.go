// Package configkv lays the configuration out in the platform's key-value service: a small head under one key,
// which watchers wait on, and the lineage and the compressed manifest of each recent revision under keys of their own.
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

// HeadKey holds the head.
const HeadKey = "config/current"

// Bounds of a lineage.
const (
	maxAncestors  = 512
	maxApplyIDs   = 256
	maxDeltas     = 32
	maxDeltaBytes = 16 << 10 // of all deltas together
	// KeptManifests is the number of revisions whose manifest and lineage stay readable.
	KeptManifests = 16
)

// Bounds of the head, which holds the newest part of the lineage: every watcher reads it after each change. It is
// all that a release that knows no other key reads.
const (
	headAncestors  = 8
	headApplyIDs   = 16
	headDeltas     = 4
	headDeltaBytes = 2 << 10
)

// ErrMissing says that a manifest isn't there: a stale read, or a revision that was left behind.
var ErrManifestMissing = errors.New("manifest is missing")

// Delta is one step between two neighbouring revisions.
type Delta struct {
	Number uint64
	Digest world.Digest
	Parent world.Digest
	Edits  []byte
}

// Head tells which revision is in force, with a shorter or longer part of its lineage.
type Head struct {
	Lineage  revision.Lineage
	ApplyIDs []string // of the revision and its recent ancestors, newest first
	Deltas   []Delta  // recent steps, newest last
	Version  uint64   // of the key; zero when absent
}

// Next returns the head that follows h. Edits of the step are left out if they don't fit.
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

// TrimDeltas drops the oldest steps until the rest fits.
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

// Applied returns the number of the revision that applyID made, if the head still knows it.
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

// Encode returns the value of the head's key, with the newest part of the lineage.
func (h Head) Encode() []byte {
	h.Lineage.Ancestors = h.Lineage.Ancestors[:min(len(h.Lineage.Ancestors), headAncestors)]
	h.ApplyIDs = h.ApplyIDs[:min(len(h.ApplyIDs), headApplyIDs)]
	h.Deltas = TrimDeltas(h.Deltas, headDeltas, headDeltaBytes)
	return h.EncodeLineage()
}

// EncodeLineage returns the value of the lineage's key.
func (h Head) EncodeLineage() []byte {
	m := &egretv1.ConfigHead{
		Number: h.Lineage.Revision.Number, Digest: h.Lineage.Revision.Digest[:],
		Ancestors: DigestsToWire(h.Lineage.Ancestors), ApplyIds: h.ApplyIDs, Deltas: DeltasToWire(h.Deltas),
	}
	b, err := proto.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("configkv: encode head: %v", err)) // its strings are valid UTF-8
	}
	return b
}

// DecodeHead reads the item of the head's key; an absent item is a zero head.
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

// extend returns h with what its lineage's key tells beyond it. Two changes that race to the same revision write the
// same key, so that the head, which only one of them wrote, goes first.
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

// longer returns first, gone on with what second holds behind as many elements.
func extendWithTail[T any](first, second []T) []T {
	return append(slices.Clone(first), second[min(len(first), len(second)):]...)
}

// LineageKey is the key of a revision's lineage.
func LineageKey(d world.Digest) string { return "config/lineage/" + hex.EncodeToString(d[:]) }

// ManifestKey is the key of a revision's manifest.
func ManifestKey(d world.Digest) string { return "config/manifest/" + hex.EncodeToString(d[:]) }

// ReadHead reads the head.
func ReadHead(ctx context.Context, kv platform.KV) (Head, error) {
	item, err := kv.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, trace.Wrap(err, "read configuration head")
	}
	return DecodeHead(item)
}

// ReadLineage returns the head with all that is known of its lineage. Where the lineage can't be read, because the
// head was written by a release that knows no such key or because the read was stale, it is the head itself.
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

// WaitHead waits until the head's version differs from after, or until wait has passed.
func WaitHead(ctx context.Context, kv platform.KV, after uint64, wait time.Duration) (Head, error) {
	item, err := kv.Wait(ctx, HeadKey, after, wait)
	if err != nil {
		return Head{}, trace.Wrap(err, "wait for configuration head")
	}
	return DecodeHead(item)
}

// ReadManifest reads and verifies the canonical manifest of a revision.
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
