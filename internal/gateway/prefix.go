package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egrethoist/egrethoist/internal/kvcache/transfertime"
	"github.com/egrethoist/egrethoist/internal/mix64"
	"github.com/egrethoist/egrethoist/internal/routing"
)

const (
	// fetchOverhead is the assumed cost of starting a transfer of cached parts. It also biases against transfers: a request leaves
	// the holders of its prefix only if they are clearly slower. For transfers between targets, whose links are fast, it is the
	// whole cost.
	fetchOverhead = 40 * time.Millisecond
)

// rendezvousOwner returns the owner of a key by rendezvous hashing over the targets that are not leaving, nil if there is none. All
// instances choose the same owner without coordination.
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

// prefixLookup holds where the cached parts of one request's prompt are. It implements routing.PrefixIndex.
type prefixLookup struct {
	sharedParts  []Part // parts that other requests may share: all but the last
	sharedTokens int    // total tokens of sharedParts
	request      *request
	versions     []versionedLookup           // one for each weight version
	holdings     []routing.CachedPrefix      // targets that hold the shared parts in memory
	byTarget     map[string]*versionedLookup // the lookup for the weight version of each target, by ID
	assumed      bool                        // no target is known to hold the parts: holdings has only their rendezvous owner
}

// versionedLookup holds where the shared parts are in the cache scope of one weight version.
type versionedLookup struct {
	version      int
	scope        CacheScope
	draw         float64  // random number by which fetches from throttled stores are allowed
	fetchSources []string // address of the store to fetch each part from, empty for none; nil if not looked up
	complete     bool     // stores hold all shared parts
	holder       *target  // the target that holds most of the parts in memory; nil if none does
	holderTokens int      // leading prompt tokens that holder has in memory
}

// lookupPrefix looks up the shared parts: all but the last one, which no other request has.
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
		// No target holds the parts: all instances route them to the same target, so that they are prefilled only once.
		key := xxhash.Sum64String(p.sharedParts[len(p.sharedParts)-1].ID)
		if owner := rendezvousOwner(key, rq.service.orderedTargets); owner != nil {
			p.holdings = append(p.holdings, routing.CachedPrefix{Target: owner.id, Tokens: p.sharedTokens})
			p.assumed = true
		}
	}
	return p
}

// versionLookup returns the lookup for a weight version. It queries the cache once for each version.
func (rq *request) versionLookup(p *prefixLookup, version int, now time.Time) *versionedLookup {
	for i := range p.versions {
		if p.versions[i].version == version {
			return &p.versions[i]
		}
	}
	if p.versions == nil {
		p.versions = make([]versionedLookup, 0, maxVersionsPerRequest) // must not be reallocated: byTarget points into it
	}
	if len(p.versions) == maxVersionsPerRequest {
		return &versionedLookup{version: version, scope: rq.cacheScope(version)}
	}
	lookup := versionedLookup{version: version, scope: rq.cacheScope(version), draw: rq.rng.Float64()}
	if cache := rq.gateway.opts.Cache; cache != nil && version > 0 {
		lookup.fetchSources = cache.FetchSources(lookup.scope, p.sharedParts, lookup.draw, now)
		lookup.complete = lookup.fetchSources[len(lookup.fetchSources)-1] != ""
		for _, h := range cache.Holders(lookup.scope, p.sharedParts) {
			t := rq.service.targets[h.Target]
			if t == nil || t.version(rq.call.Model) != version {
				continue
			}
			p.holdings = append(p.holdings, routing.CachedPrefix{Target: h.Target, Tokens: h.Tokens})
			if lookup.holder == nil {
				lookup.holder, lookup.holderTokens = t, h.Tokens
			}
		}
	}
	p.versions = append(p.versions, lookup)
	return &p.versions[len(p.versions)-1]
}

// maxVersionsPerRequest is the maximum number of weight versions that are looked up for one request. Targets run two versions at a
// time, or three if versions are released in quick succession.
const maxVersionsPerRequest = 4

// CachedPrefixes implements routing.PrefixIndex.
func (p *prefixLookup) CachedPrefixes() []routing.CachedPrefix { return p.holdings }

// EstimateFetch implements routing.PrefixIndex.
func (p *prefixLookup) EstimateFetch(target string) routing.FetchEstimate {
	lookup := p.byTarget[target]
	switch {
	case lookup == nil:
		return routing.FetchEstimate{}
	case lookup.complete:
		return routing.FetchEstimate{Tokens: p.sharedTokens, Transfer: fetchOverhead + p.transferTime(lookup, target)}
	case lookup.holder != nil && lookup.holder.id != target:
		return routing.FetchEstimate{Tokens: lookup.holderTokens, Transfer: fetchOverhead}
	}
	return routing.FetchEstimate{}
}

