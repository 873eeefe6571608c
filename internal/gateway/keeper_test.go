package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/kvcache/directory"
	"github.com/egrethoist/egrethoist/internal/kvcache/holders"
)

// storeAnswer is an answer of a KV-cache store, which is handled some time after the call began.
type storeAnswer struct {
	takes  time.Duration
	epoch  uint64
	gap    bool
	events []StoreEvent
}

// scriptedStore answers the reads of a KV-cache store one after the other, and then no more.
type scriptedStore struct {
	Engines
	listings, polls []storeAnswer
	handled         chan struct{} // closed when the last answer has been handled
}

// next waits as long as the first of the answers takes and removes it.
func (s *scriptedStore) next(ctx context.Context, list *[]storeAnswer) (storeAnswer, error) {
	if len(*list) == 0 {
		close(s.handled)
		<-ctx.Done()
		return storeAnswer{}, ctx.Err()
	}
	a := (*list)[0]
	*list = (*list)[1:]
	time.Sleep(a.takes)
	return a, nil
}

func (s *scriptedStore) StoreParts(ctx context.Context, _ string) (StoreParts, error) {
	a, err := s.next(ctx, &s.listings)
	return StoreParts{Epoch: a.epoch, Complete: a.events}, err
}

func (s *scriptedStore) StoreEvents(ctx context.Context, _ string, _ uint64, _ time.Duration) (StoreEvents, error) {
	a, err := s.next(ctx, &s.polls)
	return StoreEvents{Epoch: a.epoch, Gap: a.gap, Events: a.events}, err
}

// Guards against fetches by what a KV-cache store held seconds ago: the process or its machine stood still while an answer waited for it, or
// the store is known to have restarted or to have lost changes, and is not listed again yet.
func TestFetchesNeedContentsThatAreStillTrue(t *testing.T) {
	const frozen = 4 * time.Second
	scope := CacheScope{Model: "m", Version: 1}
	parts := []Part{{ID: "p", Tokens: 100}}
	held := []StoreEvent{{Added: true, Scope: scope.String(), PartID: "p", Tokens: 100}}
	other := []StoreEvent{{Added: true, Scope: scope.String(), PartID: "q", Tokens: 100}}
	listing := storeAnswer{epoch: 1, events: held}
	for name, c := range map[string]struct {
		listings, polls []storeAnswer
		suspended       time.Duration // of the machine, after the answers
		fetched         bool
	}{
		"listing in time":          {listings: []storeAnswer{listing}, fetched: true},
		"changes in time":          {listings: []storeAnswer{listing}, polls: []storeAnswer{{epoch: 1, events: other}}, fetched: true},
		"no changes for the wait":  {listings: []storeAnswer{listing}, polls: []storeAnswer{{epoch: 1, takes: longPollWait}}, fetched: true},
		"late listing":             {listings: []storeAnswer{{epoch: 1, events: held, takes: frozen}}},
		"late changes":             {listings: []storeAnswer{listing}, polls: []storeAnswer{{epoch: 1, events: other, takes: frozen}}},
		"late word of no changes":  {listings: []storeAnswer{listing}, polls: []storeAnswer{{epoch: 1, takes: frozen}}},
		"another epoch":            {listings: []storeAnswer{listing}, polls: []storeAnswer{{epoch: 2}}},
		"lost changes":             {listings: []storeAnswer{listing}, polls: []storeAnswer{{epoch: 1, gap: true}}},
		"another epoch, then late": {listings: []storeAnswer{listing, {epoch: 2, events: held, takes: frozen}}, polls: []storeAnswer{{epoch: 2}}},
		"suspended machine":        {listings: []storeAnswer{listing}, suspended: frozen},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				suspended := time.Duration(0)
				state := NewState(StateOptions{Suspended: func() time.Duration { return suspended }})
				store := &scriptedStore{listings: c.listings, polls: c.polls, handled: make(chan struct{})}
				tracker := NewCacheTracker(state, store, func() bool { return true })
				s := catalog.Store{Name: "kept", Address: "10.0.0.9:80", Tokens: 100_000}
				tracker.directory.SetStores([]directory.Store{{Name: s.Name, Address: s.Address, CapacityTokens: s.Tokens}})
				ctx, cancel := context.WithCancel(t.Context())
				go tracker.readStore(ctx, s)
				<-store.handled
				suspended = c.suspended
				if from := tracker.FetchSources(scope, parts, 0, time.Now()); (from[0] != "") != c.fetched {
					t.Errorf("fetched from %q, want a source: %v", from[0], c.fetched)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// changingCache is a PromptCache whose answers a test changes.
type changingCache struct {
	PromptCache
	source, destination string
	asked               []string // names of the methods called, in order
	scopes              []string // in which fetches and saves were asked for
}

func (c *changingCache) list(address string, parts []Part) []string {
	out := make([]string, len(parts))
	for i := range out {
		out[i] = address
	}
	return out
}

func (c *changingCache) FetchSources(scope CacheScope, parts []Part, _ float64, _ time.Time) []string {
	c.asked, c.scopes = append(c.asked, "sources"), append(c.scopes, scope.String())
	return c.list(c.source, parts)
}

func (c *changingCache) SaveDestinations(scope CacheScope, parts []Part, _ time.Time) []string {
	c.scopes = append(c.scopes, scope.String())
	return c.list(c.destination, parts)
}

func (c *changingCache) FetchDeadline(time.Duration) int64 {
	c.asked = append(c.asked, "deadline")
	return 1
}

func (c *changingCache) Holders(CacheScope, []Part) []holders.Holding { return nil }

// Guards against a fetch from a KV-cache store that was found usable only before the request waited, for a connection or a permit, and against
// a deadline that is younger than the decision which it limits: the process may stand still between both.
func TestTransfersAreDecidedAtTheSend(t *testing.T) {
	cache := &changingCache{source: "10.0.0.9:80", destination: "10.0.0.9:80"}
	rq, _ := engineRequest(0, time.Second)
	rq.gateway.opts.Cache, rq.view = cache, &view{catalog: catalog.New(1, catalog.Limits{}, nil, nil, nil, nil)}
	rq.call.Model, rq.call.Parts = "m", []Part{{ID: "shared", Tokens: 5000}, {ID: "own", Tokens: 100}}
	chosen := rq.service.targets["t"]
	chosen.learnVersions(map[string]int{"m": 1}, time.Now())
	rq.prefix = rq.lookupPrefix(time.Now())
	cache.source, cache.destination, cache.asked = "", "", nil // the store is out of reach
	params := rq.forwardParams(chosen, 1, time.Now())
	if params.FetchFrom[0] != "" || params.SaveTo[0] != "" {
		t.Errorf("fetch from %q and save to %q, by what was known before the wait", params.FetchFrom[0], params.SaveTo[0])
	}
	if len(cache.asked) != 2 || cache.asked[0] != "deadline" || cache.asked[1] != "sources" {
		t.Errorf("asked for %v, want the deadline before the sources", cache.asked)
	}
}
