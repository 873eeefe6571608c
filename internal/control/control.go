// Package control changes and reads the configuration on behalf of operators.
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

// Times of a call to the key-value service.
const (
	DefaultTimeout = 30 * time.Second // of a whole operation
	retryInterval  = 100 * time.Millisecond
	// maxSwapDelay bounds how long after its recorded time a change is sent; once.RecordTolerance holds it and the
	// difference of clocks.
	maxSwapDelay = 1 * time.Minute
)

// ConflictError says that another operator's change came first; nothing was applied.
type ConflictError struct {
	Expected uint64 // revision that the change was made for
	Found    world.Revision
	ApplyID  string // of the change that came first
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the change was made for revision %d, but revision %d (%x, apply id %s) is in force; nothing was applied",
		e.Expected, e.Found.Number, e.Found.Digest[:6], e.ApplyID)
}

// UnknownError says that it could not be found out whether a change took effect. Running apply again with the
// same apply id resolves it.
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
	Unchanged bool // the configuration in force says the same already
	Repeated  bool // an earlier run with this apply id had taken effect
}

// Config is the configuration in force.
type Config struct {
	Head      configkv.Head
	Document  *manifest.Document // nil before the first apply
	Canonical []byte
}

// Controller changes the configuration in a key-value service.
type Controller struct {
	kv platform.KV
}

// New returns a controller over kv.
func New(kv platform.KV) *Controller { return &Controller{kv: kv} }

// Get returns the configuration in force.
func (c *Controller) Get(ctx context.Context) (*Config, error) {
	for {
		cfg, err := c.readConfig(ctx)
		// The manifest may be missing because a read was stale or because the head has moved on.
		if !errors.Is(err, configkv.ErrManifestMissing) {
			return cfg, err
		}
		if waitRetry(ctx) != nil {
			return nil, err
		}
	}
}

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

// readHead reads the head with its lineage.
func (c *Controller) readFullHead(ctx context.Context) (configkv.Head, error) {
	head, err := configkv.ReadHead(ctx, c.kv)
	if err != nil {
		return head, err
	}
	return configkv.ReadLineage(ctx, c.kv, head)
}

// ApplyOptions tells how to apply a manifest.
type ApplyOptions struct {
	ApplyID string // unique for each change; repeated to resolve an unknown outcome
	Expect  uint64 // revision that must be in force; zero takes the one found
	// RemoveUndrained allows the removal of targets of plain services that have not been drained for long enough. The
	// outcome of their keys is then unknown to callers who ask for it.
	RemoveUndrained bool
}

// Apply puts doc in force by compare-and-swap. Drain marks that doc doesn't mention stay as they are.
func (c *Controller) Apply(ctx context.Context, doc *manifest.Document, opts ApplyOptions) (*Result, error) {
	return c.commit(ctx, opts, func(cur *manifest.Document) (*manifest.Document, error) {
		return inheritDrainMarks(doc, cur), nil
	})
}

// SetDrained drains or returns the failure domain or target with that name. It is repeated on a conflict, for it
// commutes with other changes.
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

type editFunc func(cur *manifest.Document) (*manifest.Document, error)

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
	// The history of homes goes with the change that makes it, so that no process can hold one without the other.
	canonical := manifest.Encode(recordHomeHistory(doc, cur.Document, base.Number+1, now))
	next := world.Revision{Number: base.Number + 1, Digest: manifest.Digest(canonical, base.Digest), Parent: base.Digest}
	head := cur.Head.Next(next, opts.ApplyID, manifest.Delta(cur.Canonical, canonical))
	// Lineage and manifest are written before the head names them, so that no reader sees a head without them. They
	// are read in the opposite order: where the manifest shows, the lineage does.
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

// write makes a key that names its content. It is idempotent.
func (c *Controller) createKey(ctx context.Context, key string, value []byte) error {
	for {
		_, err := c.kv.CompareAndSwap(ctx, key, 0, value, 0)
		switch {
		case err == nil, errors.Is(err, platform.ErrConflict):
			return nil
		case errors.Is(err, platform.ErrOutcomeUnknown) && waitRetry(ctx) == nil:
			// The same write again gives a conflict if the first took effect.
		default:
			return err
		}
	}
}

