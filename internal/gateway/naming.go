package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/sleep"
)

// recordPeriod is the mean time between two checks for unrecorded weight versions. The actual times are random, so that usually one
// instance records a version before the others check.
const recordPeriod = 300 * time.Millisecond

// versionCheckPeriod is how often the rollout leader records that all released versions are recorded. A version that is released while no
// instance runs counts as released at the last check: it is taken for older by up to this time and the length of the outage.
const versionCheckPeriod = 4 * time.Second

// VersionRecorder records in the metadata store when each weight version was first seen, so that instances that start later compute
// the same expiry of older versions: by the targets' clock, since the wall clocks of instances may differ by seconds. The rollout leader also
// records until when there were no others, for versions that are released while no instance runs.
type VersionRecorder struct {
	State *State
	Store metastore.Store
	Lock  *metastore.Lock // of the rollout leader

	check metastore.Cell // record of the last check; used by Run only
}

// Run records weight versions until ctx ends, and returns the context's error.
func (r *VersionRecorder) Run(ctx context.Context) error {
	var checkedAt time.Time
	for sleep.For(ctx, rand.N(2*recordPeriod)) == nil {
		if time.Since(checkedAt) >= versionCheckPeriod && r.recordCheck(ctx) {
			checkedAt = time.Now()
		}
		for _, due := range r.State.dueVersionRecords() {
			if err := r.record(ctx, due); err != nil && !errors.Is(err, metastore.ErrConflict) {
				klog.InfoS("weight version not recorded", "model", due.Model, "version", due.Version, "err", err.Error())
			}
		}
	}
	return ctx.Err()
}

// record writes the record of a weight version, unless another instance has done so: then it returns metastore.ErrConflict.
func (r *VersionRecorder) record(ctx context.Context, due versionRecord) error {
	raw, err := json.Marshal(due.ObservedVersion)
	if err != nil {
		return err
	}
	key := versionKey(due.Model, due.Version)
	_, err = r.Store.Commit(ctx, metastore.Txn{
		If: []metastore.Condition{{Key: key, Revision: due.revision}}, Puts: []metastore.Put{{Key: key, Value: raw}},
	})
	return err
}

// versionCheck is the value of versionCheckKey.
type versionCheck struct {
	AtMillis    int64 `json:"at"`              // Unix milliseconds by the wall clock of the rollout leader
	ClockMillis int64 `json:"clock,omitempty"` // the same time on the targets' clock; zero if the leader did not know that
}

// recordCheck records that all versions released so far are recorded, if this instance is the rollout leader and they are. It reports
// whether it did.
func (r *VersionRecorder) recordCheck(ctx context.Context) bool {
	token, held := r.Lock.Token()
	if !held {
		return false
	}
	at := time.Now() // read first: versions that are released from now on are not covered
	boot := r.State.bootTime(at)
	age := max(r.State.metadataAge(), 0)
	if !r.State.versionAgesKnown() {
		return false
	}
	raw, err := json.Marshal(versionCheck{AtMillis: at.Add(-age).UnixMilli(), ClockMillis: r.State.targetClock.earliest(boot.Add(-age))})
	if err == nil {
		r.check.Store, r.check.Key = r.Store, versionCheckKey
		err = r.check.Put(ctx, raw, 0, metastore.Condition{Key: RolloutLockKey, Revision: token})
	}
	if err != nil {
		klog.InfoS("check of the weight versions not recorded", "err", err.Error())
	}
	return err == nil
}
