package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/bootclock"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/streampin"
)

const (
	// recordWait is how long an answer is held back for the record of its stream: longer than a short outage of the store's connection.
	recordWait = 2 * time.Second
	// recordResend is after how long a record is written again if its write has not been confirmed: the store answers within
	// milliseconds, and a connection on which an answer was lost gives no further one.
	recordResend = 400 * time.Millisecond
	// recordRetryDelay is the wait after a failed write.
	recordRetryDelay = 100 * time.Millisecond
	// recordFailureTime is how long after a failed write no stream that needs a record is begun.
	recordFailureTime = 500 * time.Millisecond
	// maxRecordsPerWrite is the platform's limit of a transaction.
	maxRecordsPerWrite = 32
	// maxRecordWrites bounds the concurrent writes.
	maxRecordWrites = 4
	// maxPendingRecords bounds the streams whose records are not written yet.
	maxPendingRecords = 1 << 14
	// recordLeasesPerLifetime is how many leases an instance uses in the lifetime of a stream. Records live on a lease for at least that
	// lifetime and are deleted with it.
	recordLeasesPerLifetime = 4
)

var errNotRecorded = errors.New("stream not recorded in time")

// streamKey returns the key of the record of a stream.
func streamKey(id string) string {
	sum := sha256.Sum256([]byte(id))
	return StreamPrefix + hex.EncodeToString(sum[:16])
}

// streamRecorder writes the records of streams to the metadata store, many in one transaction. It is safe for concurrent use.
type streamRecorder struct {
	store    metastore.Store
	metrics  *streamMetrics
	wake     chan struct{} // holds a token while there is something to write
	failedAt atomic.Pointer[time.Time]
	clock    func() time.Duration // monotonic time that advances while the machine is suspended

	mu       sync.Mutex
	pending  []*streamRecord
	writes   int           // in progress
	lifetime time.Duration // longest one of the recorded streams
	lease    metastore.LeaseID
	leaseAt  bootclock.Moment // when lease was granted
	granting bool
}

// streamRecord is a record that is not known to be written yet.
type streamRecord struct {
	id      string
	version streampin.Version
	begun   time.Time
	sentAt  time.Time     // of the last write; guarded by the recorder's mu
	written chan struct{} // closed when a write is confirmed
	once    sync.Once
}

func newStreamRecorder(store metastore.Store, m *streamMetrics) *streamRecorder {
	return &streamRecorder{store: store, metrics: m, wake: make(chan struct{}, 1), clock: bootclock.Now}
}

// isHealthy reports whether no write has failed lately.
func (r *streamRecorder) isHealthy(now time.Time) bool {
	at := r.failedAt.Load()
	return at == nil || now.Sub(*at) > recordFailureTime
}

// add starts to write the record of a stream that is about to begin.
func (r *streamRecorder) add(id string, v streampin.Version, lifetime time.Duration) *streamRecord {
	record := &streamRecord{id: id, version: v, begun: time.Now(), written: make(chan struct{})}
	r.mu.Lock()
	if len(r.pending) < maxPendingRecords {
		r.pending = append(r.pending, record)
	}
	r.lifetime = max(r.lifetime, lifetime)
	r.mu.Unlock()
	r.notify()
	return record
}

func (r *streamRecorder) notify() {
	select {
	case r.wake <- struct{}{}:
	default: // there is a token already
	}
}

// wait returns nil once the record is written. It returns errNotRecorded if that takes too long, and the context's error if that ends
// first.
func (s *streamRecord) wait(ctx context.Context) error {
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-s.written:
		return nil
	case <-timer.C:
		return errNotRecorded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run writes records until ctx ends.
func (r *streamRecorder) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		if wait := r.startWrites(ctx, time.Now()); wait > 0 {
			timer.Reset(wait)
		}
	}
}

// startWrites starts the writes that are due. It returns the time until more may be, zero if none will without a new record.
func (r *streamRecorder) startWrites(ctx context.Context, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropWritten(now)
	if len(r.pending) == 0 {
		return 0
	}
	r.renewLease(ctx, now)
	if r.lease == 0 {
		return recordRetryDelay // wakes earlier when the lease is granted
	}
	if at := r.failedAt.Load(); at != nil && now.Sub(*at) < recordRetryDelay {
		return recordRetryDelay
	}
	for r.writes < maxRecordWrites {
		var batch []*streamRecord
		for _, record := range r.pending {
			if now.Sub(record.sentAt) >= recordResend && len(batch) < maxRecordsPerWrite {
				record.sentAt = now
				batch = append(batch, record)
			}
		}
		if len(batch) == 0 {
			break
		}
		r.writes++
		go r.write(ctx, batch, r.lease)
	}
	return recordResend
}

// dropWritten removes the records that are written, and those of streams that have ended for long. r.mu must be held.
func (r *streamRecorder) dropWritten(now time.Time) {
	kept := r.pending[:0]
	for _, record := range r.pending {
		select {
		case <-record.written:
			continue
		default:
		}
		if now.Sub(record.begun) < r.lifetime {
			kept = append(kept, record)
		}
	}
	clear(r.pending[len(kept):])
	r.pending = kept
}

// renewLease starts to acquire a new lease if the present one is too old for another record. r.mu must be held.
func (r *streamRecorder) renewLease(ctx context.Context, now time.Time) {
	period := r.lifetime / recordLeasesPerLifetime
	age := r.leaseAt.Elapsed(now, r.clock())
	if r.lease != 0 && age >= 2*period {
		r.lease = 0
	}
	if r.granting || r.lease != 0 && age < period {
		return
	}
	r.granting = true
	ttl := r.lifetime + 2*period
	go func() {
		grantedAt := bootclock.At(time.Now(), r.clock()) // before the call: the lease may run from then on
		lease, _, err := r.store.Grant(ctx, ttl)
		r.mu.Lock()
		r.granting = false
		if err == nil {
			r.lease, r.leaseAt = lease, grantedAt
		}
		r.mu.Unlock()
		if err != nil {
			r.recordFailure("lease for records of streams not granted", err)
			return
		}
		r.notify()
	}()
}

// write writes records in one transaction.
func (r *streamRecorder) write(ctx context.Context, batch []*streamRecord, lease metastore.LeaseID) {
	defer r.notify()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.writes--
	}()
	txn := metastore.Txn{}
	for _, record := range batch {
		raw, err := record.version.Encode()
		if err != nil {
			klog.ErrorS(err, "cannot encode the record of a stream", "stream", record.id)
			continue
		}
		txn.Puts = append(txn.Puts, metastore.Put{Key: streamKey(record.id), Value: raw, Lease: lease})
	}
	started := time.Now()
	if _, err := r.store.Commit(ctx, txn); err != nil {
		r.recordFailure("records of streams not written", err)
		if errors.Is(err, metastore.ErrLeaseLost) {
			r.mu.Lock()
			if r.lease == lease {
				r.lease = 0
			}
			r.mu.Unlock()
		}
		return
	}
	r.failedAt.Store(nil)
	r.metrics.recordTime.RecordDuration(time.Since(started))
	r.metrics.records.Inc(int64(len(batch)))
	for _, record := range batch {
		record.once.Do(func() { close(record.written) })
	}
}

// recordFailure counts a failed call and logs the first one of a series.
func (r *streamRecorder) recordFailure(text string, err error) {
	now := time.Now()
	if r.isHealthy(now) {
		klog.InfoS(text, "err", err.Error())
	}
	r.failedAt.Store(&now)
	r.metrics.recordFailures.Inc(1)
}
