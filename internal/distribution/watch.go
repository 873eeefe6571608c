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

// Timeouts and intervals of reads from the key-value service.
const (
	watchTimeout        = 2 * time.Second // of one watch; bounds the delay caused by a dropped watch
	readTimeout         = 2 * time.Second // of a read, in addition to its wait; detects a silent connection
	entriesTimeout      = 2 * time.Second // for the first read of the instance list
	entriesPollInterval = 50 * time.Millisecond
	minBackoff          = 500 * time.Millisecond
	// maxBackoff is short because only few processes retry while the service is down, and a change made right after
	// it recovers must take effect soon.
	maxBackoff = 2 * time.Second
	// maxStartBackoff is longer because any number of processes may start at once.
	maxStartBackoff = 10 * time.Second
)

// errStale reports that a read returned an older head than an earlier read.
var errStale = errors.New("stale read of the configuration head")

// runWatch watches the head while this process is one of its region's watchers. On other entries it reads the head
// occasionally while the revision is unconfirmed.
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
			klog.InfoS("readability of the configuration head changed", "readable", !failed, "name", d.opts.Self.Name, "err", trace.UserMessage(err))
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

// awaitEntries waits up to entriesTimeout for the first read of the instance list. Without the list, every entry of a
// starting fleet would consider itself a watcher.
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

// nextReadWait returns how long the next read waits for a change: watchTimeout on watchers, zero for an immediate read,
// and a negative value for no read in this period.
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

// readHead reads the head, after waiting up to wait for a version other than after, and applies it. It returns errStale
// if the head is older than version after.
func (d *Distributor) readHead(ctx context.Context, after uint64, wait time.Duration) (configkv.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	d.metrics.kvReads.Inc(1)
	head, err := d.fetchHead(ctx, after, wait)
	if err != nil {
		return head, err
	}
	if head.Version < after {
		// A lagging replica responds at once because its version differs from after; the caller backs off.
		return head, errStale
	}
	if head.Version == 0 {
		return head, nil
	}
	return head, d.applyHead(ctx, head)
}

// fetchHead reads the head at once if wait is zero; otherwise it waits for a version other than after.
func (d *Distributor) fetchHead(ctx context.Context, after uint64, wait time.Duration) (configkv.Head, error) {
	if wait == 0 {
		return configkv.ReadHead(ctx, d.opts.KV)
	}
	return configkv.WaitHead(ctx, d.opts.KV, after, wait)
}

// applyHead applies the head's revision: with the head's own deltas if they suffice, else with the full lineage, else
// with the manifest. Lineage and manifest are read without holding the state's lock.
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
		klog.InfoS("descent of the configuration head changed", "descends", !refused, "verdict", v,
			"head", head.Lineage.Revision.Number, "inForce", d.state.revision().Number)
	}
	return err
}

// loadInitial loads the first configuration, with backoff. It tries bootstrap peers before the key-value service, so
// that a restarting fleet doesn't overload the service and a process can start while the service is down.
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

// exchangeWithBootstrapPeers exchanges with bootstrap peers in random order and reports whether one provided a
// configuration.
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

// readInitialHead reads the configuration from the key-value service and reports whether it succeeded.
func (d *Distributor) readInitialHead(ctx context.Context) bool {
	if d.opts.KV == nil {
		return false
	}
	_, err := d.readHead(ctx, 0, 0)
	return err == nil && d.state.current.Load() != nil
}
