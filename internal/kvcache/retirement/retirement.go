// Package retirement decides which cached parts of replaced weight versions are freed to make room for those of the newest
// version. The stores do not evict by themselves and have room for about one set of prompts: during a rollout, targets
// that still run the old version use its parts, while targets on the new version need room for theirs. The package does
// no I/O and reads no clock.
package retirement

import (
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// shareSteps is the number of steps that a share is rounded to. Every change of a share is published to all instances, so
// small changes are avoided.
const shareSteps = 16

// maxNamedVersions is the number of versions above which Merge drops the oldest ones that are fully retired.
const maxNamedVersions = 8

// Shares maps a weight version to its retired share: the fraction of its parts, from 0 to 1, that are no longer fetched or
// saved. Versions older than every version in a non-empty map are fully retired.
type Shares map[int]float64

// shareOf returns the retired share of a version.
func (s Shares) shareOf(version int) float64 {
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

// Retired reports whether a part of a weight version is retired. The choice depends on a hash of the part, so that all
// instances agree and a part that is retired at one share is retired at every larger share.
func (s Shares) Retired(version int, part string) bool {
	share := s.shareOf(version)
	return share >= 1 || share > 0 && float64(xxhash.Sum64String(part)>>11)/(1<<53) < share
}

// Merge returns the larger of both shares for each version. A retired part must stay retired, since it may already have
// been freed. The oldest fully retired versions are dropped from the map once it names more than maxNamedVersions.
func (s Shares) Merge(other Shares) Shares {
	out := maps.Clone(s)
	if out == nil {
		out = Shares{}
	}
	for version, share := range other {
		if share > s.shareOf(version) {
			out[version] = share
		}
	}
	for len(out) > maxNamedVersions {
		oldest := slices.Min(slices.Collect(maps.Keys(out)))
		if out[oldest] < 1 {
			break
		}
		delete(out, oldest)
	}
	return out
}

// MergeAll merges the shares of all models. It changes neither map.
func MergeAll(a, b map[string]Shares) map[string]Shares {
	out := maps.Clone(a)
	if out == nil {
		out = map[string]Shares{}
	}
	for model, shares := range b {
		out[model] = out[model].Merge(shares)
	}
	return out
}

// Equal reports whether both maps have the same versions and shares.
func (s Shares) Equal(other Shares) bool { return maps.Equal(s, other) }

// Fleet is the state of one model's targets and stores that Plan works on.
type Fleet struct {
	NewestVersion  int         // weight version that all targets are being moved to
	Targets        int         // number of targets, whatever they run
	Serving        map[int]int // number of targets that accept new requests, by weight version
	CapacityTokens int         // tokens that the stores can hold for this model
	UsedTokens     map[int]int // tokens held, by weight version
}

// Plan returns the share to retire of each version older than the newest. A version that no target serves any more is
// fully retired. The others keep what fits next to the parts that the newest version is about to need, in proportion to
// the number of targets that serve them.
func Plan(f Fleet) Shares {
	shares := Shares{}
	serving, largest := 0, 0
	for version, tokens := range f.UsedTokens {
		largest = max(largest, tokens)
		if version < f.NewestVersion {
			serving += f.Serving[version]
		}
	}
	if f.Targets == 0 {
		return shares
	}
	// Targets that do not serve are loading the newest version, so they already count towards it.
	newestTargetShare := 1 - float64(serving)/float64(f.Targets)
	room := float64(f.CapacityTokens) - newestTargetShare*float64(largest)
	for version, tokens := range f.UsedTokens {
		if version >= f.NewestVersion || tokens <= 0 {
			continue
		}
		keep := 0.0
		if n := f.Serving[version]; n > 0 {
			keep = max(room, 0) * float64(n) / float64(serving) / float64(tokens)
		}
		if share := math.Ceil((1-min(keep, 1))*shareSteps) / shareSteps; share > 0 {
			shares[version] = share
		}
	}
	return shares
}
