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

// Limits of export.
const (
	exportIdle   = 200 * time.Millisecond // pause when there is nothing to do
	exportBlocks = 8                      // blocks of one prompt in one go
	exportLimit  = 30 * time.Second       // for one go
	exportReview = 100 * time.Millisecond // least time between two looks for a more urgent export
)

// export writes blocks to the stores, the most urgent first, one go at a time.
func (k *Keeper) export(ctx context.Context) {
	for ctx.Err() == nil {
		k.mu.Lock()
		job, ok := k.queue.Next(time.Now(), time.Duration(k.residual.Load()), exportBlocks)
		k.mu.Unlock()
		if !ok {
			sleep.For(ctx, jitter(exportIdle))
			continue
		}
		k.exportJob(ctx, job)
	}
}

func (k *Keeper) exportJob(ctx context.Context, job retention.Job) {
	ctx, cancel := context.WithTimeout(ctx, exportLimit)
	defer cancel()
	s := k.topology.Load()
	st := s.byName[job.Store]
	if st == nil || job.Prompt.Version != s.service.WeightVersion {
		k.done(job, len(job.Prompt.Chain)) // no longer wanted
		return
	}
	start := len(job.Prompt.Chain) - after(job)
	if !k.mayStart(ctx, st, job, start) {
		return
	}
	w := &exporting{k: k, store: st, job: job}
	result, err := st.client.Write(ctx, func() (transfer.Export, error) { return w.next(ctx) }, func(bytes int) error { return w.pace(ctx, int64(bytes)) })
	k.metrics.exported.Inc(int64(result.Stored))
	k.metrics.refused.Inc(int64(result.Refused))
	switch {
	case w.gone:
		// The target lost a block that it was thought to hold; the next scan offers what is left.
		k.mu.Lock()
		k.queue.Truncate(job.Prompt.Head, start+w.n)
		k.mu.Unlock()
	case w.late:
		return // the store can't help it; what it holds is asked for before the next go
	case err != nil:
		k.failed(job.Store)
		return
	}
	if result.Refused > 0 {
		k.mu.Lock()
		k.queue.MarkFull(job, time.Now())
		k.mu.Unlock()
		return
	}
	k.done(job, start+result.Stored)
}

// mayStart compares what the store holds with what the job builds on.
func (k *Keeper) mayStart(ctx context.Context, st *remoteStore, job retention.Job, start int) bool {
	held, err := st.client.Held(ctx, job.Prompt.Chain)
	if err != nil {
		k.failed(job.Store)
		return false
	}
	if k.sawIncarnation(st.client) {
		return false // the queue knows now that the store is empty
	}
	if held > start {
		k.done(job, held) // another target has exported it
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

// after returns the number of blocks of the prompt from the first of a job on.
func after(job retention.Job) int {
	for i, id := range job.Prompt.Chain {
		if id == job.Blocks[0] {
			return len(job.Prompt.Chain) - i
		}
	}
	return 0
}

func (k *Keeper) done(job retention.Job, kept int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queue.MarkExported(job.Prompt.Head, job.StoreIndex, kept)
}

// exporting is the source of one go.
type exporting struct {
	k      *Keeper
	store  *remoteStore
	job    retention.Job
	n      int // blocks taken from the target
	parent block.ID
	last   time.Time // when the last piece went; zero before the first of a block
	gone   bool      // the target lost the next block

	late        bool      // the time of the go ended while it waited for the link's budget
	holdsUp     bool      // an urgent export waits for the end of this one, which is in the background
	holdsUpSeen time.Time // when holdsUp was looked at last
}

// class returns the class of the next piece. A block in the background that holds up an urgent export goes as urgent
// itself: leaving it unfinished would waste what the link has carried of it.
func (e *exporting) class() linkbudget.Class {
	class := e.job.Urgency.Class()
	if class != linkbudget.Background {
		return class
	}
	if now := time.Now(); !e.holdsUp && now.Sub(e.holdsUpSeen) >= exportReview {
		e.holdsUpSeen = now
		e.holdsUp = e.k.urgentExportWaits(now)
	}
	if e.holdsUp {
		return linkbudget.Urgent
	}
	return class
}

// urgentExportWaits reports whether an export should go whatever else the link has to do.
func (k *Keeper) urgentExportWaits(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	job, ok := k.queue.Next(now, time.Duration(k.residual.Load()), 1)
	return ok && job.Urgency.Class() == linkbudget.Urgent
}

// pace tells the link's budget how the piece before went, and waits until the next may go.
func (e *exporting) pace(ctx context.Context, bytes int64) error {
	if !e.last.IsZero() {
		e.store.link.observe(e.class(), bytes, time.Since(e.last))
	}
	if err := e.take(ctx, bytes); err != nil {
		return err
	}
	// Last, so that nothing is waited for between the call and the piece.
	for e.class() == linkbudget.Background && e.store.link.probe() {
		if err := e.probe(ctx); err != nil {
			return err
		}
	}
	e.last = time.Now()
	return nil
}

// take waits until the link's budget has some bytes.
func (e *exporting) take(ctx context.Context, bytes int64) error {
	for wait := e.store.link.take(e.class(), bytes); wait > 0; wait = e.store.link.take(e.class(), bytes) {
		sleep.For(ctx, wait)
		if ctx.Err() != nil {
			e.late = true
			return ctx.Err()
		}
	}
	return nil
}

// probe waits for the end of a pause and tells the link's budget how long a small call takes then.
func (e *exporting) probe(ctx context.Context) error {
	if err := e.take(ctx, 0); err != nil {
		return err
	}
	start := time.Now()
	if _, err := e.store.client.Held(ctx, e.job.Prompt.Chain[:1]); err != nil {
		return err
	}
	e.store.link.probed(time.Since(start))
	return nil
}

// next takes the next block from the target.
func (e *exporting) next(ctx context.Context) (transfer.Export, error) {
	if e.n == len(e.job.Blocks) || e.holdsUp {
		return transfer.Export{}, io.EOF
	}
	id := e.job.Blocks[e.n]
	b, err := e.k.opts.Model.ExportBlock(ctx, id.Hex())
	if err == nil && (b.Digest != id.Hex() || b.Version != e.job.Prompt.Version || b.Salt != e.job.Prompt.Salt || b.Sum != blake3.Sum256(b.Data)) {
		err = fmt.Errorf("target gave another block for %s", id.Hex())
	}
	if err != nil {
		// End the stream as whole: the blocks before this one are complete.
		e.gone = true
		return transfer.Export{}, io.EOF
	}
	out := transfer.Export{
		ID: id, Parent: e.parent, Workspace: e.job.Prompt.Workspace, Version: e.job.Prompt.Version,
		Value: e.job.Prompt.Value, Spare: e.job.Replica, Data: b.Data,
	}
	if e.n == 0 {
		out.Parent = e.job.Parent
	}
	e.parent = id
	e.n++
	e.last = time.Time{} // the time at the target doesn't count for the link
	e.k.metrics.exportBytes.Inc(int64(len(b.Data)))
	return out, nil
}
