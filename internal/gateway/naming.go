package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/roster"
	"github.com/egrethoist/egrethoist/internal/sleep"
)

// recordPeriod is the mean time between two checks for unrecorded weight versions. The actual times are random, so that usually one
// instance records a version before the others check.
const recordPeriod = 300 * time.Millisecond

// VersionRecorder records in the metadata store when each weight version was first seen, so that instances that start later compute
// the same expiry of older versions.
type VersionRecorder struct {
	State *State
	Store metastore.Store
	Lock  *metastore.Lock // of the rollout leader
}

// Run records weight versions until ctx ends, and returns the context's error.
func (r *VersionRecorder) Run(ctx context.Context) error {
	for sleep.For(ctx, rand.N(2*recordPeriod)) == nil {
		for _, observed := range r.State.unrecordedVersions() {
			if err := r.record(ctx, observed); err != nil && !errors.Is(err, metastore.ErrConflict) {
				klog.InfoS("weight version not recorded", "model", observed.Model, "version", observed.Version, "err", err.Error())
			}
		}
	}
	return ctx.Err()
}

// record writes the record of a weight version, unless another instance has done so: then it returns metastore.ErrConflict.
func (r *VersionRecorder) record(ctx context.Context, observed roster.ObservedVersion) error {
	raw, err := json.Marshal(observed)
	if err != nil {
		return err
	}
	key := versionKey(observed.Model, observed.Version)
	_, err = r.Store.Commit(ctx, metastore.Txn{
		If: []metastore.Condition{{Key: key}}, Puts: []metastore.Put{{Key: key, Value: raw}},
	})
	return err
}