// transferTime estimates how long the transfer of the shared parts from their stores to a target takes.
func (p *prefixLookup) transferTime(lookup *versionedLookup, target string) time.Duration {
	t, regions := p.request.service.targets[target], p.request.gateway.opts.State.opts.Regions
	if t == nil {
		return 0
	}
	to := transfertime.Location{Domain: t.domain, Region: regions[t.domain]}
	sum := time.Duration(0)
	for i, part := range p.sharedParts {
		sum += p.request.view.links[lookup.fetchSources[i]].TransferTime(part.Tokens*p.request.service.Engine.BytesPerToken, to)
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

// prefillTokens estimates how many of the prompt's tokens the target must prefill, because they are not known to be cached.
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

// planTransfers sets from where the target fetches cached parts and to which stores it saves them, in a scope. now must be the time of the
// send: the lookup by which the target was chosen may be as old as the request has waited since.
func (rq *request) planTransfers(params *ForwardParams, t *target, scope CacheScope, now time.Time) {
	p := rq.prefix
	if len(p.sharedParts) == 0 {
		return
	}
	lookup := rq.versionLookup(p, params.WeightVersion, now)
	params.FetchFrom = make([]string, len(rq.call.Parts))
	cache := rq.gateway.opts.Cache
	if timeout := rq.fetchTimeout(t, now); cache != nil && timeout > 0 {
		params.FetchDeadlineMs = cache.FetchDeadline(timeout)
	}
	if cache != nil && params.WeightVersion > 0 {
		// After the deadline was computed: if the process stands still before the send, the target discards the fetch.
		lookup.refresh(cache, scope, p.sharedParts, time.Now())
	}
	if params.FetchDeadlineMs > 0 {
		copy(params.FetchFrom, lookup.fetchSources) // without a deadline, a fetch could still run when its parts are freed
	}
	if lookup.holder != nil && lookup.holder != t {
		for i := range p.sharedParts {
			if params.FetchFrom[i] == "" {
				params.FetchFrom[i] = lookup.holder.address
			}
		}
	}
	if cache != nil && params.WeightVersion > 0 {
		params.SaveTo = make([]string, len(rq.call.Parts))
		copy(params.SaveTo, cache.SaveDestinations(scope, p.sharedParts, time.Now()))
	}
	rq.cacheSource = p.describeSource(params, t, lookup)
	rq.fetchedFrom = ""
	if last := len(p.sharedParts) - 1; !p.holds(t.id) && lookup.fetchSources != nil {
		rq.fetchedFrom = lookup.fetchSources[last]
	}
}

// refresh looks up again from where parts are fetched in a scope. The targets that hold the parts in memory are forgotten if the scope is
// another one than before.
func (l *versionedLookup) refresh(cache PromptCache, scope CacheScope, parts []Part, now time.Time) {
	if l.scope != scope {
		l.scope, l.holder, l.holderTokens = scope, nil, 0
	}
	l.fetchSources = cache.FetchSources(scope, parts, l.draw, now)
	l.complete = l.fetchSources[len(l.fetchSources)-1] != ""
}

// recordFirstToken records the time to the first token. If the request fetched from a store, the delay against the prediction is
// a sample for the throttle of the store; otherwise the time is a sample for the prefill rate.
func (rq *request) recordFirstToken(t *target, backlog int, took time.Duration) {
	cache := rq.gateway.opts.Cache
	if rq.fetchedFrom == "" || cache == nil {
		rq.service.prefill.AddSample(backlog, took)
		return
	}
	delay := took - rq.service.prefill.PredictFirstToken(backlog)
	cache.RecordFetch(rq.fetchedFrom, delay, rq.tolerableFetchDelay(), time.Now())
}

// fetchTimeout returns how long a fetch of cached parts may take before it is discarded and the prompt is prefilled: no longer than it is of use,
// and only while the prompt can still be prefilled before the caller leaves.
func (rq *request) fetchTimeout(t *target, now time.Time) time.Duration {
	prefill := rq.service.prefill.PredictPrefill(rq.prefillBacklog(t) + rq.call.PromptTotal)
	return max(min(FetchTimeout, maxFetchDelays*rq.tolerableFetchDelay(), rq.silenceLeft(now)-prefill), 0)
}

// tolerableFetchDelay returns by how much fetches of the shared parts may delay the first token on average before their store is throttled. Without
// the fetch, the prefill of the parts would delay the request, and others at its target as well.
func (rq *request) tolerableFetchDelay() time.Duration {
	return max(delayedByPrefill*rq.service.prefill.PredictPrefill(rq.prefix.sharedTokens), fetchOverhead)
}

const (
	// delayedByPrefill is the number of requests that a prefill is assumed to delay: the request itself, and others that wait or decode at a busy
	// target.
	delayedByPrefill = 6
	// maxFetchDelays is the number of tolerable delays after which a fetch is given up: less would give up many that are about to end.
	maxFetchDelays = 2
)

// describeSource describes for the log where the last shared part was expected to come from: whether it was in the target's memory
// ("there"), in another target's ("elsewhere") or neither known ("unknown"), and the stores for its fetch and save.
func (p *prefixLookup) describeSource(params *ForwardParams, t *target, lookup *versionedLookup) string {
	last := len(p.sharedParts) - 1
	description := "unknown"
	if p.holds(t.id) {
		description = "there"
	}
	if description != "there" && lookup.holder != nil {
		description = "elsewhere"
	}
	description = p.sharedParts[last].ID + " " + description
	if params.FetchFrom[last] != "" {
		description += ", fetch " + params.FetchFrom[last]
	}
	if len(params.SaveTo) > last && params.SaveTo[last] != "" {
		description += ", save " + params.SaveTo[last]
	}
	return description
}
