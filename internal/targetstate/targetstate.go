// Package targetstate delta-encodes the states that a sidecar sends on one stream: the sender omits fields that have not changed
// since the previous state, and the receiver restores them. A stream preserves order and loses no message unless it ends; the
// first state of a new stream is complete.
package targetstate

import (
	"bytes"
	"slices"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
)

// Sender is the sending end of a stream. The zero value is ready for a new stream.
type Sender struct {
	started     bool
	versions    []string
	revision    *egretv1.RevisionStamp
	incarnation uint64
}

// OmitUnchanged removes from m the fields that are equal to those of the previous state.
func (s *Sender) OmitUnchanged(m *egretv1.TargetState) {
	versions, revision, incarnation := m.WeightVersions, m.Revision, m.GetLoad().GetIncarnation()
	if s.started {
		m.Target = ""
		m.VersionsUnchanged = slices.Equal(versions, s.versions)
		if m.VersionsUnchanged {
			m.WeightVersions = nil
		}
		if sameStamp(revision, s.revision) {
			m.Revision = nil
		}
		if m.Load != nil && incarnation == s.incarnation {
			m.Load.Incarnation = 0
		}
	}
	s.started = true
	s.versions, s.revision = versions, revision
	if m.Load != nil {
		s.incarnation = incarnation
	}
}

// Receiver is the receiving end of a stream. The zero value is ready for a new stream.
type Receiver struct {
	target      string
	versions    []string
	revision    *egretv1.RevisionStamp
	incarnation uint64
}

// Restore sets the fields of m that a Sender omitted to their previous values. It does not change a complete state.
func (r *Receiver) Restore(m *egretv1.TargetState) {
	restore(&m.Target, &r.target, m.Target == "")
	restore(&m.WeightVersions, &r.versions, m.VersionsUnchanged)
	restore(&m.Revision, &r.revision, m.Revision == nil)
	if m.Load != nil {
		restore(&m.Load.Incarnation, &r.incarnation, m.Load.Incarnation == 0)
	}
	m.VersionsUnchanged = false
}

// restore sets an omitted value to the previous one, or else stores the value as the previous one.
func restore[T any](value, previous *T, omitted bool) {
	if omitted {
		*value = *previous
		return
	}
	*previous = *value
}

func sameStamp(a, b *egretv1.RevisionStamp) bool {
	return a.GetNumber() == b.GetNumber() && bytes.Equal(a.GetDigest(), b.GetDigest())
}
