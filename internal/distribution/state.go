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

// Bounds of the steps kept for peers that are a little behind.
const (
	maxDeltas     = 128
	maxDeltaBytes = 256 << 10
)

// snapshot is one accepted configuration; it never changes.
type snapshot struct {
	world      *world.World
	built      *manifest.Built // without the revision, which the next one doesn't share
	compressed func() []byte   // compressed canonical form, made once
	deltas     []configkv.Delta
}

// state is what a process holds. Readers take the snapshot without a lock; changes are serialised.
type state struct {
	current atomic.Pointer[snapshot]

	mu          sync.Mutex
	tracker     *revision.Tracker
	confirmedAt time.Time // when the key-value service was last known to name the current revision
}

func newState(t *revision.Tracker) *state {
	if t == nil {
		t = revision.NewTracker(0)
	}
	return &state{tracker: t}
}

// update is a configuration offered by a peer or the key-value service.
type update struct {
	lineage      revision.Lineage
	deltas       []configkv.Delta // steps that may lead to the offer
	canonical    []byte           // canonical manifest; nil if only the steps are given
	confirmedAge time.Duration    // since it was confirmed; negative is unknown
}

// take judges an update and puts it in force if its lineage and digest hold.
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

// completeAncestors takes the lineage from the steps where a sender left the ancestors out.
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

// content is what an update brings.
type manifestContent struct {
	canonical  []byte
	fromDeltas bool         // steps led here, and the digest of the last one holds
	parent     world.Digest // that the last step starts from
	deltas     []configkv.Delta
}

// content returns the content of an update, from steps if they lead there.
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
	// The steps sent along end at the offer, so that they help peers even if they didn't help here.
	deltas := chainTo(u.deltas, u.lineage.Revision.Digest)
	return manifestContent{canonical: u.canonical, deltas: configkv.TrimDeltas(deltas, maxDeltas, maxDeltaBytes)}, nil
}

// walk applies the steps from the current revision to the offered one, each checked by its digest.
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

// following returns the steps after the current revision.
func (s *state) deltasAfterCurrent(list []configkv.Delta) []configkv.Delta {
	return deltasAfter(list, s.tracker.Current().Digest)
}

// stepsAfter returns the steps of list that start at digest, or none.
func deltasAfter(list []configkv.Delta, digest world.Digest) []configkv.Delta {
	for i, d := range list {
		if d.Parent == digest {
			return list[i:]
		}
	}
	return nil
}

// chained reports whether each step starts where the one before ends, and the last ends at digest.
func isChainTo(list []configkv.Delta, digest world.Digest) bool {
	for i := range list {
		if i > 0 && list[i].Parent != list[i-1].Digest {
			return false
		}
	}
	return len(list) > 0 && list[len(list)-1].Digest == digest
}

func chainTo(list []configkv.Delta, digest world.Digest) []configkv.Delta {
	if !isChainTo(list, digest) {
		return nil
	}
	return list
}

// built returns the manifest in force, or nil before the first.
func (s *state) currentManifest() *manifest.Built {
	if cur := s.current.Load(); cur != nil {
		return cur.built
	}
	return nil
}

func (s *state) publish(built *manifest.Built, deltas []configkv.Delta) {
	w := *built.World
	w.Revision = s.tracker.Current()
	s.current.Store(&snapshot{
		world: &w, built: built, deltas: deltas,
		compressed: sync.OnceValue(func() []byte { return manifest.Compress(built.Canonical) }),
	})
}

// confirm notes that the current revision was named current age ago.
func (s *state) recordConfirmation(now time.Time, age time.Duration) {
	if age < 0 {
		return
	}
	if confirmedAt := now.Add(-age); confirmedAt.After(s.confirmedAt) {
		s.confirmedAt = confirmedAt
	}
}

// confirmedAge returns the time since the current revision was confirmed, and whether it ever was.
func (s *state) confirmedAge(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(s.confirmedAt), true
}

func (s *state) revision() world.Revision {
	if cur := s.current.Load(); cur != nil {
		return cur.world.Revision
	}
	return world.Revision{}
}

func (s *state) ancestors(n int) []world.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Ancestors(n)
}
