package control

import (
	"slices"

	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/internal/manifest"
)

// Kind is a kind of object that can be drained.
type Kind string

// Kinds of objects that can be drained.
const (
	KindFailureDomain Kind = "failure-domain"
	KindTarget        Kind = "target"
)

// copyDocument returns a copy of d that shares nothing that contains drain marks.
func copyDocument(d *manifest.Document) *manifest.Document {
	c := *d
	c.FailureDomains = slices.Clone(d.FailureDomains)
	c.Services = slices.Clone(d.Services)
	for i := range c.Services {
		c.Services[i].Targets = slices.Clone(c.Services[i].Targets)
	}
	return &c
}

// inheritDrainMarks returns doc with the drain marks of cur where doc sets none, so that a pipeline that generates
// manifests doesn't return to service what an operator has drained.
func inheritDrainMarks(doc, cur *manifest.Document) *manifest.Document {
	if cur == nil {
		return doc
	}
	domains, targets := map[string]*bool{}, map[string]*bool{}
	for _, d := range cur.FailureDomains {
		domains[d.Name] = d.Drained
	}
	for _, s := range cur.Services {
		for _, t := range s.Targets {
			targets[t.Name] = t.Drained
		}
	}
	out := copyDocument(doc)
	for i := range out.FailureDomains {
		if d := &out.FailureDomains[i]; d.Drained == nil {
			d.Drained = domains[d.Name]
		}
	}
	for i := range out.Services {
		for j := range out.Services[i].Targets {
			if t := &out.Services[i].Targets[j]; t.Drained == nil {
				t.Drained = targets[t.Name]
			}
		}
	}
	return out
}

// setDrained returns a copy of cur with one drain mark changed, or a trace.NotFound error.
func setDrained(cur *manifest.Document, kind Kind, name string, drained bool) (*manifest.Document, error) {
	if cur == nil {
		return nil, trace.NotFound("no configuration is in force")
	}
	out := copyDocument(cur)
	if kind == KindFailureDomain {
		for i := range out.FailureDomains {
			if out.FailureDomains[i].Name == name {
				out.FailureDomains[i].Drained = &drained
				return out, nil
			}
		}
		return nil, trace.NotFound("no failure domain is named %q", name)
	}
	for i := range out.Services {
		for j := range out.Services[i].Targets {
			if t := &out.Services[i].Targets[j]; t.Name == name {
				t.Drained = &drained
				return out, nil
			}
		}
	}
	return nil, trace.NotFound("no target is named %q", name)
}
