package entry

import (
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/world"
)

// recentPrompts bounds the table of prompts that this entry sent lately, at 8 bytes each.
const recentPrompts = 1 << 17

// prefix looks up where the request's prompt is cached; nil if nothing is known.
func (sv *serviceView) prefix(req *Request, version string) routing.PrefixIndex {
	chain := req.chain(version)
	if sv.places == nil || len(chain) == 0 {
		return nil
	}
	lookup := sv.places.Lookup(chain, sv.eligible)
	if !lookup.HasHead {
		return nil
	}
	return placement.NewPrefix(lookup, sv.transfer)
}

// transferCost is what fetching a service's blocks costs over the slowest of its stores' links, as declared.
func transferCost(w *world.World, s *world.Service) placement.PrefixOptions {
	cost := placement.PrefixOptions{BlockTokens: s.BlockTokens}
	for _, name := range s.Stores {
		st := w.Stores[name]
		if st == nil || w.Links[st.Link] == nil {
			continue
		}
		link := w.Links[st.Link]
		perBlock := time.Duration(float64(s.BlockBytes) / float64(max(link.BytesPerSec, 1)) * float64(time.Second))
		cost.BlockTime = max(cost.BlockTime, perBlock)
		cost.RoundTrip = max(cost.RoundTrip, 2*link.Delay)
	}
	return cost
}

func (sv *serviceView) eligible(target string) bool {
	c := sv.targets.Candidate(target)
	return c != nil && !c.Disabled && c.LinkAlive
}

// remember records where a prompt was run, for its next return.
func (sv *serviceView) remember(req *Request, version, target string, now time.Time) {
	if sv.places == nil {
		return
	}
	chain := req.chain(version)
	head, ok := placement.Head(chain)
	if !ok {
		return
	}
	l := placement.Lookup{Head: head, HasHead: true, Blocks: len(chain)}
	sv.places.RecordSent(&l, target, now)
}
