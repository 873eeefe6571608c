package gateway

import (
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/roster"
)

// fixedRecords returns the same snapshot whatever the metadata store holds.
type fixedRecords struct{ snapshot roster.Snapshot }

func (r *fixedRecords) Update(map[string]metastore.Item) *roster.Snapshot { return &r.snapshot }

// Guards against rebuilding the view of an idle fleet at every tick, which uses up the CPU when many instances start at once on one
// machine. Changes that come with time alone, such as the end of a cold time or an expired weight version, must still take effect.
func TestTickRebuildsOnlyWhenTimeMatters(t *testing.T) {
	records := &fixedRecords{snapshot: roster.Snapshot{
		Weights: map[string]int{"m": 1},
		Targets: map[string]roster.Record{"t": {ID: "t", Service: "llm", Address: "10.0.0.1:80", FailureDomain: "d", Slots: 1, Weights: map[string]int{"m": 1}}},
		Catalog: catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "llm", ColdRequestRate: 1, ColdDuration: time.Second, Engine: &catalog.Engine{Models: []string{"m"}}}}, nil, nil),
	}}
	s := NewState(StateOptions{
		Self: "a", Records: records, RecoveredAt: func() time.Time { return time.Time{} }, RetryWindow: time.Second, RolloutTimeout: 10 * time.Second, InitialPrefillRate: 1,
	})
	now := time.Now()
	s.OnChange(nil, 0)
	isCold := func() bool { return s.current.Load().services["llm"].snapshot.Candidates()[0].Ramp != nil }
	if !isCold() {
		t.Fatal("a new target is not cold")
	}
	s.Tick(now.Add(2 * time.Second))
	if isCold() {
		t.Error("target still cold after its cold time")
	}
	before := s.current.Load()
	s.Tick(now.Add(3 * time.Second))
	if s.current.Load() != before {
		t.Error("view rebuilt although nothing can have changed")
	}
	records.snapshot.Weights = map[string]int{"m": 2}
	s.OnChange(nil, 0)
	if s.current.Load().services["llm"].snapshot.Candidates()[0].Disabled {
		t.Fatal("target out of rotation as soon as new weights are released")
	}
	s.Tick(now.Add(20 * time.Second))
	if !s.current.Load().services["llm"].snapshot.Candidates()[0].Disabled {
		t.Error("target not out of rotation although its weights have expired")
	}
	s.targets["t"].learnVersions(map[string]int{"m": 2}, time.Now())
	s.Tick(now.Add(21 * time.Second))
	if s.current.Load().services["llm"].snapshot.Candidates()[0].Disabled {
		t.Error("target out of rotation although it has loaded the new weights")
	}
}
