package keeper

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/linkbudget"
	"github.com/egrethoist/egrethoist/internal/kvcache/retention"
	"github.com/egrethoist/egrethoist/internal/kvcache/transfer"
	"github.com/egrethoist/egrethoist/internal/sleep"

	"lukechampine.com/blake3"
)

// Limits of exports. One export is a batch of blocks of one prompt, written in one call.
const (
	exportIdlePause      = 200 * time.Millisecond // mean pause while the queue is empty
	exportBatchBlocks    = 8                      // maximum blocks per export
	exportTimeout        = 30 * time.Second       // for one export
	urgencyCheckInterval = 100 * time.Millisecond // minimum time between two checks for a more urgent export
)

// exportLoop writes blocks to the stores, one export at a time and the most urgent first, until ctx ends.
func (k *Keeper) exportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		k.mu.Lock()
		job, ok := k.queue.Next(time.Now(), time.Duration(k.residency.Load()), exportBatchBlocks)
		k.mu.Unlock()
		if !ok {
			sleep.For(ctx, jitter(exportIdlePause))
			continue
		}
		k.exportJob(ctx, job)
	}
}

// exportJob runs one export and reports its result to the queue.
func (k *Keeper) exportJob(ctx context.Context, job retention.Job) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	s := k.topology.Load()
	st := s.byName[job.Store]
	if st == nil || job.Prompt.Version != s.service.WeightVersion {
		k.exportDone(job, len(job.Prompt.Chain)) // obsolete: the store or the weight version is gone
		return
	}
	start := len(job.Prompt.Chain) - blocksFrom(job)
	if !k.readyToExport(ctx, st, job, start) {
		return
	}
	w := &exportSource{keeper: k, store: st, job: job}
	result, err := st.client.Write(ctx, func() (transfer.Export, error) { return w.next(ctx) }, func(bytes int) error { return w.pace(ctx, int64(bytes)) })
	k.metrics.exported.Inc(int64(result.Stored))
	k.metrics.refused.Inc(int64(result.Refused))
	switch {
	case w.evicted:
		// The target has evicted a block that it was assumed to hold; the next scan offers the remaining ones.
		k.mu.Lock()
		k.queue.Truncate(job.Prompt.Head, start+w.taken)
		k.mu.Unlock()
	case w.timedOut:
		return // not a store failure; readyToExport checks what was stored before the next export
	case err != nil:
		k.storeFailed(job.Store)
		return
	}
	if result.Refused > 0 {
		k.mu.Lock()
		k.queue.MarkFull(job, time.Now())
		k.mu.Unlock()
		return
	}
	k.exportDone(job, start+result.Stored)
}

// readyToExport reports whether the store holds exactly the blocks before the first one of the job. Otherwise it corrects
// the queue's record of the store.
func (k *Keeper) readyToExport(ctx context.Context, st *remoteStore, job retention.Job, start int) bool {
	held, err := st.client.StoredPrefix(ctx, job.Prompt.Chain)
	if err != nil {
		k.storeFailed(job.Store)
		return false
	}
	if k.noteIncarnation(st.client) {
		return false // the store restarted empty; noteIncarnation has updated the queue
	}
	if held > start {
		k.exportDone(job, held) // another target has already exported these blocks
		return false
	}
	if held < start {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.queue.MarkDropped(job, held, time.Now())
		return false
	}
	return true
}

// blocksFrom returns the number of blocks of the prompt from the first block of the job to the end of the chain.
func blocksFrom(job retention.Job) int {
	for i, id := range job.Prompt.Chain {
		if id == job.Blocks[0] {
			return len(job.Prompt.Chain) - i
		}
	}
	return 0
}

// exportDone records that the store of a job holds the given number of leading blocks of the prompt.
func (k *Keeper) exportDone(job retention.Job, stored int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queue.MarkExported(job.Prompt.Head, job.StoreIndex, stored)
}

// exportSource supplies the blocks of one export and paces their pieces.
type exportSource struct {
	keeper   *Keeper
	store    *remoteStore
	job      retention.Job
	taken    int // blocks read from the target
	parent   block.ID
	lastSent time.Time // when the last piece was sent; zero before the first piece of a block
	evicted  bool      // the target no longer holds the next block

	timedOut         bool      // exportTimeout expired while waiting for link budget
	delaysUrgent     bool      // an urgent export is queued behind this background one
	urgencyCheckedAt time.Time // when delaysUrgent was last checked
}

