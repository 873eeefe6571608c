// Package holders indexes which targets hold which prompt parts in memory, from the change events that they publish.
// Events arrive late and some are lost, so results are hints: the target recomputes a part that turns out to be missing.
// The package does no I/O and reads no clock.
package holders

import "sync"

// Key identifies a prompt part within a scope. Parts are not shared between scopes.
type Key struct{ Scope, Part string }

// Change reports how much of one part a target now holds.
type Change struct {
	Key
	Tokens int // tokens held now; zero if the part was removed
}

// targetContents are the parts that a target holds in its current epoch, with their tokens.
type targetContents struct {
	epoch uint64
	parts map[Key]int
}

// Index maps prompt parts to the targets that hold them. It is safe for concurrent use.
type Index struct {
	mu      sync.RWMutex
	targets map[string]*targetContents
	byPart  map[Key]map[string]int // tokens held, by part and target
}

// New returns an empty index.
func New() *Index {
	return &Index{targets: map[string]*targetContents{}, byPart: map[Key]map[string]int{}}
}

// Apply applies changes of a target. A new epoch means that the target restarted, so everything known of it is dropped
// first.
func (x *Index) Apply(target string, epoch uint64, changes []Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.targets[target]
	if c == nil || c.epoch != epoch {
		x.dropLocked(target)
		c = &targetContents{epoch: epoch, parts: map[Key]int{}}
		x.targets[target] = c
	}
	for _, ch := range changes {
		if ch.Tokens > 0 {
			x.set(c, target, ch)
		} else {
			x.remove(c, target, ch.Key)
		}
	}
}

func (x *Index) set(c *targetContents, target string, ch Change) {
	c.parts[ch.Key] = ch.Tokens
	byTarget := x.byPart[ch.Key]
	if byTarget == nil {
		byTarget = map[string]int{}
		x.byPart[ch.Key] = byTarget
	}
	byTarget[target] = ch.Tokens
}

func (x *Index) remove(c *targetContents, target string, k Key) {
	delete(c.parts, k)
	delete(x.byPart[k], target)
	if len(x.byPart[k]) == 0 {
		delete(x.byPart, k)
	}
}

// Drop removes a target and everything it holds.
func (x *Index) Drop(target string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.dropLocked(target)
}

func (x *Index) dropLocked(target string) {
	c := x.targets[target]
	if c == nil {
		return
	}
	for k := range c.parts {
		x.remove(c, target, k)
	}
	delete(x.targets, target)
}

// Part is one part of a prompt with its length in tokens.
type Part struct {
	Key
	Tokens int
}

// Holding is a target that holds the last part of a prompt.
type Holding struct {
	Target string
	Tokens int // length of the cached prefix
}

// Find returns the targets that hold the last part, longest cached prefix first. Targets that hold only earlier parts are
// left out: those parts are short and nearly all targets hold them.
func (x *Index) Find(parts []Part) []Holding {
	if len(parts) == 0 {
		return nil
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	var out []Holding
	for target := range x.byPart[parts[len(parts)-1].Key] {
		if tokens := x.leadingTokens(parts, target); tokens > 0 {
			out = insertSorted(out, Holding{Target: target, Tokens: tokens})
		}
	}
	return out
}

// leadingTokens returns the length in tokens of the prompt's prefix that the target holds without a gap.
func (x *Index) leadingTokens(parts []Part, target string) int {
	sum := 0
	for _, p := range parts {
		held := min(x.byPart[p.Key][target], p.Tokens)
		sum += held
		if held < p.Tokens {
			break
		}
	}
	return sum
}

// insertSorted inserts a holding into a list sorted by descending tokens, then by target, so that results are
// deterministic.
func insertSorted(list []Holding, h Holding) []Holding {
	at := len(list)
	for at > 0 && (list[at-1].Tokens < h.Tokens || list[at-1].Tokens == h.Tokens && list[at-1].Target > h.Target) {
		at--
	}
	list = append(list, Holding{})
	copy(list[at+1:], list[at:])
	list[at] = h
	return list
}
