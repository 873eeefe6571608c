package control

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"

	"github.com/egrethoist/egrethoist/internal/manifest"
)

// Change is one difference between two manifests. Old and New are JSON values, empty if absent.
type Change struct {
	Path string `json:"path"` // for example services[planner-llm].targets[planner-01].drained
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Diff lists the differences between cur, which may be nil, and doc as Apply would put it in force, ordered by path.
func Diff(cur, doc *manifest.Document) []Change {
	next := manifest.Encode(carryHomeHistory(inheritDrainMarks(doc, cur), cur))
	old := []byte("{}")
	if cur != nil {
		old = manifest.Encode(cur)
	}
	var changes []Change
	diffValues("", parseTree(old), parseTree(next), &changes)
	return changes
}

// parseTree decodes a canonical manifest for comparison.
func parseTree(canonical []byte) any {
	var v any
	if err := json.Unmarshal(canonical, &v); err != nil {
		panic(fmt.Sprintf("control: canonical manifest: %v", err))
	}
	return indexByName(v)
}

// indexByName converts lists of named objects to members, so that an insertion is one difference.
func indexByName(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for k := range v {
			v[k] = indexByName(v[k])
		}
	case []any:
		if m := namedMembers(v); m != nil {
			return m
		}
	}
	return v
}

// members is a list of objects, keyed by name or id.
type members map[string]any

// namedMembers converts a list to members, or returns nil if an element has neither a name nor an id.
func namedMembers(list []any) members {
	m := members{}
	for _, e := range list {
		o, ok := e.(map[string]any)
		if !ok {
			return nil
		}
		name, ok := o["name"].(string)
		if !ok {
			name, ok = o["id"].(string)
		}
		if !ok {
			return nil
		}
		m[name] = indexByName(o)
	}
	return m
}

// diffValues appends the differences between two values at path to out.
func diffValues(path string, old, next any, out *[]Change) {
	switch o := old.(type) {
	case members:
		if n, ok := next.(members); ok {
			diffMembers(o, n, func(k string) string { return path + "[" + k + "]" }, out)
			return
		}
	case map[string]any:
		if n, ok := next.(map[string]any); ok {
			diffMembers(o, n, func(k string) string {
				if path == "" {
					return k
				}
				return path + "." + k
			}, out)
			return
		}
	}
	if !reflect.DeepEqual(old, next) {
		*out = append(*out, Change{Path: path, Old: jsonText(old), New: jsonText(next)})
	}
}

// diffMembers appends the differences of each key, in order; path returns the path of a key.
func diffMembers[M ~map[string]any](old, next M, path func(string) string, out *[]Change) {
	keys := map[string]bool{}
	for k := range old {
		keys[k] = true
	}
	for k := range next {
		keys[k] = true
	}
	sorted := make([]string, 0, len(keys))
	for k := range keys {
		sorted = append(sorted, k)
	}
	sort.Strings(sorted)
	for _, k := range sorted {
		diffValues(path(k), old[k], next[k], out)
	}
}

// jsonText returns v as JSON, or an empty string for nil.
func jsonText(v any) string {
	if v == nil {
		return ""
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}
