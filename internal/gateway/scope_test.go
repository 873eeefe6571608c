package gateway

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/catalog"
)

// metadataSnapshot is what an instance knows at a time.
type metadataSnapshot struct {
	config   *catalog.Catalog
	isolated map[string]bool
	record   *sharedScope // nil if there is none
}

// Guards against prompt parts that cross the wall of an isolated workspace: what it cached before a configuration isolated it, or what others
// cached before. Some instances still run by earlier metadata, and the metadata store is restored from a copy in which the record is older.
func TestIsolatedWorkspaceSharesNoParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"mill", "buyer", "haul", ""} // the last one: requests without a key on a public route
		writers := map[string]map[string]bool{}        // workspaces that have cached parts, by scope
		lastID, era := 0, uint64(0)
		newID := func() string { lastID++; return fmt.Sprint(lastID) }
		history := []metadataSnapshot{{config: catalog.New(1, catalog.Limits{}, nil, nil, nil, nil)}}
		use := func(known metadataSnapshot, age time.Duration, judged bool, isolated map[string]bool) {
			state := NewState(StateOptions{MetadataAge: func() (time.Duration, bool) { return age, age >= 0 }})
			v := &view{catalog: known.config}
			if known.record.usable(known.config) {
				v.shared = known.record
			}
			for _, name := range names {
				rq := &request{gateway: &Gateway{opts: Options{State: state}}, view: v, workspace: known.config.Workspace(name), call: Call{Model: "m"}}
				if rq.workspace == nil && (name != "" || known.config.Workspaces == 0) {
					continue
				}
				scope := rq.cacheScope(1).String()
				for writer := range writers[scope] {
					if judged && writer != name && (isolated[writer] || isolated[name]) {
						t.Fatalf("%q uses parts of %q in scope %s by metadata %v old; isolated: %v", name, writer, scope, age, isolated)
					}
				}
				if writers[scope] == nil {
					writers[scope] = map[string]bool{}
				}
				writers[scope][name] = true
			}
		}
		for range rapid.IntRange(2, 20).Draw(t, "steps") {
			now := history[len(history)-1]
			switch rapid.SampledFrom([]string{"configure", "record", "use", "use stale", "restore"}).Draw(t, "step") {
			case "configure":
				var workspaces []catalog.Workspace
				now.isolated = map[string]bool{}
				for _, name := range names[:3] {
					if rapid.Bool().Draw(t, "declared "+name) {
						now.isolated[name] = rapid.Bool().Draw(t, "isolated "+name)
						workspaces = append(workspaces, catalog.Workspace{Name: name, Keys: []string{name}, Isolated: now.isolated[name]})
					}
				}
				now.config = catalog.New(1, catalog.Limits{}, nil, nil, nil, workspaces)
				history = append(history, now)
			case "record":
				if next := now.record.next(now.config, newID); next != nil {
					next.era = era
					now.record = next
					history = append(history, now)
				}
			case "use":
				use(now, 0, true, now.isolated)
			case "use stale":
				known := rapid.SampledFrom(history).Draw(t, "known")
				age := rapid.SampledFrom([]time.Duration{unknownAge, 0, MaxMetadataAge - 1, MaxMetadataAge, time.Hour}).Draw(t, "age")
				// By younger metadata a configuration need not be in force yet.
				use(known, age, known.config == now.config || age < 0 || age >= MaxMetadataAge, now.isolated)
			case "restore":
				era++
				if older := rapid.SampledFrom(history).Draw(t, "copy").record; older != nil {
					now.record = &sharedScope{ID: older.ID, Members: older.Members, era: era}
				} else {
					now.record = nil
				}
				history = append(history, now)
			}
		}
	})
}

