package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/routing"
)

// PrefixOptions tell what a fetch costs, as far as an entry knows.
type PrefixOptions struct {
	BlockTokens int
	PerBlock    time.Duration // transfer of one block over the declared link
	Wait        time.Duration // before the first block: delay both ways
}

// Prefix tells routing where one prompt is cached. It implements routing.PrefixIndex.
type Prefix struct {
	lookup   Lookup
	opts     PrefixOptions
	holdings []routing.CachedPrefix
}

var _ routing.PrefixIndex = (*Prefix)(nil)

// NewPrefix returns what a lookup says in terms of routing.
func NewPrefix(l Lookup, opts PrefixOptions) *Prefix {
	p := &Prefix{lookup: l, opts: opts}
	for _, h := range l.Hints {
		p.holdings = append(p.holdings, routing.CachedPrefix{Target: h.Target, Tokens: min(h.Blocks, l.Blocks) * opts.BlockTokens})
	}
	slices.SortStableFunc(p.holdings, func(a, b routing.CachedPrefix) int { return cmp.Compare(b.Tokens, a.Tokens) })
	for rank, home := range l.Homes {
		if l.BlocksAt(home) == 0 {
			// Nothing is known of it, but routing looks only at the targets named here and at a sample.
			p.holdings = append(p.holdings, routing.CachedPrefix{Target: home, Tokens: p.expected(rank)})
		}
	}
	return p
}

// expectedShare is the part of a prompt that a home of the given rank is expected to hold where no store keeps it.
var expectedShare = [HomeCount]float64{0.5, 0.2, 0.1}

// expected is the number of tokens that a home is expected to hold although nothing is known of it. Where stores
// keep prompts, Fetch says what a home is worth.
func (p *Prefix) expected(rank int) int {
	if len(p.lookup.Stores) > 0 {
		return 0
	}
	return int(expectedShare[rank] * float64(p.lookup.Blocks*p.opts.BlockTokens))
}

// CachedPrefixes implements routing.PrefixIndex.
func (p *Prefix) CachedPrefixes() []routing.CachedPrefix { return p.holdings }

// homeShare is the part of a fetch that is expected at a home of the given rank: a prompt's earlier returns
// went there, so that it is likely to hold some of it, and later ones will find what this one leaves.
var homeShare = [HomeCount]float64{0.5, 0.75, 0.9}

// storeMiss is the probability that no store holds a prompt: it is new, or it ran so lately that its target has
// not exported it. It draws a prompt to its homes more strongly than the short time of a transfer does, so that
// entries which know nothing of a prompt yet send it to the same target.
const storeMiss = 0.2

// EstimateFetch implements routing.PrefixIndex. An entry doesn't know whether the stores hold a prompt; the sidecar finds
// out and decides.
func (p *Prefix) EstimateFetch(target string) routing.FetchEstimate {
	if len(p.lookup.Stores) == 0 {
		return routing.FetchEstimate{}
	}
	f := routing.FetchEstimate{
		Tokens:          p.lookup.Blocks * p.opts.BlockTokens,
		Transfer:        p.opts.Wait + time.Duration(p.lookup.Blocks)*p.opts.PerBlock,
		MissProbability: storeMiss,
	}
	if rank := p.lookup.Home(target); rank >= 0 {
		f.Transfer = time.Duration(float64(f.Transfer) * homeShare[rank])
		f.MissProbability *= homeShare[rank]
	}
	return f
}
