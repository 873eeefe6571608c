package world

import (
	"maps"
	"slices"
)

// Clone returns a copy whose targets have been changed by edit. The rest is shared, since it is immutable.
func (w *World) Clone(edit func(*Target)) *World {
	c := *w
	c.Services = make(map[string]*Service, len(w.Services))
	c.Targets = make(map[string]*Target, len(w.Targets))
	for name, s := range w.Services {
		cs := *s
		cs.Targets = make([]*Target, len(s.Targets))
		for i, t := range s.Targets {
			ct := *t
			edit(&ct)
			cs.Targets[i] = &ct
			c.Targets[ct.Name] = &ct
		}
		c.Services[name] = &cs
	}
	return &c
}

// DomainNames returns the names of the failure domains in order.
func (w *World) DomainNames() []string {
	return slices.Sorted(maps.Keys(w.FailureDomains))
}
