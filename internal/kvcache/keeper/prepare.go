package keeper

import (
	"context"
	"time"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
	"github.com/egrethoist/egrethoist/internal/kvcache/transfer"
)

// Prepare brings blocks of a prompt to the target before it runs, as far as that is faster than computing
// them. It is called while the request waits in the target's queue. It returns the number of prompt tokens
// that the target need not compute, as far as is known, and never fails a request.
func (k *Keeper) Prepare(ctx context.Context, open *egretv1.Open) int {
	s := k.topology.Load()
	chain := parse(open.PromptBlocks)
	if s == nil || s.service == nil || len(chain) == 0 {
		return 0
	}
	f := &fetching{k: k, s: s, open: open, chain: chain, have: map[int]bool{}, links: map[*link]bool{}}
	f.cached, _ = k.cache.Load().Prefix(chain)
	f.advance()
	head, ok := placement.Head(chain)
	if ok {
		k.note(open, head, chain)
		f.fetch(ctx, s.storesOf(head))
		f.advance()
	}
	return f.prefix() * s.service.BlockTokens
}

func parse(blocks [][]byte) []block.ID {
	ids := make([]block.ID, 0, len(blocks))
	for _, b := range blocks {
		id, err := block.FromBytes(b)
		if err != nil {
			break
		}
		ids = append(ids, id)
	}
	return ids
}

// note records that the target is given a prompt.
func (k *Keeper) note(open *egretv1.Open, head block.ID, chain []block.ID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.prompts.seen(prompt{
		head: head, chain: chain, workspace: open.Workspace, salt: open.CacheSalt, version: open.WeightVersion,
	}, time.Now())
	k.returns.Observe(open.Workspace, p.returns)
}

// kept records how much of a prompt its first store holds.
func (k *Keeper) kept(head block.ID, blocks int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if el := k.prompts.byHead[head]; el != nil {
		p := el.Value.(*prompt)
		p.kept = max(p.kept, blocks)
	}
}

// down reports whether a store failed lately.
func (k *Keeper) down(store string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.queue.IsDown(store, time.Now())
}

// failed makes requests and exports leave a store alone for a while.
func (k *Keeper) failed(store string) {
	k.metrics.storeErrors.Inc(1)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queue.MarkFailed(store, time.Now())
}

// sawIncarnation reports whether a store has come back empty since it was seen last.
func (k *Keeper) sawIncarnation(c *transfer.Client) bool {
	now := c.Incarnation()
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.seen[c.Name()]
	k.seen[c.Name()] = now
	if before == 0 || before == now {
		return false
	}
	k.queue.MarkRestarted(c.Name())
	k.prompts.lost()
	return true
}
