package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egrethoist/egrethoist/internal/kvcache/transfertime"
	"github.com/egrethoist/egrethoist/internal/mix64"
	"github.com/egrethoist/egrethoist/internal/routing"
)

const (
	// fetchTime stands for the start of a transfer of a prompt's parts and for its price: work moves only if the holders
	// are clearly slower. Between targets, whose links are fast, it stands for all of it.
	fetchOverhead = 40 * time.Millisecond
)

// homeOf returns the first target in rendezvous order of the key that has not said that it leaves, nil if there is none. All
// instances find the same one without a message.
func rendezvousOwner(key uint64, targets []*target) *target {
	var best *target
	var weight uint64
	for _, t := range targets {
		if t.stats.Leaving() {
			continue
		}
		if w := mix64.Sum(key ^ t.idHash); best == nil || w > weight {
			best, weight = t, w
		}
	}
	return best
}

// prompt is what is known of the cached parts of one request. It implements routing.PrefixIndex.
type prefixLookup struct {
	sharedParts  []Part // the parts shared with other requests
	sharedTokens int    // of the shared parts
	request      *request
	versions     []versionedLookup
	holdings     []routing.Holding
	byTarget     map[string]*versionedLookup
	assumed      bool // nobody is known to hold them: holdings names the target that is to
}

// scopeState is what is known of the shared parts in the scope of one weight version.
type versionedLookup struct {
	version      int
	scope        CacheScope
	stores       []string // store of each part, empty for none
	complete     bool     // stores hold all shared parts
	holder       *target  // the one that holds most in memory; nil: none
	holderTokens int      // tokens held there
}

// newPrompt looks up the shared parts: all but the last, which belongs to the request alone.
func (rq *request) lookupPrefix(now time.Time) *prefixLookup {
	p := &prefixLookup{request: rq, byTarget: map[string]*versionedLookup{}}
	if len(rq.call.Parts) < 2 {
		return p
	}
	p.sharedParts = rq.call.Parts[:len(rq.call.Parts)-1]
	for _, part := range p.sharedParts {
		p.sharedTokens += part.Tokens
	}
	for _, t := range rq.service.orderedTargets {
		p.byTarget[t.id] = rq.versionLookup(p, t.version(rq.call.Model), now)
	}
	if len(p.holdings) == 0 {
		// Nobody holds them: all instances send them to the same target, which reads them once.
		key := xxhash.Sum64String(p.sharedParts[len(p.sharedParts)-1].ID)
		if home := rendezvousOwner(key, rq.service.orderedTargets); home != nil {
			p.holdings = append(p.holdings, routing.Holding{Target: home.id, Tokens: p.sharedTokens})
			p.assumed = true
		}
	}
	return p
}

// scopeState returns the state of a version, looked up once.
func (rq *request) versionLookup(p *prefixLookup, version int, now time.Time) *versionedLookup {
	for i := range p.versions {
		if p.versions[i].version == version {
			return &p.versions[i]
		}
	}
	if p.versions == nil {
		p.versions = make([]versionedLookup, 0, maxVersions) // pointers into it stay valid
	}
	if len(p.versions) == maxVersions {
		return &versionedLookup{version: version, scope: rq.cacheScope(version)}
	}
	st := versionedLookup{version: version, scope: rq.cacheScope(version)}
	if cache := rq.gateway.opts.Cache; cache != nil && version > 0 {
		st.stores = cache.FetchSources(st.scope, p.sharedParts, rq.rng.Float64(), now)
		st.complete = st.stores[len(st.stores)-1] != ""
		for _, h := range cache.Holders(st.scope, p.sharedParts) {
			t := rq.service.targets[h.Target]
			if t == nil || t.version(rq.call.Model) != version {
				continue
			}
			p.holdings = append(p.holdings, routing.Holding{Target: h.Target, Tokens: h.Tokens})
			if st.holder == nil {
				st.holder, st.holderTokens = t, h.Tokens
			}
		}
	}
	p.versions = append(p.versions, st)
	return &p.versions[len(p.versions)-1]
}

// maxVersions is the number of weight versions that are looked up for one request: targets run two at a time, three if
// versions are named in quick succession.
const maxVersions = 4

// Holdings implements routing.PrefixIndex.
func (p *prefixLookup) Holdings() []routing.Holding { return p.holdings }

