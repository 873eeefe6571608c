package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/metastore/memory"
	"github.com/egrethoist/egrethoist/internal/roster"
)

// oneTargetRecords returns a snapshot with one engine target on weight version 1, while version 2 is the newest.
type oneTargetRecords struct{}

func (oneTargetRecords) Update(map[string]metastore.Item) *roster.Snapshot {
	return &roster.Snapshot{
		Catalog: catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "s", Engine: &catalog.Engine{Models: []string{"m"}}}}, nil, nil),
		Targets: map[string]roster.Record{"t": {ID: "t", Service: "s", Address: "10.0.0.1:80", Slots: 1, Weights: map[string]int{"m": 1}}},
		Weights: map[string]int{"m": 2},
	}
}

// startInstance runs the parts of an instance that handle weight versions, with the given rollout timeout. The returned function stops
// them.
func startInstance(t *testing.T, store metastore.Store, rolloutTimeout time.Duration) (*State, func()) {
	t.Helper()
	state := NewState(StateOptions{
		Self: "a", Records: oneTargetRecords{}, RecoveredAt: func() time.Time { return time.Time{} }, RetryWindow: time.Second, RolloutTimeout: rolloutTimeout,
		InitialPrefillRate: 1000,
	})
	mirror := metastore.NewMirror(metastore.MirrorOptions{Store: store, OnChange: state.OnChange})
	recorder := &VersionRecorder{State: state, Store: store}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	for _, part := range []func(context.Context) error{mirror.Run, recorder.Run} {
		go func() { _ = part(ctx); done <- struct{}{} }()
	}
	return state, func() { cancel(); <-done; <-done }
}

// Guards against a deadline that starts again with the instances: all of them die right after a weight version was released, and those
// that start later must still take targets on old weights out of rotation before the original deadline.
func TestVersionDeadlineSurvivesRestartOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rolloutTimeout = 15 * time.Second
		store := memory.New()
		_, stop := startInstance(t, store, rolloutTimeout)
		time.Sleep(time.Second)
		stop()
		time.Sleep(10 * time.Second)
		state, stop := startInstance(t, store, rolloutTimeout)
		defer stop()
		time.Sleep(time.Second)
		if out := state.current.Load().services["s"].snapshot.Candidate("t").Disabled; out {
			t.Error("target out of rotation before the deadline")
		}
		time.Sleep(2 * time.Second) // 14 s after the version was released, 1 s before the deadline
		state.Tick(time.Now())
		if out := state.current.Load().services["s"].snapshot.Candidate("t").Disabled; !out {
			t.Error("target on old weights still in rotation just before the deadline")
		}
	})
}
