package apikey

import (
	"testing"

	"github.com/egrethoist/egrethoist/internal/world"
)

// Guards against rejecting one of several keys of a workspace, matching a digest only by its bucket, and accepting other header forms.
func TestFind(t *testing.T) {
	rotating := &world.Workspace{Name: "rotating", Keys: []world.APIKey{
		{ID: "old", SHA256: Hash("sk-old")}, {ID: "new", SHA256: Hash("sk-new")},
	}}
	other := &world.Workspace{Name: "other", Keys: []world.APIKey{{ID: "only", SHA256: Hash("sk-other")}}}
	x := NewIndex(map[string]*world.Workspace{"rotating": rotating, "other": other})
	// A key in the same bucket with another digest must not match.
	collision := Hash("sk-other")
	collision[31]++
	b := bucketKey(collision)
	x.buckets[b] = append(x.buckets[b], bucketEntry{digest: collision, match: Match{Workspace: rotating, KeyID: "near"}})

	for _, tc := range []struct {
		header    string
		workspace *world.Workspace
		id        string
	}{
		{"Bearer sk-old", rotating, "old"},
		{"bearer  sk-new", rotating, "new"},
		{"Bearer sk-other", other, "only"},
		{"Bearer sk-othe", nil, ""},
		{"Basic sk-old", nil, ""},
		{"sk-old", nil, ""},
		{"", nil, ""},
	} {
		m, ok := x.Find(Bearer(tc.header))
		if ok != (tc.workspace != nil) || m.Workspace != tc.workspace || m.KeyID != tc.id {
			t.Errorf("header %q: got %+v, %v", tc.header, m, ok)
		}
	}
}
