package distribution

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/internal/configkv"
	"github.com/egrethoist/egrethoist/internal/manifest"
	"github.com/egrethoist/egrethoist/internal/revision"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Limits of the deltas kept for peers that are a few revisions behind.
const (
	maxDeltas     = 128
	maxDeltaBytes = 256 << 10 // of all deltas together
)

// snapshot is one accepted configuration. It is immutable.
type snapshot struct {
	world      *world.World
	built      *manifest.Built  // its World has no revision, so that the next build can reuse parts of it
	compressed func() []byte    // returns the compressed canonical manifest; computed once
	deltas     []configkv.Delta // that end at this revision, newest last
}

// state holds the current snapshot and its lineage. Readers load the snapshot without a lock; mu serializes updates.
type state struct {
	current atomic.Pointer[snapshot]

	mu          sync.Mutex
	tracker     *revision.Tracker
	confirmedAt time.Time // last time at which the key-value service is known to have named the current revision
}

func newState(t *revision.Tracker) *state {
	if t == nil {
		t = revision.NewTracker(0)
	}
	return &state{tracker: t}
}

// update is a configuration received from a peer or the key-value service.
type update struct {
	lineage      revision.Lineage
	deltas       []configkv.Delta // may lead from the current revision to the new one
	canonical    []byte           // canonical manifest; nil if the update has only deltas
	confirmedAge time.Duration    // time since it was confirmed; negative: unknown
}

// apply puts an update in force if its lineage contains the current revision and its content has the expected digest.
// It returns errNeedManifest if the update's content can't be used, and other errors if the manifest is invalid.
func (s *state) apply(now time.Time, u update) (revision.Verdict, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.lineage.Revision.Digest == s.tracker.Current().Digest {
		s.recordConfirmation(now, u.confirmedAge)
		return revision.Keep, nil
	}
	u.lineage = completeAncestors(u)
	v := s.tracker.Evaluate(u.lineage)
	if v != revision.Accept {
		return v, nil
	}
	c, err := s.resolveContent(u)
	if err != nil {
		return revision.Keep, err
	}
	verified := c.fromDeltas && c.parent == u.lineage.Revision.Parent
	if !verified && manifest.Digest(c.canonical, u.lineage.Revision.Parent) != u.lineage.Revision.Digest {
		return revision.Conflict, trace.BadParameter("manifest of revision %d doesn't have its digest", u.lineage.Revision.Number)
	}
	built, err := manifest.Build(s.currentManifest(), c.canonical)
	if err != nil {
		return revision.Keep, trace.Wrap(err, "decode manifest of revision %d", u.lineage.Revision.Number)
	}
	s.tracker.Propose(u.lineage)
	s.publish(built, c.deltas)
	s.confirmedAt = time.Time{}
	s.recordConfirmation(now, u.confirmedAge)
	return v, nil
}

// completeAncestors derives the ancestors from the deltas if the sender omitted them.
func completeAncestors(u update) revision.Lineage {
	lineage := u.lineage
	if len(lineage.Ancestors) > 0 || !isChainTo(u.deltas, lineage.Revision.Digest) {
		return lineage
	}
	for i := len(u.deltas) - 1; i >= 0; i-- {
		lineage.Ancestors = append(lineage.Ancestors, u.deltas[i].Parent)
	}
	lineage.Revision.Parent = lineage.Ancestors[0]
	return lineage
}

// manifestContent is the manifest that an update leads to.
type manifestContent struct {
	canonical  []byte
	fromDeltas bool             // the manifest was derived by deltas whose digests were verified
	parent     world.Digest     // digest of the last delta's parent; only with fromDeltas
	deltas     []configkv.Delta // to keep for peers, newest last
}

