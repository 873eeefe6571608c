package distribution

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/configkv"
	"github.com/egrethoist/egrethoist/internal/revision"
	"github.com/egrethoist/egrethoist/internal/sleep"
)

// Times of the key-value service's readers.
const (
	watchTimeout        = 2 * time.Second // a watch that was dropped costs no more
	readTimeout         = 2 * time.Second // of a read, beyond what it waits for: a connection that went silent ends here
	entriesTimeout      = 2 * time.Second // for the first reading of the instance list
	entriesPollInterval = 50 * time.Millisecond
	minBackoff          = 500 * time.Millisecond
	// maxBackoff is short, for few processes read while the service is down, and a change made when it returns
	// is to be in force soon.
	maxBackoff = 2 * time.Second
	// maxStartBackoff is longer, for any number of processes may be starting.
	maxStartBackoff = 10 * time.Second
)

// errStale says that a read showed an older head than an earlier one.
var errStale = errors.New("stale read of the configuration head")

// runWatch follows the head while this process is one of the region's watchers, and reads it now and then while
// the revision isn't confirmed.
func (d *Distributor) runWatch(ctx context.Context) error {
	var after uint64
	backoff := minBackoff
	failing := false
	d.awaitEntries(ctx)
	for ctx.Err() == nil {
		wait := d.nextReadWait()
		if wait < 0 {
			sleep.For(ctx, d.planner.Options().Period)
			continue
		}
		head, err := d.readHead(ctx, after, wait)
		if failed := err != nil; failed != failing && ctx.Err() == nil {
			failing = failed
			klog.InfoS("configuration head", "readable", !failed, "name", d.opts.Self.Name, "err", trace.UserMessage(err))
		}
		if err != nil {
			d.metrics.kvReadErrors.Inc(1)
			sleep.For(ctx, backoff/2+d.jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		after = head.Version
	}
	return ctx.Err()
}

// awaitEntries gives the instance list time to be read. Without it every entry of a fleet that starts would take
// itself for a watcher.
func (d *Distributor) awaitEntries(ctx context.Context) {
	if d.opts.Entries == nil {
		return
	}
	for end := time.Now().Add(entriesTimeout); ctx.Err() == nil && time.Now().Before(end); {
		if _, version := d.opts.Entries(); version != 0 {
			break
		}
		sleep.For(ctx, entriesPollInterval)
	}
	d.refreshPeers()
}

// nextRead returns how long the next read waits for a change: watchWait for watchers, zero for a plain read, and
// less than zero for none in this period.
func (d *Distributor) nextReadWait() time.Duration {
	age, known := d.state.confirmedAge(time.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.planner.IsWatcher():
		return watchTimeout
	case d.planner.ShouldReadHead(age, known, d.opts.Rand):
		return 0
	default:
		return -1
	}
}

func (d *Distributor) readHead(ctx context.Context, after uint64, wait time.Duration) (configkv.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	d.metrics.kvReads.Inc(1)
	head, err := d.fetchHead(ctx, after, wait)
	if err != nil {
		return head, err
	}
	if head.Version < after {
		// An old replica answers at once, for its version differs; the caller backs off.
		return head, errStale
	}
	if head.Version == 0 {
		return head, nil
	}
	return head, d.applyHead(ctx, head)
}

func (d *Distributor) fetchHead(ctx context.Context, after uint64, wait time.Duration) (configkv.Head, error) {
	if wait == 0 {
		return configkv.ReadHead(ctx, d.opts.KV)
	}
	return configkv.WaitHead(ctx, d.opts.KV, after, wait)
}

// takeHead takes the head's revision, by its steps if they lead there, and otherwise with its lineage and, at last,
// the manifest. Both are read before the state is locked.
func (d *Distributor) applyHead(ctx context.Context, head configkv.Head) error {
	u := update{lineage: head.Lineage, deltas: head.Deltas}
	v, err := d.applyUpdate(u)
	if v == revision.NeedAncestors || errors.Is(err, errNeedManifest) {
		d.metrics.kvReads.Inc(1)
		if head, err = configkv.ReadLineage(ctx, d.opts.KV, head); err != nil {
			return err
		}
		u.lineage, u.deltas = head.Lineage, head.Deltas
		v, err = d.applyUpdate(u)
	}
	if errors.Is(err, errNeedManifest) {
		d.metrics.kvReads.Inc(1)
		if u.canonical, err = configkv.ReadManifest(ctx, d.opts.KV, head.Lineage.Revision); err != nil {
			return err
		}
		v, err = d.applyUpdate(u)
	}
	if refused := v == revision.Conflict || v == revision.NeedAncestors; d.headRefused.Swap(refused) != refused {
		klog.InfoS("configuration head", "descends", !refused, "verdict", v,
			"head", head.Lineage.Revision.Number, "inForce", d.state.revision().Number)
	}
	return err
}

// runStart finds the first configuration: peers are asked before the key-value service, so that a fleet that
// restarts doesn't fall upon it, and a process can start while it is down.
func (d *Distributor) loadInitial(ctx context.Context) error {
	backoff := minBackoff
	for d.state.current.Load() == nil && ctx.Err() == nil {
		if d.exchangeWithBootstrapPeers(ctx) || d.readInitialHead(ctx) {
			return nil
		}
		sleep.For(ctx, backoff/2+d.jitter(backoff))
		backoff = min(2*backoff, maxStartBackoff)
	}
	return nil
}

func (d *Distributor) exchangeWithBootstrapPeers(ctx context.Context) bool {
	addresses := append([]string(nil), d.opts.Bootstrap...)
	d.mu.Lock()
	d.opts.Rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	d.mu.Unlock()
	for _, a := range addresses {
		if a == d.opts.Self.Address {
			continue
		}
		if err := d.exchange(ctx, a, false); err == nil && d.state.current.Load() != nil {
			return true
		}
	}
	return false
}

func (d *Distributor) readInitialHead(ctx context.Context) bool {
	if d.opts.KV == nil {
		return false
	}
	_, err := d.readHead(ctx, 0, 0)
	return err == nil && d.state.current.Load() != nil
}
