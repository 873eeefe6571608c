package holders

import (
	"slices"
	"testing"
)

func promptParts(scope string) []Part {
	return []Part{{Key: Key{scope, "system"}, Tokens: 500}, {Key: Key{scope, "session"}, Tokens: 8000}}
}

func completeChanges(scope string) []Change {
	return []Change{{Key: Key{scope, "system"}, Tokens: 500}, {Key: Key{scope, "session"}, Tokens: 8000}}
}

// Guards against a wrong order of targets, and against listing a target that lacks the last part.
func TestFindsHoldersLongestFirst(t *testing.T) {
	x := New()
	x.Apply("a", 1, completeChanges("v1"))
	x.Apply("b", 1, []Change{{Key: Key{"v1", "system"}, Tokens: 500}, {Key: Key{"v1", "session"}, Tokens: 4000}})
	x.Apply("c", 1, []Change{{Key: Key{"v1", "system"}, Tokens: 500}})
	want := []Holding{{"a", 8500}, {"b", 4500}}
	if got := x.Find(promptParts("v1")); !slices.Equal(got, want) {
		t.Errorf("holders %v, want %v", got, want)
	}
}

// Guards against sharing parts between scopes.
func TestScopesAreIsolated(t *testing.T) {
	x := New()
	x.Apply("a", 1, completeChanges("v1"))
	if got := x.Find(promptParts("v2")); len(got) != 0 {
		t.Errorf("holders %v from another scope, want none", got)
	}
}

// Guards against reporting a target that lacks an earlier part: KV cache is usable only as a prefix.
func TestMissingPartEndsPrefix(t *testing.T) {
	x := New()
	x.Apply("a", 1, []Change{{Key: Key{"v1", "session"}, Tokens: 8000}})
	if got := x.Find(promptParts("v1")); len(got) != 0 {
		t.Errorf("holders %v without the first part, want none", got)
	}
}

// Guards against hints from before a restart, which empties the target's memory.
func TestRestartClearsTarget(t *testing.T) {
	x := New()
	x.Apply("a", 1, completeChanges("v1"))
	x.Apply("a", 2, nil)
	if got := x.Find(promptParts("v1")); len(got) != 0 {
		t.Errorf("holders %v after a restart, want none", got)
	}
}

// Guards against hints for parts that were removed and for targets that were dropped.
func TestDropAndRemoval(t *testing.T) {
	x := New()
	x.Apply("a", 1, completeChanges("v1"))
	x.Apply("b", 1, completeChanges("v1"))
	x.Apply("a", 1, []Change{{Key: Key{"v1", "session"}}})
	x.Drop("b")
	if got := x.Find(promptParts("v1")); len(got) != 0 {
		t.Errorf("holders %v, want none", got)
	}
}
