package manifest

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/egrethoist/egrethoist/internal/world"
)

// Keys of the lists that are long, and are therefore compared element by element.
const (
	keyServices   = "services"
	keyWorkspaces = "workspaces"
	keyTargets    = "targets"
)

// Built is a canonical manifest with the world that it declares. Neither ever changes.
type Built struct {
	Canonical []byte
	World     *world.World // its Revision is zero
}

// Build makes the world of a canonical manifest. What is declared as in prev is taken from there, so that the cost
// follows what has changed; a nil prev shares nothing. Like Decode it makes no checks.
func Build(prev *Built, canonical []byte) (*Built, error) {
	if prev != nil {
		if w, err := rebuild(prev, canonical); err == nil {
			return &Built{canonical, w}, nil
		}
		// Whatever the shorter way doesn't understand is for Decode to judge.
	}
	doc, err := Decode(canonical)
	if err != nil {
		return nil, err
	}
	return &Built{canonical, doc.World()}, nil
}

// rebuild decodes the long lists by their differences from prev, and all else anew.
func rebuild(prev *Built, canonical []byte) (*world.World, error) {
	before, err := members(prev.Canonical)
	if err != nil {
		return nil, err
	}
	after, err := members(canonical)
	if err != nil {
		return nil, err
	}
	short, err := without(after, keyServices, keyWorkspaces)
	if err != nil {
		return nil, err
	}
	w := short.World()
	if w.Workspaces, err = workspaces(prev.World.Workspaces, value(before, keyWorkspaces), value(after, keyWorkspaces)); err != nil {
		return nil, err
	}
	return w, services(w, prev.World, value(before, keyServices), value(after, keyServices))
}

func value(list []member, key string) []byte {
	for _, m := range list {
		if m.key == key {
			return m.value
		}
	}
	return nil
}

// without decodes the members of a manifest but for those of the given keys.
func without(list []member, keys ...string) (*Document, error) {
	doc := &Document{}
	return doc, json.Unmarshal(object(list, keys...), doc)
}

// object joins the members of an object but for those of the given keys.
func object(list []member, keys ...string) []byte {
	out := []byte{'{'}
	for _, m := range list {
		if slices.Contains(keys, m.key) {
			continue
		}
		if len(out) > 1 {
			out = append(out, ',')
		}
		out = append(append(append(out, '"'), m.key...), '"', ':')
		out = append(out, m.value...)
	}
	return append(out, '}')
}

func workspaces(prev map[string]*world.Workspace, before, after []byte) (map[string]*world.Workspace, error) {
	if bytes.Equal(before, after) {
		return prev, nil
	}
	d, err := compare(before, after)
	if err != nil {
		return nil, err
	}
	out := maps.Clone(prev)
	for _, i := range d.removed {
		name, err := nameOf(d.before[i])
		if err != nil {
			return nil, err
		}
		delete(out, name)
	}
	for i, from := range d.from {
		if from >= 0 {
			continue
		}
		var v Workspace
		if err := json.Unmarshal(d.after[i], &v); err != nil {
			return nil, err
		}
		out[v.Name] = v.build()
	}
	return out, nil
}

// services sets the services and the targets of w.
func services(w, prev *world.World, before, after []byte) error {
	if bytes.Equal(before, after) {
		w.Services, w.Targets = prev.Services, prev.Targets
		return nil
	}
	d, err := compare(before, after)
	if err != nil {
		return err
	}
	texts := make(map[string][]byte, len(d.before))
	for _, text := range d.before {
		name, err := nameOf(text)
		if err != nil {
			return err
		}
		texts[name] = text
	}
	w.Services = make(map[string]*world.Service, len(d.after))
	w.Targets = make(map[string]*world.Target, len(prev.Targets))
	for _, text := range d.after {
		s, err := service(prev, texts, text)
		if err != nil {
			return err
		}
		w.Services[s.Name] = s
		for _, t := range s.Targets {
			w.Targets[t.Name] = t
		}
	}
	return nil
}

// service builds one service; texts holds those before by name.
func service(prev *world.World, texts map[string][]byte, text []byte) (*world.Service, error) {
	name, err := nameOf(text)
	if err != nil {
		return nil, err
	}
	old := prev.Services[name]
	if old != nil && bytes.Equal(texts[name], text) {
		return old, nil
	}
	after, err := members(text)
	if err != nil {
		return nil, err
	}
	var v Service
	if err := json.Unmarshal(object(after, keyTargets), &v); err != nil {
		return nil, err
	}
	var oldTargets []*world.Target
	var oldText []byte
	if old != nil {
		before, err := members(texts[name])
		if err != nil {
			return nil, err
		}
		oldTargets, oldText = old.Targets, value(before, keyTargets)
	}
	out := v.build()
	out.Targets, err = targets(name, oldTargets, oldText, value(after, keyTargets))
	return out, err
}

// targets builds the targets of a service. Those before stand in the order of their text.
func targets(service string, prev []*world.Target, before, after []byte) ([]*world.Target, error) {
	if before == nil {
		before = []byte("[]")
	}
	d, err := compare(before, after)
	if err != nil {
		return nil, err
	}
	if len(d.before) != len(prev) {
		return nil, errNotCanonical
	}
	var out []*world.Target
	for i, from := range d.from {
		if from >= 0 {
			out = append(out, prev[from])
			continue
		}
		var v Target
		if err := json.Unmarshal(d.after[i], &v); err != nil {
			return nil, err
		}
		out = append(out, v.build(service))
	}
	if !slices.IsSortedFunc(out, func(a, b *world.Target) int { return cmp.Compare(a.Name, b.Name) }) {
		return nil, errNotCanonical
	}
	return out, nil
}

// difference says where the elements of a list come from.
type difference struct {
	before, after [][]byte
	from          []int // of each element after: the equal one before, or less than zero
	removed       []int // elements before that no equal one stands for
}

// compare matches equal elements of two lists that are ordered by name. Where they aren't, fewer are matched.
func compare(before, after []byte) (*difference, error) {
	d := &difference{}
	var err error
	if d.before, err = elements(before); err != nil {
		return nil, err
	}
	if d.after, err = elements(after); err != nil {
		return nil, err
	}
	d.from = make([]int, len(d.after))
	i := 0
	for j := range d.after {
		if i, err = d.match(i, j); err != nil {
			return nil, err
		}
	}
	for ; i < len(d.before); i++ {
		d.removed = append(d.removed, i)
	}
	return d, nil
}

// match finds the element before, from i on, that equals the one after at j, and returns where to go on.
func (d *difference) match(i, j int) (int, error) {
	d.from[j] = -1
	if i < len(d.before) && bytes.Equal(d.before[i], d.after[j]) {
		d.from[j] = i
		return i + 1, nil
	}
	name, err := nameOf(d.after[j])
	if err != nil {
		return i, err
	}
	for ; i < len(d.before); i++ {
		if bytes.Equal(d.before[i], d.after[j]) {
			d.from[j] = i
			return i + 1, nil
		}
		old, err := nameOf(d.before[i])
		if err != nil {
			return i, err
		}
		if old > name {
			break
		}
		d.removed = append(d.removed, i)
	}
	return i, nil
}

// nameOf returns the name of an element, which is its first member.
func nameOf(element []byte) (string, error) {
	rest, ok := bytes.CutPrefix(element, pieceStart)
	if !ok {
		return "", errNotCanonical
	}
	n := stringEnd(rest)
	if n < 0 {
		return "", errNotCanonical
	}
	var name string
	return name, json.Unmarshal(rest[:n], &name)
}
