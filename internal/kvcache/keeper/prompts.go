package keeper

import (
	"container/list"
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/index"
	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
)

// prompt is a prompt that the target has received.
type prompt struct {
	head          block.ID
	chain         []block.ID
	workspace     string
	salt          string
	version       string
	returns       int // times that the prompt was received again
	stored        int // leading blocks that the first store is known to hold
	lastUse       time.Time
	offeredBlocks int // leading blocks offered for export at the last scan
}

// prompts is the LRU set of prompts that the target has received.
type prompts struct {
	limit  int        // maximum number of prompts
	order  *list.List // of *prompt, most recently used first
	byHead map[block.ID]*list.Element
}

func newPrompts(limit int) *prompts {
	return &prompts{limit: limit, order: list.New(), byHead: map[block.ID]*list.Element{}}
}

// record adds or updates a prompt that the target has received and returns its entry.
func (p *prompts) record(n prompt, now time.Time) *prompt {
	n.lastUse = now
	if el := p.byHead[n.head]; el != nil {
		old := el.Value.(*prompt)
		n.returns = old.returns + 1
		n.stored = min(old.stored, block.CommonPrefix(old.chain, n.chain))
		*old = n
		p.order.MoveToFront(el)
		return old
	}
	p.byHead[n.head] = p.order.PushFront(&n)
	if p.order.Len() > p.limit {
		last := p.order.Remove(p.order.Back()).(*prompt)
		delete(p.byHead, last.head)
	}
	return &n
}

// removeVersion removes the prompts of a weight version.
func (p *prompts) removeVersion(version string) {
	for el := p.order.Front(); el != nil; {
		next := el.Next()
		if n := el.Value.(*prompt); n.version == version {
			p.order.Remove(el)
			delete(p.byHead, n.head)
		}
		el = next
	}
}

// scan looks up how many leading blocks of each prompt the target holds, calls onChange for prompts where the number has
// changed, and returns the prompts that the target holds.
func (p *prompts) scan(cache *index.Snapshot, onChange func(p *prompt, blocks int)) []placement.CachedPrompt {
	var held []placement.CachedPrompt
	for el := p.order.Front(); el != nil; el = el.Next() {
		n := el.Value.(*prompt)
		blocks, _ := cache.Prefix(n.chain)
		if blocks != n.offeredBlocks {
			n.offeredBlocks = blocks
			onChange(n, blocks)
		}
		if blocks >= placement.HeadBlocks {
			held = append(held, placement.CachedPrompt{Head: n.head, Blocks: blocks})
		}
	}
	return held
}

// resetStored clears the record of what the stores hold, so that the next scan offers all prompts again.
func (p *prompts) resetStored() {
	for el := p.order.Front(); el != nil; el = el.Next() {
		n := el.Value.(*prompt)
		n.stored, n.offeredBlocks = 0, 0
	}
}
