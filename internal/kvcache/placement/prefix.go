package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/routing"
)

// PrefixOptions hold the costs of a fetch that an entry can estimate.
type PrefixOptions struct {
	BlockTokens int           // tokens per block
	BlockTime   time.Duration // transfer time of one block at the link's nominal bandwidth
	RoundTrip   time.Duration // network delay, both ways, before the first block
}

// Prefix is the cache state of one prompt in the form that routing uses. It implements routing.PrefixIndex.
type Prefix struct {
	lookup   Lookup
	opts     PrefixOptions
	holdings []routing.CachedPrefix
}

var _ routing.PrefixIndex = (*Prefix)(nil)

// NewPrefix converts a lookup to the form that routing uses.
func NewPrefix(l Lookup, opts PrefixOptions) *Prefix {
	p := &Prefix{lookup: l, opts: opts}
	for _, h := range l.Hints {
		p.holdings = append(p.holdings, routing.CachedPrefix{Target: h.Target, Tokens: min(h.Blocks, l.Blocks) * opts.BlockTokens})
	}
	slices.SortStableFunc(p.holdings, func(a, b routing.CachedPrefix) int { return cmp.Compare(b.Tokens, a.Tokens) })
	for rank, owner := range l.Owners {
		if l.BlocksAt(owner) == 0 {
			// Nothing is known about this target, but routing considers only targets listed here and a random sample.
			p.holdings = append(p.holdings, routing.CachedPrefix{Target: owner, Tokens: p.expectedTokens(rank)})
		}
	}
	return p
}

// expectedOwnerShare is the share of a prompt that the owner of the given rank is expected to hold in a service without
// stores.
var expectedOwnerShare = [OwnerCount]float64{0.5, 0.2, 0.1}

// expectedTokens returns the number of tokens that an owner is expected to hold although nothing is known about it. It
// is zero if there are stores, because Fetch then accounts for the advantage of owners.
func (p *Prefix) expectedTokens(rank int) int {
	if len(p.lookup.Stores) > 0 {
		return 0
	}
	return int(expectedOwnerShare[rank] * float64(p.lookup.Blocks*p.opts.BlockTokens))
}

// CachedPrefixes implements routing.PrefixIndex.
func (p *Prefix) CachedPrefixes() []routing.CachedPrefix { return p.holdings }

// ownerFetchShare is the share of a full fetch that the owner of the given rank is expected to need. Earlier uses of the
// prompt went there, so that it probably holds some of it, and later ones benefit from what this one caches.
var ownerFetchShare = [OwnerCount]float64{0.5, 0.75, 0.9}

// storeMissProbability is the probability that no store holds a prompt, because it is new or was used so recently that its
// target has not exported it yet. It favours owners more strongly than the short transfer time alone would, so that
// entries that know nothing about a prompt yet send it to the same target.
const storeMissProbability = 0.2

// EstimateFetch implements routing.PrefixIndex. Entries do not know whether the stores hold a prompt; the sidecar checks that and
// decides whether to fetch.
func (p *Prefix) EstimateFetch(target string) routing.FetchEstimate {
	if len(p.lookup.Stores) == 0 {
		return routing.FetchEstimate{}
	}
	f := routing.FetchEstimate{
		Tokens:          p.lookup.Blocks * p.opts.BlockTokens,
		Transfer:        p.opts.RoundTrip + time.Duration(p.lookup.Blocks)*p.opts.BlockTime,
		MissProbability: storeMissProbability,
	}
	if rank := p.lookup.OwnerRank(target); rank >= 0 {
		f.Transfer = time.Duration(float64(f.Transfer) * ownerFetchShare[rank])
		f.MissProbability *= ownerFetchShare[rank]
	}
	return f
}
