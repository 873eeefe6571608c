package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/quarantine"
	"github.com/egrethoist/egrethoist/internal/sleep"
)

const (
	// foreignRecordDelay is how long the instances that have not reported a crash themselves leave the record to those that have.
	foreignRecordDelay = 5 * time.Second
	// minRefusalPeriod and refusalPeriodPerInstance determine how often an instance adds its refused requests to a record: two writes a
	// second of all instances together.
	minRefusalPeriod         = 10 * time.Second
	refusalPeriodPerInstance = 500 * time.Millisecond
	// recordRetention is how long the record of a quarantine that has run out is kept for operators.
	recordRetention = time.Hour
)

// QuarantineRecorder keeps the quarantines in the metadata store, where they outlast the instances and operators see them.
type QuarantineRecorder struct {
	State *State
	Store metastore.Store
}

// QuarantineKey returns the key of the record of a quarantine with the given key.
func QuarantineKey(key string) string {
	return fmt.Sprintf("%s%016x", QuarantinePrefix, xxhash.Sum64String(key))
}

// Run writes records until ctx ends, and returns the context's error.
func (r *QuarantineRecorder) Run(ctx context.Context) error {
	for sleep.For(ctx, rand.N(2*recordPeriod)) == nil {
		for _, change := range r.State.quarantine.dueRecords(r.State.opts.Self, time.Now()) {
			if err := r.commit(ctx, change); err != nil {
				r.State.quarantine.returnRefusals(change)
				if !errors.Is(err, metastore.ErrConflict) {
					klog.InfoS("quarantine not recorded", "key", change.key, "err", err.Error())
				}
			} else if change.record == nil {
				klog.InfoS("record of a quarantine deleted", "key", change.key)
			}
		}
	}
	return ctx.Err()
}

// recordChange is a due change of a record.
type recordChange struct {
	key      string
	revision uint64 // that the record must have, zero if it must not exist
	record   *quarantine.Record
	refused  int // refused requests of this instance that the change adds
}

// commit writes the change, or deletes the record if there is none. It returns metastore.ErrConflict if another instance was first.
func (r *QuarantineRecorder) commit(ctx context.Context, c recordChange) error {
	txn := metastore.Txn{If: []metastore.Condition{{Key: c.key, Revision: c.revision}}}
	if c.record == nil {
		txn.Delete = []string{c.key}
	} else {
		raw, err := json.Marshal(c.record)
		if err != nil {
			return err
		}
		txn.Puts = []metastore.Put{{Key: c.key, Value: raw}}
	}
	_, err := r.Store.Commit(ctx, txn)
	return err
}

// dueRecords returns the records to write or delete now.
func (q *quarantineService) dueRecords(self string, now time.Time) []recordChange {
	current := q.tracker.Quarantines()
	q.mu.Lock()
	idle := len(current) == 0 && len(q.records) == 0
	q.mu.Unlock()
	if idle {
		return nil
	}
	reported := q.reportedParts()
	instances := q.state.instanceCount()
	q.mu.Lock()
	defer q.mu.Unlock()
	var due []recordChange
	for i := range current {
		quarantined := &current[i]
		key := QuarantineKey(quarantined.Key())
		old, known := q.records[key]
		refused := q.refused[quarantined.Key()]
		isNew := !known || old.Lifted() && quarantined.LastCrash.UnixMilli() > old.LiftedMs || old.Crashes < quarantined.Crashes
		mine := reported[quarantined.Parts[0]] || now.Sub(quarantined.LastCrash) > foreignRecordDelay
		countsDue := refused > 0 && now.Sub(q.countedAt[key]) >= max(minRefusalPeriod, time.Duration(instances)*refusalPeriodPerInstance)
		if !now.Before(quarantined.Until) || !(isNew && mine) && !(known && countsDue) {
			continue
		}
		record := old
		if isNew {
			record = quarantine.NewRecord(*quarantined, self)
			record.Refused = old.Refused
		}
		record.Refused += refused
		delete(q.refused, quarantined.Key())
		q.countedAt[key] = now
		due = append(due, recordChange{key: key, revision: q.restored[key], record: &record, refused: refused})
	}
	for key, record := range q.records {
		expired := now.Sub(time.UnixMilli(record.UntilMs)) > recordRetention && !record.Remembered(now)
		if (expired || q.isRefuted(&record, current)) && rand.IntN(instances) == 0 {
			due = append(due, recordChange{key: key, revision: q.restored[key]})
		}
	}
	return due
}

// isRefuted reports whether the record must be deleted because an answer has refuted its quarantine. What an operator lifted is kept for
// operators. A set is kept until the quarantines of its parts that follow from the answer are recorded. The caller must hold q.mu.
func (q *quarantineService) isRefuted(record *quarantine.Record, current []quarantine.Quarantine) bool {
	if record.Lifted() || !q.tracker.Refuted(record.Parts) {
		return false
	}
	return !slices.ContainsFunc(current, func(c quarantine.Quarantine) bool {
		_, recorded := q.records[QuarantineKey(c.Key())]
		isPart := !slices.ContainsFunc(c.Parts, func(p quarantine.Part) bool { return !slices.Contains(record.Parts, p) })
		return isPart && !recorded
	})
}

// reportedParts returns the parts against which this instance has reported a crash.
func (q *quarantineService) reportedParts() map[quarantine.Part]bool {
	out := map[quarantine.Part]bool{}
	for _, crash := range q.tracker.Evidence() {
		q.mu.Lock()
		own := q.reported[crash.Incarnation]
		q.mu.Unlock()
		for _, s := range crash.Suspects {
			out[s.Part] = out[s.Part] || own
		}
	}
	return out
}

// returnRefusals keeps the refused requests of a change that could not be written for a later one.
func (q *quarantineService) returnRefusals(c recordChange) {
	if c.record == nil || c.refused == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refused[c.record.Key()] += c.refused
	delete(q.countedAt, c.key)
}
