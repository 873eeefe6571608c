package roster

import (
	"cmp"
	"slices"
	"time"
)

// Weights remembers when each weight version was first seen. A version must be in place everywhere within a bound, and
// from then on targets on older ones get no work. It is not safe for concurrent use.
type Weights struct {
	bound time.Duration
	named map[string][]namedVersion // by model, oldest first
}

type namedVersion struct {
	version int
	seen    time.Time
}

// NewWeights returns an empty record. bound is the time from the naming of a version to its use everywhere.
func NewWeights(bound time.Duration) *Weights {
	return &Weights{bound: bound, named: map[string][]namedVersion{}}
}

// Saw notes that a version of a model was named at least age ago.
func (w *Weights) Saw(model string, version int, age time.Duration, now time.Time) {
	seen := now.Add(-age)
	list := w.named[model]
	for i := range list {
		if list[i].version == version {
			list[i].seen = earlier(list[i].seen, seen)
			return
		}
	}
	list = append(list, namedVersion{version: version, seen: seen})
	slices.SortFunc(list, func(a, b namedVersion) int { return cmp.Compare(a.version, b.version) })
	w.named[model] = list
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Expiry returns when targets on a version of a model must have stopped taking requests; zero if no newer one is named.
func (w *Weights) Expiry(model string, version int) time.Time {
	for _, n := range w.named[model] {
		if n.version > version {
			return n.seen.Add(w.bound)
		}
	}
	return time.Time{}
}

// Clone returns a copy that does not change.
func (w *Weights) Clone() *Weights {
	c := NewWeights(w.bound)
	for model, list := range w.named {
		c.named[model] = slices.Clone(list)
	}
	return c
}

// Named is a version with the time at which it was first seen.
type Named struct {
	Model   string `json:"model"`
	Version int    `json:"version"`
	At      int64  `json:"at"` // Unix milliseconds
}

// Age returns the time since then, by the time of day.
func (n *Named) Age(now time.Time) time.Duration {
	return max(time.Duration(now.UnixMilli()-n.At)*time.Millisecond, 0)
}

// All returns all versions seen. They are ordered by model and version.
func (w *Weights) All() []Named {
	var out []Named
	for model, list := range w.named {
		for _, n := range list {
			out = append(out, Named{Model: model, Version: n.version, At: n.seen.UnixMilli()})
		}
	}
	slices.SortFunc(out, func(a, b Named) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// Least returns the oldest version of a model that may still run new requests.
func (w *Weights) Least(model string, now time.Time) int {
	least := 0
	for _, n := range w.named[model] {
		if now.Sub(n.seen) >= w.bound {
			least = n.version
		}
	}
	return least
}
