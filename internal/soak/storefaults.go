package soak

import (
	"context"
	"time"

	"github.com/egrethoist/egrethoist/internal/sleep"
)

const (
	// backupInterval is how often the metadata store is copied, and maxBackups the number of copies that are kept.
	backupInterval = 500 * time.Millisecond
	maxBackups     = 11
	// maxRestoreTime is the longest time for which the store is away while it is restored.
	maxRestoreTime = time.Second
	// lateShare of the writes get no answer and are executed after minLateTime to maxLateTime.
	lateShare   = 0.35
	minLateTime = time.Second
	maxLateTime = 6 * time.Second
)

// backUp copies the metadata store regularly until ctx ends.
func (f *fleet) backUp(ctx context.Context) {
	for {
		b := f.metaStore.Backup()
		f.mu.Lock()
		f.backups = append(f.backups, b)
		f.backups = f.backups[max(len(f.backups)-maxBackups, 0):]
		f.mu.Unlock()
		if sleep.For(ctx, backupInterval) != nil {
			return
		}
	}
}

// restoreMetaStore takes the metadata store away for a moment and brings it back from a copy that is some seconds old.
func (f *fleet) restoreMetaStore(ctx context.Context, fl fault) {
	fl.length = min(fl.length, maxRestoreTime)
	f.disturbFor(ctx, fl, metaStorePart, func() { f.metaStore.SetDown(true) }, func() {
		f.mu.Lock()
		backups := f.backups
		f.backups = nil // of the era that ends
		f.mu.Unlock()
		if len(backups) > 0 {
			f.metaStore.Drill(backups[min(int(fl.strength*float64(len(backups))), len(backups)-1)])
		}
		f.metaStore.SetDown(false)
	})
}

// delayMetaStoreWrites makes the metadata store execute a share of the writes late and not answer them.
func (f *fleet) delayMetaStoreWrites(ctx context.Context, fl fault) {
	f.disturbFor(ctx, fl, metaStorePart, func() { f.metaStore.SetLateWrites(lateShare, minLateTime, maxLateTime) }, func() {
		f.metaStore.SetLateWrites(0, 0, 0)
		_ = sleep.For(ctx, maxLateTime) // until the last one is executed
	})
}

// expireLeases takes the metadata store down while all leases end.
func (f *fleet) expireLeases(ctx context.Context, fl fault) {
	f.disturbFor(ctx, fl, metaStorePart, func() { f.metaStore.SetDown(true) }, func() {
		f.metaStore.ExpireAll()
		f.metaStore.SetDown(false)
	})
}
