package keeper

import (
	"container/list"
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/index"
	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
)

// prompt is one prompt that the target was given.
type prompt struct {
	head      block.ID
	chain     []block.ID
	workspace string
	salt      string
	version   string
	returns   int
	kept      int // leading blocks that the first store is known to hold
	lastUse   time.Time
	offered   int // blocks offered for export
}

// prompts is the bounded set of prompts that the target was given lately.
type prompts struct {
	limit  int
	order  *list.List // *prompt, most recently used first
	byHead map[block.ID]*list.Element
}

func newPrompts(limit int) *prompts {
	return &prompts{limit: limit, order: list.New(), byHead: map[block.ID]*list.Element{}}
}

// seen records that a prompt was given to the target and returns its record.
func (p *prompts) seen(n prompt, now time.Time) *prompt {
	n.lastUse = now
	if el := p.byHead[n.head]; el != nil {
		old := el.Value.(*prompt)
		n.returns = old.returns + 1
		n.kept = min(old.kept, block.CommonPrefix(old.chain, n.chain))
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

// retire forgets the prompts of a weight version.
func (p *prompts) retire(version string) {
	for el := p.order.Front(); el != nil; {
		next := el.Next()
		if n := el.Value.(*prompt); n.version == version {
			p.order.Remove(el)
			delete(p.byHead, n.head)
		}
		el = next
	}
}

// scan finds how much of each prompt the target holds, calls changed where that is new, and returns what is
// held.
func (p *prompts) scan(cache *index.Snapshot, changed func(p *prompt, blocks int)) []placement.CachedPrompt {
	var held []placement.CachedPrompt
	for el := p.order.Front(); el != nil; el = el.Next() {
		n := el.Value.(*prompt)
		blocks, _ := cache.Prefix(n.chain)
		if blocks != n.offered {
			n.offered = blocks
			changed(n, blocks)
		}
		if blocks >= placement.HeadBlocks {
			held = append(held, placement.CachedPrompt{Head: n.head, Blocks: blocks})
		}
	}
	return held
}

// lost forgets what the stores are known to hold.
func (p *prompts) lost() {
	for el := p.order.Front(); el != nil; el = el.Next() {
		n := el.Value.(*prompt)
		n.kept, n.offered = 0, 0
	}
}
