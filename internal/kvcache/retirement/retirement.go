// Package retirement decides which cached parts of replaced weight versions give way to those of the newest one. Stores
// that evict nothing by themselves hold about one set of prompts: while a new version is rolled out, the targets still on
// the old one want its parts, and those on the new one need room for theirs. It has no I/O and no clock.
package retirement

import (
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// steps is the granularity of a share: each change is told to all instances.
const steps = 16

// mostVersions is the number of versions that shares name.
const mostVersions = 8

// Shares is by weight version the share of its parts, from 0 to 1, that are neither fetched nor saved any more. Versions
// older than all that it names are retired whole.
type Shares map[int]float64

// of returns the share of a version.
func (s Shares) of(version int) float64 {
	if share, ok := s[version]; ok || len(s) == 0 {
		return share
	}
	for named := range s {
		if named < version {
			return 0
		}
	}
	return 1
}

// Retired reports whether a part is among the retired ones of its version. Parts that are retired at a share are retired
// at each larger one.
func (s Shares) Retired(version int, part string) bool {
	share := s.of(version)
	return share >= 1 || share > 0 && float64(xxhash.Sum64String(part)>>11)/(1<<53) < share
}

// Grow returns the larger of both shares for each version. What was retired once stays so: it may be freed already.
func (s Shares) Grow(other Shares) Shares {
	out := maps.Clone(s)
	if out == nil {
		out = Shares{}
	}
	for version, share := range other {
		if share > s.of(version) {
			out[version] = share
		}
	}
	for len(out) > mostVersions {
		oldest := slices.Min(slices.Collect(maps.Keys(out)))
		if out[oldest] < 1 {
			break
		}
		delete(out, oldest)
	}
	return out
}

// Equal reports whether both are the same.
func (s Shares) Equal(other Shares) bool { return maps.Equal(s, other) }

// Fleet is the state that a decision is made from.
type Fleet struct {
	Newest   int         // weight version that all targets are to run
	Targets  int         // all targets
	Serving  map[int]int // targets that take new work, by weight version
	Capacity int         // tokens that stores hold for this model
	Used     map[int]int // tokens held, by weight version
}

// Plan returns the shares to retire. A version that no target serves any more is retired whole. The others keep what fits
// beside the parts that the newest version is about to need, in proportion to the targets that serve on them.
func Plan(f Fleet) Shares {
	shares := Shares{}
	serving, largest := 0, 0
	for version, tokens := range f.Used {
		largest = max(largest, tokens)
		if version < f.Newest {
			serving += f.Serving[version]
		}
	}
	if f.Targets == 0 {
		return shares
	}
	// Targets that are out load the newest version, so their work counts as its already.
	onNewest := 1 - float64(serving)/float64(f.Targets)
	room := float64(f.Capacity) - onNewest*float64(largest)
	for version, tokens := range f.Used {
		if version >= f.Newest || tokens <= 0 {
			continue
		}
		keep := 0.0
		if n := f.Serving[version]; n > 0 {
			keep = max(room, 0) * float64(n) / float64(serving) / float64(tokens)
		}
		if share := math.Ceil((1-min(keep, 1))*steps) / steps; share > 0 {
			shares[version] = share
		}
	}
	return shares
}
