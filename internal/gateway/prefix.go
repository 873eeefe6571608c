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
	fetchTime = 40 * time.Millisecond
)

// homeOf returns the first target in rendezvous order of the key that has not said that it leaves, nil if there is none. All
// instances find the same one without a message.
func homeOf(key uint64, targets []*target) *target {
	var best *target
	var weight uint64
	for _, t := range targets {
		if t.stats.Leaving() {
			continue
		}
		if w := mix64.Sum(key ^ t.hash); best == nil || w > weight {
			best, weight = t, w
		}
	}
	return best
}

// prompt is what is known of the cached parts of one request. It implements routing.PrefixIndex.
type prompt struct {
	shared   []Part // the parts shared with other requests
	tokens   int    // of the shared parts
	request  *request
	versions []scopeState
	holdings []routing.Holding
	byTarget map[string]*scopeState
	guessed  bool // nobody is known to hold them: holdings names the target that is to
}

// scopeState is what is known of the shared parts in the scope of one weight version.
type scopeState struct {
	version int
	scope   Scope
	stored  []string // store of each part, empty for none
	whole   bool     // stores hold all shared parts
	holder  *target  // the one that holds most in memory; nil: none
	held    int      // tokens held there
}

// newPrompt looks up the shared parts: all but the last, which belongs to the request alone.
func (rq *request) newPrompt(now time.Time) *prompt {
	p := &prompt{request: rq, byTarget: map[string]*scopeState{}}
	if len(rq.call.Parts) < 2 {
		return p
	}
	p.shared = rq.call.Parts[:len(rq.call.Parts)-1]
	for _, part := range p.shared {
		p.tokens += part.Tokens
	}
	for _, t := range rq.service.order {
		p.byTarget[t.id] = rq.scopeState(p, t.version(rq.call.Model), now)
	}
	if len(p.holdings) == 0 {
		// Nobody holds them: all instances send them to the same target, which reads them once.
		key := xxhash.Sum64String(p.shared[len(p.shared)-1].ID)
		if home := homeOf(key, rq.service.order); home != nil {
			p.holdings = append(p.holdings, routing.Holding{Target: home.id, Tokens: p.tokens})
			p.guessed = true
		}
	}
	return p
}

