package keeper

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// counter is a tally counter that also keeps its total, because tally.Counter has no method to read it.
type counter struct {
	tally.Counter
	total atomic.Int64
}

// Inc adds n to the counter and to its total.
func (c *counter) Inc(n int64) {
	c.total.Add(n)
	c.Counter.Inc(n)
}

type metrics struct {
	stored        counter // blocks that the target added to its cache
	listings      counter // full listings of the target's cache
	cacheErrors   counter // failed calls to the target
	storeErrors   counter // failed calls to a store
	imported      counter // blocks imported into the target
	exported      counter // blocks written to a store
	refused       counter // blocks that a store refused
	cancelled     counter // fetches cancelled because recomputing was faster
	joined        counter // blocks obtained from a fetch that was already in flight
	importedBytes counter
	exportedBytes counter
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{}
	for name, c := range map[string]*counter{
		"cache_blocks_stored":   &m.stored,
		"cache_listings":        &m.listings,
		"cache_errors":          &m.cacheErrors,
		"store_errors":          &m.storeErrors,
		"blocks_imported":       &m.imported,
		"blocks_exported":       &m.exported,
		"blocks_refused":        &m.refused,
		"fetches_given_up":      &m.cancelled,
		"blocks_joined":         &m.joined,
		"blocks_imported_bytes": &m.importedBytes,
		"blocks_exported_bytes": &m.exportedBytes,
	} {
		c.Counter = scope.Counter(name)
	}
	return m
}

func (m *metrics) storedTotal() int64 { return m.stored.total.Load() }
