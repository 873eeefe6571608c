// Package holders knows which targets hold which parts of prompts in their memory, from the changes that they publish.
// Changes come late and some never come, so what it says is a hint: a part that turns out missing is computed. It has no
// I/O and no clock.
package holders

import "sync"

// Key names a part in a scope. Requests of different scopes share no part.
type Key struct{ Scope, Part string }

// Change is a change of one part at a target.
type Change struct {
	Key
	Tokens int // held now; zero: none
}

type content struct {
	epoch uint64
	parts map[Key]int
}

// Index is safe for concurrent use.
type Index struct {
	mu      sync.RWMutex
	targets map[string]*content
	byPart  map[Key]map[string]int // tokens by target
}

// New returns an empty index.
func New() *Index { return &Index{targets: map[string]*content{}, byPart: map[Key]map[string]int{}} }

// Apply takes in changes of a target. A new epoch means that it restarted and holds nothing of before.
func (x *Index) Apply(target string, epoch uint64, changes []Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.targets[target]
	if c == nil || c.epoch != epoch {
		x.drop(target)
		c = &content{epoch: epoch, parts: map[Key]int{}}
		x.targets[target] = c
	}
	for _, ch := range changes {
		if ch.Tokens > 0 {
			x.set(c, target, ch)
		} else {
			x.unset(c, target, ch.Key)
		}
	}
}

func (x *Index) set(c *content, target string, ch Change) {
	c.parts[ch.Key] = ch.Tokens
	at := x.byPart[ch.Key]
	if at == nil {
		at = map[string]int{}
		x.byPart[ch.Key] = at
	}
	at[target] = ch.Tokens
}

func (x *Index) unset(c *content, target string, k Key) {
	delete(c.parts, k)
	delete(x.byPart[k], target)
	if len(x.byPart[k]) == 0 {
		delete(x.byPart, k)
	}
}

// Drop forgets a target.
func (x *Index) Drop(target string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.drop(target)
}

func (x *Index) drop(target string) {
	c := x.targets[target]
	if c == nil {
		return
	}
	for k := range c.parts {
		x.unset(c, target, k)
	}
	delete(x.targets, target)
}

// Part is a piece of a prompt with its length.
type Part struct {
	Key
	Tokens int
}

// Holding is a target that holds the last of some parts, with the tokens that it holds of all of them from the first on.
type Holding struct {
	Target string
	Tokens int
}

// Find returns the targets that hold the last part, with their leading tokens, longest first. Targets that hold only
// earlier parts are left out: those parts are short and held by nearly all.
func (x *Index) Find(parts []Part) []Holding {
	if len(parts) == 0 {
		return nil
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	var out []Holding
	for target := range x.byPart[parts[len(parts)-1].Key] {
		if tokens := x.leading(parts, target); tokens > 0 {
			out = insert(out, Holding{Target: target, Tokens: tokens})
		}
	}
	return out
}

// leading returns the tokens from the first part on without a gap.
func (x *Index) leading(parts []Part, target string) int {
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

// insert keeps the order by tokens, then by target, so that equal states give equal answers.
func insert(list []Holding, h Holding) []Holding {
	at := len(list)
	for at > 0 && (list[at-1].Tokens < h.Tokens || list[at-1].Tokens == h.Tokens && list[at-1].Target > h.Target) {
		at--
	}
	list = append(list, Holding{})
	copy(list[at+1:], list[at:])
	list[at] = h
	return list
}