// class returns the link budget class of the next piece. A background block that delays an urgent export is promoted to
// urgent: aborting it would waste the part already transferred.
func (e *exportSource) class() linkbudget.Class {
	class := e.job.Urgency.Class()
	if class != linkbudget.Background {
		return class
	}
	if now := time.Now(); !e.delaysUrgent && now.Sub(e.urgencyCheckedAt) >= urgencyCheckInterval {
		e.urgencyCheckedAt = now
		e.delaysUrgent = e.keeper.urgentExportPending(now)
	}
	if e.delaysUrgent {
		return linkbudget.Urgent
	}
	return class
}

// urgentExportPending reports whether the next export in the queue has the urgent class.
func (k *Keeper) urgentExportPending(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	job, ok := k.queue.Next(now, time.Duration(k.residency.Load()), 1)
	return ok && job.Urgency.Class() == linkbudget.Urgent
}

// pace records the transfer time of the previous piece and waits until the link budget admits the next one. Before a
// background piece it probes the link's delay when a probe is due.
func (e *exportSource) pace(ctx context.Context, bytes int64) error {
	if !e.lastSent.IsZero() {
		e.store.link.observe(e.class(), bytes, time.Since(e.lastSent))
	}
	if err := e.waitForBudget(ctx, bytes); err != nil {
		return err
	}
	// Probe last, so that the piece follows the probe without another wait.
	for e.class() == linkbudget.Background && e.store.link.probeDue() {
		if err := e.probe(ctx); err != nil {
			return err
		}
	}
	e.lastSent = time.Now()
	return nil
}

// waitForBudget waits until the link budget grants bytes. It returns an error if ctx ends first.
func (e *exportSource) waitForBudget(ctx context.Context, bytes int64) error {
	for wait := e.store.link.reserve(e.class(), bytes); wait > 0; wait = e.store.link.reserve(e.class(), bytes) {
		sleep.For(ctx, wait)
		if ctx.Err() != nil {
			e.timedOut = true
			return ctx.Err()
		}
	}
	return nil
}

// probe waits until any pause imposed by the link budget has ended, then measures the round trip of a small call and
// records it in the budget.
func (e *exportSource) probe(ctx context.Context) error {
	if err := e.waitForBudget(ctx, 0); err != nil {
		return err
	}
	start := time.Now()
	if _, err := e.store.client.StoredPrefix(ctx, e.job.Prompt.Chain[:1]); err != nil {
		return err
	}
	e.store.link.observeProbe(time.Since(start))
	return nil
}

// next reads the next block from the target. It returns io.EOF after the last block, when the target no longer returns the
// expected block, or when the export yields to an urgent one.
func (e *exportSource) next(ctx context.Context) (transfer.Export, error) {
	if e.taken == len(e.job.Blocks) || e.delaysUrgent {
		return transfer.Export{}, io.EOF
	}
	id := e.job.Blocks[e.taken]
	b, err := e.keeper.opts.Model.ExportBlock(ctx, id.Hex())
	if err == nil && (b.Digest != id.Hex() || b.Version != e.job.Prompt.Version || b.Salt != e.job.Prompt.Salt || b.Sum != blake3.Sum256(b.Data)) {
		err = fmt.Errorf("target returned a mismatched block for %s", id.Hex())
	}
	if err != nil {
		// End the stream without an error: the preceding blocks are complete.
		e.evicted = true
		return transfer.Export{}, io.EOF
	}
	out := transfer.Export{
		ID: id, Parent: e.parent, Workspace: e.job.Prompt.Workspace, Version: e.job.Prompt.Version,
		Value: e.job.Prompt.Value, Spare: e.job.Replica, Data: b.Data,
	}
	if e.taken == 0 {
		out.Parent = e.job.Parent
	}
	e.parent = id
	e.taken++
	e.lastSent = time.Time{} // time spent reading from the target must not count as transfer time
	e.keeper.metrics.exportedBytes.Inc(int64(len(b.Data)))
	return out, nil
}
