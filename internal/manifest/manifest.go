package manifest

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/jsonc"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Errors holds every fault of a manifest with file, line, column and JSON path.
type Errors = jsonc.Errors

// Error is one fault of a manifest.
type Error = jsonc.Error

// digestDomain separates these digests from others over the same bytes.
const digestDomain = "egrethoist configuration v1\x00"

var priorities = map[string]world.Priority{
	"": world.PriorityQuick, "quick": world.PriorityQuick, "draft": world.PriorityDraft,
}

// Parse checks a manifest in JSON with comments and builds its world, whose Revision is zero. On any fault
// it returns no world and all faults. The name stands for the file in errors.
func Parse(name string, src []byte) (*world.World, *Errors) {
	doc, errs := ParseDocument(name, src)
	if errs != nil {
		return nil, errs
	}
	return doc.World(), nil
}

// ParseDocument checks a manifest like Parse and returns its JSON form.
func ParseDocument(name string, src []byte) (*Document, *Errors) {
	doc := &Document{}
	s := jsonc.Decode(name, src, doc)
	if len(doc.Name) > 0 || s.Has("$") {
		check(s, doc)
	}
	if errs := s.Err(); errs != nil {
		return nil, errs
	}
	for i := range doc.Services {
		doc.Services[i].HomeHistory = nil
	}
	return doc, nil
}

// Encode returns the canonical form: equal worlds give equal bytes. Lists of named objects are ordered by
// name; call rules keep their order, which decides between them.
func Encode(doc *Document) []byte {
	c := doc.normal()
	b, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("manifest: encode: %v", err)) // no field of a Document can fail
	}
	return b
}

