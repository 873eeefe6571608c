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

// namingPause is the mean time between two looks for weight versions whose naming is not recorded. It is drawn anew each
// time, so that mostly one instance records a version and the others find it done.
const namingPause = 300 * time.Millisecond

// NamingRecorder records when weight versions were first seen, for instances that start later.
type NamingRecorder struct {
	State *State
	Store metastore.Store
}

// Run records until ctx ends.
func (r *NamingRecorder) Run(ctx context.Context) error {
	for sleep.For(ctx, rand.N(2*namingPause)) == nil {
		for _, n := range r.State.unrecorded() {
			if err := r.record(ctx, n); err != nil && !errors.Is(err, metastore.ErrConflict) {
				klog.InfoS("time of a weight version not recorded", "model", n.Model, "version", n.Version, "err", err.Error())
			}
		}
	}
	return ctx.Err()
}

func (r *NamingRecorder) record(ctx context.Context, n roster.ObservedVersion) error {
	raw, err := json.Marshal(n)
	if err != nil {
		return err
	}
	key := namedKey(n.Model, n.Version)
	_, err = r.Store.Commit(ctx, metastore.Txn{
		If: []metastore.Condition{{Key: key}}, Puts: []metastore.Put{{Key: key, Value: raw}},
	})
	return err
}
