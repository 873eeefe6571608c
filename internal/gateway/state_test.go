package gateway

import (
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/roster"
)

// fixedRecords stands in for the records in the metadata store.
type fixedRecords struct{ facts roster.Snapshot }

func (r *fixedRecords) Update(map[string]metastore.Item) *roster.Snapshot { return &r.facts }

// Pattern: a fleet at rest. An instance that looks at all targets several times a second for nothing has no processor left
// when many instances start at once. What changes with time alone must still be seen.
func TestTickRebuildsOnlyWhatChangesWithTime(t *testing.T) {
	records := &fixedRecords{facts: roster.Snapshot{
		Weights: map[string]int{"m": 1},
		Targets: map[string]roster.Record{"t": {ID: "t", Service: "llm", Address: "10.0.0.1:80", FailureDomain: "d", Slots: 1, Weights: map[string]int{"m": 1}}},
		Catalog: catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "llm", ColdRequestRate: 1, ColdDuration: time.Second, Engine: &catalog.Engine{Models: []string{"m"}}}}, nil, nil),
	}}
	s := NewState(StateOptions{
		Self: "a", Records: records, Returned: func() time.Time { return time.Time{} }, RetryTime: time.Second, WeightsTime: 10 * time.Second, PrefillRate: 1,
	})
	now := time.Now()
	s.OnChange(nil, 0)
	ramp := func() bool { return s.current.Load().services["llm"].snapshot.Candidates()[0].Ramp != nil }
	if !ramp() {
		t.Fatal("a target that has just appeared is not cold")
	}
	s.Tick(now.Add(2 * time.Second))
	if ramp() {
		t.Error("still cold after its cold time")
	}
	at := s.current.Load()
	s.Tick(now.Add(3 * time.Second))
	if s.current.Load() != at {
		t.Error("view rebuilt though nothing can have changed")
	}
	records.facts.Weights = map[string]int{"m": 2}
	s.OnChange(nil, 0)
	if s.current.Load().services["llm"].snapshot.Candidates()[0].Out {
		t.Fatal("out as soon as new weights are named")
	}
	s.Tick(now.Add(20 * time.Second))
	if !s.current.Load().services["llm"].snapshot.Candidates()[0].Out {
		t.Error("not out though its weights have run out")
	}
	s.targets["t"].learn(map[string]int{"m": 2})
	s.Tick(now.Add(21 * time.Second))
	if s.current.Load().services["llm"].snapshot.Candidates()[0].Out {
		t.Error("out though it has loaded the new weights")
	}
}
