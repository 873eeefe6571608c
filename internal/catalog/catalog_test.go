package catalog

import (
	"math"
	"testing"
)

func testCatalog() *Catalog {
	return New(1, Limits{}, []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}, nil, nil, []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}})
}

func TestLongestPrefixWins(t *testing.T) {
	c := testCatalog()
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"}, {"A.example", "/x/z", "short"}, {"a.example", "/x", ""},
		{"a.example", "/xy/", ""}, {"b.example", "/anything", "other"}, {"c.example", "/x/", ""},
	} {
		name := ""
		if r := c.Route(tc.host, tc.path); r != nil {
			name = r.Name
		}
		if name != tc.want {
			t.Errorf("%s%s matches route %q, want %q", tc.host, tc.path, name, tc.want)
		}
	}
}

func TestWorkspaceOfKey(t *testing.T) {
	c := testCatalog()
	if w := c.Workspace("k2"); w == nil || w.Name != "w" {
		t.Errorf("workspace %v for a known key, want w", w)
	}
	if w := c.Workspace(""); w != nil {
		t.Errorf("workspace %v for an empty key, want nil", w)
	}
}

func TestTrafficIsSplitByWeight(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 10}}}
	n := 0
	const draws = 20_000
	for i := range uint64(draws) {
		if r.PickService(i) == "b" {
			n++
		}
	}
	if share := float64(n) / draws; math.Abs(share-0.1) > 0.01 {
		t.Errorf("service b gets a share of %.3f of requests, want 0.1", share)
	}
	if first, again := r.PickService(42), r.PickService(42); first != again {
		t.Errorf("the same key selects %s, then %s", first, again)
	}
}

func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: KindIdempotent}, true}, {Route{Kind: KindNonIdempotent}, false},
		{Route{Kind: KindStreaming}, false}, {Route{Kind: KindStreaming, Resumable: true}, true},
	} {
		if got := c.route.Repeatable(); got != c.want {
			t.Errorf("%+v: repeatable %v, want the opposite", c.route, got)
		}
	}
}