// resolveContent returns the manifest of an update: by deltas if they lead there, else the manifest that was sent. It
// returns errNeedManifest if neither is possible.
func (s *state) resolveContent(u update) (manifestContent, error) {
	cur := s.current.Load()
	if cur != nil {
		if c, ok := s.applyDeltas(cur, u); ok {
			deltas := append(append([]configkv.Delta(nil), cur.deltas...), s.deltasAfterCurrent(u.deltas)...)
			c.deltas = configkv.TrimDeltas(deltas, maxDeltas, maxDeltaBytes)
			return c, nil
		}
	}
	if u.canonical == nil {
		return manifestContent{}, errNeedManifest
	}
	// The deltas end at the new revision, so they are kept for peers even if they were not applicable here.
	deltas := chainTo(u.deltas, u.lineage.Revision.Digest)
	return manifestContent{canonical: u.canonical, deltas: configkv.TrimDeltas(deltas, maxDeltas, maxDeltaBytes)}, nil
}

// applyDeltas applies the deltas from the current revision to the update's one and verifies the digest of each.
func (s *state) applyDeltas(cur *snapshot, u update) (manifestContent, bool) {
	digest, parent, canonical := cur.world.Revision.Digest, world.Digest{}, cur.built.Canonical
	for _, d := range s.deltasAfterCurrent(u.deltas) {
		if d.Parent != digest {
			return manifestContent{}, false
		}
		next, err := manifest.ApplyDelta(canonical, d.Edits)
		if err != nil || manifest.Digest(next, digest) != d.Digest {
			return manifestContent{}, false
		}
		digest, parent, canonical = d.Digest, d.Parent, next
	}
	return manifestContent{canonical: canonical, fromDeltas: true, parent: parent}, digest == u.lineage.Revision.Digest
}

// deltasAfterCurrent returns the part of list that starts at the current revision, or nil.
func (s *state) deltasAfterCurrent(list []configkv.Delta) []configkv.Delta {
	return deltasAfter(list, s.tracker.Current().Digest)
}

// deltasAfter returns the part of list that starts at the revision with that digest, or nil.
func deltasAfter(list []configkv.Delta, digest world.Digest) []configkv.Delta {
	for i, d := range list {
		if d.Parent == digest {
			return list[i:]
		}
	}
	return nil
}

// isChainTo reports whether the deltas are consecutive and the last one ends at digest.
func isChainTo(list []configkv.Delta, digest world.Digest) bool {
	for i := range list {
		if i > 0 && list[i].Parent != list[i-1].Digest {
			return false
		}
	}
	return len(list) > 0 && list[len(list)-1].Digest == digest
}

// chainTo returns list if it is a chain of deltas that ends at digest, else nil.
func chainTo(list []configkv.Delta, digest world.Digest) []configkv.Delta {
	if !isChainTo(list, digest) {
		return nil
	}
	return list
}

// currentManifest returns the manifest in force, or nil if there is none yet.
func (s *state) currentManifest() *manifest.Built {
	if cur := s.current.Load(); cur != nil {
		return cur.built
	}
	return nil
}

// publish makes the tracker's current revision the current snapshot.
func (s *state) publish(built *manifest.Built, deltas []configkv.Delta) {
	w := *built.World
	w.Revision = s.tracker.Current()
	s.current.Store(&snapshot{
		world: &w, built: built, deltas: deltas,
		compressed: sync.OnceValue(func() []byte { return manifest.Compress(built.Canonical) }),
	})
}

// recordConfirmation records that the key-value service named the current revision age ago. A negative age is ignored.
func (s *state) recordConfirmation(now time.Time, age time.Duration) {
	if age < 0 {
		return
	}
	if confirmedAt := now.Add(-age); confirmedAt.After(s.confirmedAt) {
		s.confirmedAt = confirmedAt
	}
}

// confirmedAge returns the time since the current revision was last confirmed, or false if it never was.
func (s *state) confirmedAge(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(s.confirmedAt), true
}

// revision returns the revision in force; its number is zero if there is none yet.
func (s *state) revision() world.Revision {
	if cur := s.current.Load(); cur != nil {
		return cur.world.Revision
	}
	return world.Revision{}
}

// ancestors returns up to n digests of the current revision's ancestors, newest first.
func (s *state) ancestors(n int) []world.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Ancestors(n)
}