// Decode reads the canonical form that Encode wrote. It makes no checks: whoever wrote the configuration has made
// them, and the digest vouches for the bytes. Keys of a later release are ignored.
func Decode(canonical []byte) (*Document, error) {
	doc := &Document{}
	if err := json.Unmarshal(canonical, doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// Digest identifies a canonical manifest and, through parent, its whole lineage. The first configuration
// has the zero parent.
func Digest(canonical []byte, parent world.Digest) world.Digest {
	h := sha256.New()
	h.Write([]byte(digestDomain))
	h.Write(parent[:])
	h.Write(canonical)
	return world.Digest(h.Sum(nil))
}

// normal returns a copy with ordered lists and without flags that say what is the default.
func (d *Document) normal() *Document {
	c := *d
	c.FailureDomains = ordered(d.FailureDomains, func(v FailureDomain) string { return v.Name })
	for i := range c.FailureDomains {
		c.FailureDomains[i].Drained = trueOrNil(c.FailureDomains[i].Drained)
	}
	c.Links = ordered(d.Links, func(v Link) string { return v.Name })
	c.Stores = ordered(d.Stores, func(v Store) string { return v.Name })
	c.WeightVersions = ordered(d.WeightVersions, func(v WeightVersion) string { return v.Name })
	c.Services = ordered(d.Services, func(v Service) string { return v.Name })
	for i := range c.Services {
		s := &c.Services[i]
		s.Stores = ordered(s.Stores, func(v string) string { return v })
		s.Objectives = ordered(s.Objectives, func(v Objective) string { return v.Name })
		s.Targets = ordered(s.Targets, func(v Target) string { return v.Name })
		for j := range s.Targets {
			s.Targets[j].Drained = trueOrNil(s.Targets[j].Drained)
		}
	}
	c.Workspaces = ordered(d.Workspaces, func(v Workspace) string { return v.Name })
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		w.Keys = ordered(w.Keys, func(v APIKey) string { return v.ID })
		w.AllowedServices = ordered(w.AllowedServices, func(v string) string { return v })
	}
	return &c
}

func trueOrNil(b *bool) *bool {
	if b != nil && *b {
		return b
	}
	return nil
}

func ordered[T any](list []T, name func(T) string) []T {
	c := slices.Clone(list)
	if c == nil {
		c = []T{}
	}
	slices.SortFunc(c, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return c
}

// World builds the immutable model. The document must have passed the checks.
func (d *Document) World() *world.World {
	w := &world.World{
		Name:           d.Name,
		FailureDomains: make(map[string]*world.FailureDomain, len(d.FailureDomains)),
		Services:       make(map[string]*world.Service, len(d.Services)),
		Targets:        map[string]*world.Target{},
		Stores:         make(map[string]*world.Store, len(d.Stores)),
		Links:          make(map[string]*world.Link, len(d.Links)),
		Workspaces:     make(map[string]*world.Workspace, len(d.Workspaces)),
		WeightVersions: make(map[string]*world.WeightVersion, len(d.WeightVersions)),
	}
	for _, v := range d.FailureDomains {
		w.FailureDomains[v.Name] = &world.FailureDomain{Name: v.Name, Region: v.Region, Drained: isTrue(v.Drained)}
	}
	for _, v := range d.Links {
		w.Links[v.Name] = &world.Link{Name: v.Name, BytesPerSec: int64(v.Rate), Delay: time.Duration(v.Delay)}
	}
	for _, v := range d.Stores {
		w.Stores[v.Name] = &world.Store{
			Name: v.Name, FailureDomain: v.FailureDomain, Address: v.Address.String(),
			MemoryBytes: int64(v.Memory), DiskBytes: int64(v.Disk), Link: v.Link,
		}
	}
	for _, v := range d.WeightVersions {
		w.WeightVersions[v.Name] = &world.WeightVersion{
			Name: v.Name, Service: v.Service, Digest: v.Digest.String(), Bytes: int64(v.Size),
		}
	}
	for i := range d.Services {
		s := d.Services[i].build()
		w.Services[s.Name] = s
		for _, t := range s.Targets {
			w.Targets[t.Name] = t
		}
	}
	for _, v := range d.Workspaces {
		w.Workspaces[v.Name] = v.build()
	}
	return w
}

func (s *Service) build() *world.Service {
	out := &world.Service{
		Name: s.Name, Kind: world.Kind(s.Kind),
		Cold: world.ColdLimits{InFlight: s.Cold.InFlight, Loaders: max(1, s.Cold.Loaders),
			RequestsPerPlace: s.Cold.RequestsPerPlace},
		MaxInFlight: s.MaxInFlight, FencesOrders: s.FencesOrders, WeightVersion: s.WeightVersion,
		MaxVersions: s.MaxVersions, BlockTokens: s.BlockTokens, BlockBytes: int(s.BlockSize), Stores: slices.Clone(s.Stores),
		RetryWindow: time.Duration(s.RetryWindow),
	}
	for _, c := range s.Calls {
		out.Calls = append(out.Calls, world.CallRule{
			Method: c.Method, PathPrefix: c.PathPrefix, Repeatable: c.Repeatable, Priority: priorities[c.Priority],
		})
	}
	for _, o := range s.Objectives {
		out.Objectives = append(out.Objectives, world.Objective{
			Name: o.Name, Target: o.Target,
			Threshold: time.Duration(o.Threshold), BudgetWindow: time.Duration(o.BudgetWindow),
		})
	}
	if s.HomeHistory != nil {
		out.Homes = s.HomeHistory.build()
	}
	for _, t := range ordered(s.Targets, func(t Target) string { return t.Name }) {
		out.Targets = append(out.Targets, t.build(s.Name))
	}
	return out
}

func (t *Target) build(service string) *world.Target {
	return &world.Target{
		Name: t.Name, Service: service, FailureDomain: t.FailureDomain,
		Sidecar: t.Sidecar.String(), Drained: isTrue(t.Drained),
	}
}

func (h *HomeHistory) build() *world.HomeHistory {
	out := &world.HomeHistory{From: h.From, At: h.At}
	for _, m := range h.Moves {
		out.Moves = append(out.Moves, world.HomeMove{
			Revision: m.Revision, At: m.At, Joined: slices.Clone(m.Joined), Left: slices.Clone(m.Left),
		})
	}
	return out
}

func (w *Workspace) build() *world.Workspace {
	out := &world.Workspace{
		Name: w.Name, Weight: w.Weight, MaxInFlight: w.MaxInFlight, RequestsPerSec: w.RequestsPerSec,
		CacheSalt: w.CacheSalt, AllowedServices: slices.Clone(w.AllowedServices),
	}
	for _, k := range w.Keys {
		out.Keys = append(out.Keys, world.APIKey{ID: k.ID, SHA256: k.SHA256})
	}
	return out
}

func isTrue(b *bool) bool { return b != nil && *b }
