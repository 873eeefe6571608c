// Package control reads and changes the configuration in the key-value service on behalf of operators.
package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/internal/configkv"
	"github.com/egrethoist/egrethoist/internal/manifest"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Time limits of a change and its calls to the key-value service.
const (
	DefaultTimeout = 30 * time.Second // of a whole operation
	retryInterval  = 100 * time.Millisecond
	// maxSwapDelay bounds the time between the timestamp recorded in a change and the write of the head.
	// once.RecordTolerance covers it together with the clock skew.
	maxSwapDelay = 1 * time.Minute
)

// ConflictError reports that another operator's change took effect first. Nothing was applied.
type ConflictError struct {
	Expected uint64         // revision that the change is based on
	Found    world.Revision // revision in force
	ApplyID  string         // apply ID of the revision in force
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the change was made for revision %d, but revision %d (%x, apply id %s) is in force; nothing was applied",
		e.Expected, e.Found.Number, e.Found.Digest[:6], e.ApplyID)
}

// UnknownError reports that it is unknown whether a change took effect. Applying again with the same apply ID resolves
// it.
type UnknownError struct {
	ApplyID string
	Err     error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: run apply again with --apply-id %s: %v", e.ApplyID, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// Result is the outcome of a successful change.
type Result struct {
	Revision  world.Revision
	ApplyID   string
	Unchanged bool // the configuration in force is the same already
	Repeated  bool // an earlier run with this apply ID had taken effect
}

// Config is the configuration in force.
type Config struct {
	Head      configkv.Head
	Document  *manifest.Document // nil before the first apply
	Canonical []byte             // canonical encoding of the manifest
}

// Controller changes the configuration in a key-value service.
type Controller struct {
	kv platform.KV
}

// New returns a controller that uses kv.
func New(kv platform.KV) *Controller { return &Controller{kv: kv} }

// Get returns the configuration in force. It retries until ctx ends while the manifest is missing.
func (c *Controller) Get(ctx context.Context) (*Config, error) {
	for {
		cfg, err := c.readConfig(ctx)
		// The manifest may be missing because the head read was stale or the head has advanced in the meantime.
		if !errors.Is(err, configkv.ErrManifestMissing) {
			return cfg, err
		}
		if waitRetry(ctx) != nil {
			return nil, err
		}
	}
}

// readConfig makes one attempt to read the configuration in force. It returns configkv.ErrManifestMissing if the head's
// manifest doesn't exist.
func (c *Controller) readConfig(ctx context.Context) (*Config, error) {
	head, err := configkv.ReadHead(ctx, c.kv)
	if err != nil || head.Version == 0 {
		return &Config{Head: head}, err
	}
	canonical, err := configkv.ReadManifest(ctx, c.kv, head.Lineage.Revision)
	if err != nil {
		return nil, err
	}
	if head, err = configkv.ReadLineage(ctx, c.kv, head); err != nil {
		return nil, err
	}
	doc, err := manifest.Decode(canonical)
	if err != nil {
		return nil, trace.Wrap(err, "decode manifest of revision %d", head.Lineage.Revision.Number)
	}
	return &Config{Head: head, Document: doc, Canonical: canonical}, nil
}

// readFullHead reads the head of the configuration, which names the revision in force, with the full lineage of that
// revision.
func (c *Controller) readFullHead(ctx context.Context) (configkv.Head, error) {
	head, err := configkv.ReadHead(ctx, c.kv)
	if err != nil {
		return head, err
	}
	return configkv.ReadLineage(ctx, c.kv, head)
}

// ApplyOptions controls how a manifest is applied.
type ApplyOptions struct {
	ApplyID string // unique for each change; repeated to resolve an unknown outcome
	Expect  uint64 // revision that must be in force; zero accepts any
	// RemoveUndrained allows removing targets of plain services before they have been drained for long enough. The
	// outcomes of their idempotency keys are then unknown to callers.
	RemoveUndrained bool
}

// Apply puts doc in force by compare-and-swap. Drain marks that doc doesn't set keep their current value. It returns a
// *ConflictError, an *UnknownError or a *RemovalError in the cases that they describe.
func (c *Controller) Apply(ctx context.Context, doc *manifest.Document, opts ApplyOptions) (*Result, error) {
	return c.commit(ctx, opts, func(cur *manifest.Document) (*manifest.Document, error) {
		return inheritDrainMarks(doc, cur), nil
	})
}

// SetDrained drains the failure domain or target with that name, or returns it to service. It retries on a conflict,
// because it commutes with other changes. It returns a trace.NotFound error if the name is unknown.
func (c *Controller) SetDrained(ctx context.Context, kind Kind, name string, drained bool, applyID string) (*Result, error) {
	for {
		res, err := c.commit(ctx, ApplyOptions{ApplyID: applyID}, func(cur *manifest.Document) (*manifest.Document, error) {
			return setDrained(cur, kind, name, drained)
		})
		var conflict *ConflictError
		if !errors.As(err, &conflict) || waitRetry(ctx) != nil {
			return res, err
		}
	}
}

// editFunc returns the manifest that follows cur, which is nil before the first apply. It must not modify cur.
type editFunc func(cur *manifest.Document) (*manifest.Document, error)

// commit applies edit to the configuration in force and writes the result by compare-and-swap of the head.
func (c *Controller) commit(ctx context.Context, opts ApplyOptions, edit editFunc) (*Result, error) {
	cur, err := c.Get(ctx)
	if err != nil {
		return nil, err
	}
	if r, done := cur.Head.Applied(opts.ApplyID); done {
		return &Result{Revision: r, ApplyID: opts.ApplyID, Repeated: true}, nil
	}
	base := cur.Head.Lineage.Revision
	if opts.Expect != 0 && opts.Expect != base.Number {
		return nil, newConflictError(opts.Expect, cur.Head)
	}
	doc, err := edit(cur.Document)
	if err != nil {
		return nil, err
	}
	if slices.Equal(manifest.Encode(carryHomeHistory(doc, cur.Document)), cur.Canonical) {
		return &Result{Revision: base, ApplyID: opts.ApplyID, Unchanged: true}, nil
	}
	now := time.Now()
	if early := earlyRemovals(doc, cur.Document, now); len(early) > 0 && !opts.RemoveUndrained {
		return nil, trace.Wrap(&RemovalError{early})
	}
	// The home history is part of the revision that causes it, so that no process can have one without the other.
	canonical := manifest.Encode(recordHomeHistory(doc, cur.Document, base.Number+1, now))
	next := world.Revision{Number: base.Number + 1, Digest: manifest.Digest(canonical, base.Digest), Parent: base.Digest}
	head := cur.Head.Next(next, opts.ApplyID, manifest.Delta(cur.Canonical, canonical))
	// Lineage and manifest are written before the head that refers to them, so that no reader sees a head without them.
	// They are read in the opposite order: if the manifest is visible, so is the lineage.
	if err := c.createKey(ctx, configkv.LineageKey(next.Digest), head.EncodeLineage()); err != nil {
		return nil, trace.Wrap(err, "write lineage of revision %d", next.Number)
	}
	if err := c.createKey(ctx, configkv.ManifestKey(next.Digest), manifest.Compress(canonical)); err != nil {
		return nil, trace.Wrap(err, "write manifest of revision %d", next.Number)
	}
	if err := c.swapHead(ctx, cur.Head, head, now); err != nil {
		return nil, err
	}
	c.deleteOldest(ctx, head)
	return &Result{Revision: next, ApplyID: opts.ApplyID}, nil
}

// createKey writes a content-addressed key unless it exists. It is idempotent.
func (c *Controller) createKey(ctx context.Context, key string, value []byte) error {
	for {
		_, err := c.kv.CompareAndSwap(ctx, key, 0, value, 0)
		switch {
		case err == nil, errors.Is(err, platform.ErrConflict):
			return nil
		case errors.Is(err, platform.ErrOutcomeUnknown) && waitRetry(ctx) == nil:
			// Retry: the write conflicts if the first attempt took effect.
		default:
			return err
		}
	}
}

// swapHead replaces the head and, if the response is lost, determines whether the write took effect. It sends nothing
// later than maxSwapDelay after the recorded time of the change.
func (c *Controller) swapHead(ctx context.Context, old, next configkv.Head, recorded time.Time) error {
	value := next.Encode()
	unknown := false
	for {
		if delay := elapsedSince(recorded); delay > maxSwapDelay {
			return c.delayError(next, delay, unknown)
		}
		_, err := c.kv.CompareAndSwap(ctx, configkv.HeadKey, old.Version, value, 0)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrConflict):
			return c.resolveConflict(ctx, old, next)
		case errors.Is(err, platform.ErrOutcomeUnknown):
			// Retrying the same compare-and-swap is safe: it can take effect only once, and a conflict means that
			// this or another change has replaced the head.
			unknown = true
		case !unknown:
			return trace.Wrap(err, "write configuration head")
		}
		if waitRetry(ctx) != nil {
			return &UnknownError{ApplyID: next.ApplyIDs[0], Err: err}
		}
	}
}

