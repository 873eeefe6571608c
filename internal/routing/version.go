package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// VersionCount is the number of available targets that serve a weight version.
type VersionCount struct {
	Version string
	Targets int
}

// countVersions fills versions from the pools, ordered by version.
func (s *Snapshot) countVersions() {
	for version, pool := range s.pools {
		if version != "" {
			s.versions = append(s.versions, VersionCount{Version: version, Targets: len(pool)})
		}
	}
	slices.SortFunc(s.versions, func(a, b VersionCount) int { return cmp.Compare(a.Version, b.Version) })
}

// DrawVersion chooses the weight version of a new request at random, in proportion to the number of available targets
// that serve it. It returns fallback if no target is available.
func (s *Snapshot) DrawVersion(rng *rand.Rand, fallback string) string {
	switch len(s.versions) {
	case 0:
		return fallback
	case 1:
		return s.versions[0].Version
	}
	total := 0
	for _, v := range s.versions {
		total += v.Targets
	}
	offset := rng.IntN(total)
	for _, v := range s.versions {
		if offset < v.Targets {
			return v.Version
		}
		offset -= v.Targets
	}
	return fallback
}

// Versions returns the weight versions that available targets serve, ordered by version. Callers must not modify the
// slice.
func (s *Snapshot) Versions() []VersionCount { return s.versions }
