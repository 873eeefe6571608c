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
	evidence  Evidence
}

// Evidence says how well the age of a weight version is known. The age by better evidence replaces another one.
type Evidence uint8

const (
	// Estimated ages come from the wall clocks of two processes and may be too small.
	Estimated Evidence = iota
	// Bounded ages are not too small.
	Bounded
	// Measured ages are right: by the monotonic clock of the instance that saw the release, or by a clock that all instances share.
	Measured
)

var evidenceNames = [...]string{"estimated", "bounded", "measured"}

func (e Evidence) String() string { return evidenceNames[e] }

// NewWeightVersions returns an empty record. rolloutTimeout is the time from the first sighting of a version to its exclusive
// use.
func NewWeightVersions(rolloutTimeout time.Duration) *WeightVersions {
	return &WeightVersions{rolloutTimeout: rolloutTimeout, versions: map[string][]observedVersion{}}
}

// Observe records that a version of a model was first seen age ago. Of two ages by equal evidence the larger one counts. It reports whether
// the recorded age has changed, or the version was unknown.
func (w *WeightVersions) Observe(model string, version int, age time.Duration, evidence Evidence, now time.Time) bool {
	seen := observedVersion{version: version, firstSeen: now.Add(-age), evidence: evidence}
	list := w.versions[model]
	for i := range list {
		if list[i].version != version {
			continue
		}
		if evidence < list[i].evidence || evidence == list[i].evidence && !seen.firstSeen.Before(list[i].firstSeen) {
			return false
		}
		list[i] = seen
		return true
	}
	list = append(list, seen)
	slices.SortFunc(list, func(a, b observedVersion) int { return cmp.Compare(a.version, b.version) })
	w.versions[model] = list
	return true
}

// Known reports whether a version of a model was seen.
func (w *WeightVersions) Known(model string, version int) bool {
	return slices.ContainsFunc(w.versions[model], func(n observedVersion) bool { return n.version == version })
}

// Expiry returns when targets with a version of a model must stop accepting requests, zero if no newer version was seen.
func (w *WeightVersions) Expiry(model string, version int) time.Time {
	var first time.Time
	for _, n := range w.versions[model] {
		if n.version > version && (first.IsZero() || n.firstSeen.Before(first)) {
			first = n.firstSeen
		}
	}
	if first.IsZero() {
		return first
	}
	return first.Add(w.rolloutTimeout)
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
	FirstSeenMillis int64  `json:"at"` // Unix milliseconds by the wall clock of the instance that recorded it
	// ClockMillis is the same time in Unix milliseconds on the clock of the targets, zero if the instance did not know that clock.
	ClockMillis int64 `json:"clock,omitempty"`
}

// Age returns the time since the version was first seen by the wall clock, never negative.
func (n *ObservedVersion) Age(now time.Time) time.Duration {
	return max(time.Duration(now.UnixMilli()-n.FirstSeenMillis)*time.Millisecond, 0)
}

// Sighting is the first sighting of a weight version.
type Sighting struct {
	Model     string
	Version   int
	FirstSeen time.Time // as WeightVersions counts time
	Evidence  Evidence
}

// All returns the first sightings of all versions, ordered by model and version.
func (w *WeightVersions) All() []Sighting {
	var out []Sighting
	for model, list := range w.versions {
		for _, n := range list {
			out = append(out, Sighting{Model: model, Version: n.version, FirstSeen: n.firstSeen, Evidence: n.evidence})
		}
	}
	slices.SortFunc(out, func(a, b Sighting) int {
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
