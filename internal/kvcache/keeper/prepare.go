package keeper

import (
	"context"
	"time"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
	"github.com/egrethoist/egrethoist/internal/kvcache/transfer"
)

// Prepare fetches the blocks of a prompt into the target before the request runs, as long as that is faster than
// recomputing them. It is called while the request waits in the target's queue. It returns the number of leading prompt
// tokens known to be cached at the target, and never fails a request.
func (k *Keeper) Prepare(ctx context.Context, open *egretv1.Open) int {
	s := k.topology.Load()
	chain := parseBlocks(open.PromptBlocks)
	if s == nil || s.service == nil || len(chain) == 0 {
		return 0
	}
	f := &promptFetch{keeper: k, topology: s, open: open, chain: chain, importedAhead: map[int]bool{}, activeLinks: map[*link]bool{}}
	f.cached, _ = k.cache.Load().Prefix(chain)
	f.advance()
	head, ok := placement.Head(chain)
	if ok {
		k.recordPrompt(open, head, chain)
		f.fetch(ctx, s.rankedStores(head))
		f.advance()
	}
	return f.cachedPrefix() * s.service.BlockTokens
}

// parseBlocks decodes block IDs up to the first invalid one.
func parseBlocks(blocks [][]byte) []block.ID {
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

// recordPrompt records that the target receives a prompt.
func (k *Keeper) recordPrompt(open *egretv1.Open, head block.ID, chain []block.ID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.prompts.record(prompt{
		head: head, chain: chain, workspace: open.Workspace, salt: open.CacheSalt, version: open.WeightVersion,
	}, time.Now())
	k.returns.Observe(open.Workspace, p.returns)
}

// recordStored records the number of leading blocks of a prompt that its first store holds.
func (k *Keeper) recordStored(head block.ID, blocks int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if el := k.prompts.byHead[head]; el != nil {
		p := el.Value.(*prompt)
		p.stored = max(p.stored, blocks)
	}
}

// storeDown reports whether a store is being avoided after a recent failure.
func (k *Keeper) storeDown(store string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.queue.IsDown(store, time.Now())
}

// storeFailed records a failed call, after which requests and exports avoid the store for a while.
func (k *Keeper) storeFailed(store string) {
	k.metrics.storeErrors.Inc(1)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queue.MarkFailed(store, time.Now())
}

// noteIncarnation records the incarnation of a store. If it has changed, the store has restarted empty:
// noteIncarnation resets what was recorded of its content and returns true.
func (k *Keeper) noteIncarnation(c *transfer.Client) bool {
	current := c.Incarnation()
	k.mu.Lock()
	defer k.mu.Unlock()
	previous := k.incarnations[c.Name()]
	k.incarnations[c.Name()] = current
	if previous == 0 || previous == current {
		return false
	}
	k.queue.MarkRestarted(c.Name())
	k.prompts.resetStored()
	return true
}