// swapHead replaces the head, and finds out what became of the write when its answer is lost. It sends nothing long
// after the time that the change records for itself.
func (c *Controller) swapHead(ctx context.Context, old, head configkv.Head, recorded time.Time) error {
	value := head.Encode()
	unknown := false
	for {
		if delay := elapsedSince(recorded); delay > maxSwapDelay {
			return c.delayError(head, delay, unknown)
		}
		_, err := c.kv.CompareAndSwap(ctx, configkv.HeadKey, old.Version, value, 0)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrConflict):
			return c.resolveConflict(ctx, old, head)
		case errors.Is(err, platform.ErrOutcomeUnknown):
			// Repeating the same compare-and-swap is safe: it can take effect only once, and a conflict
			// tells that the key has moved on, by us or by another.
			unknown = true
		case !unknown:
			return trace.Wrap(err, "write configuration head")
		}
		if waitRetry(ctx) != nil {
			return &UnknownError{ApplyID: head.ApplyIDs[0], Err: err}
		}
	}
}

// tooLate ends a change whose recorded time is too old.
func (c *Controller) delayError(head configkv.Head, delay time.Duration, unknown bool) error {
	err := trace.LimitExceeded("the change was held up for %v; run it again", delay.Round(time.Second))
	if unknown {
		return &UnknownError{ApplyID: head.ApplyIDs[0], Err: err}
	}
	return err
}

// age returns how long ago t was. The monotonic clock stands still while a machine is suspended.
func elapsedSince(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// resolve reads back who moved the head on: this change, whose answer was lost, or another.
func (c *Controller) resolveConflict(ctx context.Context, old, head configkv.Head) error {
	id := head.ApplyIDs[0]
	for {
		now, err := c.readFullHead(ctx)
		// A read that shows no later version is stale, for the swap has just been refused.
		if err == nil && now.Version > old.Version {
			if _, ours := now.Applied(id); ours {
				return nil
			}
			if lineageReaches(now, head.Lineage.Revision.Number) {
				c.deleteUnused(ctx, now, head.Lineage.Revision)
				return newConflictError(old.Lineage.Revision.Number, now)
			}
			err = errShortLineage
		}
		if waitRetry(ctx) != nil {
			return &UnknownError{ApplyID: id, Err: err}
		}
	}
}

// errShortLineage says that a lineage doesn't go back to the change in question, as when its key was not read.
var errShortLineage = errors.New("the lineage at hand doesn't reach the change")

// reaches reports whether the apply ids of a head go back to the revision with that number.
func lineageReaches(h configkv.Head, number uint64) bool {
	return h.Lineage.Revision.Number < number+uint64(len(h.ApplyIDs))
}

func newConflictError(expected uint64, now configkv.Head) *ConflictError {
	e := &ConflictError{Expected: expected, Found: now.Lineage.Revision}
	if len(now.ApplyIDs) > 0 {
		e.ApplyID = now.ApplyIDs[0]
	}
	return e
}

// dropUnused removes what a change wrote that lost a race, unless the winner wrote the very same.
func (c *Controller) deleteUnused(ctx context.Context, now configkv.Head, lost world.Revision) {
	if now.Lineage.Revision.Digest == lost.Digest || slices.Contains(now.Lineage.Ancestors, lost.Digest) {
		return
	}
	c.deleteRevision(ctx, lost.Digest)
}

// dropOld removes the manifest that is now too far behind.
func (c *Controller) deleteOldest(ctx context.Context, head configkv.Head) {
	if len(head.Lineage.Ancestors) >= configkv.KeptManifests {
		c.deleteRevision(ctx, head.Lineage.Ancestors[configkv.KeptManifests-1])
	}
}

// drop removes a manifest and its lineage. A failure leaves values behind that nobody reads.
func (c *Controller) deleteRevision(ctx context.Context, d world.Digest) {
	c.deleteKey(ctx, configkv.ManifestKey(d))
	c.deleteKey(ctx, configkv.LineageKey(d))
}

func (c *Controller) deleteKey(ctx context.Context, key string) {
	item, err := c.kv.Get(ctx, key)
	if err == nil && item.Version != 0 {
		c.kv.Delete(ctx, key, item.Version)
	}
}

func waitRetry(ctx context.Context) error { return sleep.For(ctx, retryInterval) }
