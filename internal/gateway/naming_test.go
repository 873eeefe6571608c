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

// oneTarget is what operators and targets say: one engine on version 1, version 2 is named.
type oneTarget struct{}

func (oneTarget) Update(map[string]metastore.Item) *roster.Snapshot {
	return &roster.Snapshot{
		Catalog: catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "s", Engine: &catalog.Engine{Models: []string{"m"}}}}, nil, nil),
		Targets: map[string]roster.Record{"t": {ID: "t", Service: "s", Address: "10.0.0.1:80", Slots: 1, Weights: map[string]int{"m": 1}}},
		Weights: map[string]int{"m": 2},
	}
}

// live runs the parts of an instance that know of weight versions.
func live(t *testing.T, store metastore.Store, bound time.Duration) (*State, func()) {
	t.Helper()
	state := NewState(StateOptions{
		Self: "a", Records: oneTarget{}, Returned: func() time.Time { return time.Time{} }, RetryTime: time.Second, WeightsTime: bound,
		PrefillRate: 1000,
	})
	mirror := metastore.NewMirror(metastore.MirrorOptions{Store: store, OnChange: state.OnChange})
	recorder := &NamingRecorder{State: state, Store: store}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	for _, part := range []func(context.Context) error{mirror.Run, recorder.Run} {
		go func() { _ = part(ctx); done <- struct{}{} }()
	}
	return state, func() { cancel(); <-done; <-done }
}

// All instances die right after a weight version was named. Those that start later must count from its naming: a target on
// old weights gets no work once the time is over.
func TestNamingOutlivesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 15 * time.Second
		store := memory.New()
		_, stop := live(t, store, bound)
		time.Sleep(time.Second)
		stop()
		time.Sleep(10 * time.Second)
		state, stop := live(t, store, bound)
		defer stop()
		time.Sleep(time.Second)
		if out := state.current.Load().services["s"].snapshot.Candidate("t").Out; out {
			t.Error("out before the time is over")
		}
		time.Sleep(2 * time.Second) // 14 s after the naming, a second before the bound
		state.Tick(time.Now())
		if out := state.current.Load().services["s"].snapshot.Candidate("t").Out; !out {
			t.Error("a target on old weights still gets work just before the bound")
		}
	})
}
