package configkv

import (
	"github.com/gravitational/trace"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/revision"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Stamp returns the wire form of a revision.
func Stamp(r world.Revision) *egretv1.RevisionStamp {
	return &egretv1.RevisionStamp{Number: r.Number, Digest: r.Digest[:]}
}

// LineageFromWire converts a stamp and its ancestors, newest first, from their wire form. A stamp with number zero
// gives a zero Lineage. It returns an error if a digest has the wrong length.
func LineageFromWire(s *egretv1.RevisionStamp, ancestors [][]byte) (revision.Lineage, error) {
	var lineage revision.Lineage
	if s.GetNumber() == 0 {
		return lineage, nil
	}
	lineage.Revision.Number = s.Number
	if err := digestFromWire(s.Digest, &lineage.Revision.Digest); err != nil {
		return lineage, err
	}
	lineage.Ancestors = make([]world.Digest, len(ancestors))
	for i, a := range ancestors {
		if err := digestFromWire(a, &lineage.Ancestors[i]); err != nil {
			return lineage, err
		}
	}
	if len(lineage.Ancestors) > 0 {
		lineage.Revision.Parent = lineage.Ancestors[0]
	}
	return lineage, nil
}

// DigestsToWire returns the wire form of digests.
func DigestsToWire(list []world.Digest) [][]byte {
	out := make([][]byte, len(list))
	for i := range list {
		out[i] = list[i][:]
	}
	return out
}

// DeltasToWire returns the wire form of deltas.
func DeltasToWire(list []Delta) []*egretv1.ConfigDelta {
	out := make([]*egretv1.ConfigDelta, len(list))
	for i := range list {
		d := &list[i]
		out[i] = &egretv1.ConfigDelta{Number: d.Number, Digest: d.Digest[:], Parent: d.Parent[:], Edits: d.Edits}
	}
	return out
}

// DeltasFromWire converts deltas from their wire form. It returns an error if a digest has the wrong length.
func DeltasFromWire(list []*egretv1.ConfigDelta) ([]Delta, error) {
	out := make([]Delta, len(list))
	for i, d := range list {
		out[i] = Delta{Number: d.GetNumber(), Edits: d.GetEdits()}
		if err := digestFromWire(d.GetDigest(), &out[i].Digest); err != nil {
			return nil, err
		}
		if err := digestFromWire(d.GetParent(), &out[i].Parent); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// digestFromWire copies a digest to out and checks its length.
func digestFromWire(b []byte, out *world.Digest) error {
	if len(b) != len(out) {
		return trace.BadParameter("digest of %d bytes, want %d", len(b), len(out))
	}
	copy(out[:], b)
	return nil
}