// Guards against workspaces that share no cached parts although the metadata is fresh, and against one decision for the lookup and another for the
// headers of a request, between which the metadata has become too old.
func TestSharedScopeFollowsAgeOfMetadata(t *testing.T) {
	age := time.Duration(0)
	cache := &changingCache{source: "10.0.0.9:80"}
	rq, _ := engineRequest(0, time.Second)
	rq.gateway.opts.State = NewState(StateOptions{MetadataAge: func() (time.Duration, bool) { return age, age >= 0 }})
	rq.gateway.opts.Cache = cache
	workspaces := []catalog.Workspace{{Name: "mill", Keys: []string{"k"}}, {Name: "buyer", Keys: []string{"l"}}}
	config := catalog.New(1, catalog.Limits{}, nil, nil, nil, workspaces)
	rq.view = &view{catalog: config, shared: &sharedScope{ID: "1", Members: []string{"buyer", "mill"}}}
	rq.workspace = config.Workspace("k")
	rq.call.Model, rq.call.Parts = "m", []Part{{ID: "shared", Tokens: 5000}, {ID: "own", Tokens: 100}}
	target := rq.service.targets["t"]
	target.learnVersions(map[string]int{"m": 1}, time.Now())
	for _, c := range []struct {
		age  time.Duration
		want string
	}{{0, "1+1//m"}, {MaxMetadataAge - 1, "1+1//m"}, {MaxMetadataAge, "1/mill/m"}, {unknownAge, "1/mill/m"}} {
		age = 0
		rq.prefix = rq.lookupPrefix(time.Now())
		age, cache.scopes = c.age, nil
		if got := rq.forwardParams(target, 1, time.Now()).CacheScope; got != c.want {
			t.Errorf("metadata %v old: scope %s, want %s", c.age, got, c.want)
		}
		if len(cache.scopes) != 2 || cache.scopes[0] != c.want || cache.scopes[1] != c.want {
			t.Errorf("metadata %v old: fetches and saves in %v, want %s", c.age, cache.scopes, c.want)
		}
	}
}

// Guards against shared parts that are read again after changes that isolate none of the workspaces that have shared them.
func TestSharedScopeOutlastsOtherChanges(t *testing.T) {
	config := func(workspaces ...catalog.Workspace) *catalog.Catalog {
		return catalog.New(1, catalog.Limits{}, nil, nil, nil, workspaces)
	}
	open := func(name string) catalog.Workspace { return catalog.Workspace{Name: name} }
	walled := func(name string) catalog.Workspace { return catalog.Workspace{Name: name, Isolated: true} }
	lastID := 0
	newID := func() string { lastID++; return fmt.Sprint(lastID) }
	var record *sharedScope
	for i, c := range []struct {
		config *catalog.Catalog
		want   string
	}{
		{config(open("a"), open("b"), walled("w")), "1"},
		{config(open("a"), open("b"), open("c"), walled("w")), "1"},
		{config(open("a"), walled("x")), "1"},
		{config(open("a"), open("w")), "1"},
		{config(open("a"), walled("w")), "2"},
		{config(open("a"), open("b")), "2"},
	} {
		if next := record.next(c.config, newID); next != nil {
			record = next
		}
		if record.ID != c.want || !record.usable(c.config) || record.next(c.config, newID) != nil {
			t.Errorf("configuration %d: scope %+v, want %s", i, *record, c.want)
		}
	}
	if none := (*sharedScope)(nil).next(config(), newID); none != nil {
		t.Errorf("scope %+v recorded without workspaces", *none)
	}
}

// Guards against prompt parts that are no longer found or freed because the text of their scope is not read back.
func TestCacheScopeText(t *testing.T) {
	for _, s := range []CacheScope{
		{Model: "m", Version: 3}, {Model: "a/b", Version: 12, Workspace: "w"}, {Model: "m", Version: 1, Shared: "a1b2c3d4e5f6071"},
	} {
		if got, ok := parseCacheScope(s.String()); !ok || got != s {
			t.Errorf("%s is read as %+v, %v", s, got, ok)
		}
	}
	if text := fmt.Sprint(CacheScope{Model: "m", Version: 3}); text != "3//m" {
		t.Errorf("scope without workspaces: %q, want it as builds before wrote it", text)
	}
	if _, ok := parseCacheScope("x+1//m"); ok {
		t.Error("text without a weight version taken for a scope")
	}
}
