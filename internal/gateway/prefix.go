package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egrethoist/egrethoist/internal/mix64"
	"github.com/egrethoist/egrethoist/internal/routing"
)

// homes is the number of targets that are taken to hold a prompt's shared parts: the first in rendezvous order, and the
// one that work goes to when the first has none to spare.
const homes = 2

// homesOf returns the first targets in rendezvous order of the key. All instances find the same ones without a message.
func homesOf(key uint64, targets []*target) [homes]*target {
	var best [homes]*target
	var weight [homes]uint64
	for _, t := range targets {
		w := mix64.Sum(key ^ t.hash)
		switch {
		case best[0] == nil || w > weight[0]:
			best[1], weight[1] = best[0], weight[0]
			best[0], weight[0] = t, w
		case best[1] == nil || w > weight[1]:
			best[1], weight[1] = t, w
		}
	}
	return best
}

// prompt is what is known of the cached parts of one request. It implements routing.PrefixIndex.
type prompt struct {
	key      uint64 // of the last shared part
	shared   int    // tokens of the parts shared with other requests
	homes    [homes]*target
	holdings []routing.Holding
	stored   int // leading tokens that kept-cache stores hold
}

// newPrompt finds the homes of a prompt. The last part belongs to the request alone.
func newPrompt(parts []Part, scope string, targets []*target) *prompt {
	if len(parts) < 2 {
		return &prompt{}
	}
	shared := parts[:len(parts)-1]
	p := &prompt{key: xxhash.Sum64String(scope + "/" + shared[len(shared)-1].ID)}
	for _, part := range shared {
		p.shared += part.Tokens
	}
	p.homes = homesOf(p.key, targets)
	if p.homes[0] != nil {
		p.holdings = append(p.holdings, routing.Holding{Target: p.homes[0].id, Tokens: p.shared})
	}
	return p
}

// Holdings implements routing.PrefixIndex.
func (p *prompt) Holdings() []routing.Holding { return p.holdings }

// Fetch implements routing.PrefixIndex. A part that no store holds comes from the home, unless that lacks it.
func (p *prompt) Fetch(target string) routing.Fetch {
	if p.homes[0] == nil || p.homes[0].id == target {
		return routing.Fetch{}
	}
	if p.stored > 0 {
		return routing.Fetch{Tokens: p.stored, Transfer: fetchTime}
	}
	return routing.Fetch{Tokens: p.shared, Transfer: fetchTime, Miss: homeMiss}
}

const (
	// fetchTime stands for the transfer of a prompt's parts between targets, whose links carry them in some ten
	// milliseconds, and for its price: work moves only if the home is clearly slower.
	fetchTime = 60 * time.Millisecond
	// homeMiss is the chance that the home has dropped the parts.
	homeMiss = 0.5
)
