package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/roster"
)

// newLargeState returns a state without a view and the metadata items of a fleet of 3,000 targets and 300 instances.
func newLargeState() (*State, map[string]metastore.Item) {
	r := &fixedRecords{snapshot: roster.Snapshot{Targets: map[string]roster.Record{}, Weights: map[string]int{"m": 1}}}
	r.snapshot.Catalog = catalog.New(1, catalog.Limits{}, nil, []catalog.Service{
		{Name: "llm", MaxConnections: 500, ColdRequestRate: 10, ColdDuration: time.Second, Engine: &catalog.Engine{Slots: 64, CacheTokens: 80_000, Models: []string{"m"}}},
		{Name: "plain", MaxConnections: 500},
	}, nil, nil)
	for i := range 3000 {
		service := "llm"
		if i%10 == 0 {
			service = "plain"
		}
		id := fmt.Sprintf("i-%05d", i)
		r.snapshot.Targets[id] = roster.Record{ID: id, Service: service, Address: "10.0.0.1:80", FailureDomain: "d", Slots: 64, Weights: map[string]int{"m": 1}, Born: 1}
	}
	s := NewState(StateOptions{
		Self: "front-0", Records: r, RecoveredAt: func() time.Time { return time.Time{} }, RetryWindow: time.Second, InitialPrefillRate: 50_000, RolloutTimeout: time.Minute,
	})
	items := map[string]metastore.Item{}
	for i := range 300 {
		key := fmt.Sprintf("%sfront-%d", InstancePrefix, i)
		items[key] = metastore.Item{Key: key, Value: []byte(`{"address":"10.1.0.1:7700","domain":"d"}`), Revision: uint64(i) + 1}
	}
	for id := range r.snapshot.Targets {
		items["servers/"+id] = metastore.Item{Key: "servers/" + id}
	}
	return s, items
}

// BenchmarkOnChangeLargeFleet measures what one change in the metadata store costs an instance of a large fleet.
func BenchmarkOnChangeLargeFleet(b *testing.B) {
	s, items := newLargeState()
	s.OnChange(items, 1)
	b.ReportAllocs()
	for b.Loop() {
		s.OnChange(items, 1)
	}
}