// Fetch implements routing.PrefixIndex.
func (p *prefixLookup) Fetch(target string) routing.Fetch {
	lookup := p.byTarget[target]
	switch {
	case lookup == nil:
		return routing.Fetch{}
	case lookup.complete:
		return routing.Fetch{Tokens: p.sharedTokens, Transfer: fetchOverhead + p.transferTime(lookup, target)}
	case lookup.holder != nil && lookup.holder.id != target:
		return routing.Fetch{Tokens: lookup.holderTokens, Transfer: fetchOverhead}
	}
	return routing.Fetch{}
}

// transfer returns how long the shared parts are on their way from their stores to a target.
func (p *prefixLookup) transferTime(st *versionedLookup, target string) time.Duration {
	t, regions := p.request.service.targets[target], p.request.gateway.opts.State.opts.Regions
	if t == nil {
		return 0
	}
	to := transfertime.Place{Domain: t.domain, Region: regions[t.domain]}
	sum := time.Duration(0)
	for i, part := range p.sharedParts {
		sum += p.request.view.links[st.stores[i]].Of(part.Tokens*p.request.service.Engine.TokenBytes, to)
	}
	return sum
}

// holds reports whether the target is known to hold the shared parts.
func (p *prefixLookup) holds(target string) bool {
	for _, h := range p.holdings {
		if h.Target == target {
			return !p.assumed
		}
	}
	return false
}

// toRead returns the tokens of a prompt that the target must read, as far as is known.
func (p *prefixLookup) prefillTokens(target string, promptTokens int) int {
	lookup := p.byTarget[target]
	if lookup == nil {
		return promptTokens
	}
	cached := 0
	switch {
	case lookup.complete:
		cached = p.sharedTokens
	case lookup.holder != nil:
		cached = lookup.holderTokens
	}
	return max(promptTokens-cached, 0)
}

// moves says where cached parts come from and where they are kept.
func (rq *request) planTransfers(params *ForwardParams, t *target, now time.Time) {
	p := rq.prefix
	if len(p.sharedParts) == 0 {
		return
	}
	st := rq.versionLookup(p, params.WeightVersion, now)
	params.FetchFrom = make([]string, len(rq.call.Parts))
	cache := rq.gateway.opts.Cache
	if cache != nil {
		params.FetchDeadlineMs = cache.FetchDeadline(min(time.Duration(fetchTimeoutShare*float64(rq.route.Objective)), FetchTimeout))
	}
	if params.FetchDeadlineMs > 0 {
		copy(params.FetchFrom, st.stores) // without an end a fetch might meet the freeing of what it reads
	}
	if st.holder != nil && st.holder != t {
		for i := range p.sharedParts {
			if params.FetchFrom[i] == "" {
				params.FetchFrom[i] = st.holder.address
			}
		}
	}
	if cache != nil && params.WeightVersion > 0 {
		params.SaveTo = make([]string, len(rq.call.Parts))
		copy(params.SaveTo, cache.SaveDestinations(st.scope, p.sharedParts, now))
	}
	rq.cacheSource = p.describeSource(params, t, st)
	rq.fetchedFrom = ""
	if last := len(p.sharedParts) - 1; !p.holds(t.id) && st.stores != nil {
		rq.fetchedFrom = st.stores[last]
	}
}

// firstToken takes in how long the first token took. Requests that fetched tell of the store, the others of the target.
func (rq *request) recordFirstToken(t *target, backlog int, took time.Duration) {
	cache := rq.gateway.opts.Cache
	if rq.fetchedFrom == "" || cache == nil {
		rq.service.prefill.Add(backlog, took)
		return
	}
	delay := took - rq.service.prefill.Predict(backlog)
	cache.RecordFetch(rq.fetchedFrom, delay, time.Duration(acceptableFetchShare*float64(rq.route.Objective)), time.Now())
}

const (
	// bearableShare is the part of the latency objective that a fetch may take on average before its store is paced.
	acceptableFetchShare = 0.35
	// fetchShare is the part of the latency objective after which a fetch is given up and the prompt is read: what is
	// left suffices for that.
	fetchTimeoutShare = 0.5
)

// source tells for the log where the last shared part of the prompt was to come from.
func (p *prefixLookup) describeSource(params *ForwardParams, t *target, st *versionedLookup) string {
	last := len(p.sharedParts) - 1
	kind := "unknown"
	if p.holds(t.id) {
		kind = "there"
	}
	if kind != "there" && st.holder != nil {
		kind = "elsewhere"
	}
	kind = p.sharedParts[last].ID + " " + kind
	if params.FetchFrom[last] != "" {
		kind += ", fetch " + params.FetchFrom[last]
	}
	if len(params.SaveTo) > last && params.SaveTo[last] != "" {
		kind += ", save " + params.SaveTo[last]
	}
	return kind
}
