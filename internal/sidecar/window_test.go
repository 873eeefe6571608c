package sidecar

import (
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/manifest"
	"github.com/egrethoist/egrethoist/internal/once"
	"github.com/egrethoist/egrethoist/internal/units"
	"github.com/egrethoist/egrethoist/internal/world"
)

// setRetryWindow declares the retry window of the plain service, whose only home is formerHome.
func (c cluster) setRetryWindow(window time.Duration) *world.World {
	return c.apply(func(doc *manifest.Document) {
		drainAllBut(doc, formerHome)
		for i := range doc.Services {
			if doc.Services[i].Name == plainService {
				doc.Services[i].RetryWindow = units.Duration(window)
			}
		}
	})
}

// TestRetryWindowLengthened guards against running a key twice when operators lengthen the retry window of a service
// while its sidecar runs: a key that the sidecar dropped under the shorter window may be repeated again, but must not
// run again. Shortening the window must not drop keys either.
func TestRetryWindowLengthened(t *testing.T) {
	withCluster(t, func(t *testing.T, c cluster) {
		s := c.startHome(formerHome, c.setRetryWindow(time.Minute))
		s.runKeyToEnd(t, "forgotten")
		time.Sleep(10 * time.Minute)
		s.runKeyToEnd(t, "held")
		s.setConfig(c.setRetryWindow(time.Hour))
		s.wantVerdict(t, "a dropped key within the longer window", "forgotten", once.OutcomeUnknown)
		time.Sleep(40 * time.Minute)
		s.wantVerdict(t, "a key held within the longer window", "held", once.Ran)
		time.Sleep(20 * time.Minute)
		s.runKeyToEnd(t, "new")
		time.Sleep(10 * time.Minute)
		s.setConfig(c.setRetryWindow(time.Minute))
		s.wantVerdict(t, "a key used under the longer window", "new", once.Ran)
	})
}

// runKeyToEnd begins a request under a new key and records that it finished.
func (s *testSidecar) runKeyToEnd(t *testing.T, id string) {
	t.Helper()
	s.wantVerdict(t, "the first use of "+id, id, once.Run)
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	s.ledger.keys.Finish(once.Key{Workspace: "w", Service: plainService, ID: id}, nil)
}