// scopeState returns the state of a version, looked up once.
func (rq *request) scopeState(p *prompt, version int, now time.Time) *scopeState {
	for i := range p.versions {
		if p.versions[i].version == version {
			return &p.versions[i]
		}
	}
	if p.versions == nil {
		p.versions = make([]scopeState, 0, maxVersions) // pointers into it stay valid
	}
	if len(p.versions) == maxVersions {
		return &scopeState{version: version, scope: rq.scope(version)}
	}
	st := scopeState{version: version, scope: rq.scope(version)}
	if kept := rq.gateway.opts.Kept; kept != nil && version > 0 {
		st.stored = kept.Held(st.scope, p.shared, rq.rng.Float64(), now)
		st.whole = st.stored[len(st.stored)-1] != ""
		for _, h := range kept.Holders(st.scope, p.shared) {
			t := rq.service.targets[h.Target]
			if t == nil || t.version(rq.call.Model) != version {
				continue
			}
			p.holdings = append(p.holdings, routing.Holding{Target: h.Target, Tokens: h.Tokens})
			if st.holder == nil {
				st.holder, st.held = t, h.Tokens
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
func (p *prompt) Holdings() []routing.Holding { return p.holdings }

// Fetch implements routing.PrefixIndex.
func (p *prompt) Fetch(target string) routing.Fetch {
	st := p.byTarget[target]
	switch {
	case st == nil:
		return routing.Fetch{}
	case st.whole:
		return routing.Fetch{Tokens: p.tokens, Transfer: fetchTime + p.transfer(st, target)}
	case st.holder != nil && st.holder.id != target:
		return routing.Fetch{Tokens: st.held, Transfer: fetchTime}
	}
	return routing.Fetch{}
}

// transfer returns how long the shared parts are on their way from their stores to a target.
func (p *prompt) transfer(st *scopeState, target string) time.Duration {
	t, regions := p.request.service.targets[target], p.request.gateway.opts.State.opts.Regions
	if t == nil {
		return 0
	}
	to := transfertime.Place{Domain: t.domain, Region: regions[t.domain]}
	sum := time.Duration(0)
	for i, part := range p.shared {
		sum += p.request.view.links[st.stored[i]].Of(part.Tokens*p.request.service.Engine.BytesPerToken, to)
	}
	return sum
}

// holds reports whether the target is known to hold the shared parts.
func (p *prompt) holds(target string) bool {
	for _, h := range p.holdings {
		if h.Target == target {
			return !p.guessed
		}
	}
	return false
}

// toRead returns the tokens of a prompt that the target must read, as far as is known.
func (p *prompt) toRead(target string, total int) int {
	st := p.byTarget[target]
	if st == nil {
		return total
	}
	have := 0
	switch {
	case st.whole:
		have = p.tokens
	case st.holder != nil:
		have = st.held
	}
	return max(total-have, 0)
}

// moves says where cached parts come from and where they are kept.
func (rq *request) moves(s *Send, t *target, now time.Time) {
	p := rq.prompt
	if len(p.shared) == 0 {
		return
	}
	st := rq.scopeState(p, s.Weights, now)
	s.FetchFrom = make([]string, len(rq.call.Parts))
	kept := rq.gateway.opts.Kept
	if kept != nil {
		s.FetchUntil = kept.FetchEnd(min(time.Duration(fetchShare*float64(rq.route.Objective)), FetchLimit))
	}
	if s.FetchUntil > 0 {
		copy(s.FetchFrom, st.stored) // without an end a fetch might meet the freeing of what it reads
	}
	if st.holder != nil && st.holder != t {
		for i := range p.shared {
			if s.FetchFrom[i] == "" {
				s.FetchFrom[i] = st.holder.address
			}
		}
	}
	if kept != nil && s.Weights > 0 {
		s.SaveTo = make([]string, len(rq.call.Parts))
		copy(s.SaveTo, kept.Save(st.scope, p.shared, now))
	}
	rq.cache = p.source(s, t, st)
	rq.fetched = ""
	if last := len(p.shared) - 1; !p.holds(t.id) && st.stored != nil {
		rq.fetched = st.stored[last]
	}
}

// firstToken takes in how long the first token took. Requests that fetched tell of the store, the others of the target.
func (rq *request) firstToken(t *target, backlog int, took time.Duration) {
	kept := rq.gateway.opts.Kept
	if rq.fetched == "" || kept == nil {
		rq.service.prefill.Add(backlog, took)
		return
	}
	late := took - rq.service.prefill.Predict(backlog)
	kept.Fetched(rq.fetched, late, time.Duration(bearableShare*float64(rq.route.Objective)), time.Now())
}

const (
	// bearableShare is the part of the latency objective that a fetch may take on average before its store is paced.
	bearableShare = 0.35
	// fetchShare is the part of the latency objective after which a fetch is given up and the prompt is read: what is
	// left suffices for that.
	fetchShare = 0.5
)

// source tells for the log where the last shared part of the prompt was to come from.
func (p *prompt) source(s *Send, t *target, st *scopeState) string {
	last := len(p.shared) - 1
	kind := "unknown"
	if p.holds(t.id) {
		kind = "there"
	}
	if kind != "there" && st.holder != nil {
		kind = "elsewhere"
	}
	kind = p.shared[last].ID + " " + kind
	if s.FetchFrom[last] != "" {
		kind += ", fetch " + s.FetchFrom[last]
	}
	if len(s.SaveTo) > last && s.SaveTo[last] != "" {
		kind += ", save " + s.SaveTo[last]
	}
	return kind
}
