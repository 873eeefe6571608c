package roster

import (
	"cmp"
	"slices"
	"time"
)

// WeightVersions records when each weight version was first seen. A version must be loaded by all targets within the rollout
// timeout; after it, targets with older versions get no work. It is not safe for concurrent use.
type WeightVersions struct {
	rolloutTimeout time.Duration
	versions       map[string][]observedVersion // by model, in ascending order of version
}

type observedVersion struct {
	version   int
	firstSeen time.Time
}

// NewWeightVersions returns an empty record. rolloutTimeout is the time from the first sighting of a version to its exclusive
// use.
func NewWeightVersions(rolloutTimeout time.Duration) *WeightVersions {
	return &WeightVersions{rolloutTimeout: rolloutTimeout, versions: map[string][]observedVersion{}}
}

// Observe records that a version of a model was first seen at least age ago. It reports whether the version was unknown.
func (w *WeightVersions) Observe(model string, version int, age time.Duration, now time.Time) bool {
	firstSeen := now.Add(-age)
	list := w.versions[model]
	for i := range list {
		if list[i].version == version {
			list[i].firstSeen = minTime(list[i].firstSeen, firstSeen)
			return false
		}
	}
	list = append(list, observedVersion{version: version, firstSeen: firstSeen})
	slices.SortFunc(list, func(a, b observedVersion) int { return cmp.Compare(a.version, b.version) })
	w.versions[model] = list
	return true
}

// Known reports whether a version of a model was seen.
func (w *WeightVersions) Known(model string, version int) bool {
	return slices.ContainsFunc(w.versions[model], func(n observedVersion) bool { return n.version == version })
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Expiry returns when targets with a version of a model must stop accepting requests, zero if no newer version was seen.
func (w *WeightVersions) Expiry(model string, version int) time.Time {
	for _, n := range w.versions[model] {
		if n.version > version {
			return n.firstSeen.Add(w.rolloutTimeout)
		}
	}
	return time.Time{}
}

// Clone returns an independent copy.
func (w *WeightVersions) Clone() *WeightVersions {
	c := NewWeightVersions(w.rolloutTimeout)
	for model, list := range w.versions {
		c.versions[model] = slices.Clone(list)
	}
	return c
}

// ObservedVersion is a weight version with the time at which it was first seen. It is stored in the metadata store.
type ObservedVersion struct {
	Model           string `json:"model"`
	Version         int    `json:"version"`
	FirstSeenMillis int64  `json:"at"` // Unix milliseconds
}

// Age returns the time since the version was first seen by the wall clock, never negative.
func (n *ObservedVersion) Age(now time.Time) time.Duration {
	return max(time.Duration(now.UnixMilli()-n.FirstSeenMillis)*time.Millisecond, 0)
}

// All returns all versions seen, ordered by model and version.
func (w *WeightVersions) All() []ObservedVersion {
	var out []ObservedVersion
	for model, list := range w.versions {
		for _, n := range list {
			out = append(out, ObservedVersion{Model: model, Version: n.version, FirstSeenMillis: n.firstSeen.UnixMilli()})
		}
	}
	slices.SortFunc(out, func(a, b ObservedVersion) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// MinVersion returns the oldest version of a model that may still run new requests, zero if all may.
func (w *WeightVersions) MinVersion(model string, now time.Time) int {
	oldest := 0
	for _, n := range w.versions[model] {
		if now.Sub(n.firstSeen) >= w.rolloutTimeout {
			oldest = n.version
		}
	}
	return oldest
}
