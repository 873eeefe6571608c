package entry

import (
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/world"
)

// maxRecentPrompts is the maximum number of recently sent prompts that the entry remembers, at 8 bytes each.
const maxRecentPrompts = 1 << 17

// lookupPrefix returns where leading blocks of the request's prompt are cached; nil if that is unknown.
func (sv *serviceView) lookupPrefix(req *Request, version string) routing.PrefixIndex {
	chain := req.promptBlocks(version)
	if sv.placement == nil || len(chain) == 0 {
		return nil
	}
	lookup := sv.placement.Lookup(chain, sv.eligible)
	if !lookup.HasHead {
		return nil
	}
	return placement.NewPrefix(lookup, sv.prefixOpts)
}

// prefixOptions returns the block size and transfer times of a service. They are those of the slowest link to its
// stores, by the bandwidths (bytes per second) and delays in the configuration.
func prefixOptions(w *world.World, s *world.Service) placement.PrefixOptions {
	opts := placement.PrefixOptions{BlockTokens: s.BlockTokens}
	for _, name := range s.Stores {
		st := w.Stores[name]
		if st == nil || w.Links[st.Link] == nil {
			continue
		}
		link := w.Links[st.Link]
		perBlock := time.Duration(float64(s.BlockBytes) / float64(max(link.BytesPerSec, 1)) * float64(time.Second))
		opts.BlockTime = max(opts.BlockTime, perBlock)
		opts.RoundTrip = max(opts.RoundTrip, 2*link.Delay)
	}
	return opts
}

// eligible reports whether a target is enabled and connected.
func (sv *serviceView) eligible(target string) bool {
	c := sv.targets.Candidate(target)
	return c != nil && !c.Disabled && c.LinkAlive
}

// recordPrompt records that a target has run a prompt, so that later requests with the same prefix are routed to it.
func (sv *serviceView) recordPrompt(req *Request, version, target string, now time.Time) {
	if sv.placement == nil {
		return
	}
	chain := req.promptBlocks(version)
	head, ok := placement.Head(chain)
	if !ok {
		return
	}
	l := placement.Lookup{Head: head, HasHead: true, Blocks: len(chain)}
	sv.placement.RecordSent(&l, target, now)
}
