package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/sleep"
)

// Workspaces that are not isolated share cached parts in one scope. A workspace must be in the record of the shared scope before its requests
// use it, and once a recorded one is isolated, the scope is used no more and another one is begun. So no part in a scope that is in use was
// cached by a workspace that is isolated, whatever configurations came before and whichever instances knew them. An instance whose metadata is
// older than MaxMetadataAge uses no shared scope, since it can't know whether a workspace was isolated meanwhile.

// sharedScope is the record of the shared scope. It is immutable.
type sharedScope struct {
	ID string `json:"id"`
	// Members are the names of the workspaces whose requests may have cached parts in the scope, sorted. Those that are no longer declared stay.
	Members []string `json:"members"`

	// era is the era of the metadata store that the record was read in. A restored store can have lost members, so each era has a scope of its own.
	era uint64
}

// name returns the ID of the scope in its era.
func (s *sharedScope) name() string {
	if s.era == 0 {
		return s.ID
	}
	return s.ID + "-" + strconv.FormatUint(s.era, 10)
}

// usable reports whether the scope may be used under a configuration: none of its members is isolated.
func (s *sharedScope) usable(c *catalog.Catalog) bool {
	return s != nil && !slices.ContainsFunc(c.Isolated, s.has)
}

// has reports whether a workspace is a member.
func (s *sharedScope) has(workspace string) bool {
	_, found := slices.BinarySearch(s.Members, workspace)
	return found
}

// next returns the record that a configuration needs, nil if the present one is enough. newID returns the ID of another scope, which no
// scope had before.
func (s *sharedScope) next(c *catalog.Catalog, newID func() string) *sharedScope {
	switch {
	case c.Workspaces == 0:
		return nil
	case !s.usable(c):
		return &sharedScope{ID: newID(), Members: c.Open}
	case !slices.ContainsFunc(c.Open, func(name string) bool { return !s.has(name) }):
		return nil
	}
	names := map[string]bool{}
	for _, name := range slices.Concat(s.Members, c.Open) {
		names[name] = true
	}
	return &sharedScope{ID: s.ID, Members: slices.Sorted(maps.Keys(names))}
}

// sharesCache reports whether the metadata is fresh enough for workspaces to share cached parts.
func (s *State) sharesCache() bool {
	if s.opts.MetadataAge == nil {
		return true
	}
	age := s.metadataAge()
	return age >= 0 && age < MaxMetadataAge
}

// reportSharing logs when workspaces stop or begin again to share cached parts because of the age of the metadata. s.mu must be held.
func (s *State) reportSharing() {
	if shares := s.sharesCache(); shares != s.sharing {
		s.sharing = shares
		klog.InfoS("sharing of cached parts between workspaces", "allowed", shares, "metadata_age_ms", s.metadataAge().Milliseconds(), "metadata", s.metadataRevision)
	}
}

// sharedScopeState is what State keeps of the record. It is guarded by State.mu.
type sharedScopeState struct {
	revision uint64 // of the record, zero if there is none
	scope    *sharedScope
}

// update applies the record, which has revision zero if there is none.
func (s *sharedScopeState) update(item metastore.Item) {
	if s.revision == item.Revision {
		return
	}
	s.revision, s.scope = item.Revision, nil
	if item.Revision == 0 {
		return
	}
	scope := &sharedScope{era: metastore.EraOf(item.Revision)}
	if err := json.Unmarshal(item.Value, scope); err != nil || scope.ID == "" || !slices.IsSorted(scope.Members) {
		klog.ErrorS(err, "invalid record of the shared cache scope replaced", "revision", item.Revision)
		return
	}
	s.scope = scope
}

// dueSharedScope returns the transaction that writes the record which the configuration needs, false if there is none to write.
func (s *State) dueSharedScope() (metastore.Txn, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil || s.snapshot.Catalog == nil {
		return metastore.Txn{}, false
	}
	// The revision is greater than those from which earlier scopes were named: the first write of each has raised it. The name is short, since it
	// is in each cache event.
	newID := func() string { return strconv.FormatUint(metastore.NumberOf(s.metadataRevision), 16) }
	next := s.shared.scope.next(s.snapshot.Catalog, newID)
	if next == nil {
		return metastore.Txn{}, false
	}
	raw, err := json.Marshal(next)
	if err != nil {
		klog.ErrorS(err, "cannot encode the record of the shared cache scope")
		return metastore.Txn{}, false
	}
	return metastore.Txn{
		If:   []metastore.Condition{{Key: sharedScopeKey, Revision: s.shared.revision}},
		Puts: []metastore.Put{{Key: sharedScopeKey, Value: raw}},
	}, true
}

const (
	// sharedScopePeriod is how often an instance checks whether the record of the shared scope is to change.
	sharedScopePeriod = 100 * time.Millisecond
	// sharedScopeDelayPerInstance spreads the instances over time, so that one writes a change before most others try.
	sharedScopeDelayPerInstance = 20 * time.Millisecond
)

// SharedScopeRecorder keeps the record of the shared scope in the metadata store.
type SharedScopeRecorder struct {
	State *State
	Store metastore.Store
}

// Run writes records until ctx ends, and returns the context's error.
func (r *SharedScopeRecorder) Run(ctx context.Context) error {
	for sleep.For(ctx, sharedScopePeriod) == nil {
		if _, due := r.State.dueSharedScope(); !due {
			continue
		}
		_ = sleep.For(ctx, rand.N(time.Duration(r.State.instanceCount())*sharedScopeDelayPerInstance)) // the loop condition checks ctx
		txn, due := r.State.dueSharedScope()
		if !due {
			continue
		}
		_, err := r.Store.Commit(ctx, txn)
		switch {
		case err == nil:
			klog.InfoS("shared cache scope recorded", "scope", string(txn.Puts[0].Value))
		case !errors.Is(err, metastore.ErrConflict):
			klog.InfoS("shared cache scope not recorded", "err", err.Error())
		}
		_ = sleep.For(ctx, recordPeriod) // until the mirror shows the record
	}
	return ctx.Err()
}