// delayError returns the error for a change whose recorded time is too old. unknown is set if an earlier attempt may
// have taken effect.
func (c *Controller) delayError(head configkv.Head, delay time.Duration, unknown bool) error {
	err := trace.LimitExceeded("the change was held up for %v; run it again", delay.Round(time.Second))
	if unknown {
		return &UnknownError{ApplyID: head.ApplyIDs[0], Err: err}
	}
	return err
}

// elapsedSince returns the time since t by the monotonic or the wall clock, whichever is larger: the monotonic clock
// stops while a machine is suspended.
func elapsedSince(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// resolveConflict reads the head again to determine what replaced it: this change, whose response was lost, or another
// one. It returns nil, a *ConflictError or an *UnknownError.
func (c *Controller) resolveConflict(ctx context.Context, old, next configkv.Head) error {
	id := next.ApplyIDs[0]
	for {
		current, err := c.readFullHead(ctx)
		// A read without a later version is stale, because the compare-and-swap has just conflicted.
		if err == nil && current.Version > old.Version {
			if _, applied := current.Applied(id); applied {
				return nil
			}
			if lineageReaches(current, next.Lineage.Revision.Number) {
				c.deleteUnused(ctx, current, next.Lineage.Revision)
				return newConflictError(old.Lineage.Revision.Number, current)
			}
			err = errShortLineage
		}
		if waitRetry(ctx) != nil {
			return &UnknownError{ApplyID: id, Err: err}
		}
	}
}

// errShortLineage reports that the lineage doesn't reach back to the change, for example because a stale read didn't
// show the lineage's key.
var errShortLineage = errors.New("the lineage at hand doesn't reach the change")

// lineageReaches reports whether the apply IDs of a head, which are those of the newest revisions, include that of the
// revision with the given number.
func lineageReaches(h configkv.Head, number uint64) bool {
	return h.Lineage.Revision.Number < number+uint64(len(h.ApplyIDs))
}

// newConflictError returns the error for a change based on revision expected if current is the head.
func newConflictError(expected uint64, current configkv.Head) *ConflictError {
	e := &ConflictError{Expected: expected, Found: current.Lineage.Revision}
	if len(current.ApplyIDs) > 0 {
		e.ApplyID = current.ApplyIDs[0]
	}
	return e
}

// deleteUnused deletes the manifest and lineage of a change that lost a race, unless the current revision or one of its
// ancestors has the same digest and therefore uses the same keys.
func (c *Controller) deleteUnused(ctx context.Context, current configkv.Head, loser world.Revision) {
	if current.Lineage.Revision.Digest == loser.Digest || slices.Contains(current.Lineage.Ancestors, loser.Digest) {
		return
	}
	c.deleteRevision(ctx, loser.Digest)
}

// deleteOldest deletes the revision that no longer belongs to the configkv.KeptManifests newest.
func (c *Controller) deleteOldest(ctx context.Context, head configkv.Head) {
	if len(head.Lineage.Ancestors) >= configkv.KeptManifests {
		c.deleteRevision(ctx, head.Lineage.Ancestors[configkv.KeptManifests-1])
	}
}

// deleteRevision deletes a manifest and its lineage. Errors are ignored: the keys left behind are never read.
func (c *Controller) deleteRevision(ctx context.Context, d world.Digest) {
	c.deleteKey(ctx, configkv.ManifestKey(d))
	c.deleteKey(ctx, configkv.LineageKey(d))
}

// deleteKey deletes a key if it exists and ignores errors.
func (c *Controller) deleteKey(ctx context.Context, key string) {
	item, err := c.kv.Get(ctx, key)
	if err == nil && item.Version != 0 {
		c.kv.Delete(ctx, key, item.Version)
	}
}

// waitRetry waits for retryInterval, or returns the error of ctx.
func waitRetry(ctx context.Context) error { return sleep.For(ctx, retryInterval) }
